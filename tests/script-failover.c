/**
 * DOC: Monitors of one group with a replicated log; commands advance the time.
 */
#include <stdlib.h>
#include <string.h>

#include "policy/failover.h"
#include "script.h"
#include "standin/group-log.h"

#define INSTANCES 3
#define LOGS 4
#define MONITORS_MAX 3
#define STEP_MS 50

typedef struct
{
  GroupLog *log;
  Failover *monitors[MONITORS_MAX];
  guint count;
  uint32_t member[INSTANCES]; /* the log behind each instance of the configuration */
  bool down[INSTANCES];
  bool isolated[MONITORS_MAX]; /* the monitor reaches no instance */
  bool lose_answers;           /* commands take effect, but their answers are lost */
  char *late_write;            /* id of a commit right before the first advance command */
  gint64 now_ms;
} State;

static bool
apply (void *data, uint32_t instance, const LogRecord *record)
{
  return true;
}

static void
ignore_event (void *data, uint32_t instance)
{
}

static const GroupLogEvents events = { apply, ignore_event, ignore_event };

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->log = group_log_new (LOGS, &events, state);
  for (uint32_t i = 0; i < INSTANCES; i++)
    state->member[i] = i;
  group_log_set_partitioned (state->log, INSTANCES, true);
  state->now_ms = 1000;
  return state;
}

static void
end (void *data)
{
  State *state = data;

  for (guint i = 0; i < state->count; i++)
    failover_free (state->monitors[i]);
  group_log_free (state->log);
  g_free (state->late_write);
  g_free (state);
}

static void
add_monitors (State *state, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      const FailoverOptions options = { INSTANCES, 1500, 800, 700, i + 1 };

      state->monitors[i] = failover_new (&options);
      failover_set_rank (state->monitors[i], i);
    }
  state->count = count;
}

/* The partitioned primary is back for a moment, commits, and b receives its log. */
static void
commit_late (State *state)
{
  group_log_set_delay (state->log, 0, 1, 0);
  group_log_set_delay (state->log, 0, 2, STEP_MS * 1000);
  group_log_set_partitioned (state->log, 0, false);
  group_log_commit (state->log, 0, state->late_write, g_ptr_array_new_with_free_func (g_free),
                    state->now_ms);
  group_log_tick (state->log, state->now_ms);
  group_log_set_partitioned (state->log, 0, true);
  g_free (state->late_write);
  state->late_write = NULL;
}

static bool
execute (State *state, const FailoverCommand *failover_command)
{
  if (state->down[failover_command->instance])
    return false;
  if (failover_command->kind == FAILOVER_ADVANCE_TERM && state->late_write != NULL)
    commit_late (state);
  switch (failover_command->kind)
    {
    case FAILOVER_ADVANCE_TERM:
      return group_log_advance_term (state->log, state->member[failover_command->instance],
                                     failover_command->term);
    case FAILOVER_PROMOTE:
      return group_log_promote (state->log, state->member[failover_command->instance],
                                failover_command->term, state->now_ms);
    case FAILOVER_FOLLOW:
      return group_log_follow (state->log, state->member[failover_command->instance],
                               failover_command->term, state->member[failover_command->primary]);
    }
  return false;
}

static bool
run_command (State *state, guint monitor, GString *out)
{
  static const char *const kinds[] = { "advance", "promote", "follow" };
  FailoverCommand failover_command;

  bool accepted;

  if (!failover_next_command (state->monitors[monitor], &failover_command))
    return false;
  accepted = execute (state, &failover_command);

  g_string_append_printf (
      out, "t=%" G_GINT64_FORMAT " monitor=%u %s %c term=%" G_GUINT64_FORMAT " %s\n", state->now_ms,
      monitor, kinds[failover_command.kind], (char) ('a' + failover_command.instance),
      failover_command.term, accepted ? "accepted" : "refused");
  failover_command_done (state->monitors[monitor], &failover_command,
                         accepted && !state->lose_answers, state->now_ms);
  failover_tick (state->monitors[monitor], state->now_ms);
  return true;
}

static InstanceStatus
member_status (const State *state, uint32_t instance)
{
  InstanceStatus status = group_log_status (state->log, state->member[instance], state->now_ms);
  const int32_t followed = status.following;

  status.following = -1;
  for (uint32_t i = 0; i < INSTANCES; i++)
    if (followed == (int32_t) state->member[i])
      status.following = (int32_t) i;
  return status;
}

