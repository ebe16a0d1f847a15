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

struct LeadChange
{
  LeadOptions options;
  LeadPhase phase;
  LeadMembers members;
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
  LeadAction *actions;
  uint32_t action_count;
};

const char *
lead_phase_name (LeadPhase phase)
{
  static const char *const names[LEAD_PHASE_COUNT] = {
    [LEAD_IDLE] = "idle",
    [LEAD_LOOKING] = "looking",
    [LEAD_STEPPING_DOWN] = "stepping_down",
    [LEAD_CATCHING_UP] = "catching_up",
    [LEAD_PAUSING] = "pausing",
    [LEAD_WAITING] = "waiting",
    [LEAD_PROMOTING] = "promoting",
    [LEAD_CONFIRMING] = "confirming",
  };

  return names[phase];
}

LeadChange *
lead_change_new (const LeadOptions *options)
{
  LeadChange *change = g_new0 (LeadChange, 1);

  change->options = *options;
  lead_members_init (&change->members);
  return change;
}

void
lead_change_free (LeadChange *change)
{
  g_free (change);
}

/* Numbers rise with the term, then with each attempt in it, and differ between hosts. */
static uint64_t
make_fence (uint64_t term, uint64_t attempt, uint16_t host_bits)
{
  return term << 32 | (attempt & 0xffff) << 16 | host_bits;
}

uint64_t
lead_change_fence_term (uint64_t fence)
{
  return fence >> 32;
}

static uint64_t
fence_attempt (uint64_t fence)
{
  return fence >> 16 & 0xffff;
}

void
lead_change_set_member (LeadChange *change, uint32_t key, bool listed, bool leaving)
{
  lead_members_set (&change->members, key, listed, leaving);
}

uint32_t
lead_change_members (const LeadChange *change, uint32_t *keys)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    keys[i] = change->members.items[i].key;
  return change->members.count;
}

void
lead_change_report (LeadChange *change, uint32_t key, const InstanceReport *report, int64_t now_ms)
{
  lead_members_report (&change->members, key, report, now_ms);
}

void
lead_change_unanswered (LeadChange *change, uint32_t key)
{
  lead_members_unanswered (&change->members, key);
}

LeadPhase
lead_change_phase (const LeadChange *change)
{
  return change->phase;
}

uint64_t
lead_change_fence (const LeadChange *change)
{
  return change->announced ? change->fence : 0;
}

static void
enter (LeadChange *change, LeadPhase phase, int64_t now_ms)
{
  change->phase = phase;
  change->phase_ms = now_ms;
}

static void
order (LeadChange *change, LeadMember *member, OrderKind kind, int64_t now_ms)
{
  if (member->asked || change->action_count == LEAD_ACTIONS_MAX)
    return;
  member->asked = kind != ORDER_RESUME;
  member->answered = false;
  change->asked_ms = now_ms;
  change->actions[change->action_count++] = (LeadAction){
    .kind = LEAD_ACTION_ORDER,
    .member = member->key,
    .order = kind,
    .fence = change->fence,
  };
}

static void
ask_all (LeadChange *change, int64_t now_ms)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    order (change, &change->members.items[i], ORDER_STATUS, now_ms);
}

/* Ends the change. With @resume the replicas follow their primary again. */
static void
end_change (LeadChange *change, bool resume, int64_t now_ms)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      LeadMember *member = &change->members.items[i];

      if (resume && (member->paused || (member->answered && member->report.held_term != 0)))
        {
          member->asked = false;
          order (change, member, ORDER_RESUME, now_ms);
        }
      member->paused = false;
    }
  change->announced = false;
  change->reason_ms = 0;
  change->backoff_until_ms = now_ms + BACKOFF_MS + (change->options.host_bits * 37) % BACKOFF_MS;
  enter (change, LEAD_IDLE, now_ms);
}

static void
start_looking (LeadChange *change, int64_t now_ms)
{
  enter (change, LEAD_LOOKING, now_ms);
  for (uint32_t i = 0; i < change->members.count; i++)
    change->members.items[i].silent = false;
  ask_all (change, now_ms);
}

static bool
has_reason (const LeadSituation *situation)
{
  if (situation->primary == 0 || situation->leaving)
    return true;
  return situation->votes > 0 && situation->votes * 2 >= situation->hosts;
}

