#include "policy/primary-change.h"

#include <glib.h>

#include "policy/change-members.h"

/* Minimum size of a group, listed or not: a list may lack an instance that holds commits. */
#define MIN_GROUP_SIZE 3
/* Delay per rank, that is per host that would make the change before this one. */
#define RANK_DELAY_MS 350
/* Delay before a host that knows no primary starts a change. */
#define NO_PRIMARY_DELAY_MS 800
/* Backoff after a change that ended. */
#define BACKOFF_MS 400
/* Backoff of a host that reaches too few instances, so that others may try. */
#define INCOMPLETE_BACKOFF_MS 2500
/* A change that is not complete after this time is undone. */
#define WAIT_LIMIT_MS 8000
/* Interval at which the instances are queried while a change waits. */
#define QUERY_INTERVAL_MS 250
/* How long a replica may take to catch up with a primary that has stepped down. */
#define CATCH_UP_LIMIT_MS 2000
/* Interval at which replicas that catch up are queried: each query costs a statement. */
#define CATCH_UP_POLL_MS 30
/* Interval at which the new primary is queried; a promotion takes some hundred ms. */
#define CONFIRM_POLL_MS 50
/* A promotion that is not confirmed after this time is considered failed. */
#define CONFIRM_LIMIT_MS 2500
/* A primary that does not answer the command to step down does so by itself about a second after it
 * reaches its successor. */
#define RETIRE_LIMIT_MS 950
/* The replicas resume after this time even if some host still relies on that primary. */
#define FOLLOW_LIMIT_MS 3000
/* A report is too old for a promotion after this time: this host may have been suspended since,
 * and another one may have changed the primary. */
#define REPORT_VALID_MS 250
/* A paused replica that holds every commit is waited for as long before other hosts may try. */
#define SUCCESSOR_LIMIT_MS 1500
/* A primary of the newest term that no list has named may live for this time, as other instances
 * may whose entries have expired. */
#define UNLISTED_PRIMARY_MS 30000
/* A pause of another host prevents a change for this time. */
#define OTHER_PAUSE_TIMEOUT_MS 2000

struct PrimaryChange
{
  PrimaryChangeOptions options;
  PrimaryChangePhase phase;
  ChangeMembers members;
  int64_t needed_since_ms;
  int64_t phase_ms;
  int64_t started_ms;
  int64_t last_command_ms;
  int64_t paused_ms;
  int64_t backoff_until_ms;
  uint64_t other_pause_token;
  int64_t other_pause_seen_ms;
  bool commits_stalled; /* the primary answered, but its commits stalled, when the change began */
  uint64_t abandoned_pause; /* the same for the pauses that no host would end; 0 for none */
  bool is_announced;
  bool promotion_failed;
  bool may_have_promoted; /* a promotion was requested and not refused, and is not confirmed */
  uint64_t fencing_token;
  uint64_t term;
  uint64_t observed_term; /* greatest one that an instance reports or a primary is relied on in */
  int64_t unlisted_primary_ms; /* since when no listed instance can lead in @term; 0 if one can */
  uint32_t old_primary;
  uint64_t old_term;             /* of @old_primary, as known when the change began */
  SessionToken stepped_down_log; /* end of the primary's log when it had stepped down */
  uint64_t promoted_term;        /* of the last promotion that was done; 0 for none */
  uint32_t promoted;             /* the instance that leads in it */
  uint32_t candidate;
  uint64_t candidate_term; /* its term before the promotion */
  PrimaryChangeBasis basis;
  PrimaryChangeAction *actions;
  uint32_t action_count;
};

