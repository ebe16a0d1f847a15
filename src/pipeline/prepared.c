#include "pipeline/prepared.h"

#include <string.h>

#define STATEMENTS_MAX 1000
#define NULL_LENGTH ((uint32_t) -1)

struct PreparedStore
{
  GHashTable *statements;
  GHashTable *portals;
};

static void
statement_clear (PreparedStatement *statement)
{
  g_free (statement->sql);
  g_free (statement->types);
}

static void
statement_free (void *data)
{
  statement_clear (data);
  g_free (data);
}

static void
portal_free (void *data)
{
  Portal *portal = data;

  for (uint32_t i = 0; i < portal->param_count; i++)
    g_free ((void *) portal->params[i].value);
  g_free (portal->params);
  statement_clear (&portal->statement);
  g_free (portal);
}

PreparedStore *
prepared_store_new (void)
{
  PreparedStore *store = g_new0 (PreparedStore, 1);

  store->statements = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, statement_free);
  store->portals = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, portal_free);
  return store;
}

void
prepared_store_free (PreparedStore *store)
{
  g_hash_table_destroy (store->statements);
  g_hash_table_destroy (store->portals);
  g_free (store);
}

const char *
prepared_store_parse (PreparedStore *store, PgwireCursor *cursor, bool *malformed)
{
  const char *name = pgwire_get_string (cursor);
  const char *sql = pgwire_get_string (cursor);
  uint16_t count = pgwire_get_u16 (cursor);
  PreparedStatement *statement = g_new0 (PreparedStatement, 1);

  statement->sql = g_strdup (sql);
  statement->types = g_new0 (uint32_t, (gsize) count + 1);
  statement->type_count = count;
  for (uint16_t i = 0; i < count; i++)
    statement->types[i] = pgwire_get_u32 (cursor);
  *malformed = cursor->failed;
  if (cursor->failed)
    {
      statement_free (statement);
      return "malformed Parse message";
    }
  if (name[0] != '\0' && g_hash_table_contains (store->statements, name))
    {
      statement_free (statement);
      return "prepared statement already exists";
    }
  if (g_hash_table_size (store->statements) >= STATEMENTS_MAX)
    {
      statement_free (statement);
      return "too many prepared statements";
    }
  g_hash_table_replace (store->statements, g_strdup (name), statement);
  return NULL;
}

static uint16_t *
read_formats (PgwireCursor *cursor, uint16_t *count)
{
  uint16_t *formats;

  *count = pgwire_get_u16 (cursor);
  formats = g_new0 (uint16_t, (gsize) *count + 1);
  for (uint16_t i = 0; i < *count; i++)
    formats[i] = pgwire_get_u16 (cursor);
  return formats;
}

static uint32_t
format_of (const uint16_t *formats, uint16_t count, uint16_t index)
{
  if (count == 0)
    return 0;
  return count == 1 ? formats[0] : index < count ? formats[index] : 0;
}

static void
read_params (PgwireCursor *cursor, Portal *portal)
{
  uint16_t format_count;
  uint16_t *formats = read_formats (cursor, &format_count);
  uint16_t count = pgwire_get_u16 (cursor);

  portal->params = g_new0 (RequestParam, (gsize) count + 1);
  for (uint16_t i = 0; i < count && !cursor->failed; i++)
    {
      RequestParam *param = &portal->params[portal->param_count++];
      uint32_t length = pgwire_get_u32 (cursor);
      const uint8_t *value;

      param->format = format_of (formats, format_count, i);
      if (length == NULL_LENGTH)
        continue;
      value = pgwire_get_bytes (cursor, length);
      if (value == NULL)
        break;
      // The client library reads text values up to a terminating zero byte.
      param->value = g_malloc0 ((gsize) length + 1);
      memcpy ((void *) param->value, value, length);
      param->length = length;
    }
  g_free (formats);
}

static void
read_result_formats (PgwireCursor *cursor, Portal *portal)
{
  uint16_t count;
  uint16_t *formats = read_formats (cursor, &count);

  portal->result_format = count == 0 ? 0 : formats[0];
  for (uint16_t i = 1; i < count; i++)
    if (formats[i] != formats[0])
      portal->mixed_formats = true;
  g_free (formats);
}

const char *
prepared_store_bind (PreparedStore *store, PgwireCursor *cursor, bool *malformed)
{
  const char *portal_name = pgwire_get_string (cursor);
  const char *statement_name = pgwire_get_string (cursor);
  const PreparedStatement *statement = prepared_store_statement (store, statement_name);
  Portal *portal = g_new0 (Portal, 1);

  read_params (cursor, portal);
  read_result_formats (cursor, portal);
  *malformed = cursor->failed;
  if (cursor->failed || statement == NULL)
    {
      portal_free (portal);
      return *malformed ? "malformed Bind message" : "prepared statement does not exist";
    }
  portal->statement.sql = g_strdup (statement->sql);
  portal->statement.type_count = statement->type_count;
  portal->statement.types
      = g_memdup2 (statement->types, ((gsize) statement->type_count + 1) * sizeof (uint32_t));
  g_hash_table_replace (store->portals, g_strdup (portal_name), portal);
  return NULL;
}

const PreparedStatement *
prepared_store_statement (PreparedStore *store, const char *name)
{
  return g_hash_table_lookup (store->statements, name);
}

const Portal *
prepared_store_portal (PreparedStore *store, const char *name)
{
  return g_hash_table_lookup (store->portals, name);
}

void
prepared_store_close (PreparedStore *store, char kind, const char *name)
{
  g_hash_table_remove (kind == 'S' ? store->statements : store->portals, name);
}

void
prepared_store_clear (PreparedStore *store)
{
  g_hash_table_remove_all (store->statements);
  g_hash_table_remove_all (store->portals);
}
