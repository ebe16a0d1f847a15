/**
 * DOC: Health of one connection that can go silent for good while new ones work.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConnHealthOptions - Limits.
 * @probe_after_ms: idle time after which a connection is proved before reuse.
 * @silent_after_ms: time without an expected answer after which it is suspected.
 */
typedef struct
{
  int64_t probe_after_ms;
  int64_t silent_after_ms;
} ConnHealthOptions;

/**
 * struct ConnHealth - What is known of the connection.
 * @received_ms: when it last answered.
 * @awaiting_since_ms: when the oldest unanswered question was sent; 0 for none.
 */
typedef struct
{
  int64_t received_ms;
  int64_t awaiting_since_ms;
} ConnHealth;

/** enum ConnAction - What to do with a connection. */
typedef enum
{
  CONN_USE,   /* healthy */
  CONN_PROBE, /* ask for a sign of life before relying on it */
  CONN_WAIT,  /* an answer is due but not late */
  CONN_RETIRE /* silent: close it */
} ConnAction;

/** conn_health_request_sent() - A question went out. */
void conn_health_request_sent (ConnHealth *health, int64_t now_ms);

/** conn_health_received() - Any byte came in. */
void conn_health_received (ConnHealth *health, int64_t now_ms);

/**
 * conn_health_check() - Decides at @now_ms. @newer_heard_ms is when a connection opened
 * later to the same place last answered, or 0: a silent connection is retired at once
 * when a newer one answers, and at twice the limit otherwise.
 */
ConnAction conn_health_check (const ConnHealth *health, const ConnHealthOptions *options,
                              int64_t newer_heard_ms, int64_t now_ms);
