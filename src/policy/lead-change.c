#include "policy/lead-change.h"

#include <glib.h>

#include "policy/lead-members.h"

/* Extra wait for each host that would make the change before this one. */
#define RANK_DELAY_MS 350
/* A host that knows of no primary looks for one after this time. */
#define UNKNOWN_DELAY_MS 800
/* After a change that came to nothing the host waits before it looks again. */
#define BACKOFF_MS 400
/* A host that does not reach enough instances lets others try for this time. */
#define UNABLE_BACKOFF_MS 2500
/* A change that can't be completed is undone after this time. */
#define WAIT_LIMIT_MS 8000
/* Silent instances are asked again at this pace while a change waits. */
#define ASK_INTERVAL_MS 250
/* A primary that has stepped down waits this long for a replica to catch up. */
#define CATCH_UP_LIMIT_MS 2000
/* A replica that catches up is asked this often: each time costs a statement. */
#define CATCH_UP_POLL_MS 30
/* The new primary is asked this often whether it leads; it takes some hundred ms. */
#define CONFIRM_POLL_MS 50
/* A promotion that is not seen after this time is taken for failed. */
#define CONFIRM_LIMIT_MS 2500
/* What an instance reported counts for a promotion for this time: the host may have been
 * suspended since, and another may have made a change. */
#define FRESH_MS 250
/* A pause made by an unknown host is respected for this time. */
#define FOREIGN_PAUSE_MS 2000

struct PrimaryChange
{
  PrimaryChangeOptions options;
  PrimaryChangePhase phase;
  ChangeMembers members;
  int64_t reason_ms;
  int64_t phase_ms;
  int64_t started_ms;
  int64_t asked_ms;
  int64_t paused_ms;
  int64_t backoff_until_ms;
  uint64_t foreign_pause;
  int64_t foreign_pause_ms;
  bool stuck; /* the primary answers; it was stuck when the change began */
  bool announced;
  bool promote_again;
  uint64_t fence;
  uint64_t term;
  uint32_t old_primary;
  uint32_t candidate;
  PrimaryChangeAction *actions;
  uint32_t action_count;
};

const char *
primary_change_phase_name (PrimaryChangePhase phase)
{
  static const char *const names[PRIMARY_CHANGE_PHASE_COUNT] = {
    [PRIMARY_CHANGE_IDLE] = "idle",
    [PRIMARY_CHANGE_QUERYING] = "looking",
    [PRIMARY_CHANGE_STEPPING_DOWN] = "stepping_down",
    [PRIMARY_CHANGE_CATCHING_UP] = "catching_up",
    [PRIMARY_CHANGE_PAUSING] = "pausing",
    [PRIMARY_CHANGE_WAITING] = "waiting",
    [PRIMARY_CHANGE_PROMOTING] = "promoting",
    [PRIMARY_CHANGE_CONFIRMING] = "confirming",
  };

  return names[phase];
}

PrimaryChange *
primary_change_new (const PrimaryChangeOptions *options)
{
  PrimaryChange *change = g_new0 (PrimaryChange, 1);

  change->options = *options;
  change_members_init (&change->members);
  return change;
}

void
primary_change_free (PrimaryChange *change)
{
  g_free (change);
}

/* Numbers rise with the term, then with each attempt in it, and differ between hosts. */
static uint64_t
make_fence (uint64_t term, uint64_t attempt, uint16_t host_number)
{
  return term << 32 | (attempt & 0xffff) << 16 | host_number;
}

uint64_t
primary_change_fencing_token_term (uint64_t fence)
{
  return fence >> 32;
}

static uint64_t
fence_attempt (uint64_t fence)
{
  return fence >> 16 & 0xffff;
}

void
primary_change_set_member (PrimaryChange *change, uint32_t key, bool listed, bool leaving)
{
  change_members_set (&change->members, key, listed, leaving);
}

uint32_t
primary_change_members (const PrimaryChange *change, uint32_t *keys)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    keys[i] = change->members.items[i].key;
  return change->members.count;
}

void
primary_change_record_report (PrimaryChange *change, uint32_t key, const InstanceReport *report,
                              int64_t now_ms)
{
  change_members_record_report (&change->members, key, report, now_ms);
}

void
primary_change_record_timeout (PrimaryChange *change, uint32_t key)
{
  change_members_record_timeout (&change->members, key);
}

PrimaryChangePhase
primary_change_phase (const PrimaryChange *change)
{
  return change->phase;
}

uint64_t
primary_change_fencing_token (const PrimaryChange *change)
{
  return change->announced ? change->fence : 0;
}