const char *
primary_change_phase_name (PrimaryChangePhase phase)
{
  static const char *const names[PRIMARY_CHANGE_PHASE_COUNT] = {
    [PRIMARY_CHANGE_IDLE] = "idle",
    [PRIMARY_CHANGE_QUERYING] = "querying",
    [PRIMARY_CHANGE_STEPPING_DOWN] = "stepping_down",
    [PRIMARY_CHANGE_CATCHING_UP] = "catching_up",
    [PRIMARY_CHANGE_PAUSING] = "pausing",
    [PRIMARY_CHANGE_WAITING] = "waiting",
    [PRIMARY_CHANGE_PROMOTING] = "promoting",
    [PRIMARY_CHANGE_CONFIRMING] = "confirming",
    [PRIMARY_CHANGE_RETIRING] = "retiring",
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

/* Fencing tokens increase with the term, then with each attempt in it; two hosts never use the
 * same one. */
static uint64_t
make_fencing_token (uint64_t term, uint64_t attempt, uint16_t host_number)
{
  return term << 32 | (attempt & 0xffff) << 16 | host_number;
}

uint64_t
primary_change_fencing_token_term (uint64_t fencing_token)
{
  return fencing_token >> 32;
}

static uint64_t
fencing_token_attempt (uint64_t fencing_token)
{
  return fencing_token >> 16 & 0xffff;
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

const ChangeMembers *
primary_change_member_states (const PrimaryChange *change)
{
  return &change->members;
}

const PrimaryChangeBasis *
primary_change_basis (const PrimaryChange *change)
{
  return &change->basis;
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

void
primary_change_record_down (PrimaryChange *change, uint32_t key)
{
  change_members_record_down (&change->members, key);
}

PrimaryChangePhase
primary_change_phase (const PrimaryChange *change)
{
  return change->phase;
}

uint64_t
primary_change_promoted_term (const PrimaryChange *change)
{
  return change->promoted_term;
}

uint64_t
primary_change_fencing_token (const PrimaryChange *change)
{
  return change->is_announced ? change->fencing_token : 0;
}

static void
enter_phase (PrimaryChange *change, PrimaryChangePhase phase, int64_t now_ms)
{
  change->phase = phase;
  change->phase_ms = now_ms;
}

static void
send_command (PrimaryChange *change, ChangeMember *member, InstanceCommand kind, int64_t now_ms)
{
  if (member->pending || change->action_count == PRIMARY_CHANGE_ACTIONS_MAX)
    return;
  member->pending = kind != INSTANCE_COMMAND_RESUME;
  member->responded = false;
  change->last_command_ms = now_ms;
  change->actions[change->action_count++] = (PrimaryChangeAction){
    .kind = PRIMARY_CHANGE_COMMAND,
    .member = member->key,
    .command = kind,
    .fencing_token = change->fencing_token,
  };
}

static void
query_all (PrimaryChange *change, int64_t now_ms)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    send_command (change, &change->members.items[i], INSTANCE_COMMAND_STATUS, now_ms);
}

/* Whether the pause of @member can end: a primary of the term that it was made for leads (or of a
 * later one, up to @leading_term), or no instance can have been promoted under it. For the pause of
 * another host only the answers of @all_responded instances show that. */
static bool
may_resume (const PrimaryChange *change, const ChangeMember *member, uint64_t leading_term,
            bool all_responded)
{
  const uint64_t token = member->paused ? change->fencing_token : member->report.pause_token;

  if (primary_change_fencing_token_term (token) <= leading_term)
    return true;
  return !change->may_have_promoted && (member->paused || all_responded);
}

/* Ends the change, with a backoff that differs between hosts. With @resume the paused replicas
 * replicate again. */
static void
end_change (PrimaryChange *change, bool resume, int64_t now_ms)
{
  const ChangeMember *primary = change_members_find_primary (&change->members, 0);
  const uint64_t leading_term = primary == NULL ? 0 : primary->report.term;
  const bool all_responded = change_members_all_responded (&change->members);

  for (uint32_t i = 0; i < change->members.count; i++)
    {
      ChangeMember *member = &change->members.items[i];

      if (resume && (member->paused || (member->responded && member->report.pause_token != 0))
          && may_resume (change, member, leading_term, all_responded))
        {
          member->pending = false;
          send_command (change, member, INSTANCE_COMMAND_RESUME, now_ms);
        }
      member->paused = false;
    }
  change->is_announced = false;
  change->needed_since_ms = 0;
  change->backoff_until_ms = now_ms + BACKOFF_MS + (change->options.host_number * 37) % BACKOFF_MS;
  enter_phase (change, PRIMARY_CHANGE_IDLE, now_ms);
}

static void
start_querying (PrimaryChange *change, int64_t now_ms)
{
  enter_phase (change, PRIMARY_CHANGE_QUERYING, now_ms);
  for (uint32_t i = 0; i < change->members.count; i++)
    change->members.items[i].unresponsive = false;
  query_all (change, now_ms);
}

static bool
is_needed (const PrimaryChangeInput *input)
{
  if (input->primary == 0 || input->leaving)
    return true;
  return input->votes > 0 && input->votes * 2 >= input->hosts;
}

static void
step_idle (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const int64_t now_ms = input->now_ms;
  int64_t delay_ms;

  if ((!is_needed (input) && input->abandoned_pause == 0) || change->members.count == 0)
    {
      change->needed_since_ms = 0;
      return;
    }
  if (change->needed_since_ms == 0)
    change->needed_since_ms = now_ms;
  delay_ms = (int64_t) input->rank * RANK_DELAY_MS;
  if (input->primary == 0)
    delay_ms += NO_PRIMARY_DELAY_MS;
  if (input->peer_fencing_token != 0 || now_ms < change->backoff_until_ms
      || now_ms - change->needed_since_ms < delay_ms)
    return;
  change->started_ms = now_ms;
  change->old_primary = input->primary;
  change->old_term = input->term;
  change->commits_stalled = input->commits_stalled;
  change->abandoned_pause = input->abandoned_pause;
  change->may_have_promoted = false;
  start_querying (change, now_ms);
}

/* A pause by another host, whose change may be in progress unless the pause lasts for long. */
static bool
is_paused_by_other (PrimaryChange *change, int64_t now_ms)
{
  const uint64_t token = change_members_highest_pause_token (&change->members);

  if (token <= change->abandoned_pause || token == change->fencing_token)
    return false;
  if (token != change->other_pause_token)
    {
      change->other_pause_token = token;
      change->other_pause_seen_ms = now_ms;
    }
  return now_ms - change->other_pause_seen_ms < OTHER_PAUSE_TIMEOUT_MS;
}

static void
choose_fencing_token (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const uint64_t seen = MAX (
      MAX (input->highest_fencing_token, change_members_highest_pause_token (&change->members)),
      change->fencing_token);
  uint64_t attempt = 1;

  if (primary_change_fencing_token_term (seen) >= change->term + 1)
    attempt = fencing_token_attempt (seen) + 1;
  change->fencing_token
      = make_fencing_token (change->term + 1, attempt, change->options.host_number);
  change->is_announced = true;
}

static void
start_pausing (PrimaryChange *change, const PrimaryChangeInput *input)
{
  enter_phase (change, PRIMARY_CHANGE_PAUSING, input->now_ms);
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      ChangeMember *member = &change->members.items[i];

      if (member->responded && !member->report.primary)
        send_command (change, member, INSTANCE_COMMAND_PAUSE, input->now_ms);
    }
}

static bool
is_known (const ChangeMember *member)
{
  return member->responded || member->paused;
}

/* Whether the newest term is led by an instance that this host does not list: none that it lists
 * can, as all have answered but the primary of a lesser term. In a term that this host's promotion
 * began only the promoted instance can. */
static bool
is_primary_unlisted (PrimaryChange *change, const PrimaryChangeInput *input)
{
  if (input->primary == 0 || change->term <= input->term)
    return false;
  if (change->term == change->promoted_term)
    return change_members_find (&change->members, change->promoted) == NULL;
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      const ChangeMember *member = &change->members.items[i];

      if (member->key != input->primary
          && (!is_known (member)
              || (member->report.primary && member->report.term == change->term)))
        return false;
    }
  return true;
}

static uint32_t
group_size (const PrimaryChange *change, const PrimaryChangeInput *input)
{
  const bool unlisted = change->unlisted_primary_ms != 0
                        && input->now_ms - change->unlisted_primary_ms < UNLISTED_PRIMARY_MS;

  return MAX (MAX (input->log_holders, change->members.count + unlisted), MIN_GROUP_SIZE);
}

/* The primary of the newest term if it is a replica of that term now, and no instance is silent
 * that could lead in a greater one. It has stepped down, and its log has each acknowledged commit.
 */
static const ChangeMember *
find_stepped_down_primary (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const ChangeMember *primary = change_members_find (&change->members, input->primary);

  if (primary == NULL || input->term != change->term || primary->report.primary
      || primary->report.term != change->term)
    return NULL;
  for (uint32_t i = 0; i < change->members.count; i++)
    if (!is_known (&change->members.items[i]))
      return NULL;
  return primary;
}

/* The replicas that answered must include one with every acknowledged commit. Failing that, the
 * other hosts may report what was acknowledged, and one replica that answered is enough; so it is
 * while this host may still learn which logs count. */
static bool
has_enough_replicas (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const uint32_t replicas = change_members_replica_count (&change->members);

  if (find_stepped_down_primary (change, input) != NULL)
    return true;
  if (input->log_holders_known && replicas + input->synchronous >= group_size (change, input))
    return true;
  return replicas > 0 && (input->hosts > 1 || !input->log_holders_known)
         && !change->commits_stalled;
}

/* Whether a commit in the current term was acknowledged that is beyond @position. */
static bool
is_beyond (const PrimaryChange *change, const PrimaryChangeInput *input, SessionToken position)
{
  return input->acknowledged.term == change->term
         && session_token_compare (input->acknowledged, position) > 0;
}

/* Whether the primary, which answers, has acknowledged commits that no replica has which answers:
 * it has to stay until one has received them. */
static bool
is_primary_needed (const PrimaryChange *change, const PrimaryChangeInput *input)
{
  const ChangeMember *best = change_members_most_advanced (&change->members, false);

  return best == NULL || is_beyond (change, input, best->report.received);
}

/* This host can't complete a change now; others may try. */
static void
abandon_change (PrimaryChange *change, int64_t now_ms)
{
  end_change (change, true, now_ms);
  change->backoff_until_ms = now_ms + INCOMPLETE_BACKOFF_MS;
}

/* Greatest term that this host knows of. An attempt that follows a promotion without confirmation
 * leads to the same term as that. */
static uint64_t
known_term (const PrimaryChange *change, const PrimaryChangeInput *input)
{
  if (change->may_have_promoted && input->newest_term == change->promoted_term)
    return input->term;
  return MAX (input->term, input->newest_term);
}

/* A primary of a lesser term, which answers. Its log counts once it has become a replica. */
static ChangeMember *
find_superseded_primary (PrimaryChange *change)
{
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      ChangeMember *member = &change->members.items[i];

      if (member->responded && member->report.primary && member->report.term < change->term)
        return member;
    }
  return NULL;
}

