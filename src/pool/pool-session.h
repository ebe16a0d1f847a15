/**
 * DOC: One caller's session: its statements, its transaction, and what it must read.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/stream.h"
#include "pool/pool-server.h"

typedef struct PoolSession PoolSession;

/** pool_session_new() - Session on the accepted socket @fd; it frees itself at its end. */
PoolSession *pool_session_new (PoolServer *server, int fd);

/** pool_session_close() - Ends it now, whatever it does. */
void pool_session_close (PoolSession *session);

/** pool_session_is_idle() - Outside a transaction and with nothing asked. */
bool pool_session_is_idle (const PoolSession *session);

/** pool_session_idle_ms() - Time since its last statement ended. */
int64_t pool_session_idle_ms (const PoolSession *session, int64_t now_ms);
