/**
 * DOC: Changes of primary: one or several hosts against the instances of one group, whose
 * orders are answered only when the script says so.
 */
#include <inttypes.h>
#include <string.h>

#include "policy/lead-change.h"
#include "script.h"

#define HOSTS_MAX 3
#define INSTANCES_MAX 4
#define RIGHT_MS 1000

typedef struct
{
  char name[8];
  bool leaving;
  InstanceReport report;
} Instance;

typedef struct
{
  char name[8];
  PrimaryChange *change;
  PrimaryChangeInput situation;
  PrimaryChangeAction pending[4 * PRIMARY_CHANGE_ACTIONS_MAX];
  guint32 pending_count;
  guint32 promoted; /* instance of the promote call under way, plus 1 */
} Host;

typedef struct
{
  Host hosts[HOSTS_MAX];
  guint32 host_count;
  Instance instances[INSTANCES_MAX];
  guint32 instance_count;
} State;

static void *
start (void)
{
  return g_new0 (State, 1);
}

static void
end (void *data)
{
  State *state = data;

  for (guint32 i = 0; i < state->host_count; i++)
    primary_change_free (state->hosts[i].change);
  g_free (state);
}

static Host *
find_host (State *state, const char *name)
{
  for (guint32 i = 0; i < state->host_count; i++)
    if (strcmp (state->hosts[i].name, name) == 0)
      return &state->hosts[i];
  g_error ("no host %s", name);
}

/* Keys of instances are their places, counted from 1. */
static guint32
find_instance (const State *state, const char *name)
{
  for (guint32 i = 0; i < state->instance_count; i++)
    if (strcmp (state->instances[i].name, name) == 0)
      return i + 1;
  g_error ("no instance %s", name);
}

static void
print_fence (GString *out, guint64 fence)
{
  if (fence == 0)
    g_string_append (out, "-");
  else
    g_string_append_printf (out, "%" PRIu64 "/%" PRIu64 "/%" PRIu64, fence >> 32,
                            fence >> 16 & 0xffff, fence & 0xffff);
}

/* host NAME NUMBER */
static void
add_host (State *state, char **words)
{
  Host *host = &state->hosts[state->host_count++];
  const PrimaryChangeOptions options
      = { .host_number = (guint16) script_number (words, 2), .lease_ms = RIGHT_MS };

  g_strlcpy (host->name, script_word (words, 1), sizeof host->name);
  host->change = primary_change_new (&options);
  host->situation = (PrimaryChangeInput){
    .hosts = 1, .votes = 1, .all_acknowledged = true, .all_know_position = true, .synchronous = 1
  };
}

/* instance NAME primary|replica TERM POSITION */
static void
set_instance (State *state, char **words)
{
  Instance *instance = &state->instances[state->instance_count++];

  g_strlcpy (instance->name, script_word (words, 1), sizeof instance->name);
  instance->report.primary = strcmp (script_word (words, 2), "primary") == 0;
  instance->report.term = (guint64) script_number (words, 3);
  instance->report.received
      = (SessionToken){ instance->report.term, (guint64) script_number (words, 4) };
}

/* set HOST KEY VALUE */
static void
set_situation (State *state, char **words)
{
  PrimaryChangeInput *situation = &find_host (state, script_word (words, 1))->situation;
  const char *key = script_word (words, 2);
  const gint64 value = script_number (words, 3);

  if (strcmp (key, "primary") == 0)
    situation->primary = find_instance (state, script_word (words, 3));
  else if (strcmp (key, "term") == 0)
    situation->term = (guint64) value;
  else if (strcmp (key, "leaving") == 0)
    situation->leaving = value != 0;
  else if (strcmp (key, "suspect") == 0)
    situation->suspect = value != 0;
  else if (strcmp (key, "stuck") == 0)
    situation->commits_stalled = value != 0;
  else if (strcmp (key, "votes") == 0)
    situation->votes = (guint32) value;
  else if (strcmp (key, "hosts") == 0)
    situation->hosts = (guint32) value;
  else if (strcmp (key, "rank") == 0)
    situation->rank = (guint32) value;
  else if (strcmp (key, "obey") == 0)
    situation->all_acknowledged = value != 0;
  else if (strcmp (key, "tell") == 0)
    situation->all_know_position = value != 0;
  else if (strcmp (key, "committed") == 0)
    situation->committed = (SessionToken){ situation->term, (guint64) value };
  else
    g_error ("no such key: %s", key);
}

static void
print_action (const State *state, const PrimaryChangeAction *action, GString *out)
{
  static const char *const orders[INSTANCE_COMMAND_COUNT]
      = { "status", "pause", "resume", "step-down" };

  if (action->kind == PRIMARY_CHANGE_PROMOTE)
    g_string_append (out, "promote ");
  else
    g_string_append_printf (out, "%s ", orders[action->command]);
  g_string_append (out, state->instances[action->member - 1].name);
  if (action->kind == PRIMARY_CHANGE_PROMOTE || action->command == INSTANCE_COMMAND_PAUSE
      || action->command == INSTANCE_COMMAND_STEP_DOWN)
    {
      g_string_append (out, " ");
      print_fence (out, action->fencing_token);
    }
  g_string_append (out, "\n");
}

