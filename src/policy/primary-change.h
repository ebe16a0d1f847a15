/**
 * DOC: Change of the primary of a group, as decided by the host that makes it: query the
 * instances, fence the old primary, promote a replica, confirm. Without I/O and clock;
 * docs/DESIGN.md argues why no acknowledged commit can be lost.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/change-members.h"

/** Maximum number of actions of one step. */
#define PRIMARY_CHANGE_ACTIONS_MAX (2 * CHANGE_MEMBERS_MAX)

/** enum PrimaryChangePhase - Phase of a change. */
typedef enum
{
  PRIMARY_CHANGE_IDLE,
  PRIMARY_CHANGE_QUERYING,      /* every instance is queried for a report */
  PRIMARY_CHANGE_STEPPING_DOWN, /* switchover: the primary was sent the step-down command */
  PRIMARY_CHANGE_CATCHING_UP,   /* switchover: until a replica has its complete log */
  PRIMARY_CHANGE_PAUSING,       /* the replicas were sent the command to stop replicating */
  PRIMARY_CHANGE_WAITING,    /* until no host relies on the old primary and enough logs are known */
  PRIMARY_CHANGE_PROMOTING,  /* the promotion request is in progress */
  PRIMARY_CHANGE_CONFIRMING, /* until the new primary reports that it is the primary */
  PRIMARY_CHANGE_RETIRING,   /* until the old primary has stepped down, before replicas resume */
  PRIMARY_CHANGE_PHASE_COUNT
} PrimaryChangePhase;

/** primary_change_phase_name() - Name for logs. */
const char *primary_change_phase_name (PrimaryChangePhase phase);

/**
 * struct PrimaryChangeOptions - Limits.
 * @host_number: number of this host, unique among the hosts.
 * @lease_ms: how long a host may rely on a primary after the last confirmation that it was the
 * primary.
 */
typedef struct
{
  uint16_t host_number;
  int64_t lease_ms;
} PrimaryChangeOptions;

/**
 * struct PrimaryChangeInput - This host's knowledge at the time of a step.
 * @primary: key of the primary; 0 if none is known. @term: its term.
 * @newest_term: greatest term that this host has heard of; 0 if that is @term.
 * @leaving: the primary is leaving. @suspect: it does not serve this host.
 * @commits_stalled: it answers, but its commits do not complete, for this host or for most hosts.
 * @votes: hosts that it does not serve, including this one. @hosts: live hosts.
 * @rank: hosts that would make the change before this one.
 * @peer_fencing_token: greatest fencing token of a change in progress on another host; 0 for
 *   none.
 * @highest_fencing_token: greatest fencing token ever seen.
 * @all_acknowledged: every other host has confirmed that it no longer relies on the primary.
 * @committed_known: @committed also covers the commits that ended hosts have acknowledged.
 * @all_follow: all of them that this host hears from rely on @primary.
 * @committed: none of them has acknowledged, or will acknowledge, a commit beyond it.
 * @acknowledged: a commit at this position or later is known to be acknowledged.
 * @log_holders: number of instances, listed or not, whose logs may be needed to find every
 *   acknowledged commit. @log_holders_known: there are no others.
 * @synchronous: number of replicas that hold a commit before it is acknowledged.
 * @abandoned_pause: greatest fencing token of the pauses that no host will end; 0 for none.
 */
typedef struct
{
  int64_t now_ms;
  uint32_t primary;
  uint64_t term;
  uint64_t newest_term;
  bool leaving;
  bool suspect;
  bool commits_stalled;
  uint32_t votes;
  uint32_t hosts;
  uint32_t rank;
  uint64_t peer_fencing_token;
  uint64_t highest_fencing_token;
  bool all_acknowledged;
  bool committed_known;
  bool all_follow;
  SessionToken committed;
  SessionToken acknowledged;
  uint32_t log_holders;
  bool log_holders_known;
  uint32_t synchronous;
  uint64_t abandoned_pause;
} PrimaryChangeInput;