static void
step_querying (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const int64_t now_ms = input->now_ms;
  const ChangeMember *reported_primary;
  ChangeMember *superseded;
  ChangeMember *primary;

  if (!change_members_all_done (&change->members))
    return;
  change->observed_term = change_members_highest_term (&change->members, input->term);
  change->term = MAX (change->observed_term, known_term (change, input));
  if (!is_primary_unlisted (change, input))
    change->unlisted_primary_ms = 0;
  else if (change->unlisted_primary_ms == 0)
    change->unlisted_primary_ms = now_ms;
  reported_primary = change_members_find_primary (&change->members, change->term);
  if (reported_primary != NULL
      && (reported_primary->key != change->old_primary || change->term > input->term))
    {
      end_change (change, true, now_ms);
      return;
    }
  if (change->abandoned_pause != 0 && !is_needed (input)
      && (reported_primary == NULL || !change_members_all_responded (&change->members)))
    {
      // An instance that does not answer may have been promoted by the host that paused the others.
      end_change (change, false, now_ms);
      return;
    }
  if (is_paused_by_other (change, now_ms))
    {
      if (now_ms - change->last_command_ms >= QUERY_INTERVAL_MS)
        query_all (change, now_ms);
      return;
    }
  superseded = find_superseded_primary (change);
  if (superseded != NULL && !change->is_announced)
    {
      choose_fencing_token (change, input);
      send_command (change, superseded, INSTANCE_COMMAND_STEP_DOWN, now_ms);
      return;
    }
  if (reported_primary != NULL && input->leaving && !change->commits_stalled
      && !change_members_has_successor (&change->members))
    {
      // It stays the primary as long as it can, because no other instance can take over.
      abandon_change (change, now_ms);
      return;
    }
  if (reported_primary != NULL && input->leaving)
    {
      primary = change_members_find (&change->members, reported_primary->key);
      choose_fencing_token (change, input);
      enter_phase (change, PRIMARY_CHANGE_STEPPING_DOWN, now_ms);
      send_command (change, primary, INSTANCE_COMMAND_STEP_DOWN, now_ms);
      return;
    }
  if (reported_primary != NULL && !change->commits_stalled && !change->may_have_promoted)
    {
      end_change (change, true, now_ms);
      return;
    }
  if (!has_enough_replicas (change, input)
      || (reported_primary != NULL && is_primary_needed (change, input)))
    {
      abandon_change (change, now_ms);
      return;
    }
  choose_fencing_token (change, input);
  start_pausing (change, input);
}