/* The configuration names a new instance, whose log is empty, in place of @instance; as hosts do
 * then, the monitors start anew. */
static void
replace (State *state, uint32_t instance)
{
  const guint count = state->count;

  group_log_set_partitioned (state->log, state->member[instance], true);
  state->member[instance] = INSTANCES;
  group_log_set_partitioned (state->log, INSTANCES, false);
  for (guint i = 0; i < count; i++)
    failover_free (state->monitors[i]);
  state->count = 0;
  add_monitors (state, count);
}

static void
poll_instances (State *state, guint monitor)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      const InstanceStatus status = member_status (state, i);

      if (!state->down[i] && !state->isolated[monitor])
        failover_record_status (state->monitors[monitor], i, &status);
    }
}

static void
run (State *state, gint64 duration_ms, GString *out)
{
  for (gint64 end_ms = state->now_ms + duration_ms; state->now_ms < end_ms;
       state->now_ms += STEP_MS)
    {
      group_log_tick (state->log, state->now_ms);
      bool more = true;

      // All monitors poll first and then act in turn, as on different hosts.
      for (guint i = 0; i < state->count; i++)
        poll_instances (state, i);
      for (guint i = 0; i < state->count; i++)
        failover_tick (state->monitors[i], state->now_ms);
      while (more)
        {
          more = false;
          for (guint i = 0; i < state->count; i++)
            more |= run_command (state, (i + (guint) state->now_ms / STEP_MS) % state->count, out);
        }
    }
}

static void
print_status (State *state, GString *out)
{
  static const char *const roles[] = { "replica", "primary", "fenced" };

  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      const InstanceStatus status = member_status (state, i);

      g_string_append_printf (
          out, "%c %s term=%" G_GUINT64_FORMAT " log=%" G_GUINT64_FORMAT "/%" G_GUINT64_FORMAT "\n",
          (char) ('a' + i), roles[status.role], status.term, status.received.term,
          status.received.position);
    }
}

static uint32_t
instance_of (char **words)
{
  return (uint32_t) (script_word (words, 1)[0] - 'a');
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  bool on = strcmp (script_word (words, 2), "off") != 0;

  if (strcmp (verb, "monitors") == 0)
    add_monitors (state, (guint) script_number (words, 1));
  else if (strcmp (verb, "run") == 0)
    run (state, script_number (words, 1), out);
  else if (strcmp (verb, "status") == 0)
    print_status (state, out);
  else if (strcmp (verb, "down") == 0)
    {
      state->down[instance_of (words)] = on;
      group_log_set_partitioned (state->log, state->member[instance_of (words)], on);
    }
  else if (strcmp (verb, "replace") == 0)
    replace (state, instance_of (words));
  else if (strcmp (verb, "same-rank") == 0)
    for (guint i = 0; i < state->count; i++)
      failover_set_rank (state->monitors[i], 0);
  else if (strcmp (verb, "partition") == 0)
    group_log_set_partitioned (state->log, instance_of (words), on);
  else if (strcmp (verb, "isolate") == 0)
    state->isolated[script_number (words, 1)] = on;
  else if (strcmp (verb, "lose-answers") == 0)
    state->lose_answers = strcmp (script_word (words, 1), "off") != 0;
  else if (strcmp (verb, "delay") == 0)
    group_log_set_delay (state->log, (uint32_t) script_number (words, 1),
                         (uint32_t) script_number (words, 2), script_number (words, 3));
  else if (strcmp (verb, "leaving") == 0)
    for (guint i = 0; i < state->count; i++)
      failover_set_leaving (state->monitors[i], instance_of (words), on);
  else if (strcmp (verb, "busy") == 0)
    for (guint i = 0; i < state->count; i++)
      failover_set_busy (state->monitors[i], strcmp (script_word (words, 1), "off") != 0);
  else if (strcmp (verb, "write") == 0)
    group_log_commit (state->log, instance_of (words), script_word (words, 2),
                      g_ptr_array_new_with_free_func (g_free), state->now_ms);
  else if (strcmp (verb, "late-write") == 0)
    state->late_write = g_strdup (script_word (words, 1));
  else
    g_string_append (out, "unknown command\n");
}

const ScriptKind script_failover = { "failover", start, command, end };
