#include "policy/conn-health.h"

void
conn_health_request_sent (ConnHealth *health, int64_t now_ms)
{
  if (health->awaiting_since_ms == 0)
    health->awaiting_since_ms = now_ms;
}

void
conn_health_received (ConnHealth *health, int64_t now_ms)
{
  health->received_ms = now_ms;
  health->awaiting_since_ms = 0;
}

static ConnAction
check_unanswered (const ConnHealth *health, const ConnHealthOptions *options,
                  int64_t newer_received_ms, int64_t now_ms)
{
  int64_t silent_ms = now_ms - health->awaiting_since_ms;

  if (silent_ms < options->unresponsive_after_ms)
    return CONN_WAIT;
  if (newer_received_ms > health->awaiting_since_ms)
    return CONN_RETIRE;
  return silent_ms >= 2 * options->unresponsive_after_ms ? CONN_RETIRE : CONN_WAIT;
}

ConnAction
conn_health_check (const ConnHealth *health, const ConnHealthOptions *options,
                   int64_t newer_received_ms, int64_t now_ms)
{
  if (health->awaiting_since_ms != 0)
    return check_unanswered (health, options, newer_received_ms, now_ms);
  if (now_ms - health->received_ms >= options->probe_after_ms)
    return CONN_PROBE;
  return CONN_USE;
}