static void
start_promoting (PrimaryChange *change, const ChangeMember *candidate, int64_t now_ms)
{
  enter_phase (change, PRIMARY_CHANGE_PROMOTING, now_ms);
  change->candidate = candidate->key;
  change->candidate_term = candidate->report.term;
  change->promotion_failed = false;
  change->actions[change->action_count++] = (PrimaryChangeAction){
    .kind = PRIMARY_CHANGE_PROMOTE,
    .member = candidate->key,
    .fencing_token = change->fencing_token,
  };
}

static void
step_stepping_down (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const ChangeMember *primary = change_members_find (&change->members, change->old_primary);

  if (!change_members_all_done (&change->members))
    return;
  if (primary != NULL && primary->responded && !primary->report.primary)
    {
      change->stepped_down_log = primary->report.received;
      enter_phase (change, PRIMARY_CHANGE_CATCHING_UP, input->now_ms);
      return;
    }
  // Whether it stepped down is unknown: proceed as if the primary were lost.
  start_pausing (change, input);
}

static void
step_catching_up (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const int64_t now_ms = input->now_ms;
  const ChangeMember *best;
  bool is_complete;

  if (!change_members_responsive_done (&change->members))
    return;
  if (change_members_highest_pause_token (&change->members) != 0
      || change_members_find_primary (&change->members, change->term + 1) != NULL)
    {
      end_change (change, false, now_ms);
      return;
    }
  best = change_members_most_advanced (&change->members, false);
  // The old primary may have stopped answering since it stepped down.
  is_complete = best != NULL
                && session_token_compare (best->report.received, change->stepped_down_log) >= 0;
  if (best != NULL && (!is_complete || best->key == change->old_primary)
      && now_ms - change->phase_ms < CATCH_UP_LIMIT_MS)
    {
      if (now_ms - change->last_command_ms >= CATCH_UP_POLL_MS)
        query_all (change, now_ms);
      return;
    }
  if (!is_complete || !input->all_acknowledged)
    {
      // Hosts that have not acknowledged may still rely on the primary: pause the replicas and
      // wait.
      if (!is_complete || now_ms - change->phase_ms >= QUERY_INTERVAL_MS)
        start_pausing (change, input);
      return;
    }
  if (now_ms - best->report_ms > REPORT_VALID_MS)
    query_all (change, now_ms);
  else
    start_promoting (change, best, now_ms);
}

