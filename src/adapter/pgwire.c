#include "adapter/pgwire.h"

#include <string.h>

/* OID of the type "text" in pg_type. */
#define TYPE_TEXT 25

static uint32_t
load_u32 (const uint8_t *at)
{
  return (uint32_t) at[0] << 24 | (uint32_t) at[1] << 16 | (uint32_t) at[2] << 8 | at[3];
}

PgwireReadResult
pgwire_read_startup (const uint8_t *input, size_t length, PgwireMessage *message)
{
  uint32_t size_bytes;

  if (length < 4)
    return PGWIRE_INCOMPLETE;
  size_bytes = load_u32 (input);
  if (size_bytes < 8 || size_bytes > PGWIRE_STARTUP_LIMIT_BYTES)
    return PGWIRE_MALFORMED;
  if (length < size_bytes)
    return PGWIRE_INCOMPLETE;
  *message = (PgwireMessage){ 0, input + 4, size_bytes - 4, size_bytes };
  return PGWIRE_MESSAGE;
}

PgwireReadResult
pgwire_read_message (const uint8_t *input, size_t length, PgwireMessage *message)
{
  uint32_t size_bytes;

  if (length < 5)
    return PGWIRE_INCOMPLETE;
  size_bytes = load_u32 (input + 1);
  if (size_bytes < 4 || size_bytes > PGWIRE_MESSAGE_LIMIT_BYTES)
    return PGWIRE_MALFORMED;
  if (length < (size_t) size_bytes + 1)
    return PGWIRE_INCOMPLETE;
  *message = (PgwireMessage){ (char) input[0], input + 5, size_bytes - 4, size_bytes + 1 };
  return PGWIRE_MESSAGE;
}

PgwireCursor
pgwire_cursor (const PgwireMessage *message)
{
  return (PgwireCursor){ message->body, message->body + message->length, false };
}

const uint8_t *
pgwire_get_bytes (PgwireCursor *cursor, uint32_t length)
{
  const uint8_t *at = cursor->at;

  if (cursor->failed || (size_t) (cursor->end - at) < length)
    {
      cursor->failed = true;
      return NULL;
    }
  cursor->at += length;
  return at;
}

uint8_t
pgwire_get_u8 (PgwireCursor *cursor)
{
  const uint8_t *at = pgwire_get_bytes (cursor, 1);

  return at == NULL ? 0 : at[0];
}

uint16_t
pgwire_get_u16 (PgwireCursor *cursor)
{
  const uint8_t *at = pgwire_get_bytes (cursor, 2);

  return at == NULL ? 0 : (uint16_t) (at[0] << 8 | at[1]);
}

uint32_t
pgwire_get_u32 (PgwireCursor *cursor)
{
  const uint8_t *at = pgwire_get_bytes (cursor, 4);

  return at == NULL ? 0 : load_u32 (at);
}

const char *
pgwire_get_string (PgwireCursor *cursor)
{
  const uint8_t *at = cursor->at;
  const uint8_t *end = NULL;

  if (!cursor->failed && at < cursor->end)
    end = memchr (at, '\0', (size_t) (cursor->end - at));
  if (end == NULL)
    {
      cursor->failed = true;
      return "";
    }
  cursor->at = end + 1;
  return (const char *) at;
}

guint
pgwire_begin (GByteArray *out, char type)
{
  guint mark;

  pgwire_put_u8 (out, (uint8_t) type);
  mark = out->len;
  pgwire_put_u32 (out, 0);
  return mark;
}

void
pgwire_end (GByteArray *out, guint mark)
{
  uint32_t length = out->len - mark;

  out->data[mark] = (uint8_t) (length >> 24);
  out->data[mark + 1] = (uint8_t) (length >> 16);
  out->data[mark + 2] = (uint8_t) (length >> 8);
  out->data[mark + 3] = (uint8_t) length;
}

void
pgwire_put_u8 (GByteArray *out, uint8_t value)
{
  g_byte_array_append (out, &value, 1);
}

void
pgwire_put_u16 (GByteArray *out, uint16_t value)
{
  uint8_t bytes[2] = { (uint8_t) (value >> 8), (uint8_t) value };

  g_byte_array_append (out, bytes, sizeof bytes);
}

