/**
 * DOC: A change of primary as the host that makes it decides: look, fence, promote, confirm.
 * No I/O and no clock; docs/DESIGN.md argues why nothing acknowledged can be lost.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/lead-members.h"

/** Actions that one step can ask for. */
#define PRIMARY_CHANGE_ACTIONS_MAX (2 * CHANGE_MEMBERS_MAX)

/** enum PrimaryChangePhase - Where a change stands. */
typedef enum
{
  PRIMARY_CHANGE_IDLE,
  PRIMARY_CHANGE_QUERYING,      /* every instance is asked how it stands */
  PRIMARY_CHANGE_STEPPING_DOWN, /* planned: the primary is told to stop leading */
  PRIMARY_CHANGE_CATCHING_UP,   /* planned: until a replica has all of its log */
  PRIMARY_CHANGE_PAUSING,       /* the replicas are told to take nothing more from the primary */
  PRIMARY_CHANGE_WAITING,   /* until no host relies on the old primary, and enough logs are known */
  PRIMARY_CHANGE_PROMOTING, /* the promote call is under way */
  PRIMARY_CHANGE_CONFIRMING, /* until the new primary says that it leads */
  PRIMARY_CHANGE_PHASE_COUNT
} PrimaryChangePhase;

/** primary_change_phase_name() - Name for logs. */
const char *primary_change_phase_name (PrimaryChangePhase phase);

/**
 * struct PrimaryChangeOptions - Limits.
 * @host_number: number of this host, different from that of any other.
 * @lease_ms: a host relies on a primary for this long after the last proof that it led.
 */
typedef struct
{
  uint16_t host_number;
  int64_t lease_ms;
} PrimaryChangeOptions;

/**
 * struct PrimaryChangeInput - What the host knows as it looks at a change.
 * @primary: key of the primary; 0 if none is known. @term: its term.
 * @leaving: the primary is leaving. @suspect: it does not serve this host.
 * @commits_stalled: it answers, but its commits do not end, here or for most hosts.
 * @votes: hosts that it does not serve, this one included. @hosts: hosts alive.
 * @rank: hosts that would make the change before this one.
 * @peer_fencing_token: greatest number of another host's change that is under way; 0 for none.
 * @highest_fencing_token: greatest number ever seen.
 * @all_acknowledged: every other host has said that it relies on the primary no more.
 * @all_know_position: they all know a position of the primary in its reign, so that @committed
 * holds.
 * @committed: no commit beyond it was acknowledged by any of them, or will be.
 * @synchronous: replicas that hold a commit before it is acknowledged.
 */
typedef struct
{
  int64_t now_ms;
  uint32_t primary;
  uint64_t term;
  bool leaving;
  bool suspect;
  bool commits_stalled;
  uint32_t votes;
  uint32_t hosts;
  uint32_t rank;
  uint64_t peer_fencing_token;
  uint64_t highest_fencing_token;
  bool all_acknowledged;
  bool all_know_position;
  SessionToken committed;
  uint32_t synchronous;
} PrimaryChangeInput;

/** enum PrimaryChangeActionKind - What to do. */
typedef enum
{
  PRIMARY_CHANGE_COMMAND, /* send @order to @member */
  PRIMARY_CHANGE_PROMOTE  /* make @member the primary under @fence */
} PrimaryChangeActionKind;

/** struct PrimaryChangeAction - Tagged by @kind. */
typedef struct
{
  PrimaryChangeActionKind kind;
  uint32_t member;
  InstanceCommand command;
  uint64_t fencing_token;
} PrimaryChangeAction;

/** enum PromotionResult - How the promote call ended. */
typedef enum
{
  PROMOTION_DONE,
  PROMOTION_REFUSED, /* not done: try again */
  PROMOTION_INVALID, /* not done: the instance does not run, or may not lead */
  PROMOTION_UNKNOWN  /* it may have been done */
} PromotionResult;

typedef struct PrimaryChange PrimaryChange;

/** primary_change_new() - Idle. */
PrimaryChange *primary_change_new (const PrimaryChangeOptions *options);

/** primary_change_free() - Frees it. */
void primary_change_free (PrimaryChange *change);

/** primary_change_set_member() - An instance is listed, or not any more. */
void primary_change_set_member (PrimaryChange *change, uint32_t member, bool listed, bool leaving);

/** primary_change_members() - Keys of the listed instances; @keys holds CHANGE_MEMBERS_MAX. */
uint32_t primary_change_members (const PrimaryChange *change, uint32_t *keys);

/** primary_change_record_report() - An order to @member was answered. */
void primary_change_record_report (PrimaryChange *change, uint32_t member,
                                   const InstanceReport *report, int64_t now_ms);

/** primary_change_record_timeout() - An order to @member was not answered. */
void primary_change_record_timeout (PrimaryChange *change, uint32_t member);

/** primary_change_promotion_ended() - The promote call ended. */
void primary_change_promotion_ended (PrimaryChange *change, PromotionResult result, int64_t now_ms);

/** primary_change_step() - Moves on; returns the number of @actions to carry out. */
uint32_t primary_change_step (PrimaryChange *change, const PrimaryChangeInput *situation,
                              PrimaryChangeAction *actions);

/** primary_change_phase() - Current phase. */
PrimaryChangePhase primary_change_phase (const PrimaryChange *change);

/** primary_change_fencing_token() - Number of the change under way; 0 while nobody has to obey. */
uint64_t primary_change_fencing_token (const PrimaryChange *change);

/** primary_change_fencing_token_term() - Term that a change with number @fence leads to. */
uint64_t primary_change_fencing_token_term (uint64_t fence);
