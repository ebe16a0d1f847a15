/**
 * DOC: One caller's session: its statements, its transaction, and the position its reads must see.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/stream.h"
#include "pool/pool-server.h"

typedef struct PoolSession PoolSession;
typedef struct SessionForward SessionForward;

/** enum SessionEnd - Why a session ends. */
typedef enum
{
  SESSION_END_CALLER,      /* its caller ended it */
  SESSION_END_CALLER_LOST, /* its caller closed the connection, or the connection broke */
  SESSION_END_PROTOCOL,    /* its caller, or the host that forwards it, sent a malformed message */
  SESSION_END_REFUSED,     /* it could not be opened */
  SESSION_END_OWNER,       /* its owner was lost or is draining */
  SESSION_END_ROUTE,       /* its route leads to another owner */
  SESSION_END_KEY,         /* its caller's key is no longer valid */
  SESSION_END_MEMORY,      /* it held too much of this host's memory */
  SESSION_END_SLOW,        /* its caller did not send a whole message, or take an answer, in time */
  SESSION_END_ROOM,        /* another caller needs its place */
  SESSION_END_DRAIN,       /* this host is draining */
  SESSION_END_PROCESS,     /* the process ends */
  SESSION_END_COUNT
} SessionEnd;

/**
 * pool_session_new() - Session on the accepted socket @fd; it frees itself when it ends.
 * @forwarded: the connection comes from another host, which forwards the session.
 */
PoolSession *pool_session_new (PoolServer *server, int fd, bool forwarded);

/**
 * pool_session_check() - Ends the session, between two operations, if its key is gone or its owner
 * can no longer serve it.
 */
void pool_session_check (PoolSession *session);

/** pool_session_memory() - Bytes that the session holds. */
gsize pool_session_memory (const PoolSession *session);

/**
 * pool_session_idle_since_ms() - When the caller last sent anything, if the session can end without
 * a loss: no operation is under way. Else INT64_MAX.
 */
int64_t pool_session_idle_since_ms (const PoolSession *session);

/** pool_session_is_open() - Whether its caller has opened it on a database. */
bool pool_session_is_open (const PoolSession *session);

/**
 * pool_session_finish() - Ends the session as soon as the caller has what was written to it. Work
 * under way is abandoned; write its answer first.
 */
void pool_session_finish (PoolSession *session, SessionEnd reason);

/** pool_session_close() - Closes the session now, whatever its state. */
void pool_session_close (PoolSession *session, SessionEnd reason);

/** pool_session_drain() - Ends the session if the phase of the host's shutdown asks for that. */
void pool_session_drain (PoolSession *session);
