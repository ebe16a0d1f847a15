/**
 * DOC: Whether the positions that the hosts report cover every commit that was acknowledged, also
 * by host processes that have ended. A position of the primary covers the commits that were
 * acknowledged before it was asked for, so that of an ended process only a later one says anything.
 * Without I/O and clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

typedef struct AcknowledgedBound AcknowledgedBound;

/** acknowledged_bound_new() - This process starts; its former one ended before @now_ms. */
AcknowledgedBound *acknowledged_bound_new (int64_t now_ms);

/** acknowledged_bound_free() - Frees it. */
void acknowledged_bound_free (AcknowledgedBound *bound);

/**
 * acknowledged_bound_host_started() - The first message of a process of @host came. Another
 * process of that host may have acknowledged commits until then.
 */
void acknowledged_bound_host_started (AcknowledgedBound *bound, uint64_t host, int64_t now_ms);

/**
 * acknowledged_bound_host_left() - The process of @host has ended. @committed: the last commit that
 * it is known to have acknowledged. @final: it acknowledged none after that one.
 */
void acknowledged_bound_host_left (AcknowledgedBound *bound, SessionToken committed, bool final,
                                   int64_t now_ms);

/**
 * acknowledged_bound_host_lost() - @host has been silent for so long that it is no longer tracked.
 * It may be cut off, and still acknowledge commits, until a process of it is heard from.
 */
void acknowledged_bound_host_lost (AcknowledgedBound *bound, uint64_t host, SessionToken committed);

/** acknowledged_bound_committed() - Latest commit known to be acknowledged by ended processes. */
SessionToken acknowledged_bound_committed (const AcknowledgedBound *bound);

/**
 * acknowledged_bound_is_covered() - Whether a position of the primary that was asked for at
 * @position_ms covers all commits of processes that have ended. 0 for no position.
 */
bool acknowledged_bound_is_covered (const AcknowledgedBound *bound, int64_t position_ms);

/** acknowledged_bound_since_ms() - When the last process started or ended; for logs. */
int64_t acknowledged_bound_since_ms (const AcknowledgedBound *bound);
