#include "policy/failover.h"

#include <glib.h>

/* The random backoff lies between the step timeout divided by this and the whole of it. */
#define BACKOFF_MIN_DIVISOR 4
/* A switchover stops holding work after this many step timeouts, and is not tried again for as
 * long. */
#define HOLD_STEPS 4
/* Minimum interval between follow commands to the same instance. */
#define FOLLOW_INTERVAL_MS 500

struct Failover
{
  FailoverOptions options;
  InstanceStatus status[GROUP_INSTANCES_MAX];
  int64_t follow_sent_ms[GROUP_INSTANCES_MAX];
  bool advanced[GROUP_INSTANCES_MAX];
  bool leaving[GROUP_INSTANCES_MAX];
  FailoverPhase phase;
  int64_t phase_ends_ms;
  int64_t next_hold_ms;
  int64_t no_primary_since_ms;
  uint64_t term;
  uint32_t candidate;
  uint32_t rank;
  bool busy;
  GRand *random;
  GQueue commands;
};

Failover *
failover_new (const FailoverOptions *options)
{
  Failover *failover = g_new0 (Failover, 1);

  failover->options = *options;
  failover->random = g_rand_new_with_seed ((guint32) options->seed);
  g_queue_init (&failover->commands);
  for (uint32_t i = 0; i < GROUP_INSTANCES_MAX; i++)
    failover->follow_sent_ms[i] = -FOLLOW_INTERVAL_MS;
  return failover;
}

void
failover_free (Failover *failover)
{
  g_rand_free (failover->random);
  g_queue_clear_full (&failover->commands, g_free);
  g_free (failover);
}

void
failover_set_rank (Failover *failover, uint32_t rank)
{
  failover->rank = rank;
}

void
failover_record_status (Failover *failover, uint32_t instance, const InstanceStatus *status)
{
  failover->status[instance] = *status;
}

void
failover_set_leaving (Failover *failover, uint32_t instance, bool leaving)
{
  failover->leaving[instance] = leaving;
}

void
failover_set_busy (Failover *failover, bool busy)
{
  failover->busy = busy;
}

void
failover_record_applied (Failover *failover, uint32_t instance, SessionToken position)
{
  session_token_advance (&failover->status[instance].applied, position);
}

uint64_t
failover_term (const Failover *failover)
{
  uint64_t term = 0;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    term = MAX (term, failover->status[i].term);
  return term;
}

int32_t
failover_primary (const Failover *failover)
{
  uint64_t term = failover_term (failover);

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if (failover->status[i].role == ROLE_PRIMARY && failover->status[i].term == term
        && failover->status[i].answered_ms > 0)
      return (int32_t) i;
  return -1;
}

bool
failover_is_responding (const Failover *failover, uint32_t instance, int64_t now_ms)
{
  int64_t answered_ms = failover->status[instance].answered_ms;

  return answered_ms > 0 && now_ms - answered_ms < failover->options.suspect_after_ms;
}

static uint32_t
majority (const Failover *failover)
{
  return failover->options.instance_count / 2 + 1;
}

bool
failover_majority_is_responding (const Failover *failover, int64_t now_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if (failover_is_responding (failover, i, now_ms))
      count++;
  return count >= majority (failover);
}

static void
push_command (Failover *failover, FailoverCommandKind kind, uint32_t instance)
{
  FailoverCommand *command = g_new0 (FailoverCommand, 1);

  command->kind = kind;
  command->instance = instance;
  command->term = failover->term;
  command->primary = failover->candidate;
  g_queue_push_tail (&failover->commands, command);
}

bool
failover_next_command (Failover *failover, FailoverCommand *command)
{
  FailoverCommand *head = g_queue_pop_head (&failover->commands);

  if (head == NULL)
    return false;
  *command = *head;
  g_free (head);
  return true;
}

static void
enter_phase (Failover *failover, FailoverPhase phase, int64_t ends_ms)
{
  failover->phase = phase;
  failover->phase_ends_ms = ends_ms;
}

static void
start_backoff (Failover *failover, int64_t now_ms)
{
  int64_t step_ms = failover->options.step_timeout_ms;
  int64_t wait_ms = g_rand_int_range (failover->random, (gint32) (step_ms / BACKOFF_MIN_DIVISOR),
                                      (gint32) step_ms + 1);

  enter_phase (failover, FAILOVER_BACKOFF,
               now_ms + wait_ms + failover->rank * failover->options.rank_delay_ms);
}

