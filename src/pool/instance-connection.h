/**
 * DOC: One connection to a backend server instance, in the codec's protocol. It runs one statement
 * at a time and first applies the session's values to the connection.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "pool/codec.h"
#include "pool/session-values.h"

typedef struct InstanceConnection InstanceConnection;

/**
 * struct InstanceConnectionOptions - Address, codec and callbacks. Text is copied.
 * @customer: whose statements it runs; %NULL for none.
 * @opened: the connection is ready for its first statement.
 * @refused: the instance rejected the session with this code; the connection is dead.
 * @lost: the connection closed; a statement running on it has no outcome; the connection is dead.
 *
 * The owner frees a dead connection, in the callback or later.
 */
typedef struct
{
  struct tevent_context *events;
  const Codec *codec;
  const char *address;
  uint16_t port;
  const char *service;
  const char *customer;
  const char *instance;
  void (*opened) (void *data);
  void (*refused) (void *data, AnswerCode code);
  void (*lost) (void *data);
  void *data;
} InstanceConnectionOptions;

/**
 * struct StatementResult - Outcome of a statement at the instance.
 * @code: %ANSWER_OK or the instance's error.
 * @text: text of the COMPLETE message or of the error.
 * @rows: the rows in order; valid only during the callback.
 * @state: transaction state of the connection.
 * @position: position in the instance's log after the statement.
 */
typedef struct
{
  AnswerCode code;
  const char *text;
  const GPtrArray *rows;
  char state;
  SessionToken position;
} StatementResult;

/** StatementEnded - The statement ended; the connection can take the next one. */
typedef void (*StatementEnded) (void *data, const StatementResult *result);

/** instance_connection_new() - Starts connecting; %NULL if the connect can't be started. */
InstanceConnection *instance_connection_new (TALLOC_CTX *parent,
                                             const InstanceConnectionOptions *options);

/** instance_connection_matches() - Whether the connection has exactly the values of @state. */
bool instance_connection_matches (const InstanceConnection *connection, const SessionValues *state);

/** instance_connection_synchronize() - Applies the values of @state to the connection. */
void instance_connection_synchronize (InstanceConnection *connection, const SessionValues *state);

/**
 * instance_connection_run() - Sends a statement; @ended follows unless the connection is lost
 * first.
 */
void instance_connection_run (InstanceConnection *connection, const char *id,
                              const SessionToken *after, const char *text, StatementEnded ended,
                              void *data);

/** instance_connection_execute() - Executes a prepared statement, preparing it first if needed. */
void instance_connection_execute (InstanceConnection *connection, const char *id,
                                  const SessionToken *after, const PreparedQuery *prepared,
                                  const char *argument, StatementEnded ended, void *data);

/** instance_connection_send_command() - Sends a command; the only row of the result is a report. */
void instance_connection_send_command (InstanceConnection *connection, InstanceCommand command,
                                       uint64_t fencing_token, StatementEnded ended, void *data);

/** instance_connection_transaction_state() - Last reported transaction state: 'I', 'T' or 'E'. */
char instance_connection_transaction_state (const InstanceConnection *connection);

/** instance_connection_is_idle() - Whether it is open and runs no statement. */
bool instance_connection_is_idle (const InstanceConnection *connection);

/** instance_connection_received_ms() - When the instance last sent anything on it. */
int64_t instance_connection_received_ms (const InstanceConnection *connection);

/** instance_connection_used_ms() - When a statement was last sent on it. */
int64_t instance_connection_used_ms (const InstanceConnection *connection);