/** enum PrimaryChangeActionKind - Kind of an action. */
typedef enum
{
  PRIMARY_CHANGE_COMMAND, /* send @command to @member */
  PRIMARY_CHANGE_PROMOTE  /* promote @member under @fencing_token */
} PrimaryChangeActionKind;

/** struct PrimaryChangeAction - Action to execute, tagged by @kind. */
typedef struct
{
  PrimaryChangeActionKind kind;
  uint32_t member;
  InstanceCommand command;
  uint64_t fencing_token;
} PrimaryChangeAction;

/** enum PromotionResult - Result of a promotion request. */
typedef enum
{
  PROMOTION_DONE,
  PROMOTION_REFUSED, /* not promoted; may be retried */
  PROMOTION_INVALID, /* not promoted; the instance is down or not eligible */
  PROMOTION_UNKNOWN  /* it may have been promoted */
} PromotionResult;

/**
 * struct PrimaryChangeBasis - What the last conclusion on acknowledged commits rests on, for logs.
 * @group_size: number of instances that the known logs are counted against.
 * @paused: number of instances whose logs are known, as they are paused by this change.
 * @logs_known: these logs tell that no commit beyond @logs_bound was acknowledged.
 * @hosts_known: the hosts' word tells it too; it is the input's committed position.
 * @old_primary_known: the primary has stepped down and is paused; the end of its log tells it too.
 */
typedef struct
{
  uint32_t group_size;
  uint32_t paused;
  bool logs_known;
  SessionToken logs_bound;
  bool hosts_known;
  bool old_primary_known;
} PrimaryChangeBasis;

typedef struct PrimaryChange PrimaryChange;

/** primary_change_new() - Creates an idle change. */
PrimaryChange *primary_change_new (const PrimaryChangeOptions *options);

/** primary_change_free() - Frees it. */
void primary_change_free (PrimaryChange *change);

/** primary_change_set_member() - An instance is listed, or no longer listed. */
void primary_change_set_member (PrimaryChange *change, uint32_t member, bool listed, bool leaving);

/** primary_change_members() - Keys of the listed instances; @keys holds CHANGE_MEMBERS_MAX. */
uint32_t primary_change_members (const PrimaryChange *change, uint32_t *keys);

/** primary_change_member_states() - The listed instances and what they reported, for logs. */
const ChangeMembers *primary_change_member_states (const PrimaryChange *change);

/** primary_change_basis() - Basis of the last conclusion. */
const PrimaryChangeBasis *primary_change_basis (const PrimaryChange *change);

/** primary_change_record_report() - @member answered a command. */
void primary_change_record_report (PrimaryChange *change, uint32_t member,
                                   const InstanceReport *report, int64_t now_ms);

/** primary_change_record_timeout() - @member did not answer a command. */
void primary_change_record_timeout (PrimaryChange *change, uint32_t member);

/** primary_change_record_down() - @member refused the connection for a command: it is not running.
 */
void primary_change_record_down (PrimaryChange *change, uint32_t member);

/** primary_change_promotion_ended() - The promotion request ended. */
void primary_change_promotion_ended (PrimaryChange *change, PromotionResult result, int64_t now_ms);

/**
 * primary_change_promoted_term() - Term that the instance that this host promoted last leads or is
 * about to lead, or a later one; 0 for none. A promotion that the platform has done may not take
 * effect, if the instance crashes: the term is the first that could have followed.
 */
uint64_t primary_change_promoted_term (const PrimaryChange *change);

/** primary_change_step() - Advances the change; returns the number of @actions to execute. */
uint32_t primary_change_step (PrimaryChange *change, const PrimaryChangeInput *input,
                              PrimaryChangeAction *actions);

/** primary_change_phase() - Current phase. */
PrimaryChangePhase primary_change_phase (const PrimaryChange *change);

/**
 * primary_change_fencing_token() - Fencing token of the change in progress; 0 while no host has
 * to acknowledge one.
 */
uint64_t primary_change_fencing_token (const PrimaryChange *change);

/** primary_change_fencing_token_term() - Term that the change with @fencing_token leads to. */
uint64_t primary_change_fencing_token_term (uint64_t fencing_token);