static void
step_pausing (PrimaryChange *change, const PrimaryChangeInput *input)
{
  if (!change_members_all_done (&change->members))
    return;
  for (uint32_t i = 0; i < change->members.count; i++)
    {
      ChangeMember *member = &change->members.items[i];

      member->paused = member->responded && member->report.pause_token == change->fencing_token;
    }
  change->paused_ms = input->now_ms;
  enter_phase (change, PRIMARY_CHANGE_WAITING, input->now_ms);
}

static void
lower_bound (SessionToken *bound, bool *known, SessionToken other)
{
  if (!*known || session_token_compare (other, *bound) < 0)
    *bound = other;
  *known = true;
}

/* Sets @bound so that no commit beyond it was acknowledged; false if that is not known. The hosts
 * know nothing of the commits of a term that they have not heard of. */
static bool
find_committed_bound (PrimaryChange *change, const PrimaryChangeInput *input, SessionToken *bound)
{
  PrimaryChangeBasis *basis = &change->basis;
  const ChangeMember *old_primary = find_stepped_down_primary (change, input);
  bool known;

  *basis = (PrimaryChangeBasis){
    .group_size = group_size (change, input),
    .paused = change_members_paused_count (&change->members),
    .hosts_known = input->all_acknowledged && input->committed_known && input->term == change->term,
  };
  // A commit beyond the logs' bound shows that a log is missing which this host does not know of.
  basis->logs_known = change_members_committed_bound (&change->members, basis->group_size,
                                                      input->synchronous, &basis->logs_bound)
                      && input->log_holders_known && !is_beyond (change, input, basis->logs_bound);
  *bound = basis->logs_bound;
  known = basis->logs_known;
  if (basis->hosts_known)
    lower_bound (bound, &known, input->committed);
  basis->old_primary_known = old_primary != NULL && old_primary->paused;
  if (basis->old_primary_known)
    lower_bound (bound, &known, old_primary->report.received);
  return known;
}

