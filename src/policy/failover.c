#include "policy/failover.h"

#include <glib.h>

/* Back-off after a lost duel is drawn from this part of a step time up to a whole one. */
#define BACKOFF_LEAST_PART 4
/* A planned change of primary gives up holding work after this many step times. */
#define HOLD_STEPS 4
/* An order to follow is repeated at most this often. */
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
  int64_t hold_again_ms;
  int64_t headless_since_ms;
  uint64_t term;
  uint32_t winner;
  uint32_t rank;
  bool busy;
  GRand *random;
  GQueue orders;
};

Failover *
failover_new (const FailoverOptions *options)
{
  Failover *failover = g_new0 (Failover, 1);

  failover->options = *options;
  failover->random = g_rand_new_with_seed ((guint32) options->seed);
  g_queue_init (&failover->orders);
  for (uint32_t i = 0; i < GROUP_INSTANCES_MAX; i++)
    failover->follow_sent_ms[i] = -FOLLOW_INTERVAL_MS;
  return failover;
}

void
failover_free (Failover *failover)
{
  g_rand_free (failover->random);
  g_queue_clear_full (&failover->orders, g_free);
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
push_order (Failover *failover, FailoverCommandKind kind, uint32_t instance)
{
  FailoverCommand *order = g_new0 (FailoverCommand, 1);

  order->kind = kind;
  order->instance = instance;
  order->term = failover->term;
  order->primary = failover->winner;
  g_queue_push_tail (&failover->orders, order);
}

bool
failover_next_command (Failover *failover, FailoverCommand *order)
{
  FailoverCommand *head = g_queue_pop_head (&failover->orders);

  if (head == NULL)
    return false;
  *order = *head;
  g_free (head);
  return true;
}

static void
enter (Failover *failover, FailoverPhase phase, int64_t ends_ms)
{
  failover->phase = phase;
  failover->phase_ends_ms = ends_ms;
}

static void
back_off (Failover *failover, int64_t now_ms)
{
  int64_t step_ms = failover->options.step_timeout_ms;
  int64_t wait_ms = g_rand_int_range (failover->random, (gint32) (step_ms / BACKOFF_LEAST_PART),
                                      (gint32) step_ms + 1);

  enter (failover, FAILOVER_BACKOFF,
         now_ms + wait_ms + failover->rank * failover->options.rank_delay_ms);
}

/*
 * A replica of the greatest term that still hears its primary speaks against a failover:
 * only this host is cut off. One of a lower term hears a primary that is being replaced.
 */
static bool
replicas_corroborate (const Failover *failover, int64_t now_ms)
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
 * A primary that its replicas have lost can't gather a majority, whoever else still reaches
 * it. Replicas are asked, never the primary itself.
 */
static bool
replicas_lost_primary (const Failover *failover, int32_t primary, int64_t now_ms)
{
  int64_t patience_ms
      = failover->options.suspect_after_ms + failover->rank * failover->options.rank_delay_ms;
  uint64_t term = failover->status[primary].term;
  uint32_t count = 0;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    {
      const InstanceStatus *status = &failover->status[i];

      if ((int32_t) i == primary || !failover_is_responding (failover, i, now_ms)
          || status->term != term)
        continue;
      if (status->role == ROLE_REPLICA && status->heard_primary_ms >= patience_ms)
        count++;
    }
  return count >= majority (failover);
}

/* Without a primary of the greatest term another decider may be at work: it is given time. */
static bool
primary_lost (Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);
  int64_t rank_wait_ms = failover->rank * failover->options.rank_delay_ms;

  if (primary >= 0)
    {
      failover->headless_since_ms = 0;
      if (replicas_lost_primary (failover, primary, now_ms))
        return true;
      return now_ms - failover->status[primary].answered_ms
             >= failover->options.suspect_after_ms + rank_wait_ms;
    }
  if (failover->headless_since_ms == 0)
    failover->headless_since_ms = now_ms;
  return now_ms - failover->headless_since_ms >= failover->options.step_timeout_ms + rank_wait_ms;
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
      // A primary cut off from the others must not win by what only it has.
      if (lost && (int32_t) i == primary)
        continue;
      if (failover_is_responding (failover, i, now_ms))
        push_order (failover, FAILOVER_ADVANCE_TERM, i);
    }
  enter (failover, FAILOVER_ADVANCING, now_ms + failover->options.step_timeout_ms);
}

/* An instance that is not where the current primary would have it is told to follow. */
static void
order_rejoins (Failover *failover, int32_t primary, int64_t now_ms)
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
      failover->winner = (uint32_t) primary;
      push_order (failover, FAILOVER_FOLLOW, i);
    }
}