/*
 * A replica of the greatest term that still hears its primary vetoes the failover: only this host
 * has lost it. A replica of a lower term hears a primary that is being replaced.
 */
static bool
replicas_confirm_loss (const Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);
  uint64_t term = failover_term (failover);
  uint32_t count = 0;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    {
      const InstanceStatus *status = &failover->status[i];

      if ((int32_t) i == primary || !failover_is_responding (failover, i, now_ms))
        continue;
      if (status->term == term && status->role == ROLE_REPLICA && status->heard_primary_ms >= 0
          && status->heard_primary_ms < failover->options.suspect_after_ms)
        return false;
      count++;
    }
  return count >= majority (failover);
}

/*
 * A primary that its replicas do not hear can't commit by majority, even if other hosts still reach
 * it. Only the reports of the replicas count, not those of the primary.
 */
static bool
replicas_lost_primary (const Failover *failover, int32_t primary, int64_t now_ms)
{
  int64_t limit_ms
      = failover->options.suspect_after_ms + failover->rank * failover->options.rank_delay_ms;
  uint64_t term = failover->status[primary].term;
  uint32_t count = 0;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    {
      const InstanceStatus *status = &failover->status[i];

      if ((int32_t) i == primary || !failover_is_responding (failover, i, now_ms)
          || status->term != term)
        continue;
      if (status->role == ROLE_REPLICA && status->heard_primary_ms >= limit_ms)
        count++;
    }
  return count >= majority (failover);
}

/* If the greatest term has no primary, another monitor may be promoting one: allow it time. */
static bool
primary_lost (Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);
  int64_t rank_wait_ms = failover->rank * failover->options.rank_delay_ms;

  if (primary >= 0)
    {
      failover->no_primary_since_ms = 0;
      if (replicas_lost_primary (failover, primary, now_ms))
        return true;
      return now_ms - failover->status[primary].answered_ms
             >= failover->options.suspect_after_ms + rank_wait_ms;
    }
  if (failover->no_primary_since_ms == 0)
    failover->no_primary_since_ms = now_ms;
  return now_ms - failover->no_primary_since_ms >= failover->options.step_timeout_ms + rank_wait_ms;
}

static void
start_advance (Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);
  bool lost = primary >= 0 && replicas_lost_primary (failover, primary, now_ms);

  failover->term = failover_term (failover) + 1;
  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    {
      failover->advanced[i] = false;
      // A partitioned primary must not be promoted for entries that no other instance has.
      if (lost && (int32_t) i == primary)
        continue;
      if (failover_is_responding (failover, i, now_ms))
        push_command (failover, FAILOVER_ADVANCE_TERM, i);
    }
  enter_phase (failover, FAILOVER_ADVANCING, now_ms + failover->options.step_timeout_ms);
}

/* Sends the follow command to each instance that does not replicate from the current primary. */
static void
send_follow_commands (Failover *failover, int32_t primary, int64_t now_ms)
{
  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    {
      const InstanceStatus *status = &failover->status[i];

      if ((int32_t) i == primary || !failover_is_responding (failover, i, now_ms))
        continue;
      if (status->role == ROLE_REPLICA && status->following == primary
          && status->term == failover->status[primary].term)
        continue;
      if (now_ms - failover->follow_sent_ms[i] < FOLLOW_INTERVAL_MS)
        continue;
      failover->follow_sent_ms[i] = now_ms;
      failover->term = failover->status[primary].term;
      failover->candidate = (uint32_t) primary;
      push_command (failover, FAILOVER_FOLLOW, i);
    }
}

static bool
has_successor (const Failover *failover, int32_t primary, int64_t now_ms)
{
  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if ((int32_t) i != primary && !failover->leaving[i]
        && failover_is_responding (failover, i, now_ms))
      return true;
  return false;
}

static void
monitor_primary (Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);

  if (primary_lost (failover, now_ms))
    {
      if (failover_majority_is_responding (failover, now_ms)
          && replicas_confirm_loss (failover, now_ms))
        start_advance (failover, now_ms);
      return;
    }
  if (primary < 0)
    return;
  send_follow_commands (failover, primary, now_ms);
  if (failover->leaving[primary] && failover->rank == 0 && now_ms >= failover->next_hold_ms
      && failover_majority_is_responding (failover, now_ms)
      && has_successor (failover, primary, now_ms))
    enter_phase (failover, FAILOVER_HOLDING,
                 now_ms + HOLD_STEPS * failover->options.step_timeout_ms);
}