static void
enter (PrimaryChange *change, PrimaryChangePhase phase, int64_t now_ms)
{
  change->phase = phase;
  change->phase_ms = now_ms;
}

static void
order (PrimaryChange *change, ChangeMember *member, InstanceCommand kind, int64_t now_ms)
{
  if (member->pending || change->action_count == PRIMARY_CHANGE_ACTIONS_MAX)
    return;
  member->pending = kind != INSTANCE_COMMAND_RESUME;
  member->responded = false;
  change->asked_ms = now_ms;
  change->actions[change->action_count++] = (PrimaryChangeAction){
    .kind = PRIMARY_CHANGE_COMMAND,
    .member = member->key,
    .command = kind,
    .fencing_token = change->fence,
  };
}

static void
ask_all (PrimaryChange *change, int64_t now_ms)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    order (change, &change->members.items[i], INSTANCE_COMMAND_STATUS, now_ms);
}

/* Ends the change. With @resume the replicas follow their primary again. */
static void
end_change (PrimaryChange *change, bool resume, int64_t now_ms)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      ChangeMember *member = &change->members.items[i];

      if (resume && (member->paused || (member->responded && member->report.pause_token != 0)))
        {
          member->pending = false;
          order (change, member, INSTANCE_COMMAND_RESUME, now_ms);
        }
      member->paused = false;
    }
  change->announced = false;
  change->reason_ms = 0;
  change->backoff_until_ms = now_ms + BACKOFF_MS + (change->options.host_number * 37) % BACKOFF_MS;
  enter (change, PRIMARY_CHANGE_IDLE, now_ms);
}

static void
start_looking (PrimaryChange *change, int64_t now_ms)
{
  enter (change, PRIMARY_CHANGE_QUERYING, now_ms);
  for (uint32_t i = 0; i < change->members.count; i++)
    change->members.items[i].unresponsive = false;
  ask_all (change, now_ms);
}

static bool
has_reason (const PrimaryChangeInput *situation)
{
  if (situation->primary == 0 || situation->leaving)
    return true;
  return situation->votes > 0 && situation->votes * 2 >= situation->hosts;
}

static void
step_idle (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const int64_t now_ms = situation->now_ms;
  int64_t delay_ms;

  if (!has_reason (situation) || change->members.count == 0)
    {
      change->reason_ms = 0;
      return;
    }
  if (change->reason_ms == 0)
    change->reason_ms = now_ms;
  delay_ms = (int64_t) situation->rank * RANK_DELAY_MS;
  if (situation->primary == 0)
    delay_ms += UNKNOWN_DELAY_MS;
  if (situation->peer_fencing_token != 0 || now_ms < change->backoff_until_ms
      || now_ms - change->reason_ms < delay_ms)
    return;
  change->started_ms = now_ms;
  change->old_primary = situation->primary;
  change->stuck = situation->commits_stalled;
  start_looking (change, now_ms);
}

/* A pause that this host did not make: its maker may be at work, unless it stays for long. */
static bool
is_paused_by_other (PrimaryChange *change, int64_t now_ms)
{
  const uint64_t held = change_members_highest_pause_token (&change->members);

  if (held == 0 || held == change->fence)
    return false;
  if (held != change->foreign_pause)
    {
      change->foreign_pause = held;
      change->foreign_pause_ms = now_ms;
    }
  return now_ms - change->foreign_pause_ms < FOREIGN_PAUSE_MS;
}

static void
choose_fence (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const uint64_t seen = MAX (
      MAX (situation->highest_fencing_token, change_members_highest_pause_token (&change->members)),
      change->fence);
  uint64_t attempt = 1;

  if (primary_change_fencing_token_term (seen) >= change->term + 1)
    attempt = fence_attempt (seen) + 1;
  change->fence = make_fence (change->term + 1, attempt, change->options.host_number);
  change->announced = true;
}

static void
start_pausing (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  enter (change, PRIMARY_CHANGE_PAUSING, situation->now_ms);
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      ChangeMember *member = &change->members.items[i];

      if (member->responded && !member->report.primary)
        order (change, member, INSTANCE_COMMAND_PAUSE, situation->now_ms);
    }
}

/* Some answering replica must hold every acknowledged commit, or the other hosts may tell what
 * was acknowledged, for which at least one replica must answer. */
static bool
enough_answer (const PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const uint32_t replicas = change_members_replica_count (&change->members);

  return replicas + situation->synchronous >= change->members.size
         || (replicas > 0 && situation->hosts > 1 && !change->stuck);
}

