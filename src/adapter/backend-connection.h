/**
 * DOC: An asynchronous connection to a backend server instance; the only module that uses libpq.
 * Results are written as wire protocol messages, ready to be sent to the caller.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "policy/session-token.h"

typedef struct BackendConnection BackendConnection;

/** enum BackendEventKind - Events of a connection. */
typedef enum
{
  BACKEND_CONNECTED, /* ready for the first statement */
  BACKEND_DATA,      /* messages were appended to the sink */
  BACKEND_IDLE,      /* the statement finished; ready for the next one */
  BACKEND_REFUSED,   /* the server is at its connection limit */
  BACKEND_LOST       /* connection lost; the outcome of a running statement is unknown */
} BackendEventKind;

/**
 * struct BackendEvent - An event; which fields are set depends on @kind.
 * @failed: for %BACKEND_IDLE, the server returned an error.
 * @sqlstate: SQLSTATE of that error, if @failed.
 * @status: for %BACKEND_IDLE, transaction status: 'I', 'T' or 'E'.
 * @position: for %BACKEND_IDLE, log position last reported by the server.
 */
typedef struct
{
  BackendEventKind kind;
  bool failed;
  char sqlstate[6];
  char status;
  SessionToken position;
} BackendEvent;

/**
 * struct BackendOptions - Connection parameters.
 * @application_name: client name reported to the server.
 * @session_options: settings of the session ("-c name=value ..."); they survive DISCARD ALL.
 * @events: event callback; it may free the connection.
 */
typedef struct
{
  const char *address;
  uint16_t port;
  const char *database;
  const char *user;
  const char *application_name;
  const char *session_options;
  void (*events) (void *data, const BackendEvent *event);
  void *data;
} BackendOptions;

/** struct BackendParam - One statement parameter; a @value of %NULL is SQL NULL. */
typedef struct
{
  const char *value;
  uint32_t length;
  uint32_t format;
  uint32_t type;
} BackendParam;

/**
 * struct BackendStatement - A statement to run.
 * @sql: SQL text.
 * @extended: use the extended query protocol, with @params.
 * @describe: emit a row description before the rows.
 * @result_format: 0 for text, 1 for binary.
 */
typedef struct
{
  const char *sql;
  bool extended;
  bool describe;
  uint32_t result_format;
  uint32_t param_count;
  const BackendParam *params;
} BackendStatement;

/**
 * backend_connection_new() - Starts connecting; reports %BACKEND_CONNECTED, %BACKEND_REFUSED or
 * %BACKEND_LOST later.
 */
BackendConnection *backend_connection_new (TALLOC_CTX *parent, struct tevent_context *context,
                                           const BackendOptions *options);

/**
 * backend_connection_run() - Sends a statement; response messages are appended to @sink. False if
 * it can't be sent.
 */
bool backend_connection_run (BackendConnection *connection, const BackendStatement *statement,
                             GByteArray *sink);

/**
 * backend_connection_describe() - Appends the description of a statement's parameters and rows to
 * @sink. False if the request can't be sent.
 */
bool backend_connection_describe (BackendConnection *connection, const BackendStatement *statement,
                                  GByteArray *sink);

/** backend_connection_pause() - Stops or resumes reading results, for backpressure. */
void backend_connection_pause (BackendConnection *connection, bool paused);

/** backend_connection_cancel() - Sends a cancel request; does not block. */
void backend_connection_cancel (BackendConnection *connection);

/** backend_connection_parameter() - Last reported value of a server parameter, or %NULL. */
const char *backend_connection_parameter (const BackendConnection *connection, const char *name);

/**
 * backend_connection_field() - Column @column of the last row read, for control queries; "" if
 * there is none. Only the first 8 columns are kept, truncated to 63 bytes.
 */
const char *backend_connection_field (const BackendConnection *connection, int column);
