#include "policy/primary-lease.h"

#include <glib.h>

/* Minimum size of a group: a list with fewer instances lacks some. */
#define MIN_GROUP_SIZE 3
/* Longest time between two answers that show the same state without a gap, and from a question to
 * its answer. A change of primary takes longer. */
#define OBSERVATION_GAP_MS 250
/* Instances that answer have to agree for this time if others do not answer: a resumed replica has
 * learned of the new primary by then. */
#define OBSERVATION_MS 300

void
primary_lease_init (PrimaryLease *lease, int64_t lease_ms)
{
  *lease = (PrimaryLease){ .lease_ms = lease_ms };
}

static LeaseMember *
find_member (PrimaryLease *lease, uint32_t key)
{
  for (uint32_t i = 0; i < lease->member_count; i++)
    if (lease->members[i].key == key)
      return &lease->members[i];
  return NULL;
}

void
primary_lease_add_member (PrimaryLease *lease, uint32_t key)
{
  if (find_member (lease, key) == NULL && lease->member_count < LEASE_MEMBERS_MAX)
    lease->members[lease->member_count++] = (LeaseMember){ .key = key };
}

void
primary_lease_remove_member (PrimaryLease *lease, uint32_t key)
{
  LeaseMember *member = find_member (lease, key);

  if (member != NULL)
    *member = lease->members[--lease->member_count];
}

/* What the instances said before no longer counts. */
static void
forget_answers (PrimaryLease *lease)
{
  for (uint32_t i = 0; i < lease->member_count; i++)
    lease->members[i].asked_ms = 0;
  lease->confirmed_ms = lease->observed_since_ms = lease->observed_ms = 0;
}

void
primary_lease_set_primary (PrimaryLease *lease, uint32_t key, uint64_t term)
{
  if (lease->primary != key || lease->term != term)
    {
      forget_answers (lease);
      lease->void_ms = 0;
    }
  lease->primary = key;
  lease->term = term;
  primary_lease_hear_term (lease, term);
}

void
primary_lease_hear_term (PrimaryLease *lease, uint64_t term)
{
  lease->newest_term = MAX (lease->newest_term, term);
}

void
primary_lease_set_fenced (PrimaryLease *lease, bool fenced, int64_t now_ms)
{
  const bool ends = lease->fenced && !fenced && lease->fenced_term == lease->term;

  // The host that makes the change need not wait for the lease of a host that is fenced.
  if (ends || (fenced && !lease->fenced))
    forget_answers (lease);
  if (ends)
    lease->void_ms = now_ms;
  if (fenced)
    lease->fenced_term = lease->term;
  lease->fenced = fenced;
}

bool
primary_lease_is_superseded (const PrimaryLease *lease)
{
  return lease->newest_term > lease->term;
}

bool
primary_lease_is_valid (const PrimaryLease *lease, int64_t at_ms)
{
  return lease->confirmed_ms > 0 && at_ms - lease->confirmed_ms < lease->lease_ms && !lease->fenced
         && !primary_lease_is_superseded (lease);
}

typedef struct
{
  int64_t leads_ms;   /* when the primary, which says that it leads, was asked; 0 if it does not */
  int64_t follows_ms; /* when the last replica was asked that follows it */
  int64_t oldest_ms;  /* when the first of all that answered was asked */
  bool complete;      /* every instance has answered, and none is paused */
} Evidence;

/* What the instances said in answer to questions after @since_ms. */
static Evidence
gather_evidence (const PrimaryLease *lease, int64_t since_ms, int64_t now_ms)
{
  Evidence evidence = { .oldest_ms = now_ms, .complete = lease->member_count >= MIN_GROUP_SIZE };

  for (uint32_t i = 0; i < lease->member_count; i++)
    {
      const LeaseMember *member = &lease->members[i];

      if (member->asked_ms <= since_ms || member->paused)
        {
          evidence.complete = false;
          continue;
        }
      evidence.oldest_ms = MIN (evidence.oldest_ms, member->asked_ms);
      if (member->term != lease->term)
        continue;
      if (member->key == lease->primary && member->leads)
        evidence.leads_ms = member->asked_ms;
      else if (member->key != lease->primary && !member->leads)
        evidence.follows_ms = MAX (evidence.follows_ms, member->asked_ms);
    }
  return evidence;
}

