#include "policy/lead-members.h"

#include <string.h>

#include <glib.h>

/* Instances that a group has at least, listed or not: a list may lack one that holds commits. */
#define GROUP_SIZE_LEAST 3

void
lead_members_init (LeadMembers *members)
{
  memset (members, 0, sizeof *members);
  members->size = GROUP_SIZE_LEAST;
}

LeadMember *
lead_members_find (LeadMembers *members, uint32_t key)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].key == key)
      return &members->items[i];
  return NULL;
}

void
lead_members_set (LeadMembers *members, uint32_t key, bool listed, bool leaving)
{
  LeadMember *member = lead_members_find (members, key);

  if (!listed)
    {
      if (member != NULL)
        *member = members->items[--members->count];
      return;
    }
  if (member == NULL)
    {
      if (members->count == LEAD_MEMBERS_MAX)
        return;
      member = &members->items[members->count++];
      memset (member, 0, sizeof *member);
      member->key = key;
    }
  member->leaving = leaving;
  members->size = MAX (members->size, members->count);
}

void
lead_members_report (LeadMembers *members, uint32_t key, const InstanceReport *report,
                     int64_t now_ms)
{
  LeadMember *member = lead_members_find (members, key);

  if (member == NULL)
    return;
  member->asked = false;
  member->answered = true;
  member->silent = false;
  member->report = *report;
  member->report_ms = now_ms;
}

void
lead_members_unanswered (LeadMembers *members, uint32_t key)
{
  LeadMember *member = lead_members_find (members, key);

  if (member == NULL)
    return;
  member->asked = false;
  member->answered = false;
  member->silent = true;
}

bool
lead_members_all_ended (const LeadMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].asked)
      return false;
  return true;
}

bool
lead_members_heard_ended (const LeadMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].asked && !members->items[i].silent)
      return false;
  return true;
}

uint64_t
lead_members_greatest_term (const LeadMembers *members, uint64_t least)
{
  uint64_t term = least;

  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].answered)
      term = MAX (term, members->items[i].report.term);
  return term;
}

const LeadMember *
lead_members_leading (const LeadMembers *members, uint64_t term)
{
  for (uint32_t i = 0; i < members->count; i++)
    {
      const LeadMember *member = &members->items[i];

      if (member->answered && member->report.primary && member->report.term >= term)
        return member;
    }
  return NULL;
}

uint64_t
lead_members_greatest_pause (const LeadMembers *members)
{
  uint64_t held = 0;

  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].answered)
      held = MAX (held, members->items[i].report.held_term);
  return held;
}

static bool
is_replica (const LeadMember *member)
{
  return member->answered && !member->report.primary;
}

uint32_t
lead_members_replicas (const LeadMembers *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    count += is_replica (&members->items[i]);
  return count;
}

bool
lead_members_has_successor (const LeadMembers *members)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (is_replica (&members->items[i]) && !members->items[i].leaving)
      return true;
  return false;
}

uint32_t
lead_members_paused (const LeadMembers *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++)
    count += members->items[i].paused;
  return count;
}

bool
lead_members_is_contested (const LeadMembers *members, uint64_t fence)
{
  for (uint32_t i = 0; i < members->count; i++)
    {
      const LeadMember *member = &members->items[i];

      if (member->paused && member->answered && member->report.held_term != fence)
        return true;
    }
  return false;
}

/* Whether @member goes before @best. */
static bool
is_better (const LeadMember *member, const LeadMember *best)
{
  const int order = session_token_compare (member->report.received, best->report.received);

  return order > 0 || (order == 0 && best->leaving && !member->leaving);
}

const LeadMember *
lead_members_best (const LeadMembers *members, bool paused_only)
{
  const LeadMember *best = NULL;

  for (uint32_t i = 0; i < members->count; i++)
    {
      const LeadMember *member = &members->items[i];

      if (!is_replica (member) || (paused_only && !member->paused))
        continue;
      if (best == NULL || is_better (member, best))
        best = member;
    }
  return best;
}
