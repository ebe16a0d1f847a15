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

typedef struct BackendLine BackendLine;

/**
 * struct BackendLineOptions - Whom to connect to. Text is copied.
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
} BackendLineOptions;

/**
 * struct LineResult - How a statement ended at the instance.
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
} LineResult;

/** LineEnded - The statement ended; the line can take the next one. */
typedef void (*LineEnded) (void *data, const LineResult *result);

/** backend_line_new() - Starts connecting; %NULL if the address is unusable. */
BackendLine *backend_line_new (TALLOC_CTX *parent, const BackendLineOptions *options);

/** backend_line_matches() - Whether the connection holds just the values of @state. */
bool backend_line_matches (const BackendLine *line, const SessionValues *state);

/** backend_line_synchronize() - Puts the values of @state onto the connection. */
void backend_line_synchronize (BackendLine *line, const SessionValues *state);

/** backend_line_run() - Sends a statement; @ended follows unless the line is lost first. */
void backend_line_run (BackendLine *line, const char *id, const SessionToken *after,
                       const char *text, LineEnded ended, void *data);

/** backend_line_execute() - The same for a prepared statement, prepared first if need be. */
void backend_line_execute (BackendLine *line, const char *id, const SessionToken *after,
                           const PreparedShape *shape, const char *argument, LineEnded ended,
                           void *data);

/** backend_line_order() - Sends an order; the result's only row is a report. */
void backend_line_order (BackendLine *line, OrderKind order, uint64_t term, LineEnded ended,
                         void *data);

/** backend_line_state() - Transaction state as last told: 'I', 'T' or 'E'. */
char backend_line_state (const BackendLine *line);

/** backend_line_is_idle() - Open, and nothing runs on it. */
bool backend_line_is_idle (const BackendLine *line);

/** backend_line_heard_ms() - When the instance last sent anything on it. */
int64_t backend_line_heard_ms (const BackendLine *line);

/** backend_line_used_ms() - When a statement was last sent on it. */
int64_t backend_line_used_ms (const BackendLine *line);
