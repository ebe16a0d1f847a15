/**
 * DOC: Commit gate of one group: holds a response back until a majority of the group's instances
 * has replicated its log position in its term and, where requested, has confirmed the term in a
 * poll that began after the request arrived.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** Largest number of instances in a group. */
#define GROUP_INSTANCES_MAX 9

typedef struct CommitGate CommitGate;

/** enum GateResult - Why a response left the gate. */
typedef enum
{
  GATE_RELEASED,   /* a majority has replicated it; it may be sent */
  GATE_SUPERSEDED, /* there is a later term, in which the outcome must be looked up */
  GATE_EXPIRED     /* no majority before the timeout */
} GateResult;

/**
 * struct GatedResponse - A response held back.
 * @position: log position that a majority must have replicated.
 * @confirm_after_us: the term must be confirmed by polls that began at or after this time; 0 if
 *   no confirmation is needed.
 * @expires_ms: time from which the response leaves as %GATE_EXPIRED.
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
 * struct GateReport - An instance's answer to a poll.
 * @instance: index in the group.
 * @term: greatest term that it has accepted.
 * @received: position of its last log entry.
 * @began_us: when the poll was sent.
 */
typedef struct
{
  uint32_t instance;
  uint64_t term;
  SessionToken received;
  int64_t began_us;
} GateReport;

/** commit_gate_new() - Creates a gate for a group of @instance_count instances. */
CommitGate *commit_gate_new (uint32_t instance_count);

/** commit_gate_free() - Frees the gate; responses still held are dropped. */
void commit_gate_free (CommitGate *gate);

/** commit_gate_report() - Records the answer to a poll. */
void commit_gate_report (CommitGate *gate, const GateReport *report);

/** commit_gate_record_position() - Records that the log of @instance includes @position. */
void commit_gate_record_position (CommitGate *gate, uint32_t instance, SessionToken position);

/** commit_gate_add() - Holds a response until commit_gate_pop() returns it. */
void commit_gate_add (CommitGate *gate, const GatedResponse *response);

/** commit_gate_pop() - Removes a response that may leave at @now_ms; false if there is none. */
bool commit_gate_pop (CommitGate *gate, int64_t now_ms, GatedResponse *response,
                      GateResult *result);

/** commit_gate_waiting() - Number of responses held. */
uint32_t commit_gate_waiting (const CommitGate *gate);

/**
 * commit_gate_awaited_position() - Lowest position that a held response waits for and that
 * @instance is not known to have replicated; false if there is none.
 */
bool commit_gate_awaited_position (const CommitGate *gate, uint32_t instance,
                                   SessionToken *position);

/** commit_gate_needs_confirmation() - Whether a response waits for a newer poll of @instance. */
bool commit_gate_needs_confirmation (const CommitGate *gate, uint32_t instance);

/**
 * commit_gate_majority_position() - Greatest log position among the instances polled at or after
 * @after_us; false unless they are a majority. Any majority includes an instance that has every
 * commit acknowledged before then, so the position covers all of them, even without a primary.
 */
bool commit_gate_majority_position (const CommitGate *gate, int64_t after_us,
                                    SessionToken *position);

/**
 * commit_gate_confirmed_us() - Latest time T such that a majority confirmed @term in polls that
 * began at or after T; 0 if there is none.
 */
int64_t commit_gate_confirmed_us (const CommitGate *gate, uint64_t term);
