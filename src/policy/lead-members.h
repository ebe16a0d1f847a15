/**
 * DOC: What the instances of a group have said to the host that changes their primary, and what
 * follows from it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/group-order.h"

/** Instances of one group that are told apart. */
#define LEAD_MEMBERS_MAX 16

/**
 * struct LeadMember - One instance. @key: its name in the change. @leaving: it leaves.
 * @asked: an order is under way. @answered: it answered the last one.
 * @silent: it did not answer the last one that ended.
 * @report, @report_ms: its last answer, and when that came.
 * @paused: by this change.
 */
typedef struct
{
  uint32_t key;
  bool leaving;
  bool asked;
  bool answered;
  bool silent;
  int64_t report_ms;
  InstanceReport report;
  bool paused;
} LeadMember;

/** struct LeadMembers - @size: most ever listed, or the least that a group has. */
typedef struct
{
  LeadMember items[LEAD_MEMBERS_MAX];
  uint32_t count;
  uint32_t size;
} LeadMembers;

/** lead_members_init() - None. */
void lead_members_init (LeadMembers *members);

/** lead_members_set() - An instance is listed, or not any more. */
void lead_members_set (LeadMembers *members, uint32_t key, bool listed, bool leaving);

/** lead_members_find() - The instance called @key, or %NULL. */
LeadMember *lead_members_find (LeadMembers *members, uint32_t key);

/** lead_members_report() - An order to it was answered. */
void lead_members_report (LeadMembers *members, uint32_t key, const InstanceReport *report,
                          int64_t now_ms);

/** lead_members_unanswered() - An order to it was not answered. */
void lead_members_unanswered (LeadMembers *members, uint32_t key);

/** lead_members_all_ended() - No order is under way. */
bool lead_members_all_ended (const LeadMembers *members);

/**
 * lead_members_heard_ended() - The same, but for those that are silent: what the others say gets
 * old while they are waited for.
 */
bool lead_members_heard_ended (const LeadMembers *members);

/** lead_members_greatest_term() - Greatest term reported, or @least. */
uint64_t lead_members_greatest_term (const LeadMembers *members, uint64_t least);

/** lead_members_leading() - One that says that it leads in @term or a greater one, or %NULL. */
const LeadMember *lead_members_leading (const LeadMembers *members, uint64_t term);

/** lead_members_greatest_pause() - Greatest number under which one is paused; 0 for none. */
uint64_t lead_members_greatest_pause (const LeadMembers *members);

/** lead_members_replicas() - Replicas that answered. */
uint32_t lead_members_replicas (const LeadMembers *members);

/** lead_members_has_successor() - A replica that stays answered, and can take over. */
bool lead_members_has_successor (const LeadMembers *members);

/** lead_members_paused() - Instances paused by this change. */
uint32_t lead_members_paused (const LeadMembers *members);

/** lead_members_is_contested() - A pause made under @fence does not stand any more. */
bool lead_members_is_contested (const LeadMembers *members, uint64_t fence);

/**
 * lead_members_best() - The replica with the greatest log, rather one that stays; with
 * @paused_only among those paused by this change. %NULL for none.
 */
const LeadMember *lead_members_best (const LeadMembers *members, bool paused_only);