/* step HOST TIME */
static void
step (State *state, char **words, GString *out)
{
  Host *host = find_host (state, script_word (words, 1));
  PrimaryChangeAction actions[PRIMARY_CHANGE_ACTIONS_MAX];
  guint32 count;

  for (guint32 i = 0; i < state->instance_count; i++)
    primary_change_set_member (host->change, i + 1, true, state->instances[i].leaving);
  host->situation.now_ms = script_number (words, 2);
  count = primary_change_step (host->change, &host->situation, actions);
  for (guint32 i = 0; i < count; i++)
    {
      print_action (state, &actions[i], out);
      if (actions[i].kind == PRIMARY_CHANGE_PROMOTE)
        host->promoted = actions[i].member;
      else
        host->pending[host->pending_count++] = actions[i];
    }
  g_string_append_printf (out, "%s, obey ",
                          primary_change_phase_name (primary_change_phase (host->change)));
  print_fence (out, primary_change_fencing_token (host->change));
  g_string_append (out, "\n");
}

static void
carry_out (Instance *instance, const PrimaryChangeAction *action)
{
  switch (action->command)
    {
    case INSTANCE_COMMAND_PAUSE:
      if (!instance->report.primary && action->fencing_token > instance->report.term)
        instance->report.pause_token = action->fencing_token;
      return;
    case INSTANCE_COMMAND_RESUME:
      instance->report.pause_token = 0;
      return;
    case INSTANCE_COMMAND_STEP_DOWN:
      instance->report.primary = false;
      return;
    default:
      return;
    }
}

/*
 * answer HOST TIME [but INSTANCE...]: all orders under way reach their instances, but for some,
 * which do not answer within the limit
 * answer HOST TIME only INSTANCE...: just these are answered by now
 */
static void
answer (State *state, char **words)
{
  Host *host = find_host (state, script_word (words, 1));
  const bool only = strcmp (script_word (words, 3), "only") == 0;
  guint32 left = 0;

  for (guint32 i = 0; i < host->pending_count; i++)
    {
      const PrimaryChangeAction action = host->pending[i];
      Instance *instance = &state->instances[action.member - 1];
      const bool named = g_strv_contains ((const char *const *) words, instance->name);

      if (only && !named)
        {
          host->pending[left++] = action;
          continue;
        }
      if (!only && named)
        {
          primary_change_record_timeout (host->change, action.member);
          continue;
        }
      carry_out (instance, &action);
      primary_change_record_report (host->change, action.member, &instance->report,
                                    script_number (words, 2));
    }
  host->pending_count = left;
}

/* promoted HOST TIME done|refused|unknown: the call ends; done and unknown take effect */
static void
promoted (State *state, char **words)
{
  Host *host = find_host (state, script_word (words, 1));
  Instance *instance = &state->instances[host->promoted - 1];
  PromotionResult result = PROMOTION_DONE;

  if (strcmp (script_word (words, 3), "refused") == 0)
    result = PROMOTION_REFUSED;
  else
    {
      result = strcmp (script_word (words, 3), "done") == 0 ? result : PROMOTION_UNKNOWN;
      instance->report.primary = true;
      instance->report.term++;
      instance->report.pause_token = 0;
    }
  primary_change_promotion_ended (host->change, result, script_number (words, 2));
}

/* hear HOST OTHER: what the one host says reaches the other */
static void
hear (State *state, char **words)
{
  PrimaryChangeInput *situation = &find_host (state, script_word (words, 1))->situation;
  const Host *other = find_host (state, script_word (words, 2));
  const guint64 fence = primary_change_fencing_token (other->change);

  situation->peer_fencing_token = fence;
  situation->highest_fencing_token = MAX (situation->highest_fencing_token, fence);
}

static void
print_instances (const State *state, GString *out)
{
  for (guint32 i = 0; i < state->instance_count; i++)
    {
      const InstanceReport *report = &state->instances[i].report;

      g_string_append_printf (out, "%s %s term %" PRIu64 " log %" PRIu64 ".%" PRIu64 " paused ",
                              state->instances[i].name, report->primary ? "primary" : "replica",
                              report->term, report->received.term, report->received.position);
      print_fence (out, report->pause_token);
      g_string_append (out, "\n");
    }
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "host") == 0)
    add_host (state, words);
  else if (strcmp (verb, "instance") == 0)
    set_instance (state, words);
  else if (strcmp (verb, "set") == 0)
    set_situation (state, words);
  else if (strcmp (verb, "step") == 0)
    step (state, words, out);
  else if (strcmp (verb, "answer") == 0)
    answer (state, words);
  else if (strcmp (verb, "promoted") == 0)
    promoted (state, words);
  else if (strcmp (verb, "hear") == 0)
    hear (state, words);
  else if (strcmp (verb, "leaves") == 0)
    state->instances[find_instance (state, script_word (words, 1)) - 1].leaving = true;
  else if (strcmp (verb, "log") == 0)
    state->instances[find_instance (state, script_word (words, 1)) - 1].report.received.position
        = (guint64) script_number (words, 2);
  else if (strcmp (verb, "instances") == 0)
    print_instances (state, out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_primary_change = { "lead", start, command, end };