static bool
replica_caught_up (const Failover *failover, int32_t primary, int64_t now_ms)
{
  const InstanceStatus *primary_status = &failover->status[primary];

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    {
      const InstanceStatus *status = &failover->status[i];

      if ((int32_t) i == primary || failover->leaving[i]
          || !failover_is_responding (failover, i, now_ms))
        continue;
      if (session_token_covers (status->received, primary_status->received)
          && status->answered_ms >= primary_status->answered_ms)
        return true;
    }
  return false;
}

static void
hold_work (Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);

  if (primary < 0 || !failover->leaving[primary] || now_ms >= failover->phase_ends_ms)
    {
      failover->next_hold_ms = now_ms + HOLD_STEPS * failover->options.step_timeout_ms;
      enter_phase (failover, FAILOVER_MONITORING, 0);
      return;
    }
  // Transactions still open after half of the time limit are rolled back by the switchover.
  if (failover->busy
      && now_ms < failover->phase_ends_ms - HOLD_STEPS / 2 * failover->options.step_timeout_ms)
    return;
  if (replica_caught_up (failover, primary, now_ms))
    start_advance (failover, now_ms);
}

/* Whether its log is known as of when it took the term of the change, after which it does not
 * grow. */
static bool
has_final_log (const Failover *failover, uint32_t instance)
{
  return failover->advanced[instance] && failover->status[instance].term >= failover->term;
}

bool
failover_awaits_status (const Failover *failover, uint32_t instance)
{
  return failover->phase == FAILOVER_ADVANCING && failover->advanced[instance]
         && !has_final_log (failover, instance);
}

static uint32_t
final_log_count (const Failover *failover)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if (has_final_log (failover, i))
      count++;
  return count;
}

/* Of two equal logs the one of an instance that is not leaving is preferred. */
static bool
better_candidate (const Failover *failover, uint32_t a, uint32_t b)
{
  int comparison
      = session_token_compare (failover->status[a].received, failover->status[b].received);

  if (comparison != 0)
    return comparison > 0;
  return failover->leaving[b] && !failover->leaving[a];
}

static void
start_promote (Failover *failover, int64_t now_ms)
{
  int32_t candidate = -1;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if (has_final_log (failover, i)
        && (candidate < 0 || better_candidate (failover, i, (uint32_t) candidate)))
      candidate = (int32_t) i;
  failover->candidate = (uint32_t) candidate;
  push_command (failover, FAILOVER_PROMOTE, failover->candidate);
  enter_phase (failover, FAILOVER_PROMOTING, now_ms + failover->options.step_timeout_ms);
}

static bool
is_step_pending (const Failover *failover, int64_t now_ms)
{
  return now_ms < failover->phase_ends_ms;
}

void
failover_tick (Failover *failover, int64_t now_ms)
{
  switch (failover->phase)
    {
    case FAILOVER_MONITORING:
      monitor_primary (failover, now_ms);
      return;
    case FAILOVER_HOLDING:
      hold_work (failover, now_ms);
      return;
    case FAILOVER_ADVANCING:
      if (final_log_count (failover) >= majority (failover))
        start_promote (failover, now_ms);
      else if (!is_step_pending (failover, now_ms))
        start_backoff (failover, now_ms);
      return;
    case FAILOVER_PROMOTING:
      if (!is_step_pending (failover, now_ms))
        start_backoff (failover, now_ms);
      return;
    case FAILOVER_BACKOFF:
      if (now_ms >= failover->phase_ends_ms)
        enter_phase (failover, FAILOVER_MONITORING, 0);
      return;
    }
}

void
failover_command_done (Failover *failover, const FailoverCommand *command, bool accepted,
                       int64_t now_ms)
{
  if (command->term != failover->term)
    return;
  if (command->kind == FAILOVER_ADVANCE_TERM && failover->phase == FAILOVER_ADVANCING)
    {
      failover->advanced[command->instance] = accepted;
      return;
    }
  if (command->kind != FAILOVER_PROMOTE || failover->phase != FAILOVER_PROMOTING)
    return;
  if (!accepted)
    {
      start_backoff (failover, now_ms);
      return;
    }
  failover->status[command->instance].role = ROLE_PRIMARY;
  failover->status[command->instance].term = command->term;
  failover->status[command->instance].answered_ms = now_ms;
  enter_phase (failover, FAILOVER_MONITORING, 0);
}

FailoverPhase
failover_phase (const Failover *failover)
{
  return failover->phase;
}

const InstanceStatus *
failover_instance_status (const Failover *failover, uint32_t instance)
{
  return &failover->status[instance];
}
