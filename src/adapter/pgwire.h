/**
 * DOC: Framing and messages of the PostgreSQL wire protocol 3.0, server side. Used to talk to
 * callers and by the stand-in backend server.
 *
 * Source: PostgreSQL documentation, "Frontend/Backend Protocol".
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Special request codes sent in place of a protocol version, and version 3.0 itself. */
#define PGWIRE_SSL_REQUEST 80877103u
#define PGWIRE_GSS_REQUEST 80877104u
#define PGWIRE_CANCEL_REQUEST 80877102u
#define PGWIRE_VERSION_3 196608u

/** Size limits in bytes of a startup packet and of a message from a client. */
#define PGWIRE_STARTUP_LIMIT_BYTES 10000u
#define PGWIRE_MESSAGE_LIMIT_BYTES (16u * 1024 * 1024)

/** enum PgwireReadResult - Result of reading a message from a buffer. */
typedef enum
{
  PGWIRE_INCOMPLETE,
  PGWIRE_MESSAGE,
  PGWIRE_MALFORMED
} PgwireReadResult;

/**
 * struct PgwireMessage - A message inside an input buffer.
 * @type: type byte; 0 for startup packets.
 * @body: payload after the length field; valid until the buffer changes.
 * @length: size of @body in bytes.
 * @size_bytes: total size including type and length, to be consumed from the buffer.
 */
typedef struct
{
  char type;
  const uint8_t *body;
  uint32_t length;
  uint32_t size_bytes;
} PgwireMessage;

/** pgwire_read_startup() - Reads a startup packet from the start of the input. */
PgwireReadResult pgwire_read_startup (const uint8_t *input, size_t length, PgwireMessage *message);

/** pgwire_read_message() - Reads a typed message from the start of the input. */
PgwireReadResult pgwire_read_message (const uint8_t *input, size_t length, PgwireMessage *message);

/**
 * struct PgwireCursor - Reader of a message's fields. @failed is sticky, so it needs to be
 * checked only once, after the whole message was read.
 */
typedef struct
{
  const uint8_t *at;
  const uint8_t *end;
  bool failed;
} PgwireCursor;

/** pgwire_cursor() - Returns a cursor at the start of @message. */
PgwireCursor pgwire_cursor (const PgwireMessage *message);

/** pgwire_get_u8() - Next byte; 0 on failure. */
uint8_t pgwire_get_u8 (PgwireCursor *cursor);

/** pgwire_get_u16() - Next 16-bit number; 0 on failure. */
uint16_t pgwire_get_u16 (PgwireCursor *cursor);

/** pgwire_get_u32() - Next 32-bit number; 0 on failure. */
uint32_t pgwire_get_u32 (PgwireCursor *cursor);

/** pgwire_get_string() - Next NUL-terminated string; "" on failure. */
const char *pgwire_get_string (PgwireCursor *cursor);

/** pgwire_get_bytes() - Next @length bytes; %NULL on failure. */
const uint8_t *pgwire_get_bytes (PgwireCursor *cursor, uint32_t length);

/** pgwire_begin() - Starts a message of @type; returns the offset to pass to pgwire_end(). */
guint pgwire_begin (GByteArray *out, char type);

/** pgwire_end() - Fills in the length of the message started at @mark. */
void pgwire_end (GByteArray *out, guint mark);

/** pgwire_put_u8() - Appends a byte. */
void pgwire_put_u8 (GByteArray *out, uint8_t value);

/** pgwire_put_u16() - Appends a 16-bit number. */
void pgwire_put_u16 (GByteArray *out, uint16_t value);

/** pgwire_put_u32() - Appends a 32-bit number. */
void pgwire_put_u32 (GByteArray *out, uint32_t value);

/** pgwire_put_string() - Appends a NUL-terminated string. */
void pgwire_put_string (GByteArray *out, const char *text);

/** pgwire_put_bytes() - Appends raw bytes. */
void pgwire_put_bytes (GByteArray *out, const void *bytes, uint32_t length);

/** pgwire_put_empty() - Appends a message of @type without a body. */
void pgwire_put_empty (GByteArray *out, char type);

/** pgwire_put_ready() - Appends ReadyForQuery; @status is 'I', 'T' or 'E'. */
void pgwire_put_ready (GByteArray *out, char status);

/** pgwire_put_complete() - Appends CommandComplete. */
void pgwire_put_complete (GByteArray *out, const char *tag);

/** pgwire_put_parameter() - Appends ParameterStatus. */
void pgwire_put_parameter (GByteArray *out, const char *name, const char *value);

/** pgwire_put_error() - Appends ErrorResponse; @detail may be %NULL. */
void pgwire_put_error (GByteArray *out, const char *severity, const char *sqlstate,
                       const char *message, const char *detail);

/** pgwire_put_text_columns() - Appends RowDescription of @count text columns. */
void pgwire_put_text_columns (GByteArray *out, const char *const *names, uint16_t count);

/** pgwire_put_text_row() - Appends DataRow of @count text values; %NULL is SQL NULL. */
void pgwire_put_text_row (GByteArray *out, const char *const *values, uint16_t count);

/**
 * pgwire_error_field() - Field @code of the last ErrorResponse in @bytes, a sequence of complete
 * messages; "" if there is none. The result is valid until @bytes changes.
 */
const char *pgwire_error_field (const GByteArray *bytes, char code);