static bool
someone_can_take_over (const Failover *failover, int32_t primary, int64_t now_ms)
{
  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if ((int32_t) i != primary && !failover->leaving[i]
        && failover_is_responding (failover, i, now_ms))
      return true;
  return false;
}

static void
watch (Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);

  if (primary_lost (failover, now_ms))
    {
      if (failover_majority_is_responding (failover, now_ms)
          && replicas_corroborate (failover, now_ms))
        start_advance (failover, now_ms);
      return;
    }
  if (primary < 0)
    return;
  order_rejoins (failover, primary, now_ms);
  if (failover->leaving[primary] && failover->rank == 0 && now_ms >= failover->hold_again_ms
      && failover_majority_is_responding (failover, now_ms)
      && someone_can_take_over (failover, primary, now_ms))
    enter (failover, FAILOVER_HOLDING, now_ms + HOLD_STEPS * failover->options.step_timeout_ms);
}

static bool
replica_caught_up (const Failover *failover, int32_t primary, int64_t now_ms)
{
  const InstanceStatus *leader = &failover->status[primary];

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    {
      const InstanceStatus *status = &failover->status[i];

      if ((int32_t) i == primary || failover->leaving[i]
          || !failover_is_responding (failover, i, now_ms))
        continue;
      if (session_token_covers (status->received, leader->received)
          && status->answered_ms >= leader->answered_ms)
        return true;
    }
  return false;
}

static void
hold (Failover *failover, int64_t now_ms)
{
  int32_t primary = failover_primary (failover);

  if (primary < 0 || !failover->leaving[primary] || now_ms >= failover->phase_ends_ms)
    {
      failover->hold_again_ms = now_ms + HOLD_STEPS * failover->options.step_timeout_ms;
      enter (failover, FAILOVER_MONITORING, 0);
      return;
    }
  // Transactions still open past half of the time are rolled back by the change.
  if (failover->busy
      && now_ms < failover->phase_ends_ms - HOLD_STEPS / 2 * failover->options.step_timeout_ms)
    return;
  if (replica_caught_up (failover, primary, now_ms))
    start_advance (failover, now_ms);
}

static uint32_t
advanced_count (const Failover *failover)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if (failover->advanced[i])
      count++;
  return count;
}

/* Among equals one that is not leaving goes first. */
static bool
better_candidate (const Failover *failover, uint32_t a, uint32_t b)
{
  int order = session_token_compare (failover->status[a].received, failover->status[b].received);

  if (order != 0)
    return order > 0;
  return failover->leaving[b] && !failover->leaving[a];
}

static void
start_promote (Failover *failover, int64_t now_ms)
{
  int32_t winner = -1;

  for (uint32_t i = 0; i < failover->options.instance_count; i++)
    if (failover->advanced[i] && (winner < 0 || better_candidate (failover, i, (uint32_t) winner)))
      winner = (int32_t) i;
  failover->winner = (uint32_t) winner;
  push_order (failover, FAILOVER_PROMOTE, failover->winner);
  enter (failover, FAILOVER_PROMOTING, now_ms + failover->options.step_timeout_ms);
}

static bool
orders_pending (const Failover *failover, int64_t now_ms)
{
  return now_ms < failover->phase_ends_ms;
}

void
failover_tick (Failover *failover, int64_t now_ms)
{
  switch (failover->phase)
    {
    case FAILOVER_MONITORING:
      watch (failover, now_ms);
      return;
    case FAILOVER_HOLDING:
      hold (failover, now_ms);
      return;
    case FAILOVER_ADVANCING:
      if (advanced_count (failover) >= majority (failover))
        start_promote (failover, now_ms);
      else if (!orders_pending (failover, now_ms))
        back_off (failover, now_ms);
      return;
    case FAILOVER_PROMOTING:
      if (!orders_pending (failover, now_ms))
        back_off (failover, now_ms);
      return;
    case FAILOVER_BACKOFF:
      if (now_ms >= failover->phase_ends_ms)
        enter (failover, FAILOVER_MONITORING, 0);
      return;
    }
}

void
failover_command_done (Failover *failover, const FailoverCommand *order, bool accepted,
                       int64_t now_ms)
{
  if (order->term != failover->term)
    return;
  if (order->kind == FAILOVER_ADVANCE_TERM && failover->phase == FAILOVER_ADVANCING)
    {
      failover->advanced[order->instance] = accepted;
      return;
    }
  if (order->kind != FAILOVER_PROMOTE || failover->phase != FAILOVER_PROMOTING)
    return;
  if (!accepted)
    {
      back_off (failover, now_ms);
      return;
    }
  failover->status[order->instance].role = ROLE_PRIMARY;
  failover->status[order->instance].term = order->term;
  failover->status[order->instance].answered_ms = now_ms;
  enter (failover, FAILOVER_MONITORING, 0);
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
