/**
 * DOC: One instance of the stand-in group as a server: connections, slots, statements.
 */
#pragma once

#include "standin/database-group.h"

typedef struct BackendServer BackendServer;

/** struct BackendServerOptions - Where it listens and what it emulates. */
typedef struct
{
  DatabaseGroup *group;
  uint32_t instance;
  const DatabaseGroupOptions *emulation;
} BackendServerOptions;

/** backend_server_new() - Starts listening; %NULL when the port can't be had. */
BackendServer *backend_server_new (TALLOC_CTX *parent, struct tevent_context *events,
                                   const BackendServerOptions *options);

/** backend_server_port() - Its port. */
uint16_t backend_server_port (const BackendServer *server);

/** backend_server_stats() - Its counts. */
StandinStats backend_server_stats (const BackendServer *server);

/** backend_server_set_down() - Resets all connections and refuses new ones, or ends that. */
void backend_server_set_down (BackendServer *server, bool down);

/** backend_server_close_sessions() - Resets all connections. */
void backend_server_close_sessions (BackendServer *server);

/** backend_server_roll_back() - Rolls back all open transactions; their callers are told. */
void backend_server_roll_back (BackendServer *server);

/** backend_server_blackhole() - Makes the connections open now silent for good. */
void backend_server_blackhole (BackendServer *server);

/** backend_server_set_paused() - Stops or resumes all work. */
void backend_server_set_paused (BackendServer *server, bool paused);

/** backend_server_set_service_time() - Sets the time that a statement takes, in microseconds. */
void backend_server_set_service_time (BackendServer *server, uint32_t service_us);

/** backend_server_tick() - Answers status polls whose wait is over. */
void backend_server_tick (BackendServer *server, int64_t now_ms);