/* This host can't complete a change now: others may try. */
static void
give_up (PrimaryChange *change, int64_t now_ms)
{
  end_change (change, true, now_ms);
  change->backoff_until_ms = now_ms + UNABLE_BACKOFF_MS;
}

static void
step_looking (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const int64_t now_ms = situation->now_ms;
  const ChangeMember *leader;
  ChangeMember *primary;

  if (!change_members_all_done (&change->members))
    return;
  change->term = change_members_highest_term (&change->members, situation->term);
  leader = change_members_find_primary (&change->members, change->term);
  if (leader != NULL && (leader->key != change->old_primary || change->term > situation->term))
    {
      end_change (change, true, now_ms);
      return;
    }
  if (is_paused_by_other (change, now_ms))
    {
      if (now_ms - change->asked_ms >= ASK_INTERVAL_MS)
        ask_all (change, now_ms);
      return;
    }
  if (leader != NULL && situation->leaving && !change->stuck
      && !change_members_has_successor (&change->members))
    {
      // It leads on as long as it can: without it nobody would.
      give_up (change, now_ms);
      return;
    }
  if (leader != NULL && situation->leaving)
    {
      primary = change_members_find (&change->members, leader->key);
      choose_fence (change, situation);
      enter (change, PRIMARY_CHANGE_STEPPING_DOWN, now_ms);
      order (change, primary, INSTANCE_COMMAND_STEP_DOWN, now_ms);
      return;
    }
  if (leader != NULL && !change->stuck)
    {
      end_change (change, true, now_ms);
      return;
    }
  if (!enough_answer (change, situation))
    {
      give_up (change, now_ms);
      return;
    }
  choose_fence (change, situation);
  start_pausing (change, situation);
}

static void
start_promoting (PrimaryChange *change, const ChangeMember *candidate, int64_t now_ms)
{
  enter (change, PRIMARY_CHANGE_PROMOTING, now_ms);
  change->candidate = candidate->key;
  change->promote_again = false;
  change->actions[change->action_count++] = (PrimaryChangeAction){
    .kind = PRIMARY_CHANGE_PROMOTE,
    .member = candidate->key,
    .fencing_token = change->fence,
  };
}

static void
step_stepping_down (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const ChangeMember *primary = change_members_find (&change->members, change->old_primary);

  if (!change_members_all_done (&change->members))
    return;
  if (primary != NULL && primary->responded && !primary->report.primary)
    {
      enter (change, PRIMARY_CHANGE_CATCHING_UP, situation->now_ms);
      return;
    }
  // It may have stepped down or not: the replicas decide, as when it is lost.
  start_pausing (change, situation);
}

static void
step_catching_up (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const int64_t now_ms = situation->now_ms;
  const ChangeMember *best;

  if (!change_members_responsive_done (&change->members))
    return;
  if (change_members_highest_pause_token (&change->members) != 0
      || change_members_find_primary (&change->members, change->term + 1) != NULL)
    {
      end_change (change, false, now_ms);
      return;
    }
  best = change_members_most_advanced (&change->members, false);
  if (best != NULL && best->key == change->old_primary
      && now_ms - change->phase_ms < CATCH_UP_LIMIT_MS)
    {
      if (now_ms - change->asked_ms >= CATCH_UP_POLL_MS)
        ask_all (change, now_ms);
      return;
    }
  if (best == NULL || !situation->all_acknowledged)
    {
      // Hosts that did not say so may still rely on the primary: pause, and wait for them.
      if (best == NULL || now_ms - change->phase_ms >= ASK_INTERVAL_MS)
        start_pausing (change, situation);
      return;
    }
  if (now_ms - best->report_ms > FRESH_MS)
    ask_all (change, now_ms);
  else
    start_promoting (change, best, now_ms);
}

static void
step_pausing (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  if (!change_members_all_done (&change->members))
    return;
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      ChangeMember *member = &change->members.items[i];

      member->paused = member->responded && member->report.pause_token == change->fence;
    }
  change->paused_ms = situation->now_ms;
  enter (change, PRIMARY_CHANGE_WAITING, situation->now_ms);
}

/* Whether some paused log must hold every commit that was ever acknowledged. */
static bool
logs_suffice (const PrimaryChange *change, const PrimaryChangeInput *situation,
              const ChangeMember *best)
{
  if (change_members_paused_count (&change->members) + situation->synchronous
      >= change->members.size)
    return true;
  return situation->all_acknowledged && situation->all_know_position
         && session_token_compare (best->report.received, situation->committed) >= 0;
}

