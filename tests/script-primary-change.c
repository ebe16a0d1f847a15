/**
 * DOC: Changes of primary by one or more hosts. The instances of the group answer commands only
 * when the script has them answer.
 */
#include <inttypes.h>
#include <string.h>

#include "policy/primary-change.h"
#include "script.h"

#define HOSTS_MAX 3
#define INSTANCES_MAX 4
#define LEASE_MS 1000

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
  PrimaryChangeInput input;
  PrimaryChangeAction pending[4 * PRIMARY_CHANGE_ACTIONS_MAX];
  guint32 pending_count;
  guint32 promoted; /* key of the instance of the promotion request in progress */
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

/* The key of an instance is its index plus 1. */
static guint32
find_instance (const State *state, const char *name)
{
  for (guint32 i = 0; i < state->instance_count; i++)
    if (strcmp (state->instances[i].name, name) == 0)
      return i + 1;
  g_error ("no instance %s", name);
}

static void
print_token (GString *out, guint64 token)
{
  if (token == 0)
    g_string_append (out, "-");
  else
    g_string_append_printf (out, "%" PRIu64 "/%" PRIu64 "/%" PRIu64, token >> 32,
                            token >> 16 & 0xffff, token & 0xffff);
}

/* host NAME NUMBER */
static void
add_host (State *state, char **words)
{
  Host *host = &state->hosts[state->host_count++];
  const PrimaryChangeOptions options
      = { .host_number = (guint16) script_number (words, 2), .lease_ms = LEASE_MS };

  g_strlcpy (host->name, script_word (words, 1), sizeof host->name);
  host->change = primary_change_new (&options);
  host->input = (PrimaryChangeInput){ .hosts = 1,
                                      .votes = 1,
                                      .all_acknowledged = true,
                                      .committed_known = true,
                                      .all_follow = true,
                                      .log_holders_known = true,
                                      .synchronous = 1 };
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

/* set HOST KEY VALUE; for abandoned, the term of the fencing tokens */
static void
set_input (State *state, char **words)
{
  PrimaryChangeInput *input = &find_host (state, script_word (words, 1))->input;
  const char *key = script_word (words, 2);
  const gint64 value = script_number (words, 3);

  if (strcmp (key, "primary") == 0)
    input->primary = find_instance (state, script_word (words, 3));
  else if (strcmp (key, "term") == 0)
    input->term = (guint64) value;
  else if (strcmp (key, "newest-term") == 0)
    input->newest_term = (guint64) value;
  else if (strcmp (key, "leaving") == 0)
    input->leaving = value != 0;
  else if (strcmp (key, "suspect") == 0)
    input->suspect = value != 0;
  else if (strcmp (key, "stalled") == 0)
    input->commits_stalled = value != 0;
  else if (strcmp (key, "votes") == 0)
    input->votes = (guint32) value;
  else if (strcmp (key, "hosts") == 0)
    input->hosts = (guint32) value;
  else if (strcmp (key, "rank") == 0)
    input->rank = (guint32) value;
  else if (strcmp (key, "acknowledged") == 0)
    input->all_acknowledged = value != 0;
  else if (strcmp (key, "committed-known") == 0)
    input->committed_known = value != 0;
  else if (strcmp (key, "acknowledged-commit") == 0)
    input->acknowledged = (SessionToken){ input->term, (guint64) value };
  else if (strcmp (key, "log-holders") == 0)
    input->log_holders = (guint32) value;
  else if (strcmp (key, "log-holders-known") == 0)
    input->log_holders_known = value != 0;
  else if (strcmp (key, "following") == 0)
    input->all_follow = value != 0;
  else if (strcmp (key, "abandoned") == 0)
    input->abandoned_pause = (guint64) value << 32 | G_MAXUINT32;
  else if (strcmp (key, "committed") == 0)
    input->committed = (SessionToken){ input->term, (guint64) value };
  else
    g_error ("no such key: %s", key);
}

static void
print_action (const State *state, const PrimaryChangeAction *action, GString *out)
{
  static const char *const command_names[INSTANCE_COMMAND_COUNT]
      = { "status", "pause", "resume", "step-down" };

  if (action->kind == PRIMARY_CHANGE_PROMOTE)
    g_string_append (out, "promote ");
  else
    g_string_append_printf (out, "%s ", command_names[action->command]);
  g_string_append (out, state->instances[action->member - 1].name);
  if (action->kind == PRIMARY_CHANGE_PROMOTE || action->command == INSTANCE_COMMAND_PAUSE
      || action->command == INSTANCE_COMMAND_STEP_DOWN)
    {
      g_string_append (out, " ");
      print_token (out, action->fencing_token);
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
  host->input.now_ms = script_number (words, 2);
  count = primary_change_step (host->change, &host->input, actions);
  for (guint32 i = 0; i < count; i++)
    {
      print_action (state, &actions[i], out);
      if (actions[i].kind == PRIMARY_CHANGE_PROMOTE)
        host->promoted = actions[i].member;
      else
        host->pending[host->pending_count++] = actions[i];
    }
  g_string_append_printf (out, "%s, token ",
                          primary_change_phase_name (primary_change_phase (host->change)));
  print_token (out, primary_change_fencing_token (host->change));
  g_string_append (out, "\n");
}

static void
execute (Instance *instance, const PrimaryChangeAction *action)
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
 * answer HOST TIME down [INSTANCE...]: all pending commands are answered, but the named instances
 * refuse connections
 * answer HOST TIME [but INSTANCE...]: all pending commands are answered, except by the named
 * instances, which time out
 * answer HOST TIME only INSTANCE...: only the named instances have answered so far
 */
static void
answer (State *state, char **words)
{
  Host *host = find_host (state, script_word (words, 1));
  const bool only = strcmp (script_word (words, 3), "only") == 0;
  const bool down = strcmp (script_word (words, 3), "down") == 0;
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
      if (down && named)
        {
          primary_change_record_down (host->change, action.member);
          continue;
        }
      if (!only && named)
        {
          primary_change_record_timeout (host->change, action.member);
          continue;
        }
      execute (instance, &action);
      primary_change_record_report (host->change, action.member, &instance->report,
                                    script_number (words, 2));
    }
  host->pending_count = left;
}

/* promoted HOST TIME done|refused|unknown|void: the request ends; done and unknown take effect,
 * void is done and does not */
static void
promoted (State *state, char **words)
{
  Host *host = find_host (state, script_word (words, 1));
  Instance *instance = &state->instances[host->promoted - 1];
  PromotionResult result = PROMOTION_DONE;

  if (strcmp (script_word (words, 3), "refused") == 0)
    result = PROMOTION_REFUSED;
  else if (strcmp (script_word (words, 3), "void") != 0)
    {
      result = strcmp (script_word (words, 3), "done") == 0 ? result : PROMOTION_UNKNOWN;
      instance->report.primary = true;
      instance->report.term++;
      instance->report.pause_token = 0;
    }
  primary_change_promotion_ended (host->change, result, script_number (words, 2));
}

/* receive HOST OTHER: HOST receives the fencing token that OTHER announces, or none */
static void
receive (State *state, char **words)
{
  PrimaryChangeInput *input = &find_host (state, script_word (words, 1))->input;
  const Host *other = find_host (state, script_word (words, 2));
  const guint64 token = primary_change_fencing_token (other->change);

  input->peer_fencing_token = token;
  input->highest_fencing_token = MAX (input->highest_fencing_token, token);
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
      print_token (out, report->pause_token);
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
    set_input (state, words);
  else if (strcmp (verb, "step") == 0)
    step (state, words, out);
  else if (strcmp (verb, "answer") == 0)
    answer (state, words);
  else if (strcmp (verb, "promoted") == 0)
    promoted (state, words);
  else if (strcmp (verb, "receive") == 0)
    receive (state, words);
  else if (strcmp (verb, "mark-leaving") == 0)
    state->instances[find_instance (state, script_word (words, 1)) - 1].leaving = true;
  else if (strcmp (verb, "log") == 0)
    state->instances[find_instance (state, script_word (words, 1)) - 1].report.received.position
        = (guint64) script_number (words, 2);
  else if (strcmp (verb, "instances") == 0)
    print_instances (state, out);
  else if (strcmp (verb, "promoted-term") == 0)
    g_string_append_printf (
        out, "%" PRIu64 "\n",
        primary_change_promoted_term (find_host (state, script_word (words, 1))->change));
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_primary_change = { "primary-change", start, command, end };
