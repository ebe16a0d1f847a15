/**
 * DOC: One connection to a backend server instance that speaks the codec's protocol. It runs
 * one statement at a time, and puts a session's values onto the connection before it.
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
 * struct InstanceConnectionOptions - Whom to connect to. Text is copied.
 * @opened: ready for the first statement.
 * @refused: the instance refused the session, with this code; the line is dead.
 * @lost: the connection is gone; a statement running on it has no outcome; the line is dead.
 * The owner frees a dead line, in the callback or later.
 */
typedef struct
{
  struct tevent_context *events;
  const Codec *codec;
  const char *address;
  uint16_t port;
  const char *service;
  const char *instance;
  void (*opened) (void *data);
  void (*refused) (void *data, AnswerCode code);
  void (*lost) (void *data);
  void *data;
} InstanceConnectionOptions;

/**
 * struct StatementResult - How a statement ended at the instance.
 * @code: %ANSWER_OK or the instance's error.
 * @text: receipt, or text of the error.
 * @rows: the rows, in order; not to be kept.
 * @state: transaction state of the connection.
 * @position: place in the instance's log after it.
 */
typedef struct
{
  AnswerCode code;
  const char *text;
  const GPtrArray *rows;
  char state;
  SessionToken position;
} StatementResult;

/** StatementEnded - The statement ended; the line can take the next one. */
typedef void (*StatementEnded) (void *data, const StatementResult *result);

/** instance_connection_new() - Starts connecting; %NULL if the address is unusable. */
InstanceConnection *instance_connection_new (TALLOC_CTX *parent,
                                             const InstanceConnectionOptions *options);

/** instance_connection_matches() - Whether the connection holds just the values of @state. */
bool instance_connection_matches (const InstanceConnection *line, const SessionValues *state);

/** instance_connection_synchronize() - Puts the values of @state onto the connection. */
void instance_connection_synchronize (InstanceConnection *line, const SessionValues *state);

/** instance_connection_run() - Sends a statement; @ended follows unless the line is lost first. */
void instance_connection_run (InstanceConnection *line, const char *id, const SessionToken *after,
                              const char *text, StatementEnded ended, void *data);

/** instance_connection_execute() - The same for a prepared statement, prepared first if need be. */
void instance_connection_execute (InstanceConnection *line, const char *id,
                                  const SessionToken *after, const PreparedQuery *shape,
                                  const char *argument, StatementEnded ended, void *data);

/** instance_connection_send_command() - Sends an order; the result's only row is a report. */
void instance_connection_send_command (InstanceConnection *line, InstanceCommand order,
                                       uint64_t term, StatementEnded ended, void *data);

/** instance_connection_transaction_state() - Transaction state as last told: 'I', 'T' or 'E'. */
char instance_connection_transaction_state (const InstanceConnection *line);

/** instance_connection_is_idle() - Open, and nothing runs on it. */
bool instance_connection_is_idle (const InstanceConnection *line);

/** instance_connection_received_ms() - When the instance last sent anything on it. */
int64_t instance_connection_received_ms (const InstanceConnection *line);

/** instance_connection_used_ms() - When a statement was last sent on it. */
int64_t instance_connection_used_ms (const InstanceConnection *line);
