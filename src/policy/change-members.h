/**
 * DOC: Reports of the instances of a group to the host that changes their primary, and the
 * conclusions from them.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/instance-command.h"

/** Maximum number of instances tracked per group. */
#define CHANGE_MEMBERS_MAX 16

/**
 * struct ChangeMember - One instance.
 * @key: its identifier in the change. @leaving: it is leaving.
 * @pending: a command is in progress. @responded: it answered the last command.
 * @unresponsive: it did not answer the last command that ended.
 * @down: the same, and it refused the connection, so that it is not running.
 * @report, @report_ms: its last answer and when that arrived.
 * @paused: it was paused by this change. @report then stays valid when later commands time out.
 */
typedef struct
{
  uint32_t key;
  bool leaving;
  bool pending;
  bool responded;
  bool unresponsive;
  bool down;
  int64_t report_ms;
  InstanceReport report;
  bool paused;
} ChangeMember;

/** struct ChangeMembers - The listed instances. */
typedef struct
{
  ChangeMember items[CHANGE_MEMBERS_MAX];
  uint32_t count;
} ChangeMembers;

/** change_members_init() - Starts without instances. */
void change_members_init (ChangeMembers *members);

/** change_members_set() - An instance is listed, or no longer listed. */
void change_members_set (ChangeMembers *members, uint32_t key, bool listed, bool leaving);

/** change_members_find() - The instance with @key, or %NULL. */
ChangeMember *change_members_find (ChangeMembers *members, uint32_t key);

/** change_members_record_report() - The instance answered a command. */
void change_members_record_report (ChangeMembers *members, uint32_t key,
                                   const InstanceReport *report, int64_t now_ms);

/** change_members_record_timeout() - The instance did not answer a command. */
void change_members_record_timeout (ChangeMembers *members, uint32_t key);

/** change_members_record_down() - The instance is not running. */
void change_members_record_down (ChangeMembers *members, uint32_t key);

/** change_members_forget_down() - An instance that refused a connection may be running again. */
void change_members_forget_down (ChangeMembers *members);

/**
 * change_members_find_unretired() - An instance other than @successor that may still act as a
 * primary of an earlier term; %NULL for none.
 */
ChangeMember *change_members_find_unretired (ChangeMembers *members, uint32_t successor);

/** change_members_all_done() - Whether no command is in progress. */
bool change_members_all_done (const ChangeMembers *members);

/**
 * change_members_responsive_done() - The same, ignoring unresponsive instances: the reports of the
 * others would expire during the wait for those.
 */
bool change_members_responsive_done (const ChangeMembers *members);

/** change_members_all_responded() - Whether every instance answered the last command. */
bool change_members_all_responded (const ChangeMembers *members);

/** change_members_highest_term() - Greatest term reported, but at least @minimum. */
uint64_t change_members_highest_term (const ChangeMembers *members, uint64_t minimum);

/**
 * change_members_find_primary() - The instance that reports that it is the primary of the latest
 * term, @term or later; %NULL for none.
 */
const ChangeMember *change_members_find_primary (const ChangeMembers *members, uint64_t term);

/**
 * change_members_highest_pause_token() - Greatest fencing token of a pause in force; 0 for none.
 */
uint64_t change_members_highest_pause_token (const ChangeMembers *members);

/** change_members_replica_count() - Number of replicas that answered. */
uint32_t change_members_replica_count (const ChangeMembers *members);

/**
 * change_members_has_successor() - Whether a replica answered that is not leaving and can take
 * over.
 */
bool change_members_has_successor (const ChangeMembers *members);

/** change_members_paused_count() - Number of instances paused by this change. */
uint32_t change_members_paused_count (const ChangeMembers *members);

/**
 * change_members_committed_bound() - Sets @bound so that no commit beyond it was acknowledged, as
 * far as the logs of the paused instances tell; false if they can't. An acknowledged commit is in
 * the logs of the primary and @synchronous replicas, of @group_size instances that may hold one.
 * What an instance reported while it was paused holds as long as the pause does, also if it does
 * not answer any more.
 */
bool change_members_committed_bound (const ChangeMembers *members, uint32_t group_size,
                                     uint32_t synchronous, SessionToken *bound);

/**
 * change_members_latest_report_ms() - When a paused instance whose log reaches @position answered
 * last; 0 if there is none.
 */
int64_t change_members_latest_report_ms (const ChangeMembers *members, SessionToken position);

/**
 * change_members_is_pause_overridden() - Whether a pause that this change made under
 * @fencing_token is no longer in force.
 */
bool change_members_is_pause_overridden (const ChangeMembers *members, uint64_t fencing_token);

/**
 * change_members_most_advanced() - The replica with the most advanced log, preferably one that is
 * not leaving; with @paused_only among those paused by this change. %NULL for none.
 */
const ChangeMember *change_members_most_advanced (const ChangeMembers *members, bool paused_only);
