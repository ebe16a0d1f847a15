#include "policy/drain.h"

/* The load balancer takes a host out after two checks, a second apart. */
#define ANNOUNCE_MS 2300
/* Time for the last answers to reach their callers, at most this share of the limit. */
#define DELIVERY_MS 300
#define DELIVERY_DIVISOR 10

static const char *const phase_names[DRAIN_PHASE_COUNT] = {
  [DRAIN_SERVING] = "serving",   [DRAIN_ANNOUNCED] = "announced", [DRAIN_CLOSING] = "closing",
  [DRAIN_ABORTING] = "aborting", [DRAIN_ANSWERING] = "answering", [DRAIN_ENDED] = "ended",
};

static int64_t
min_ms (int64_t a_ms, int64_t b_ms)
{
  return a_ms < b_ms ? a_ms : b_ms;
}

DrainOptions
drain_options_for_limit (int64_t limit_ms)
{
  return (DrainOptions){
    .announce_ms = min_ms (ANNOUNCE_MS, limit_ms / 2),
    .abort_ms = limit_ms * 2 / 3,
    .answer_ms = limit_ms - min_ms (DELIVERY_MS, limit_ms / DELIVERY_DIVISOR),
    .limit_ms = limit_ms,
  };
}

const char *
drain_phase_name (DrainPhase phase)
{
  return phase_names[phase];
}

void
drain_begin (Drain *drain, int64_t now_ms)
{
  if (drain->phase != DRAIN_SERVING)
    return;
  drain->phase = DRAIN_ANNOUNCED;
  drain->began_ms = now_ms;
}

static bool
is_due (int64_t start_ms, int64_t elapsed_ms)
{
  return start_ms > 0 && elapsed_ms >= start_ms;
}

DrainPhase
drain_tick (Drain *drain, DrainLoad load, int64_t now_ms)
{
  const int64_t elapsed_ms = now_ms - drain->began_ms;

  if (drain->phase == DRAIN_ANNOUNCED && elapsed_ms >= drain->options.announce_ms)
    drain->phase = DRAIN_CLOSING;
  if (drain->phase == DRAIN_CLOSING && is_due (drain->options.abort_ms, elapsed_ms))
    drain->phase = DRAIN_ABORTING;
  if ((drain->phase == DRAIN_CLOSING || drain->phase == DRAIN_ABORTING)
      && is_due (drain->options.answer_ms, elapsed_ms))
    drain->phase = DRAIN_ANSWERING;
  if (drain->phase < DRAIN_CLOSING)
    return drain->phase;
  if ((load.callers == 0 && load.jobs == 0) || elapsed_ms >= drain->options.limit_ms)
    drain->phase = DRAIN_ENDED;
  return drain->phase;
}

bool
drain_may_open (DrainPhase phase)
{
  return phase <= DRAIN_CLOSING;
}

bool
drain_may_start (DrainPhase phase, DrainSession session)
{
  switch (phase)
    {
    case DRAIN_SERVING:
    case DRAIN_ANNOUNCED:
      return true;
    case DRAIN_CLOSING:
      return session.transaction || session.late;
    case DRAIN_ABORTING:
    case DRAIN_ANSWERING:
    case DRAIN_ENDED:
    case DRAIN_PHASE_COUNT:
      return false;
    }
  return false;
}

DrainAction
drain_session_action (DrainPhase phase, DrainSession session)
{
  switch (phase)
    {
    case DRAIN_SERVING:
    case DRAIN_ANNOUNCED:
      return DRAIN_KEEP;
    case DRAIN_CLOSING:
      return session.statement || session.transaction || session.late ? DRAIN_KEEP : DRAIN_END;
    case DRAIN_ABORTING:
      return session.statement ? DRAIN_KEEP : DRAIN_END;
    case DRAIN_ANSWERING:
    case DRAIN_ENDED:
    case DRAIN_PHASE_COUNT:
      return session.statement ? DRAIN_ANSWER : DRAIN_END;
    }
  return DRAIN_KEEP;
}