static void
step_waiting (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const int64_t now_ms = situation->now_ms;
  const ChangeMember *leader;
  const ChangeMember *best;

  if (!change_members_responsive_done (&change->members))
    return;
  if (change_members_is_pause_overridden (&change->members, change->fence))
    {
      end_change (change, false, now_ms);
      return;
    }
  leader = change_members_find_primary (&change->members, change->term);
  if ((leader != NULL && (!change->stuck || leader->report.term > change->term))
      || now_ms - change->started_ms > WAIT_LIMIT_MS)
    {
      end_change (change, true, now_ms);
      return;
    }
  best = change_members_most_advanced (&change->members, true);
  if (best == NULL || !logs_suffice (change, situation, best)
      || (!situation->all_acknowledged && now_ms - change->paused_ms < change->options.lease_ms))
    {
      if (now_ms - change->asked_ms < ASK_INTERVAL_MS)
        return;
      if (best == NULL || !logs_suffice (change, situation, best))
        {
          change->paused_ms = 0;
          start_looking (change, now_ms);
          return;
        }
      ask_all (change, now_ms);
      return;
    }
  if (now_ms - best->report_ms > FRESH_MS)
    ask_all (change, now_ms);
  else
    start_promoting (change, best, now_ms);
}

void
primary_change_promotion_ended (PrimaryChange *change, PromotionResult result, int64_t now_ms)
{
  if (change->phase != PRIMARY_CHANGE_PROMOTING)
    return;
  switch (result)
    {
    case PROMOTION_DONE:
    case PROMOTION_UNKNOWN:
      enter (change, PRIMARY_CHANGE_CONFIRMING, now_ms);
      return;
    case PROMOTION_REFUSED:
    case PROMOTION_INVALID:
      change->promote_again = true;
      change->phase_ms = now_ms;
      return;
    }
}

/* The call failed without effect: look again, under the same number. */
static void
step_promoting (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  if (!change->promote_again || situation->now_ms - change->phase_ms < CONFIRM_POLL_MS)
    return;
  change->promote_again = false;
  start_looking (change, situation->now_ms);
}

static void
step_confirming (PrimaryChange *change, const PrimaryChangeInput *situation)
{
  const int64_t now_ms = situation->now_ms;
  ChangeMember *candidate = change_members_find (&change->members, change->candidate);

  if (candidate != NULL && candidate->responded && candidate->report.primary
      && candidate->report.term > change->term)
    {
      end_change (change, true, now_ms);
      return;
    }
  if (candidate == NULL || now_ms - change->phase_ms > CONFIRM_LIMIT_MS)
    {
      start_looking (change, now_ms);
      return;
    }
  if (now_ms - change->asked_ms >= CONFIRM_POLL_MS)
    order (change, candidate, INSTANCE_COMMAND_STATUS, now_ms);
}

/* Of two hosts that make a change at once the one with the greater number goes on. */
static bool
gives_way (const PrimaryChange *change, const PrimaryChangeInput *situation)
{
  switch (change->phase)
    {
    case PRIMARY_CHANGE_QUERYING:
      return situation->peer_fencing_token != 0;
    case PRIMARY_CHANGE_STEPPING_DOWN:
    case PRIMARY_CHANGE_CATCHING_UP:
    case PRIMARY_CHANGE_PAUSING:
    case PRIMARY_CHANGE_WAITING:
      return situation->peer_fencing_token > change->fence;
    default:
      return false;
    }
}

uint32_t
primary_change_step (PrimaryChange *change, const PrimaryChangeInput *situation,
                     PrimaryChangeAction *actions)
{
  change->actions = actions;
  change->action_count = 0;
  if (gives_way (change, situation))
    {
      // Its pauses must stand, so nothing is resumed.
      end_change (change, false, situation->now_ms);
      return 0;
    }
  switch (change->phase)
    {
    case PRIMARY_CHANGE_IDLE:
      step_idle (change, situation);
      break;
    case PRIMARY_CHANGE_QUERYING:
      step_looking (change, situation);
      break;
    case PRIMARY_CHANGE_STEPPING_DOWN:
      step_stepping_down (change, situation);
      break;
    case PRIMARY_CHANGE_CATCHING_UP:
      step_catching_up (change, situation);
      break;
    case PRIMARY_CHANGE_PAUSING:
      step_pausing (change, situation);
      break;
    case PRIMARY_CHANGE_WAITING:
      step_waiting (change, situation);
      break;
    case PRIMARY_CHANGE_PROMOTING:
      step_promoting (change, situation);
      break;
    case PRIMARY_CHANGE_CONFIRMING:
      step_confirming (change, situation);
      break;
    case PRIMARY_CHANGE_PHASE_COUNT:
      break;
    }
  return change->action_count;
}
