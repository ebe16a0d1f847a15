/**
 * DOC: Interface of the text protocol that callers and backend servers speak. An adapter implements
 * it.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "policy/instance-command.h"
#include "policy/session-token.h"
#include "pool/answer-code.h"
#include "pool/statement.h"

/** enum CallerMessageKind - Messages from a caller. */
typedef enum
{
  CALLER_MESSAGE_NONE, /* message not complete yet */
  CALLER_MESSAGE_OPEN, /* opens a session on a database */
  CALLER_MESSAGE_STATEMENT,
  CALLER_MESSAGE_END,
  CALLER_MESSAGE_MALFORMED,
  CALLER_MESSAGE_TOO_LARGE
} CallerMessageKind;

/**
 * struct CallerMessage - Tagged by @kind; the reader frees the statement, the database name and the
 * caller's key, which is %NULL if the caller sent none.
 */
typedef struct
{
  CallerMessageKind kind;
  char *database;
  char *key;
  Statement statement;
} CallerMessage;

/** enum ReplyKind - Messages from a backend server. */
typedef enum
{
  REPLY_NONE,
  REPLY_ROW,
  REPLY_COMPLETE,
  REPLY_ERROR,
  REPLY_READY,
  REPLY_MALFORMED
} ReplyKind;

/**
 * struct Reply - Tagged by @kind.
 * @text: row, text of COMPLETE, or error text; owned by the reply, see reply_done().
 * @code: of an error.
 * @state: of READY: 'I' idle, 'T' in a transaction, 'E' in a failed one.
 * @position: of READY: position in the instance's log; zero if not reported.
 */
typedef struct
{
  ReplyKind kind;
  char *text;
  AnswerCode code;
  char state;
  SessionToken position;
} Reply;

/**
 * struct Codec - The protocol. Readers parse the front of an input buffer and return the number of
 * bytes used; 0 if the message is not complete. Writers append to @out. @after is a position that
 * the instance must have received for the statement to run, or %NULL. @message_end is the last byte
 * of every message, and stands nowhere else; @message_limit_bytes is the longest one. @customer is
 * the one that a connection serves, or %NULL.
 */
typedef struct
{
  uint8_t message_end;
  size_t message_limit_bytes;
  size_t (*read_caller) (const uint8_t *bytes, size_t length, CallerMessage *message);
  size_t (*read_reply) (const uint8_t *bytes, size_t length, Reply *reply);
  bool (*read_report) (const char *row, InstanceReport *report);
  void (*write_row) (GByteArray *out, const char *row);
  void (*write_complete) (GByteArray *out, const char *text);
  void (*write_error) (GByteArray *out, AnswerCode code, const char *text);
  void (*write_ready) (GByteArray *out, char state, SessionToken position);
  void (*write_open) (GByteArray *out, const char *service, const char *customer,
                      const char *instance);
  void (*write_statement) (GByteArray *out, const char *id, const SessionToken *after,
                           const char *text);
  void (*write_execute) (GByteArray *out, const char *id, const SessionToken *after,
                         const char *name, const char *argument);
  void (*write_set_value) (GByteArray *out, const char *name, const char *value);
  void (*write_prepare) (GByteArray *out, const char *name, bool read_only, const char *text);
  void (*write_reset) (GByteArray *out);
  void (*write_command) (GByteArray *out, InstanceCommand command, uint64_t fencing_token);
} Codec;

/** reply_done() - Frees the text of a reply. */
static inline void
reply_done (Reply *reply)
{
  g_free (reply->text);
  reply->text = NULL;
}
