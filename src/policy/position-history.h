/**
 * DOC: History of a primary's positions with their times, for reads that accept data of a
 * limited age.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** Number of samples; at POSITION_SPACING_MS they cover the ages that classes accept. */
#define POSITION_SAMPLES 64
/** Minimum time between samples, in milliseconds; a closer one replaces the last one. */
#define POSITION_SPACING_MS 60

/** struct PositionSample - @position includes every commit that was acknowledged before @at_ms. */
typedef struct
{
  int64_t at_ms;
  SessionToken position;
} PositionSample;

/** struct PositionHistory - Samples in order of time; zeroed is empty. */
typedef struct
{
  PositionSample samples[POSITION_SAMPLES];
  uint32_t first;
  uint32_t count;
} PositionHistory;

/**
 * position_history_add() - The primary reported @position in its answer to a request sent at
 * @at_ms.
 */
void position_history_add (PositionHistory *history, int64_t at_ms, SessionToken position);

/**
 * position_history_since() - Lowest position that includes every commit acknowledged before
 * @since_ms. False if no sample is that recent.
 */
bool position_history_since (const PositionHistory *history, int64_t since_ms,
                             PositionSample *sample);

/** position_history_last() - The latest sample; its time is 0 if there is none. */
void position_history_last (const PositionHistory *history, PositionSample *sample);
