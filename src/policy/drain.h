/**
 * DOC: Graceful shutdown of a host: announce it, hand ownership over, serve each caller until it
 * is between transactions, answer what is still owed, then end.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** enum DrainPhase - Phase of the shutdown. */
typedef enum
{
  DRAIN_SERVING,
  DRAIN_ANNOUNCED, /* announced to peers and load balancer; everything is still served */
  DRAIN_CLOSING,   /* each caller is disconnected between two operations */
  DRAIN_ABORTING,  /* a transaction that waits for its caller is rolled back */
  DRAIN_ANSWERING, /* statements that have not ended are answered without their results */
  DRAIN_ENDED,     /* no work is left, or the time limit has passed */
  DRAIN_PHASE_COUNT
} DrainPhase;

/**
 * struct DrainOptions - Limits, counted from the start of the shutdown.
 * @announce_ms: time for the peers and the load balancer to learn of the shutdown.
 * @abort_ms: start of %DRAIN_ABORTING; 0 to leave that phase out.
 * @answer_ms: start of %DRAIN_ANSWERING; 0 to leave that phase out.
 * @limit_ms: maximum duration.
 */
typedef struct
{
  int64_t announce_ms;
  int64_t abort_ms;
  int64_t answer_ms;
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

/**
 * struct DrainSession - A caller's session.
 * @statement: a statement has not been answered.
 * @transaction: a transaction is open.
 * @late: it was opened after %DRAIN_CLOSING had begun, and has run no operation yet. Its caller may
 *   have found no other host.
 */
typedef struct
{
  bool statement;
  bool transaction;
  bool late;
} DrainSession;

/** enum DrainAction - What becomes of a session. */
typedef enum
{
  DRAIN_KEEP,
  DRAIN_END,   /* end it, and roll back its transaction */
  DRAIN_ANSWER /* answer its statement now, then end it */
} DrainAction;

/** drain_options_for_limit() - Phases of a shutdown that may take @limit_ms. */
DrainOptions drain_options_for_limit (int64_t limit_ms);

/** drain_phase_name() - Name for logs. */
const char *drain_phase_name (DrainPhase phase);

/** drain_begin() - Starts the shutdown; further calls have no effect. */
void drain_begin (Drain *drain, int64_t now_ms);

/** drain_tick() - Updates the phase and returns it. */
DrainPhase drain_tick (Drain *drain, DrainLoad load, int64_t now_ms);

/** drain_may_open() - Whether a new session is served. */
bool drain_may_open (DrainPhase phase);

/** drain_may_start() - Whether a session's next statement is run. */
bool drain_may_start (DrainPhase phase, DrainSession session);

/** drain_session_action() - What to do with a session now. */
DrainAction drain_session_action (DrainPhase phase, DrainSession session);
