/**
 * DOC: Positions that a group's primary was seen at, and when, for reads that accept data of
 * a given age.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** Samples kept; with POSITION_SPACING_MS between them they cover the ages that classes accept. */
#define POSITION_SAMPLES 64
/** Samples closer together than this replace each other, in milliseconds. */
#define POSITION_SPACING_MS 60

/** struct PositionSample - Every commit acknowledged before @at_ms lies at or before @position. */
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

/** position_history_add() - The primary was at @position in an answer to a request sent @at_ms. */
void position_history_add (PositionHistory *history, int64_t at_ms, SessionToken position);

/**
 * position_history_since() - The least position that holds every commit acknowledged before
 * @since_ms. False if no sample is that recent.
 */
bool position_history_since (const PositionHistory *history, int64_t since_ms,
                             PositionSample *sample);

/** position_history_last() - The newest sample; time 0 if there is none. */
void position_history_last (const PositionHistory *history, PositionSample *sample);