void
pgwire_put_u32 (GByteArray *out, uint32_t value)
{
  pgwire_put_u16 (out, (uint16_t) (value >> 16));
  pgwire_put_u16 (out, (uint16_t) value);
}

void
pgwire_put_string (GByteArray *out, const char *text)
{
  g_byte_array_append (out, (const uint8_t *) text, (guint) strlen (text) + 1);
}

void
pgwire_put_bytes (GByteArray *out, const void *bytes, uint32_t length)
{
  if (length > 0)
    g_byte_array_append (out, bytes, length);
}

void
pgwire_put_empty (GByteArray *out, char type)
{
  pgwire_end (out, pgwire_begin (out, type));
}

void
pgwire_put_ready (GByteArray *out, char status)
{
  guint mark = pgwire_begin (out, 'Z');

  pgwire_put_u8 (out, (uint8_t) status);
  pgwire_end (out, mark);
}

void
pgwire_put_complete (GByteArray *out, const char *tag)
{
  guint mark = pgwire_begin (out, 'C');

  pgwire_put_string (out, tag);
  pgwire_end (out, mark);
}

void
pgwire_put_parameter (GByteArray *out, const char *name, const char *value)
{
  guint mark = pgwire_begin (out, 'S');

  pgwire_put_string (out, name);
  pgwire_put_string (out, value);
  pgwire_end (out, mark);
}

static void
put_field (GByteArray *out, char code, const char *value)
{
  pgwire_put_u8 (out, (uint8_t) code);
  pgwire_put_string (out, value);
}

void
pgwire_put_error (GByteArray *out, const char *severity, const char *sqlstate, const char *message,
                  const char *detail)
{
  guint mark = pgwire_begin (out, 'E');

  put_field (out, 'S', severity);
  put_field (out, 'V', severity);
  put_field (out, 'C', sqlstate);
  put_field (out, 'M', message);
  if (detail != NULL)
    put_field (out, 'D', detail);
  pgwire_put_u8 (out, 0);
  pgwire_end (out, mark);
}

void
pgwire_put_text_columns (GByteArray *out, const char *const *names, uint16_t count)
{
  guint mark = pgwire_begin (out, 'T');

  pgwire_put_u16 (out, count);
  for (uint16_t i = 0; i < count; i++)
    {
      pgwire_put_string (out, names[i]);
      pgwire_put_u32 (out, 0);
      pgwire_put_u16 (out, 0);
      pgwire_put_u32 (out, TYPE_TEXT);
      pgwire_put_u16 (out, (uint16_t) -1);
      pgwire_put_u32 (out, (uint32_t) -1);
      pgwire_put_u16 (out, 0);
    }
  pgwire_end (out, mark);
}

void
pgwire_put_text_row (GByteArray *out, const char *const *values, uint16_t count)
{
  guint mark = pgwire_begin (out, 'D');

  pgwire_put_u16 (out, count);
  for (uint16_t i = 0; i < count; i++)
    {
      uint32_t length = values[i] == NULL ? 0 : (uint32_t) strlen (values[i]);

      pgwire_put_u32 (out, values[i] == NULL ? (uint32_t) -1 : length);
      pgwire_put_bytes (out, values[i], length);
    }
  pgwire_end (out, mark);
}

static const char *
error_response_field (const PgwireMessage *message, char code)
{
  PgwireCursor cursor = pgwire_cursor (message);

  while (!cursor.failed)
    {
      char found = (char) pgwire_get_u8 (&cursor);
      const char *value = found == '\0' ? "" : pgwire_get_string (&cursor);

      if (found == code || found == '\0')
        return value;
    }
  return "";
}

const char *
pgwire_error_field (const GByteArray *bytes, char code)
{
  PgwireMessage message;
  const char *value = "";
  size_t at = 0;

  while (pgwire_read_message (bytes->data + at, bytes->len - at, &message) == PGWIRE_MESSAGE)
    {
      if (message.type == 'E')
        value = error_response_field (&message, code);
      at += message.size_bytes;
    }
  return value;
}
