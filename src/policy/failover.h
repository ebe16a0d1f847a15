/**
 * DOC: Failover of one database group, as decided by one of the hosts that monitor it. Several
 * monitors may act at once: safety depends only on the terms of the group.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/commit-gate.h"
#include "policy/session-token.h"

/** enum InstanceRole - Role that an instance reports. */
typedef enum
{
  ROLE_REPLICA,
  ROLE_PRIMARY,
  ROLE_FENCED /* was primary; it has accepted a later term */
} InstanceRole;

/**
 * struct InstanceStatus - An instance's latest answer to a poll.
 * @answered_ms: when it arrived; 0 for never.
 * @role: its role.
 * @term: greatest term that it has accepted.
 * @received: position of its last log entry.
 * @applied: position of the last entry that it has applied.
 * @heard_primary_ms: time since it last heard from its primary, as of the answer; -1 for never.
 * @leaving: the configuration marks it as leaving.
 * @following: index of the instance that it replicates from; -1 for none.
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
 * struct FailoverOptions - Limits of a monitor.
 * @instance_count: instances in the group.
 * @suspect_after_ms: time without an answer after which the primary is suspect.
 * @step_timeout_ms: timeout of each command.
 * @rank_delay_ms: extra delay per rank, so that the monitor of rank 0 acts first.
 * @seed: seed of the random backoff after conflicts with other monitors.
 */
typedef struct
{
  uint32_t instance_count;
  int64_t suspect_after_ms;
  int64_t step_timeout_ms;
  int64_t rank_delay_ms;
  uint64_t seed;
} FailoverOptions;

/** enum FailoverCommandKind - Command to an instance. */
typedef enum
{
  FAILOVER_ADVANCE_TERM, /* refuse writes and replication of lower terms */
  FAILOVER_PROMOTE,      /* become the primary of the term */
  FAILOVER_FOLLOW        /* replicate from the primary of the term */
} FailoverCommandKind;

/** struct FailoverCommand - A command to one instance. */
typedef struct
{
  FailoverCommandKind kind;
  uint32_t instance;
  uint64_t term;
  uint32_t primary;
} FailoverCommand;

/** enum FailoverPhase - Phase of a monitor. */
typedef enum
{
  FAILOVER_MONITORING,
  FAILOVER_HOLDING,   /* switchover: new work is held until a replica has caught up */
  FAILOVER_ADVANCING, /* the next term was sent; a majority has to accept it */
  FAILOVER_PROMOTING, /* the chosen replica was sent the promotion */
  FAILOVER_BACKOFF    /* the attempt failed or conflicted; waiting before the next one */
} FailoverPhase;

typedef struct Failover Failover;

/** failover_new() - Creates the monitor of one group; free it with failover_free(). */
Failover *failover_new (const FailoverOptions *options);

/** failover_free() - Frees the monitor. */
void failover_free (Failover *failover);

/** failover_set_rank() - Sets the rank of this host among the monitors; 0 acts first. */
void failover_set_rank (Failover *failover, uint32_t rank);

/**
 * failover_awaits_status() - Whether the failover waits for the status of @instance: its log may
 * have grown after its last answer and before it took the new term.
 */
bool failover_awaits_status (const Failover *failover, uint32_t instance);

/** failover_record_status() - Records an instance's answer to a poll. */
void failover_record_status (Failover *failover, uint32_t instance, const InstanceStatus *status);

/** failover_set_leaving() - Sets whether the configuration marks @instance as leaving. */
void failover_set_leaving (Failover *failover, uint32_t instance, bool leaving);

/**
 * failover_set_busy() - Sets whether work runs on the primary; a switchover waits for it, at
 * most half of its time limit.
 */
void failover_set_busy (Failover *failover, bool busy);

/** failover_record_applied() - Records that @instance has applied @position, as a result showed. */
void failover_record_applied (Failover *failover, uint32_t instance, SessionToken position);

/**
 * failover_command_done() - A command ended; @accepted is false if it was refused or its answer
 * was lost.
 */
void failover_command_done (Failover *failover, const FailoverCommand *command, bool accepted,
                            int64_t now_ms);

/**
 * failover_tick() - Advances the state to @now_ms; call until failover_next_command() returns
 * false.
 */
void failover_tick (Failover *failover, int64_t now_ms);

/** failover_next_command() - Removes a command to execute; false if there is none. */
bool failover_next_command (Failover *failover, FailoverCommand *command);

/** failover_phase() - Current phase. */
FailoverPhase failover_phase (const Failover *failover);

/** failover_primary() - Index of the primary of the greatest term seen; -1 if none. */
int32_t failover_primary (const Failover *failover);

/** failover_term() - Greatest term seen. */
uint64_t failover_term (const Failover *failover);

/** failover_is_responding() - Whether @instance answered within @suspect_after_ms. */
bool failover_is_responding (const Failover *failover, uint32_t instance, int64_t now_ms);

/** failover_majority_is_responding() - Whether a majority answered within @suspect_after_ms. */
bool failover_majority_is_responding (const Failover *failover, int64_t now_ms);

/** failover_instance_status() - Latest status of @instance. */
const InstanceStatus *failover_instance_status (const Failover *failover, uint32_t instance);
