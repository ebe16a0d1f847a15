/**
 * DOC: Replays a trace: runs the policies on recorded inputs and compares their decisions.
 */
#pragma once

#include <stdint.h>
#include <stdio.h>

/** struct ReplayResult - Decisions compared by kind, malformed lines and differing decisions. */
typedef struct
{
  uint64_t choices;
  uint64_t failure_actions;
  uint64_t queue_events;
  uint64_t malformed;
  uint64_t differing;
} ReplayResult;

/**
 * replay_run() - Replays @in; prints differing decisions and malformed lines with their numbers to
 * @out, up to a limit for the former.
 */
ReplayResult replay_run (FILE *in, FILE *out);