static void
step_idle (LeadChange *change, const LeadSituation *situation)
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
  if (situation->foreign_fence != 0 || now_ms < change->backoff_until_ms
      || now_ms - change->reason_ms < delay_ms)
    return;
  change->started_ms = now_ms;
  change->old_primary = situation->primary;
  change->stuck = situation->stuck;
  start_looking (change, now_ms);
}

/* A pause that this host did not make: its maker may be at work, unless it stays for long. */
static bool
is_paused_by_other (LeadChange *change, int64_t now_ms)
{
  const uint64_t held = lead_members_greatest_pause (&change->members);

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
choose_fence (LeadChange *change, const LeadSituation *situation)
{
  const uint64_t seen = MAX (
      MAX (situation->seen_fence, lead_members_greatest_pause (&change->members)), change->fence);
  uint64_t attempt = 1;

  if (lead_change_fence_term (seen) >= change->term + 1)
    attempt = fence_attempt (seen) + 1;
  change->fence = make_fence (change->term + 1, attempt, change->options.host_bits);
  change->announced = true;
}

static void
start_pausing (LeadChange *change, const LeadSituation *situation)
{
  enter (change, LEAD_PAUSING, situation->now_ms);
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      LeadMember *member = &change->members.items[i];

      if (member->answered && !member->report.primary)
        order (change, member, ORDER_PAUSE, situation->now_ms);
    }
}

/* Some answering replica must hold every acknowledged commit, or the other hosts may tell what
 * was acknowledged, for which at least one replica must answer. */
static bool
enough_answer (const LeadChange *change, const LeadSituation *situation)
{
  const uint32_t replicas = lead_members_replicas (&change->members);

  return replicas + situation->synchronous >= change->members.size
         || (replicas > 0 && situation->hosts > 1 && !change->stuck);
}

/* This host can't complete a change now: others may try. */
static void
give_up (LeadChange *change, int64_t now_ms)
{
  end_change (change, true, now_ms);
  change->backoff_until_ms = now_ms + UNABLE_BACKOFF_MS;
}

