/**
 * DOC: One connection to a backend server instance, asynchronous; the only user of libpq.
 * Results come out as protocol messages for the caller.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "policy/session-token.h"

typedef struct BackendConnection BackendConnection;

/** enum BackendEventKind - What happened on a connection. */
typedef enum
{
  BACKEND_CONNECTED, /* ready for the first statement */
  BACKEND_DATA,      /* the sink grew */
  BACKEND_IDLE,      /* the statement ended; ready for the next */
  BACKEND_REFUSED,   /* the server refused the connection (too many) */
  BACKEND_LOST       /* connection gone; a statement then running has an unknown outcome */
} BackendEventKind;

/**
 * struct BackendEvent - Tagged by @kind.
 * @failed: for %BACKEND_IDLE, the server answered with an error.
 * @sqlstate: its code, when @failed.
 * @status: for %BACKEND_IDLE, 'I', 'T' or 'E'.
 * @position: for %BACKEND_IDLE, position the server last reported.
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
 * struct BackendOptions - Whom to connect to. @events may free the connection.
 * @application_name: name shown to the server.
 * @session_options: settings of the session ("-c name=value ..."), also after DISCARD ALL.
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

/** struct BackendParam - One parameter of a statement. @value %NULL is SQL NULL. */
typedef struct
{
  const char *value;
  uint32_t length;
  uint32_t format;
  uint32_t type;
} BackendParam;

/**
 * struct BackendStatement - A statement to run.
 * @sql: its text.
 * @extended: by the extended protocol, with @params.
 * @describe: put a row description before the rows.
 * @result_format: 0 text, 1 binary.
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

/** backend_connection_new() - Starts connecting; %BACKEND_CONNECTED or %BACKEND_LOST follows. */
BackendConnection *backend_connection_new (TALLOC_CTX *parent, struct tevent_context *context,
                                           const BackendOptions *options);

/** backend_connection_run() - Sends a statement; its messages are appended to @sink. */
bool backend_connection_run (BackendConnection *connection, const BackendStatement *statement,
                             GByteArray *sink);

/** backend_connection_describe() - Describes a statement's parameters and rows into @sink. */
bool backend_connection_describe (BackendConnection *connection, const BackendStatement *statement,
                                  GByteArray *sink);

/** backend_connection_pause() - Stops or resumes reading results. */
void backend_connection_pause (BackendConnection *connection, bool paused);

/** backend_connection_cancel() - Asks the server to cancel; does not block. */
void backend_connection_cancel (BackendConnection *connection);

/** backend_connection_parameter() - Value the server reported of a setting, or %NULL. */
const char *backend_connection_parameter (const BackendConnection *connection, const char *name);

/** backend_connection_field() - Value of the first row of a control query; "" if none. */
const char *backend_connection_field (const BackendConnection *connection, int column);
