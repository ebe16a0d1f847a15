#include "policy/change-members.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

void
change_members_init (ChangeMembers *members)
{
  memset (members, 0, sizeof *members);
}

ChangeMember *
change_members_find (ChangeMembers *members, uint32_t key)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].key == key)
      return &members->items[i];
  return NULL;
}

void
change_members_set (ChangeMembers *members, uint32_t key, bool listed, bool leaving)
{
  ChangeMember *member = change_members_find (members, key);

  if (!listed)
    {
      if (member != NULL)
        *member = members->items[--members->count];
      return;
    }
  if (member == NULL)
    {
      if (members->count == CHANGE_MEMBERS_MAX)
        return;
      member = &members->items[members->count++];
      memset (member, 0, sizeof *member);
      member->key = key;
    }
  member->leaving = leaving;
}

void
change_members_record_report (ChangeMembers *members, uint32_t key, const InstanceReport *report,
                              int64_t now_ms)
{
  ChangeMember *member = change_members_find (members, key);

  if (member == NULL)
    return;
  member->pending = false;
  member->responded = true;
  member->unresponsive = member->down = false;
  member->report = *report;
  member->report_ms = now_ms;
}

void
change_members_record_timeout (ChangeMembers *members, uint32_t key)
{
  ChangeMember *member = change_members_find (members, key);

  if (member == NULL)
    return;
  member->pending = false;
  member->responded = false;
  member->unresponsive = true;
  member->down = false;
}

void
change_members_record_down (ChangeMembers *members, uint32_t key)
{
  ChangeMember *member = change_members_find (members, key);

  if (member == NULL)
    return;
  change_members_record_timeout (members, key);
  member->down = true;
}

void
change_members_forget_down (ChangeMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    members->items[i].down = false;
}

ChangeMember *
change_members_find_unretired (ChangeMembers *members, uint32_t successor)
{
  for (uint32_t i = 0; i < members->count; i++)
    {
      ChangeMember *member = &members->items[i];
      const bool is_replica = member->paused || (member->responded && !member->report.primary);

      if (member->key != successor && !member->down && !is_replica)
        return member;
    }
  return NULL;
}

bool
change_members_all_done (const ChangeMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].pending)
      return false;
  return true;
}

bool
change_members_responsive_done (const ChangeMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].pending && !members->items[i].unresponsive)
      return false;
  return true;
}

bool
change_members_all_responded (const ChangeMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (!members->items[i].responded)
      return false;
  return true;
}

uint64_t
change_members_highest_term (const ChangeMembers *members, uint64_t minimum)
{
  uint64_t term = minimum;

  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].responded)
      term = MAX (term, members->items[i].report.term);
  return term;
}

const ChangeMember *
change_members_find_primary (const ChangeMembers *members, uint64_t term)
{
  const ChangeMember *primary = NULL;

  for (uint32_t i = 0; i < members->count; i++)
    {
      const ChangeMember *member = &members->items[i];

      if (member->responded && member->report.primary && member->report.term >= term
          && (primary == NULL || member->report.term > primary->report.term))
        primary = member;
    }
  return primary;
}

uint64_t
change_members_highest_pause_token (const ChangeMembers *members)
{
  uint64_t token = 0;

  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].responded)
      token = MAX (token, members->items[i].report.pause_token);
  return token;
}

static bool
is_replica (const ChangeMember *member)
{
  return member->responded && !member->report.primary;
}

uint32_t
change_members_replica_count (const ChangeMembers *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    count += is_replica (&members->items[i]);
  return count;
}

bool
change_members_has_successor (const ChangeMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (is_replica (&members->items[i]) && !members->items[i].leaving)
      return true;
  return false;
}

static int
compare_descending (const void *a, const void *b)
{
  return session_token_compare (*(const SessionToken *) b, *(const SessionToken *) a);
}

uint32_t
change_members_paused_count (const ChangeMembers *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    count += members->items[i].paused;
  return count;
}

bool
change_members_committed_bound (const ChangeMembers *members, uint32_t group_size,
                                uint32_t synchronous, SessionToken *bound)
{
  SessionToken logs[CHANGE_MEMBERS_MAX];
  uint32_t paused = 0;
  uint32_t missing;

  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].paused)
      logs[paused++] = members->items[i].report.received;
  missing = group_size - paused;
  if (paused == 0 || missing > synchronous)
    return false;
  // Of the holders of a commit at most the missing ones are not paused.
  qsort (logs, paused, sizeof *logs, compare_descending);
  *bound = logs[MIN (synchronous - missing, paused - 1)];
  return true;
}

bool
change_members_is_pause_overridden (const ChangeMembers *members, uint64_t fencing_token)
{
  for (uint32_t i = 0; i < members->count; i++)
    {
      const ChangeMember *member = &members->items[i];

      if (member->paused && member->responded && member->report.pause_token != fencing_token)
        return true;
    }
  return false;
}

/* Whether @member is preferred to @best. */
static bool
is_better (const ChangeMember *member, const ChangeMember *best)
{
  const int comparison = session_token_compare (member->report.received, best->report.received);

  return comparison > 0 || (comparison == 0 && best->leaving && !member->leaving);
}

int64_t
change_members_latest_report_ms (const ChangeMembers *members, SessionToken position)
{
  int64_t latest_ms = 0;

  for (uint32_t i = 0; i < members->count; i++)
    {
      const ChangeMember *member = &members->items[i];

      if (member->paused && session_token_compare (member->report.received, position) >= 0)
        latest_ms = MAX (latest_ms, member->report_ms);
    }
  return latest_ms;
}

const ChangeMember *
change_members_most_advanced (const ChangeMembers *members, bool paused_only)
{
  const ChangeMember *best = NULL;

  for (uint32_t i = 0; i < members->count; i++)
    {
      const ChangeMember *member = &members->items[i];

      if (!is_replica (member) || (paused_only && !member->paused))
        continue;
      if (best == NULL || is_better (member, best))
        best = member;
    }
  return best;
}
