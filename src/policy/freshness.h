/**
 * DOC: Age of a replica's data, computed from the owner's own history of (local time, position
 * of the primary), so no clock of another machine is involved.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** Number of samples; at one sample per poll they span the greatest age that can be configured. */
#define FRESHNESS_SAMPLES 512

/** struct Freshness - Ring buffer of the primary's positions. */
typedef struct
{
  struct
  {
    int64_t began_ms;
    SessionToken position;
  } samples[FRESHNESS_SAMPLES];
  uint32_t next;
  uint32_t count;
} Freshness;

/**
 * freshness_sample() - Records that the primary was at @position in a poll that began at
 * @began_ms.
 */
void freshness_sample (Freshness *freshness, int64_t began_ms, SessionToken position);

/**
 * freshness_age_ms() - Upper bound on the age at @now_ms of data that includes @applied; -1 if
 * the history does not reach back that far (treat as too old).
 */
int64_t freshness_age_ms (const Freshness *freshness, SessionToken applied, int64_t now_ms);
