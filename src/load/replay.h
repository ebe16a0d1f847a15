/**
 * DOC: Replay of a trace: puts recorded inputs to the policies and compares the results.
 */
#pragma once

#include <stdint.h>
#include <stdio.h>

/** struct ReplayResult - Counts of a replay. */
typedef struct
{
  uint64_t choices;
  uint64_t failure_actions;
  uint64_t queue_events;
  uint64_t malformed;
  uint64_t differing;
} ReplayResult;

/** replay_run() - Replays @in; each difference is printed to @out with its line number. */
ReplayResult replay_run (FILE *in, FILE *out);
