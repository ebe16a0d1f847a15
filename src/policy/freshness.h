/**
 * DOC: Age of a replica's data, from the owner's own history of (local time, position of
 * the primary). No clock of another machine takes part.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** Samples kept; at one sample per poll they span the greatest configurable age. */
#define FRESHNESS_SAMPLES 512

/** struct Freshness - Ring of samples of the primary's position. */
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

/** freshness_sample() - The primary was at @position in a poll that began at @began_ms. */
void freshness_sample (Freshness *freshness, int64_t began_ms, SessionToken position);

/**
 * freshness_age_ms() - Upper bound on the age at @now_ms of data that includes @applied;
 * -1 when the history does not reach that far (treat as too old).
 */
int64_t freshness_age_ms (const Freshness *freshness, SessionToken applied, int64_t now_ms);
