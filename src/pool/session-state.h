/**
 * DOC: Internals of a caller's session, shared by the files that implement it: pool-session.c
 * handles the caller's messages, session-open.c opens the session, session-route.c chooses an
 * instance and gets a connection, session-run.c runs the statement, session-answer.c answers the
 * caller, session-forward.c hands the session to another host, session-access.c knows which
 * customer's it is and what that customer may do, and session-end.c ends it.
 */
#pragma once

#include "pool/pool-session.h"

/* Delay before a statement is retried that no instance had a slot for. */
#define BUSY_RETRY_MS 25

/** enum TransactionState - State of the caller's transaction. */
typedef enum
{
  TRANSACTION_NONE,
  TRANSACTION_BEGUN, /* has no connection yet */
  TRANSACTION_BOUND, /* holds its connection */
  TRANSACTION_LOST,  /* rolled back, and the caller has not been told */
  TRANSACTION_FAILED /* the caller was told and has to end it */
} TransactionState;

/** enum StatementStep - Progress of the current statement. */
typedef enum
{
  STEP_NONE,
  STEP_LIMITING,    /* waits for its customer's limit */
  STEP_ROUTING,     /* waits for an instance that can serve it */
  STEP_BACKING_OFF, /* waits for the next attempt */
  STEP_CONNECTING,  /* waits for a connection */
  STEP_BEGINNING,   /* BEGIN is running */
  STEP_RUNNING
} StatementStep;

/** struct PoolSession - See pool-session.h. */
struct PoolSession
{
  PoolServer *server;
  const PoolServerOptions *options;
  Stream *stream;
  bool processing; /* an event is being handled, see session_enter() */
  bool closing;
  bool late;     /* see &struct DrainSession */
  bool notified; /* its caller was told that it ends, see session_notify_end() */
  Timer end_timer;
  bool finishing;      /* has ended, and sends the rest of its answers, see pool_session_finish() */
  SessionEnd end;      /* why, once the caller was told or it is finishing */
  guint finish_unsent; /* bytes at the last look */
  uint32_t finish_stalls;
  uint64_t id;
  char *database_name;
  char *key;                         /* of its caller; %NULL if it sent none */
  char customer[CATALOG_NAME_BYTES]; /* that holds the key; empty if keys are not required */
  Catalog *catalog;                  /* of the current operation */
  const Database *database;
  ServiceGroup *group;
  SessionValues values;
  SessionToken token;
  char token_service[CATALOG_NAME_BYTES];

  TransactionState transaction;
  Statement begin;
  bool read_only;
  bool wrote;
  bool counted; /* the current operation counts towards its customer's limit */

  PoolConnection *connection;
  int64_t connection_since_us;
  char instance[CATALOG_NAME_BYTES]; /* last instance that it had a connection to, for logs */

  Statement statement;
  gsize statement_bytes; /* of its message; 0 if there is none */
  gsize searched_bytes;  /* of the input, which holds no end of a message */
  gsize charged_bytes;   /* to the host's memory budget */
  int64_t used_ms;       /* when its caller last sent anything */
  int64_t partial_ms;    /* since when the input holds the part of a message; 0 for not */
  int64_t stalled_ms;    /* since when its caller has taken no answer that it was sent; 0 for not */
  guint stalled_unsent;  /* bytes of answers at that time */
  StatementStep step;
  bool active;
  uint32_t tried;
  uint32_t attempts;
  const char *reason; /* why the statement was refused, for logs; %NULL for none */
  int64_t started_ms;
  int64_t admitted_ms; /* when its customer's limit let it through; @started_ms without a limit */
  int64_t deadline_ms;
  int64_t requested_ms; /* when a connection was requested */
  int64_t sent_ms;
  SessionToken after;
  const InstancePool *requested_pool; /* only compared, never dereferenced */
  ConnectionRequest request;
  LimitWaiter limit_waiter;
  Waiter waiter; /* for an instance */
  Waiter config_waiter;
  GBytes *opening; /* the message that opens the session, while it waits; else %NULL */
  Timer timer;

  bool forwarded;          /* another host forwards it to this one */
  char *forwarded_service; /* that the other host expects; %NULL before its first message */
  SessionForward *forward; /* %NULL if this host serves the session */
};

/* Implemented in session-answer.c. */

/** session_current_pool() - Pool of the session's connection. */
InstancePool *session_current_pool (const PoolSession *session);

/** session_output() - Output buffer to the caller. */
GByteArray *session_output (PoolSession *session);

/**
 * session_release_catalog() - Drops the configuration; the next operation looks up its route again.
 */
void session_release_catalog (PoolSession *session);

/**
 * session_drop_connection() - Closes the session's connection, which rolls back a transaction open
 * on it.
 */
void session_drop_connection (PoolSession *session);

/** session_release_connection() - Returns the session's connection to its pool. */
void session_release_connection (PoolSession *session);

/** session_caller_state() - Transaction state reported to the caller: 'I', 'T' or 'E'. */
char session_caller_state (const PoolSession *session);

/** session_end_statement() - The statement has been answered; the next one may start. */
void session_end_statement (PoolSession *session);

/** session_record_outcome() - Logs and counts the outcome of the statement. */
void session_record_outcome (PoolSession *session, AnswerCode code, const char *text);

/** session_answer_complete() - Answers with success. */
void session_answer_complete (PoolSession *session, const char *text, SessionToken position);

/** session_answer_error() - Answers with an error. */
void session_answer_error (PoolSession *session, AnswerCode code, const char *text);

