#include "policy/primary-lease.h"

#include <string.h>

#include <glib.h>

/* Longest time between two answers that show the same state without a gap. A change of primary
 * takes longer. */
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
  if (lease->fenced == fenced)
    return;
  lease->fenced = fenced;
  // The host that makes the change need not wait for the lease of a host that is fenced.
  if (fenced)
    {
      forget_answers (lease);
      lease->fenced_term = lease->term;
    }
  else if (lease->fenced_term == lease->term)
    {
      forget_answers (lease);
      lease->void_ms = now_ms;
    }
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

/* Evidence of a single replica counts only if it comes within the lease: until then no instance can
 * have been promoted, so that the replica was not resumed by the host that promoted it. */
static bool
prolong (PrimaryLease *lease, int64_t asked_ms, int64_t now_ms)
{
  if (!primary_lease_is_valid (lease, now_ms) || asked_ms <= lease->void_ms)
    return false;
  lease->confirmed_ms = MAX (lease->confirmed_ms, asked_ms);
  return true;
}

/* Whether @member said, when asked after @since_ms, that it follows the primary. */
static bool
is_follower (const PrimaryLease *lease, const LeaseMember *member)
{
  return !member->down && !member->leads && !member->paused && member->term == lease->term
         && member->key != lease->primary;
}

/* Begins a lease if the primary says that it leads and a replica that it follows. If every other
 * instance has answered too, none of them leads in a greater term; else the agreement has to last.
 */
static void
try_begin (PrimaryLease *lease, int64_t now_ms)
{
  const int64_t fresh_ms = MAX (now_ms - OBSERVATION_GAP_MS, lease->void_ms);
  int64_t asked_ms = now_ms, leads_ms = 0, follows_ms = 0;
  bool all = true;

  for (uint32_t i = 0; i < lease->member_count; i++)
    {
      const LeaseMember *member = &lease->members[i];

      if (member->asked_ms <= fresh_ms || member->paused)
        {
          all = false;
          continue;
        }
      asked_ms = MIN (asked_ms, member->asked_ms);
      if (member->key == lease->primary && member->leads && member->term == lease->term)
        leads_ms = member->asked_ms;
      else if (is_follower (lease, member))
        follows_ms = MAX (follows_ms, member->asked_ms);
    }
  if (lease->fenced || primary_lease_is_superseded (lease) || leads_ms == 0 || follows_ms == 0)
    {
      lease->observed_since_ms = 0;
      return;
    }
  if (!all)
    {
      asked_ms = MIN (leads_ms, follows_ms);
      if (lease->observed_since_ms == 0 || asked_ms - lease->observed_ms > OBSERVATION_GAP_MS)
        lease->observed_since_ms = asked_ms;
      lease->observed_ms = asked_ms;
      if (asked_ms - lease->observed_since_ms < OBSERVATION_MS)
        return;
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
    lease->confirmed_ms = lease->observed_since_ms = 0;
  if (!is_follower (lease, member) || !prolong (lease, asked_ms, now_ms))
    try_begin (lease, now_ms);
}

void
primary_lease_record_down (PrimaryLease *lease, uint32_t key, int64_t asked_ms, int64_t now_ms)
{
  LeaseMember *member = find_member (lease, key);

  if (member == NULL || asked_ms < member->asked_ms)
    return;
  *member = (LeaseMember){ .key = key, .asked_ms = asked_ms, .down = true };
  try_begin (lease, now_ms);
}

void
primary_lease_record_commit (PrimaryLease *lease, int64_t asked_ms, int64_t now_ms)
{
  prolong (lease, asked_ms, now_ms);
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
