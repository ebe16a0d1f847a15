/**
 * DOC: Failover of one database group, as one host that monitors it decides it. Safety
 * rests on the group's terms alone: several deciders may act at once.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/commit-gate.h"
#include "policy/session-token.h"

/** enum InstanceRole - Role an instance reports of itself. */
typedef enum
{
  ROLE_REPLICA,
  ROLE_PRIMARY,
  ROLE_FENCED /* was primary; a later term was advanced on it */
} InstanceRole;

/**
 * struct InstanceStatus - An instance's last answer to a poll.
 * @answered_ms: when it came; 0 for never.
 * @role: its role.
 * @term: greatest term it has accepted.
 * @received: its last log entry.
 * @applied: last entry applied.
 * @heard_primary_ms: time since it last heard its primary, at the answer; -1 for never.
 * @leaving: the configuration says that it is leaving.
 * @following: index of the instance it follows; -1 for none.
 */
typedef struct
{
  int64_t answered_ms;
  InstanceRole role;
  uint64_t term;
  SessionToken received;
  SessionToken applied;
  int64_t heard_primary_ms;
  bool leaving;
  int32_t following;
} InstanceStatus;

/**
 * struct FailoverOptions - Limits of the decider.
 * @instance_count: instances in the group.
 * @suspect_after_ms: silence of the primary after which it is suspected.
 * @step_timeout_ms: time given to each order.
 * @rank_delay_ms: extra wait per place behind the first decider.
 * @seed: seed of the random back-off between duels.
 */
typedef struct
{
  uint32_t instance_count;
  int64_t suspect_after_ms;
  int64_t step_timeout_ms;
  int64_t rank_delay_ms;
  uint64_t seed;
} FailoverOptions;

/** enum FailoverCommandKind - What to tell an instance. */
typedef enum
{
  FAILOVER_ADVANCE_TERM, /* refuse writes and replication of lower terms */
  FAILOVER_PROMOTE,      /* become the primary of the term */
  FAILOVER_FOLLOW        /* replicate from the primary of the term */
} FailoverCommandKind;

/** struct FailoverCommand - One order to one instance. */
typedef struct
{
  FailoverCommandKind kind;
  uint32_t instance;
  uint64_t term;
  uint32_t primary;
} FailoverCommand;

/** enum FailoverPhase - Where the decider stands. */
typedef enum
{
  FAILOVER_MONITORING,
  FAILOVER_HOLDING,   /* planned: new work held until a replica has caught up */
  FAILOVER_ADVANCING, /* the term is being advanced at a majority */
  FAILOVER_PROMOTING, /* the chosen replica was told to become primary */
  FAILOVER_BACKOFF    /* lost a duel; waiting before looking again */
} FailoverPhase;

typedef struct Failover Failover;

/** failover_new() - Decider for one group; free with failover_free(). */
Failover *failover_new (const FailoverOptions *options);

/** failover_free() - Frees the decider. */
void failover_free (Failover *failover);

/** failover_set_rank() - Place of this host in the order of deciders; 0 acts first. */
void failover_set_rank (Failover *failover, uint32_t rank);

/** failover_record_status() - Records an instance's answer to a poll. */
void failover_record_status (Failover *failover, uint32_t instance, const InstanceStatus *status);

/** failover_set_leaving() - Marks an instance as leaving, or not, by configuration. */
void failover_set_leaving (Failover *failover, uint32_t instance, bool leaving);

/** failover_set_busy() - Work runs on the primary; a planned change waits for most of its time. */
void failover_set_busy (Failover *failover, bool busy);

/** failover_record_applied() - A result showed that @instance has applied @position. */
void failover_record_applied (Failover *failover, uint32_t instance, SessionToken position);

/** failover_command_done() - An order ended; @accepted is false for refusals and lost answers. */
void failover_command_done (Failover *failover, const FailoverCommand *order, bool accepted,
                            int64_t now_ms);

/** failover_tick() - Moves on at @now_ms; call until failover_next_command() is empty. */
void failover_tick (Failover *failover, int64_t now_ms);

/** failover_next_command() - Takes one order to carry out; false when there is none. */
bool failover_next_command (Failover *failover, FailoverCommand *order);

/** failover_phase() - Current phase. */
FailoverPhase failover_phase (const Failover *failover);

/** failover_primary() - Index of the primary of the greatest term seen; -1 if none. */
int32_t failover_primary (const Failover *failover);

/** failover_term() - Greatest term seen. */
uint64_t failover_term (const Failover *failover);

/** failover_is_responding() - Whether @instance answered within the suspicion time. */
bool failover_is_responding (const Failover *failover, uint32_t instance, int64_t now_ms);

/** failover_majority_is_responding() - Whether a majority answered within the suspicion time. */
bool failover_majority_is_responding (const Failover *failover, int64_t now_ms);

/** failover_instance_status() - Last known status of @instance. */
const InstanceStatus *failover_instance_status (const Failover *failover, uint32_t instance);
