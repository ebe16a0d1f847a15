/**
 * DOC: One client connection of an emulated instance: protocol, transactions, statements.
 */
#pragma once

#include "base/stream.h"
#include "standin/database-group.h"

typedef struct BackendSession BackendSession;

/**
 * struct BackendSessionCallbacks - Requests of a session to its server.
 * @slot_requested: a statement is ready to run; the server calls backend_session_start() at once or
 *   when a slot becomes free.
 * @slot_freed: the statement ended, or gave up its slot to wait for a lock.
 * @cancel: a cancel request for (pid, key) was received.
 * @closed: the connection closed; the server frees the session.
 */
typedef struct
{
  void (*slot_requested) (void *data, BackendSession *session);
  void (*slot_freed) (void *data, BackendSession *session);
  void (*cancel) (void *data, uint32_t pid, uint32_t key);
  void (*closed) (void *data, BackendSession *session);
} BackendSessionCallbacks;

/** struct BackendSessionOptions - Parameters of an accepted connection. */
typedef struct
{
  DatabaseGroup *group;
  uint32_t instance;
  const DatabaseGroupOptions *emulation;
  const BackendSessionCallbacks *callbacks;
  void *callback_data;
  uint32_t pid;
  bool refuse; /* reject with 53300, the connection limit is reached */
  int fd;
} BackendSessionOptions;

/** backend_session_new() - Serves the connection; takes ownership of @options->fd. */
BackendSession *backend_session_new (TALLOC_CTX *parent, struct tevent_context *events,
                                     const BackendSessionOptions *options);

/**
 * backend_session_start() - Grants the slot; the statement takes @service_us, and longer if it
 * calls pg_sleep().
 */
void backend_session_start (BackendSession *session, uint32_t service_us);

/**
 * backend_session_cancel() - Cancels the running statement if (pid, key) match; returns whether
 * they do.
 */
bool backend_session_cancel (BackendSession *session, uint32_t pid, uint32_t key);

/** backend_session_set_paused() - Pauses or resumes all processing. */
void backend_session_set_paused (BackendSession *session, bool paused);

/**
 * backend_session_blackhole() - Emulates a network that drops all packets of this connection.
 * The server's keepalive then closes the session after a while.
 */
void backend_session_blackhole (BackendSession *session);

/**
 * backend_session_tick() - Answers a status call whose wait is over; closes a session whose
 * keepalive has timed out.
 */
void backend_session_tick (BackendSession *session, int64_t now_ms);

/**
 * backend_session_transaction_idle_ms() - Time since the last message in an open transaction; -1
 * if none is open.
 */
int64_t backend_session_transaction_idle_ms (const BackendSession *session, int64_t now_ms);

/**
 * backend_session_roll_back() - Rolls back an open transaction and leaves the session in a failed
 * transaction block.
 */
void backend_session_roll_back (BackendSession *session);
