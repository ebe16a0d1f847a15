/**
 * DOC: Graceful shutdown of a host: announce, hand ownership on, serve until each caller is
 * between transactions, then end.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** enum DrainPhase - Where a host stands in its shutdown. */
typedef enum
{
  DRAIN_SERVING,
  DRAIN_ANNOUNCED, /* peers and the balancer are told; callers are still accepted */
  DRAIN_CLOSING,   /* no new callers; each caller is ended between transactions */
  DRAIN_ENDED      /* nothing is in flight, or the limit has passed */
} DrainPhase;

/**
 * struct DrainOptions - Limits.
 * @announce_ms: time for the others to learn of it.
 * @limit_ms: longest shutdown; transactions open then are cut, and logged.
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
 * struct DrainLoad - What is in flight on the host.
 * @callers: caller connections open.
 * @jobs: statements and transactions held as an owner.
 */
typedef struct
{
  uint64_t callers;
  uint64_t jobs;
} DrainLoad;

/** drain_begin() - Starts the shutdown; a second call changes nothing. */
void drain_begin (Drain *drain, int64_t now_ms);

/** drain_tick() - Moves on and returns the phase. */
DrainPhase drain_tick (Drain *drain, DrainLoad load, int64_t now_ms);
