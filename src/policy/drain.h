/**
 * DOC: Graceful shutdown of a host: announce it, hand ownership over, serve each caller until it
 * is between transactions, then end.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** enum DrainPhase - Phase of the shutdown. */
typedef enum
{
  DRAIN_SERVING,
  DRAIN_ANNOUNCED, /* announced to peers and load balancer; callers are still accepted */
  DRAIN_CLOSING,   /* no new callers; each caller is disconnected between transactions */
  DRAIN_ENDED      /* no work is left, or the time limit has passed */
} DrainPhase;

/**
 * struct DrainOptions - Limits.
 * @announce_ms: time for the peers and the load balancer to learn of the shutdown.
 * @limit_ms: maximum duration; transactions still open then are aborted and logged.
 */
typedef struct
{
  int64_t announce_ms;
  int64_t limit_ms;
} DrainOptions;

/** struct Drain - State of the shutdown. */
typedef struct
{
  DrainOptions options;
  DrainPhase phase;
  int64_t began_ms;
} Drain;

/**
 * struct DrainLoad - Work in progress on the host.
 * @callers: open connections of callers.
 * @jobs: statements and transactions that this host runs as an owner.
 */
typedef struct
{
  uint64_t callers;
  uint64_t jobs;
} DrainLoad;

/** drain_begin() - Starts the shutdown; further calls have no effect. */
void drain_begin (Drain *drain, int64_t now_ms);

/** drain_tick() - Updates the phase and returns it. */
DrainPhase drain_tick (Drain *drain, DrainLoad load, int64_t now_ms);
