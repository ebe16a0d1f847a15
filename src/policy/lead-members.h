/**
 * DOC: What the instances of a group have said to the host that changes their primary, and what
 * follows from it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/group-order.h"

/** Instances of one group that are told apart. */
#define CHANGE_MEMBERS_MAX 16

/**
 * struct ChangeMember - One instance. @key: its name in the change. @leaving: it leaves.
 * @pending: an order is under way. @responded: it answered the last one.
 * @unresponsive: it did not answer the last one that ended.
 * @report, @report_ms: its last answer, and when that came.
 * @paused: by this change.
 */
typedef struct
{
  uint32_t key;
  bool leaving;
  bool pending;
  bool responded;
  bool unresponsive;
  int64_t report_ms;
  InstanceReport report;
  bool paused;
} ChangeMember;

/** struct ChangeMembers - @size: most ever listed, or the least that a group has. */
typedef struct
{
  ChangeMember items[CHANGE_MEMBERS_MAX];
  uint32_t count;
  uint32_t size;
} ChangeMembers;

/** change_members_init() - None. */
void change_members_init (ChangeMembers *members);

/** change_members_set() - An instance is listed, or not any more. */
void change_members_set (ChangeMembers *members, uint32_t key, bool listed, bool leaving);

/** change_members_find() - The instance called @key, or %NULL. */
ChangeMember *change_members_find (ChangeMembers *members, uint32_t key);

/** change_members_record_report() - An order to it was answered. */
void change_members_record_report (ChangeMembers *members, uint32_t key,
                                   const InstanceReport *report, int64_t now_ms);

/** change_members_record_timeout() - An order to it was not answered. */
void change_members_record_timeout (ChangeMembers *members, uint32_t key);

/** change_members_all_done() - No order is under way. */
bool change_members_all_done (const ChangeMembers *members);

/**
 * change_members_responsive_done() - The same, but for those that are silent: what the others say
 * gets old while they are waited for.
 */
bool change_members_responsive_done (const ChangeMembers *members);

/** change_members_highest_term() - Greatest term reported, or @least. */
uint64_t change_members_highest_term (const ChangeMembers *members, uint64_t least);

/** change_members_find_primary() - One that says that it leads in @term or a greater one, or %NULL.
 */
const ChangeMember *change_members_find_primary (const ChangeMembers *members, uint64_t term);

/** change_members_highest_pause_token() - Greatest number under which one is paused; 0 for none. */
uint64_t change_members_highest_pause_token (const ChangeMembers *members);

/** change_members_replica_count() - Replicas that answered. */
uint32_t change_members_replica_count (const ChangeMembers *members);

/** change_members_has_successor() - A replica that stays answered, and can take over. */
bool change_members_has_successor (const ChangeMembers *members);

/** change_members_paused_count() - Instances paused by this change. */
uint32_t change_members_paused_count (const ChangeMembers *members);

/** change_members_is_pause_overridden() - A pause made under @fence does not stand any more. */
bool change_members_is_pause_overridden (const ChangeMembers *members, uint64_t fence);

/**
 * change_members_most_advanced() - The replica with the greatest log, rather one that stays; with
 * @paused_only among those paused by this change. %NULL for none.
 */
const ChangeMember *change_members_most_advanced (const ChangeMembers *members, bool paused_only);