/* No replica can be promoted yet: queries the instances again, or gives up. */
static void
wait_for_successor (PrimaryChange *change, const PrimaryChangeInput *input,
                    const SessionToken *bound)
{
  const int64_t now_ms = input->now_ms;
  int64_t report_ms;

  if (now_ms - change->last_command_ms < QUERY_INTERVAL_MS)
    return;
  report_ms = bound == NULL ? 0 : change_members_latest_report_ms (&change->members, *bound);
  if (report_ms == 0)
    {
      change->paused_ms = 0;
      start_querying (change, now_ms);
      return;
    }
  // A paused replica holds every commit: it can't be replaced by one with a shorter log, but
  // another host may reach it.
  if (now_ms - report_ms > SUCCESSOR_LIMIT_MS)
    abandon_change (change, now_ms);
  else
    query_all (change, now_ms);
}

/* Whether it is better not to wait for a replica that has all commits up to @bound, %NULL if that
 * is unknown: because the primary answers, from which the replicas then receive what only it may
 * have, or because another host may know more. */
static bool
is_hopeless (const PrimaryChange *change, const PrimaryChangeInput *input,
             const SessionToken *bound, bool primary_answers)
{
  if (bound != NULL && change_members_latest_report_ms (&change->members, *bound) != 0)
    return false;
  if (primary_answers)
    return input->now_ms - change->paused_ms >= QUERY_INTERVAL_MS;
  return !input->log_holders_known && input->hosts > 1
         && input->now_ms - change->started_ms >= SUCCESSOR_LIMIT_MS;
}

static void
step_waiting (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const int64_t now_ms = input->now_ms;
  const ChangeMember *reported_primary;
  const ChangeMember *best;
  SessionToken bound;
  bool is_known;

  if (!change_members_responsive_done (&change->members))
    return;
  if (change_members_is_pause_overridden (&change->members, change->fencing_token))
    {
      end_change (change, false, now_ms);
      return;
    }
  reported_primary = change_members_find_primary (&change->members, change->term);
  if ((reported_primary != NULL
       && (reported_primary->report.term > change->term
           || (!change->commits_stalled && !change->may_have_promoted)))
      || now_ms - change->started_ms > WAIT_LIMIT_MS)
    {
      end_change (change, true, now_ms);
      return;
    }
  best = change_members_most_advanced (&change->members, true);
  is_known = find_committed_bound (change, input, &bound);
  if (best == NULL || !is_known || session_token_compare (best->report.received, bound) < 0)
    {
      if (is_hopeless (change, input, is_known ? &bound : NULL, reported_primary != NULL))
        {
          abandon_change (change, now_ms);
          return;
        }
      wait_for_successor (change, input, is_known ? &bound : NULL);
      return;
    }
  if (!input->all_acknowledged && now_ms - change->paused_ms < change->options.lease_ms)
    {
      if (now_ms - change->last_command_ms >= QUERY_INTERVAL_MS)
        query_all (change, now_ms);
      return;
    }
  if (now_ms - best->report_ms > REPORT_VALID_MS)
    query_all (change, now_ms);
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
      change->promoted_term = change->observed_term + 1;
      change->promoted = change->candidate;
      change->may_have_promoted = true;
      enter_phase (change, PRIMARY_CHANGE_CONFIRMING, now_ms);
      return;
    case PROMOTION_UNKNOWN:
      change->may_have_promoted = true;
      enter_phase (change, PRIMARY_CHANGE_CONFIRMING, now_ms);
      return;
    case PROMOTION_REFUSED:
    case PROMOTION_INVALID:
      change->promotion_failed = true;
      change->phase_ms = now_ms;
      return;
    }
}

/* The request had no effect: query again, while the announced fencing token stays in force. */
static void
step_promoting (PrimaryChange *change, const PrimaryChangeInput *input)
{
  if (!change->promotion_failed || input->now_ms - change->phase_ms < CONFIRM_POLL_MS)
    return;
  change->promotion_failed = false;
  start_querying (change, input->now_ms);
}

