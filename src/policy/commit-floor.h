/**
 * DOC: A position that an acknowledged commit has for certain. The position in the answer to a
 * commit is the end of the log then, and may be that of a later commit which nobody has
 * acknowledged; but a commit lies beyond every position that was known before it was sent. Without
 * I/O and clock.
 */
#pragma once

#include <stdint.h>

#include "policy/session-token.h"

/** Positions kept, and the minimum time between two of them, in milliseconds. */
#define COMMIT_FLOOR_POSITIONS 16
#define COMMIT_FLOOR_SPACING_MS 10

/** struct CommitFloor - Latest positions of one primary, by arrival; zeroed is empty. */
typedef struct
{
  int64_t known_ms[COMMIT_FLOOR_POSITIONS];
  SessionToken positions[COMMIT_FLOOR_POSITIONS];
  uint32_t next;
} CommitFloor;

/** commit_floor_record() - The primary's log reached @position, as an answer told at @now_ms. */
void commit_floor_record (CommitFloor *floor, SessionToken position, int64_t now_ms);

/**
 * commit_floor_of() - Least position that a commit sent at @sent_ms can have; zero if no position
 * from before is kept.
 */
SessionToken commit_floor_of (const CommitFloor *floor, int64_t sent_ms);
