/**
 * DOC: A caller's session from the inside, shared by the files that carry it out:
 * pool-session.c takes the caller's messages, session-route.c finds an instance and a
 * connection, session-run.c runs the statement there, session-answer.c answers.
 */
#pragma once

#include "pool/pool-session.h"

/* A statement that no instance had a slot for is tried again after this time. */
#define BUSY_RETRY_MS 25

/** enum TransactionState - Where the caller's transaction stands. */
typedef enum
{
  TRANSACTION_NONE,
  TRANSACTION_BEGUN, /* not on a connection yet */
  TRANSACTION_BOUND, /* on its connection */
  TRANSACTION_LOST,  /* rolled back, and the caller does not know */
  TRANSACTION_FAILED /* the caller was told, and has to end it */
} TransactionState;

/** enum Step - Where the statement at hand stands. */
typedef enum
{
  STEP_NONE,
  STEP_ROUTING,     /* no instance can be told */
  STEP_BACKING_OFF, /* until the next attempt */
  STEP_CONNECTING,  /* waits for a connection */
  STEP_BEGINNING,   /* BEGIN runs */
  STEP_RUNNING
} Step;

/** struct PoolSession - See pool-session.h. */
struct PoolSession
{
  PoolServer *server;
  const PoolServerOptions *options;
  Stream *stream;
  bool processing; /* input is being taken; the end waits for that */
  bool closing;
  uint64_t id;
  char *database_name;
  Catalog *catalog; /* of the operation at hand */
  const Database *database;
  ServiceGroup *group;
  SessionValues values;
  SessionToken token;
  char token_service[CATALOG_NAME_BYTES];

  TransactionState transaction;
  Statement begin;
  bool read_only;
  bool wrote;

  PoolConnection *connection;
  int64_t connection_since_us;
  char instance[CATALOG_NAME_BYTES]; /* last one that it had a connection to, for logs */

  Statement statement;
  Step step;
  bool active;
  uint32_t tried;
  uint32_t attempts;
  const char *reason; /* of a refusal; %NULL for none */
  int64_t started_ms;
  int64_t deadline_ms;
  int64_t requested_ms; /* for a connection */
  int64_t sent_ms;
  SessionToken after;
  const InstancePool *requested_pool; /* compared only */
  ConnectionRequest request;
  GroupWaiter waiter;
  Timer timer;
  int64_t idle_since_ms;
};

/* session-answer.c */

/** session_current_pool() - Pool of the connection at hand. */
InstancePool *session_current_pool (const PoolSession *session);

/** session_output() - Bytes to the caller. */
GByteArray *session_output (PoolSession *session);

/** session_release_catalog() - The next operation looks its route up anew. */
void session_release_catalog (PoolSession *session);

/** session_drop_connection() - Closes the connection at hand, which rolls back what is open on it.
 */
void session_drop_connection (PoolSession *session);

/** session_release_connection() - Others may use the connection at hand. */
void session_release_connection (PoolSession *session);

/** session_caller_state() - Transaction state as the caller is told: 'I', 'T' or 'E'. */
char session_caller_state (const PoolSession *session);

/** session_end_statement() - The caller has its answer; the next statement may come. */
void session_end_statement (PoolSession *session);

/** session_note_outcome() - Logs and counts how the statement ended. */
void session_note_outcome (PoolSession *session, AnswerCode code, const char *text);

/** session_answer_complete() - Answers with success. */
void session_answer_complete (PoolSession *session, const char *receipt, SessionToken position);

/** session_answer_error() - Answers with an error. */
void session_answer_error (PoolSession *session, AnswerCode code, const char *text);

/** session_ends_transaction() - Whether the statement is a COMMIT or a ROLLBACK. */
bool session_ends_transaction (const PoolSession *session);

/** session_fail_transaction() - A failed statement fails its transaction, if there is one. */
void session_fail_transaction (PoolSession *session);

/**
 * session_refuse() - Answers that nothing ran, and sees to it that nothing does. @reason is for
 * the log, static text.
 */
void session_refuse (PoolSession *session, AnswerCode code, const char *reason);

/** session_statement_writes() - Whether the statement may write. */
bool session_statement_writes (const PoolSession *session);

/* session-route.c */

/** session_dispatch() - Looks for an instance for the statement, and a connection to it. */
void session_dispatch (PoolSession *session);

/** session_retry() - The statement did not run, with @code; tries again if that may help. */
void session_retry (PoolSession *session, AnswerCode code);

/** session_retry_later() - Tries again after @delay_ms. */
void session_retry_later (PoolSession *session, int64_t delay_ms);

/** session_init_route() - Sets up the callbacks of a new session. */
void session_init_route (PoolSession *session);

/* session-run.c */

/** session_run() - Sends the statement on the connection at hand. */
void session_run (PoolSession *session);

/** session_on_begin_ended() - The instance answered the BEGIN. */
void session_on_begin_ended (void *data, const StatementResult *result);

/** session_on_lost() - The connection at hand is gone. */
void session_on_lost (void *data);

/** session_on_timer() - Time for the next attempt, or the time limit. */
void session_on_timer (void *data);

/** session_can_wait_for_slot() - Whether there is time to ask a busy instance again. */
bool session_can_wait_for_slot (const PoolSession *session);

/* pool-session.c */

/** session_process_input() - Takes the caller's messages until one has to wait. */
void session_process_input (PoolSession *session);
