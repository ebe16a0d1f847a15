/**
 * DOC: One connection of a stand-in instance: protocol, transactions, statements.
 */
#pragma once

#include "base/stream.h"
#include "standin/database-group.h"

typedef struct BackendSession BackendSession;

/**
 * struct BackendSessionCallbacks - What a session asks of its server.
 * @slot_wanted: a statement wants to run; answer with backend_session_start(), now or later.
 * @slot_freed: the statement ended.
 * @cancel: a cancel request for (pid, key) came in.
 * @closed: the connection ended; free the session.
 */
typedef struct
{
  void (*slot_wanted) (void *data, BackendSession *session);
  void (*slot_freed) (void *data, BackendSession *session);
  void (*cancel) (void *data, uint32_t pid, uint32_t key);
  void (*closed) (void *data, BackendSession *session);
} BackendSessionCallbacks;

/** struct BackendSessionOptions - A new connection. */
typedef struct
{
  DatabaseGroup *group;
  uint32_t instance;
  const DatabaseGroupOptions *emulation;
  const BackendSessionCallbacks *callbacks;
  void *callback_data;
  uint32_t pid;
  bool refuse; /* too many connections */
  int fd;
} BackendSessionOptions;

/** backend_session_new() - Takes over @options->fd. */
BackendSession *backend_session_new (TALLOC_CTX *parent, struct tevent_context *events,
                                     const BackendSessionOptions *options);

/** backend_session_start() - The slot is there; the statement takes @service_us. */
void backend_session_start (BackendSession *session, uint32_t service_us);

/** backend_session_cancel() - Cancels what runs if (pid, key) match. Returns whether they do. */
bool backend_session_cancel (BackendSession *session, uint32_t pid, uint32_t key);

/** backend_session_set_paused() - Stops or resumes all processing. */
void backend_session_set_paused (BackendSession *session, bool frozen);

/**
 * backend_session_blackhole() - The network loses track of the connection: nothing passes any
 * more. The server's own keepalive ends the session after a while.
 */
void backend_session_blackhole (BackendSession *session);

/** backend_session_tick() - Answers a status poll whose wait is over. */
void backend_session_tick (BackendSession *session, int64_t now_ms);

/** backend_session_transaction_idle_ms() - Pause inside an open transaction; -1 if none is open. */
int64_t backend_session_transaction_idle_ms (const BackendSession *session, int64_t now_ms);

/** backend_session_roll_back() - Rolls back an open transaction; it is left failed. */
void backend_session_roll_back (BackendSession *session);