/** session_ends_transaction() - Whether the statement is a COMMIT or a ROLLBACK. */
bool session_ends_transaction (const PoolSession *session);

/**
 * session_fail_transaction() - Marks an open transaction as failed, or as ended by the statement.
 */
void session_fail_transaction (PoolSession *session);

/**
 * session_refuse() - Answers that the statement did not run, and makes sure that it will not.
 * @reason is static text for the log.
 */
void session_refuse (PoolSession *session, AnswerCode code, const char *reason);

/** session_statement_writes() - Whether the statement may write. */
bool session_statement_writes (const PoolSession *session);

/* Implemented in session-open.c. */

/** session_end_with_error() - Sends an error that ends the session; @text is for the caller. */
void session_end_with_error (PoolSession *session, SessionEnd reason, AnswerCode code,
                             const char *text);

/**
 * session_open() - The caller opens the session by @opening, which @message holds unread. A
 * database that may have been added lately is waited for.
 */
void session_open (PoolSession *session, CallerMessage *opening, GBytes *message);

/** session_init_open() - Sets up the callbacks of a new session. */
void session_init_open (PoolSession *session);

/** session_stop_opening() - The session no longer waits, if it did. */
void session_stop_opening (PoolSession *session);

/**
 * session_absence_code() - Answer to a caller whose database is not in the configuration: that
 * there is none, if this host knows that, and is the one that the caller is connected to.
 */
AnswerCode session_absence_code (PoolSession *session);

/** session_absence_text() - What the caller is told with that code. */
const char *session_absence_text (AnswerCode code, const char *unknown);

/* Implemented in session-route.c. */

/** session_dispatch() - Chooses an instance for the statement and requests a connection to it. */
void session_dispatch (PoolSession *session);

/** session_retry() - The statement did not run, with @code; retries it if that may help. */
void session_retry (PoolSession *session, AnswerCode code);

/** session_retry_later() - Retries after @delay_ms. */
void session_retry_later (PoolSession *session, int64_t delay_ms);

/** session_init_route() - Sets up the callbacks of a new session. */
void session_init_route (PoolSession *session);

/* Implemented in session-run.c. */

/** session_run() - Sends the statement on the session's connection. */
void session_run (PoolSession *session);

/** session_on_begin_ended() - The instance answered the BEGIN. */
void session_on_begin_ended (void *data, const StatementResult *result);

/** session_on_lost() - The session's connection was lost. */
void session_on_lost (void *data);

/**
 * session_answer_unfinished() - Answers the statement without its result. @reason is static text.
 */
void session_answer_unfinished (PoolSession *session, const char *reason);

/** session_on_timer() - The next attempt is due, or a time limit has expired. */
void session_on_timer (void *data);

/** session_can_wait_for_slot() - Whether there is time to retry at a busy instance. */
bool session_can_wait_for_slot (const PoolSession *session);

/* Implemented in session-access.c. */

/** enum SessionAccess - Whether a session may use its database. */
typedef enum
{
  SESSION_ALLOWED,
  SESSION_NO_DATABASE,
  SESSION_NO_KEY,      /* no customer holds the caller's key */
  SESSION_OUT_OF_DATE, /* a newer configuration may be in force, in which the key is gone */
} SessionAccess;

/**
 * session_check_access() - Whether the configuration in force lets the caller use @database; sets
 * the customer of the session.
 */
SessionAccess session_check_access (PoolSession *session, const Database *database);

/**
 * session_may_send() - Whether a statement may be sent to an instance now: the configuration that
 * allows it is still known to be the newest.
 */
bool session_may_send (const PoolSession *session);

/**
 * session_start_operation() - Sends the statement to an instance as soon as the customer's limit
 * allows the operation.
 */
void session_start_operation (PoolSession *session);

/**
 * session_charge() - Counts the memory that the session holds towards the host's budget.
 */
void session_charge (PoolSession *session);

/** session_check_progress() - Ends a session whose caller sends or reads too slowly. */
void session_check_progress (PoolSession *session);

/** session_init_access() - Sets up the callbacks of a new session. */
void session_init_access (PoolSession *session);

/** session_customer() - Customer for a connection to an instance; empty for none. */
const char *session_customer (const PoolSession *session);

/* Implemented in session-end.c. */

/**
 * session_notify_end() - Tells the caller, between two statements, that the session ends; an open
 * transaction is rolled back. The session ends when the caller closes it, or soon.
 */
void session_notify_end (PoolSession *session, SessionEnd reason);

/**
 * session_complete_notice() - Answers a statement that was sent before its caller had the notice:
 * the notice is the first part of the answer, and the statement is not run. The caller is told
 * again.
 */
void session_complete_notice (PoolSession *session);

/** session_may_start() - Whether a statement that arrives now is run. */
bool session_may_start (const PoolSession *session);

/** session_apply_drain() - Ends the session if the phase of the host's shutdown asks for that. */
void session_apply_drain (PoolSession *session);

/* Implemented in pool-session.c. */

/**
 * session_enter() - Begins to handle an event of the session, which is not freed before
 * session_leave(). Events nest: an instance may refuse a request while it is being made.
 * Returns whether this is the outermost one.
 */
bool session_enter (PoolSession *session);

/**
 * session_leave() - Ends what session_enter() began. The outermost event handles the caller's next
 * messages until one has to wait, and frees a session that has ended.
 */
void session_leave (PoolSession *session, bool outermost);
