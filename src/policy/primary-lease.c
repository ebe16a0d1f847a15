#include "policy/primary-lease.h"

#include <string.h>

#include <glib.h>

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

void
primary_lease_set_primary (PrimaryLease *lease, uint32_t key, uint64_t term)
{
  if (lease->primary != key)
    lease->confirmed_ms = 0;
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
  if (!member->leads && !member->paused && member->term == lease->term)
    lease->confirmed_ms = MAX (lease->confirmed_ms, asked_ms);
}

void
primary_lease_record_down (PrimaryLease *lease, uint32_t key, int64_t asked_ms, int64_t now_ms)
{
  LeaseMember *member = find_member (lease, key);

  if (member == NULL || asked_ms < member->asked_ms)
    return;
  *member = (LeaseMember){ .key = key, .asked_ms = asked_ms, .down = true };
}

void
primary_lease_record_commit (PrimaryLease *lease, int64_t asked_ms, int64_t now_ms)
{
  lease->confirmed_ms = MAX (lease->confirmed_ms, asked_ms);
}

void
primary_lease_record_read_only (PrimaryLease *lease, int64_t now_ms)
{
  lease->confirmed_ms = 0;
}

void
primary_lease_record_proof (PrimaryLease *lease, uint64_t term, int64_t asked_ms)
{
  if (term == lease->term && asked_ms > lease->void_ms)
    lease->confirmed_ms = MAX (lease->confirmed_ms, asked_ms);
}
