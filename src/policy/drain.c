#include "policy/drain.h"

void
drain_begin (Drain *drain, int64_t now_ms)
{
  if (drain->phase != DRAIN_SERVING)
    return;
  drain->phase = DRAIN_ANNOUNCED;
  drain->began_ms = now_ms;
}

DrainPhase
drain_tick (Drain *drain, DrainLoad load, int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - drain->began_ms;

  if (drain->phase == DRAIN_ANNOUNCED && elapsed_ms >= drain->options.announce_ms)
    drain->phase = DRAIN_CLOSING;
  if (drain->phase != DRAIN_CLOSING)
    return drain->phase;
  if (load.callers == 0 && load.jobs == 0)
    drain->phase = DRAIN_ENDED;
  if (elapsed_ms >= drain->options.limit_ms)
    drain->phase = DRAIN_ENDED;
  return drain->phase;
}
