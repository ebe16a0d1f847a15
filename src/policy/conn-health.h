/**
 * DOC: Health check of a connection that may stop responding for good while new connections
 * work.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConnHealthOptions - Limits.
 * @probe_after_ms: idle time after which a connection is probed before reuse.
 * @unresponsive_after_ms: time without an expected answer after which the connection is suspect.
 */
typedef struct
{
  int64_t probe_after_ms;
  int64_t unresponsive_after_ms;
} ConnHealthOptions;

/**
 * struct ConnHealth - State of a connection.
 * @received_ms: when data last arrived.
 * @awaiting_since_ms: when the oldest unanswered request was sent; 0 for none.
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
  CONN_PROBE, /* send a probe before using it */
  CONN_WAIT,  /* an answer is pending but not overdue */
  CONN_RETIRE /* unresponsive: close it */
} ConnAction;

/** conn_health_request_sent() - A request was sent. */
void conn_health_request_sent (ConnHealth *health, int64_t now_ms);

/** conn_health_received() - Any data arrived. */
void conn_health_received (ConnHealth *health, int64_t now_ms);

/**
 * conn_health_check() - Decides at @now_ms. @newer_received_ms is when a connection that was opened
 * later to the same server last received data, or 0. If that is newer than the unanswered
 * request, a connection past @unresponsive_after_ms is retired at once, otherwise after twice that
 * time.
 */
ConnAction conn_health_check (const ConnHealth *health, const ConnHealthOptions *options,
                              int64_t newer_received_ms, int64_t now_ms);