/* A resumed replica follows the primary that it knows until it learns of the new one. While the old
 * primary acts, commits there would end again, and hosts that have not heard of the change would
 * acknowledge them. */
static void
step_retiring (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const int64_t now_ms = input->now_ms;
  ChangeMember *old = change_members_find_unretired (&change->members, change->candidate);

  if (old == NULL || now_ms - change->phase_ms > FOLLOW_LIMIT_MS
      || (input->all_follow && now_ms - change->phase_ms > RETIRE_LIMIT_MS))
    {
      end_change (change, true, now_ms);
      return;
    }
  send_command (change, old, INSTANCE_COMMAND_STEP_DOWN, now_ms);
}

static void
step_confirming (PrimaryChange *change, const PrimaryChangeInput *input)
{
  const int64_t now_ms = input->now_ms;
  ChangeMember *candidate = change_members_find (&change->members, change->candidate);

  if (candidate != NULL && candidate->responded && candidate->report.primary
      && candidate->report.term > change->candidate_term)
    {
      change->may_have_promoted = false;
      enter_phase (change, PRIMARY_CHANGE_RETIRING, now_ms);
      // An instance that refused connections before the promotion may be back, as the old primary.
      change_members_forget_down (&change->members);
      step_retiring (change, input);
      return;
    }
  if (candidate == NULL || now_ms - change->phase_ms > CONFIRM_LIMIT_MS)
    {
      start_querying (change, now_ms);
      return;
    }
  if (now_ms - change->last_command_ms >= CONFIRM_POLL_MS)
    send_command (change, candidate, INSTANCE_COMMAND_STATUS, now_ms);
}

/* Of two hosts that make a change at once, the one with the greater fencing token proceeds. A host
 * that queries has not chosen the token of its attempt yet and yields to any other. */
static bool
must_yield (const PrimaryChange *change, const PrimaryChangeInput *input)
{
  switch (change->phase)
    {
    case PRIMARY_CHANGE_QUERYING:
      return input->peer_fencing_token != 0;
    case PRIMARY_CHANGE_STEPPING_DOWN:
    case PRIMARY_CHANGE_CATCHING_UP:
    case PRIMARY_CHANGE_PAUSING:
    case PRIMARY_CHANGE_WAITING:
      return input->peer_fencing_token > change->fencing_token;
    default:
      return false;
    }
}

/* Whether another host has changed the primary meanwhile. */
static bool
is_superseded (const PrimaryChange *change, const PrimaryChangeInput *input)
{
  switch (change->phase)
    {
    case PRIMARY_CHANGE_QUERYING:
    case PRIMARY_CHANGE_STEPPING_DOWN:
    case PRIMARY_CHANGE_CATCHING_UP:
    case PRIMARY_CHANGE_PAUSING:
    case PRIMARY_CHANGE_WAITING:
      return input->term > change->old_term && !change->may_have_promoted;
    default:
      return false;
    }
}

uint32_t
primary_change_step (PrimaryChange *change, const PrimaryChangeInput *input,
                     PrimaryChangeAction *actions)
{
  change->actions = actions;
  change->action_count = 0;
  if (must_yield (change, input) || is_superseded (change, input))
    {
      // The pauses stay in force for the other host, which ends them.
      end_change (change, false, input->now_ms);
      return 0;
    }
  switch (change->phase)
    {
    case PRIMARY_CHANGE_IDLE:
      step_idle (change, input);
      break;
    case PRIMARY_CHANGE_QUERYING:
      step_querying (change, input);
      break;
    case PRIMARY_CHANGE_STEPPING_DOWN:
      step_stepping_down (change, input);
      break;
    case PRIMARY_CHANGE_CATCHING_UP:
      step_catching_up (change, input);
      break;
    case PRIMARY_CHANGE_PAUSING:
      step_pausing (change, input);
      break;
    case PRIMARY_CHANGE_WAITING:
      step_waiting (change, input);
      break;
    case PRIMARY_CHANGE_PROMOTING:
      step_promoting (change, input);
      break;
    case PRIMARY_CHANGE_CONFIRMING:
      step_confirming (change, input);
      break;
    case PRIMARY_CHANGE_RETIRING:
      step_retiring (change, input);
      break;
    case PRIMARY_CHANGE_PHASE_COUNT:
      break;
    }
  return change->action_count;
}
