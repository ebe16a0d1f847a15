/**
 * DOC: State of a caller's session that persists between statements.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/ownership.h"
#include "policy/session-token.h"

/** enum TransactionState - State of the session's transaction block. */
typedef enum
{
  TRANSACTION_NONE,
  TRANSACTION_BEGUN, /* BEGIN was acknowledged to the caller but not sent yet */
  TRANSACTION_OPEN,  /* pinned to a backend connection */
  TRANSACTION_FAILED /* only ROLLBACK is accepted */
} TransactionState;

/**
 * struct Session - One caller's session.
 * @id: part of its transaction ids.
 * @service: service to which it is connected.
 * @user: user name from the startup packet; part of the fairness key.
 * @source: fairness key.
 * @class_name: class set for the session; empty for the service's default.
 * @token: position that its reads must include.
 * @token_known: the token covers every write that the caller may rely on.
 * @transaction: state of the transaction block.
 * @begin_sql: the BEGIN statement as the caller wrote it.
 * @has_run: a statement of the open transaction may have run.
 * @transaction_key: identifies the open transaction at its owner; new for each attempt.
 * @pinned: the transaction is open at @pinned_host.
 * @pinned_host: owner that holds the open transaction.
 * @pinned_instance: instance on which it is open.
 */
typedef struct
{
  uint64_t id;
  char service[NAME_BYTES];
  char user[NAME_BYTES];
  uint64_t source;
  char class_name[NAME_BYTES];
  SessionToken token;
  bool token_known;
  TransactionState transaction;
  char *begin_sql;
  bool has_run;
  uint64_t transaction_key;
  bool pinned;
  Host pinned_host;
  uint32_t pinned_instance;
} Session;

/** session_init() - Initializes a session with the id @id. */
void session_init (Session *session, uint64_t id);

/** session_done() - Frees the session's contents. */
void session_done (Session *session);

/** session_status() - Status byte of ReadyForQuery: 'I', 'T' or 'E'. */
char session_status (const Session *session);

/** session_begin() - Records that @sql opened a transaction block. */
void session_begin (Session *session, const char *sql);

/** session_end_transaction() - Records that no transaction is open any more. */
void session_end_transaction (Session *session);