static void
step_looking (LeadChange *change, const LeadSituation *situation)
{
  const int64_t now_ms = situation->now_ms;
  const LeadMember *leader;
  LeadMember *primary;

  if (!lead_members_all_ended (&change->members))
    return;
  change->term = lead_members_greatest_term (&change->members, situation->term);
  leader = lead_members_leading (&change->members, change->term);
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
      && !lead_members_has_successor (&change->members))
    {
      // It leads on as long as it can: without it nobody would.
      give_up (change, now_ms);
      return;
    }
  if (leader != NULL && situation->leaving)
    {
      primary = lead_members_find (&change->members, leader->key);
      choose_fence (change, situation);
      enter (change, LEAD_STEPPING_DOWN, now_ms);
      order (change, primary, ORDER_STEP_DOWN, now_ms);
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
start_promoting (LeadChange *change, const LeadMember *candidate, int64_t now_ms)
{
  enter (change, LEAD_PROMOTING, now_ms);
  change->candidate = candidate->key;
  change->promote_again = false;
  change->actions[change->action_count++] = (LeadAction){
    .kind = LEAD_ACTION_PROMOTE,
    .member = candidate->key,
    .fence = change->fence,
  };
}

static void
step_stepping_down (LeadChange *change, const LeadSituation *situation)
{
  const LeadMember *primary = lead_members_find (&change->members, change->old_primary);

  if (!lead_members_all_ended (&change->members))
    return;
  if (primary != NULL && primary->answered && !primary->report.primary)
    {
      enter (change, LEAD_CATCHING_UP, situation->now_ms);
      return;
    }
  // It may have stepped down or not: the replicas decide, as when it is lost.
  start_pausing (change, situation);
}

static void
step_catching_up (LeadChange *change, const LeadSituation *situation)
{
  const int64_t now_ms = situation->now_ms;
  const LeadMember *best;

  if (!lead_members_heard_ended (&change->members))
    return;
  if (lead_members_greatest_pause (&change->members) != 0
      || lead_members_leading (&change->members, change->term + 1) != NULL)
    {
      end_change (change, false, now_ms);
      return;
    }
  best = lead_members_best (&change->members, false);
  if (best != NULL && best->key == change->old_primary
      && now_ms - change->phase_ms < CATCH_UP_LIMIT_MS)
    {
      if (now_ms - change->asked_ms >= CATCH_UP_POLL_MS)
        ask_all (change, now_ms);
      return;
    }
  if (best == NULL || !situation->all_obey)
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
step_pausing (LeadChange *change, const LeadSituation *situation)
{
  if (!lead_members_all_ended (&change->members))
    return;
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      LeadMember *member = &change->members.items[i];

      member->paused = member->answered && member->report.held_term == change->fence;
    }
  change->paused_ms = situation->now_ms;
  enter (change, LEAD_WAITING, situation->now_ms);
}

/* Whether some paused log must hold every commit that was ever acknowledged. */
static bool
logs_suffice (const LeadChange *change, const LeadSituation *situation, const LeadMember *best)
{
  if (lead_members_paused (&change->members) + situation->synchronous >= change->members.size)
    return true;
  return situation->all_obey && situation->all_tell
         && session_token_compare (best->report.received, situation->committed) >= 0;
}

static void
step_waiting (LeadChange *change, const LeadSituation *situation)
{
  const int64_t now_ms = situation->now_ms;
  const LeadMember *leader;
  const LeadMember *best;

  if (!lead_members_heard_ended (&change->members))
    return;
  if (lead_members_is_contested (&change->members, change->fence))
    {
      end_change (change, false, now_ms);
      return;
    }
  leader = lead_members_leading (&change->members, change->term);
  if ((leader != NULL && (!change->stuck || leader->report.term > change->term))
      || now_ms - change->started_ms > WAIT_LIMIT_MS)
    {
      end_change (change, true, now_ms);
      return;
    }
  best = lead_members_best (&change->members, true);
  if (best == NULL || !logs_suffice (change, situation, best)
      || (!situation->all_obey && now_ms - change->paused_ms < change->options.right_ms))
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
lead_change_promoted (LeadChange *change, LeadPromoted result, int64_t now_ms)
{
  if (change->phase != LEAD_PROMOTING)
    return;
  switch (result)
    {
    case LEAD_PROMOTED:
    case LEAD_PROMOTE_UNKNOWN:
      enter (change, LEAD_CONFIRMING, now_ms);
      return;
    case LEAD_PROMOTE_REFUSED:
    case LEAD_PROMOTE_INVALID:
      change->promote_again = true;
      change->phase_ms = now_ms;
      return;
    }
}

/* The call failed without effect: look again, under the same number. */
static void
step_promoting (LeadChange *change, const LeadSituation *situation)
{
  if (!change->promote_again || situation->now_ms - change->phase_ms < CONFIRM_POLL_MS)
    return;
  change->promote_again = false;
  start_looking (change, situation->now_ms);
}

static void
step_confirming (LeadChange *change, const LeadSituation *situation)
{
  const int64_t now_ms = situation->now_ms;
  LeadMember *candidate = lead_members_find (&change->members, change->candidate);

  if (candidate != NULL && candidate->answered && candidate->report.primary
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
    order (change, candidate, ORDER_STATUS, now_ms);
}

/* Of two hosts that make a change at once the one with the greater number goes on. */
static bool
gives_way (const LeadChange *change, const LeadSituation *situation)
{
  switch (change->phase)
    {
    case LEAD_LOOKING:
      return situation->foreign_fence != 0;
    case LEAD_STEPPING_DOWN:
    case LEAD_CATCHING_UP:
    case LEAD_PAUSING:
    case LEAD_WAITING:
      return situation->foreign_fence > change->fence;
    default:
      return false;
    }
}

uint32_t
lead_change_step (LeadChange *change, const LeadSituation *situation, LeadAction *actions)
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
    case LEAD_IDLE:
      step_idle (change, situation);
      break;
    case LEAD_LOOKING:
      step_looking (change, situation);
      break;
    case LEAD_STEPPING_DOWN:
      step_stepping_down (change, situation);
      break;
    case LEAD_CATCHING_UP:
      step_catching_up (change, situation);
      break;
    case LEAD_PAUSING:
      step_pausing (change, situation);
      break;
    case LEAD_WAITING:
      step_waiting (change, situation);
      break;
    case LEAD_PROMOTING:
      step_promoting (change, situation);
      break;
    case LEAD_CONFIRMING:
      step_confirming (change, situation);
      break;
    case LEAD_PHASE_COUNT:
      break;
    }
  return change->action_count;
}
