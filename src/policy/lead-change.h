/**
 * DOC: A change of primary as the host that makes it decides: look, fence, promote, confirm.
 * No I/O and no clock; docs/DESIGN.md argues why nothing acknowledged can be lost.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/lead-members.h"

/** Actions that one step can ask for. */
#define LEAD_ACTIONS_MAX (2 * LEAD_MEMBERS_MAX)

/** enum LeadPhase - Where a change stands. */
typedef enum
{
  LEAD_IDLE,
  LEAD_LOOKING,       /* every instance is asked how it stands */
  LEAD_STEPPING_DOWN, /* planned: the primary is told to stop leading */
  LEAD_CATCHING_UP,   /* planned: until a replica has all of its log */
  LEAD_PAUSING,       /* the replicas are told to take nothing more from the primary */
  LEAD_WAITING,       /* until no host relies on the old primary, and enough logs are known */
  LEAD_PROMOTING,     /* the promote call is under way */
  LEAD_CONFIRMING,    /* until the new primary says that it leads */
  LEAD_PHASE_COUNT
} LeadPhase;

/** lead_phase_name() - Name for logs. */
const char *lead_phase_name (LeadPhase phase);

/**
 * struct LeadOptions - Limits.
 * @host_bits: number of this host, different from that of any other.
 * @right_ms: a host relies on a primary for this long after the last proof that it led.
 */
typedef struct
{
  uint16_t host_bits;
  int64_t right_ms;
} LeadOptions;

/**
 * struct LeadSituation - What the host knows as it looks at a change.
 * @primary: key of the primary; 0 if none is known. @term: its term.
 * @leaving: the primary is leaving. @suspect: it does not serve this host.
 * @stuck: it answers, but its commits do not end, here or for most hosts.
 * @votes: hosts that it does not serve, this one included. @hosts: hosts alive.
 * @rank: hosts that would make the change before this one.
 * @foreign_fence: greatest number of another host's change that is under way; 0 for none.
 * @seen_fence: greatest number ever seen.
 * @all_obey: every other host has said that it relies on the primary no more.
 * @all_tell: they all know a position of the primary in its reign, so that @committed holds.
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
  bool stuck;
  uint32_t votes;
  uint32_t hosts;
  uint32_t rank;
  uint64_t foreign_fence;
  uint64_t seen_fence;
  bool all_obey;
  bool all_tell;
  SessionToken committed;
  uint32_t synchronous;
} LeadSituation;

/** enum LeadActionKind - What to do. */
typedef enum
{
  LEAD_ACTION_ORDER,  /* send @order to @member */
  LEAD_ACTION_PROMOTE /* make @member the primary under @fence */
} LeadActionKind;

/** struct LeadAction - Tagged by @kind. */
typedef struct
{
  LeadActionKind kind;
  uint32_t member;
  OrderKind order;
  uint64_t fence;
} LeadAction;

/** enum LeadPromoted - How the promote call ended. */
typedef enum
{
  LEAD_PROMOTED,
  LEAD_PROMOTE_REFUSED, /* not done: try again */
  LEAD_PROMOTE_INVALID, /* not done: the instance does not run, or may not lead */
  LEAD_PROMOTE_UNKNOWN  /* it may have been done */
} LeadPromoted;

typedef struct LeadChange LeadChange;

/** lead_change_new() - Idle. */
LeadChange *lead_change_new (const LeadOptions *options);

/** lead_change_free() - Frees it. */
void lead_change_free (LeadChange *change);

/** lead_change_set_member() - An instance is listed, or not any more. */
void lead_change_set_member (LeadChange *change, uint32_t member, bool listed, bool leaving);

/** lead_change_members() - Keys of the listed instances; @keys holds LEAD_MEMBERS_MAX. */
uint32_t lead_change_members (const LeadChange *change, uint32_t *keys);

/** lead_change_report() - An order to @member was answered. */
void lead_change_report (LeadChange *change, uint32_t member, const InstanceReport *report,
                         int64_t now_ms);

/** lead_change_unanswered() - An order to @member was not answered. */
void lead_change_unanswered (LeadChange *change, uint32_t member);

/** lead_change_promoted() - The promote call ended. */
void lead_change_promoted (LeadChange *change, LeadPromoted result, int64_t now_ms);

/** lead_change_step() - Moves on; returns the number of @actions to carry out. */
uint32_t lead_change_step (LeadChange *change, const LeadSituation *situation, LeadAction *actions);

/** lead_change_phase() - Current phase. */
LeadPhase lead_change_phase (const LeadChange *change);

/** lead_change_fence() - Number of the change under way; 0 while nobody has to obey. */
uint64_t lead_change_fence (const LeadChange *change);

/** lead_change_fence_term() - Term that a change with number @fence leads to. */
uint64_t lead_change_fence_term (uint64_t fence);