static bool
is_agreed (const PrimaryLease *lease, const Evidence *evidence)
{
  return !lease->fenced && !primary_lease_is_superseded (lease) && evidence->leads_ms > 0
         && evidence->follows_ms > 0;
}

/* Whether the primary and a replica agree for long enough, while other instances do not answer. */
static bool
is_agreed_lastingly (PrimaryLease *lease, int64_t now_ms)
{
  const Evidence evidence
      = gather_evidence (lease, MAX (now_ms - OBSERVATION_GAP_MS, lease->void_ms), now_ms);
  const int64_t asked_ms = MIN (evidence.leads_ms, evidence.follows_ms);

  if (!is_agreed (lease, &evidence))
    {
      lease->observed_since_ms = 0;
      return false;
    }
  if (lease->observed_since_ms == 0 || asked_ms - lease->observed_ms > OBSERVATION_GAP_MS)
    lease->observed_since_ms = asked_ms;
  lease->observed_ms = asked_ms;
  return asked_ms - lease->observed_since_ms >= OBSERVATION_MS;
}

/* The primary has to say that it leads, and a replica that it follows. While a lease runs that
 * prolongs it: no instance can have been promoted, so that the replica was not resumed by the host
 * that promoted one. To begin one, the other instances have to answer too, or else the agreement
 * has to last. */
static void
judge_answers (PrimaryLease *lease, int64_t now_ms)
{
  const Evidence evidence
      = gather_evidence (lease, MAX (now_ms - lease->lease_ms / 2, lease->void_ms), now_ms);
  int64_t asked_ms = MIN (evidence.leads_ms, evidence.follows_ms);
  const bool lasting = is_agreed_lastingly (lease, now_ms);

  if (!is_agreed (lease, &evidence))
    return;
  if (!primary_lease_is_valid (lease, now_ms) && !lasting)
    {
      if (!evidence.complete)
        return;
      asked_ms = evidence.oldest_ms;
    }
  lease->confirmed_ms = MAX (lease->confirmed_ms, asked_ms);
}

void
primary_lease_record_report (PrimaryLease *lease, uint32_t key, const InstanceReport *report,
                             int64_t asked_ms, int64_t now_ms)
{
  LeaseMember *member = find_member (lease, key);

  primary_lease_hear_term (lease, report->term);
  if (member == NULL || asked_ms < member->asked_ms)
    return;
  *member = (LeaseMember){
    .key = key,
    .asked_ms = asked_ms,
    .leads = report->primary,
    .paused = report->pause_token > report->term,
    .term = report->term,
  };
  if (key == lease->primary && !report->primary)
    {
      lease->confirmed_ms = 0;
      lease->void_ms = MAX (lease->void_ms, asked_ms);
    }
  judge_answers (lease, now_ms);
}

void
primary_lease_record_commit (PrimaryLease *lease, int64_t asked_ms, int64_t now_ms)
{
  if (primary_lease_is_valid (lease, now_ms) && asked_ms > lease->void_ms)
    lease->confirmed_ms = MAX (lease->confirmed_ms, asked_ms);
}

void
primary_lease_record_read_only (PrimaryLease *lease, int64_t now_ms)
{
  forget_answers (lease);
  lease->void_ms = now_ms;
}

void
primary_lease_record_proof (PrimaryLease *lease, uint64_t term, int64_t asked_ms)
{
  if (term == lease->term && asked_ms > lease->void_ms)
    lease->confirmed_ms = MAX (lease->confirmed_ms, asked_ms);
}
