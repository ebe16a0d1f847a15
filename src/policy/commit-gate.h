/**
 * DOC: Commit gate of one group: holds answers until a majority of the group's instances
 * holds the answer's log position in its term and, where asked, has confirmed the term by a
 * poll that began after the request arrived.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** Largest number of instances in a group. */
#define GROUP_INSTANCES_MAX 9

typedef struct CommitGate CommitGate;

/** enum GateResult - Why an answer left the gate. */
typedef enum
{
  GATE_RELEASED,   /* a majority holds it; it may be answered */
  GATE_SUPERSEDED, /* a later term exists; the outcome must be looked up there */
  GATE_EXPIRED     /* no majority in time */
} GateResult;

/**
 * struct GatedResponse - One answer to hold.
 * @position: log position that a majority must hold.
 * @confirm_after_us: the term must be confirmed by polls begun at or after this time;
 *   0 asks for no confirmation.
 * @expires_ms: time after which the answer leaves as %GATE_EXPIRED.
 * @data: returned with the result.
 */
typedef struct
{
  SessionToken position;
  int64_t confirm_after_us;
  int64_t expires_ms;
  void *data;
} GatedResponse;

/**
 * struct GateReport - What one instance said of itself in a poll.
 * @instance: index in the group.
 * @term: greatest term it has accepted.
 * @received: its last log entry.
 * @began_us: when the poll was sent.
 */
typedef struct
{
  uint32_t instance;
  uint64_t term;
  SessionToken received;
  int64_t began_us;
} GateReport;

/** commit_gate_new() - Gate for a group of @instance_count instances. */
CommitGate *commit_gate_new (uint32_t instance_count);

/** commit_gate_free() - Frees the gate; tickets still held are dropped. */
void commit_gate_free (CommitGate *gate);

/** commit_gate_report() - Records a poll's answer. */
void commit_gate_report (CommitGate *gate, const GateReport *report);

/** commit_gate_record_position() - @instance showed that its log holds @position. */
void commit_gate_record_position (CommitGate *gate, uint32_t instance, SessionToken position);

/** commit_gate_add() - Holds an answer; it leaves through commit_gate_pop(). */
void commit_gate_add (CommitGate *gate, const GatedResponse *ticket);

/** commit_gate_pop() - Takes out one answer that may leave at @now_ms; false if there is none. */
bool commit_gate_pop (CommitGate *gate, int64_t now_ms, GatedResponse *ticket, GateResult *result);

/** commit_gate_waiting() - Number of answers held. */
uint32_t commit_gate_waiting (const CommitGate *gate);

/**
 * commit_gate_awaited_position() - Lowest position that @instance has not been seen to hold while
 * an answer waits for it; false when no answer waits for this instance's position.
 */
bool commit_gate_awaited_position (const CommitGate *gate, uint32_t instance, SessionToken *target);

/** commit_gate_needs_confirmation() - Whether an answer waits for a poll of @instance begun later.
 */
bool commit_gate_needs_confirmation (const CommitGate *gate, uint32_t instance);

/**
 * commit_gate_majority_position() - Greatest last entry among the instances, once a majority
 * was polled at or after @after_us. Every commit acknowledged before then is held by some
 * instance of any majority, so the position covers it; no primary takes part.
 */
bool commit_gate_majority_position (const CommitGate *gate, int64_t after_us,
                                    SessionToken *position);

/**
 * commit_gate_confirmed_us() - Latest time T such that a majority confirmed @term in polls
 * begun at or after T; 0 when there is none.
 */
int64_t commit_gate_confirmed_us (const CommitGate *gate, uint64_t term);
