/**
 * DOC: One emulated database instance as a server: connections, execution slots, statements.
 */
#pragma once

#include "standin/database-group.h"

typedef struct BackendServer BackendServer;

/** struct BackendServerOptions - Group and index of the instance, and what to emulate. */
typedef struct
{
  DatabaseGroup *group;
  uint32_t instance;
  const DatabaseGroupOptions *emulation;
} BackendServerOptions;

/** backend_server_new() - Starts listening; returns %NULL if the port is unavailable. */
BackendServer *backend_server_new (TALLOC_CTX *parent, struct tevent_context *events,
                                   const BackendServerOptions *options);

/** backend_server_port() - Port that the server listens on. */
uint16_t backend_server_port (const BackendServer *server);

/** backend_server_stats() - Current counters of the server. */
StandinStats backend_server_stats (const BackendServer *server);

/** backend_server_set_down() - Resets all connections and stops listening, or listens again. */
void backend_server_set_down (BackendServer *server, bool down);

/** backend_server_close_sessions() - Resets all connections. */
void backend_server_close_sessions (BackendServer *server);

/**
 * backend_server_roll_back() - Rolls back all open transactions; their next statement gets an
 * error.
 */
void backend_server_roll_back (BackendServer *server);

/**
 * backend_server_blackhole() - Stops all traffic on the connections open now, for good; new
 * connections work.
 */
void backend_server_blackhole (BackendServer *server);

/** backend_server_set_paused() - Pauses or resumes all processing, as SIGSTOP and SIGCONT do. */
void backend_server_set_paused (BackendServer *server, bool paused);

/** backend_server_set_service_time() - Sets the duration of a statement in microseconds. */
void backend_server_set_service_time (BackendServer *server, uint32_t service_us);

/**
 * backend_server_tick() - Answers status calls whose wait is over; closes sessions whose keepalive
 * has timed out.
 */
void backend_server_tick (BackendServer *server, int64_t now_ms);
