#include "pool/session-values.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

/* Memory of an entry beside its text. */
#define ENTRY_BYTES 64

static size_t
entry_bytes (const char *name, const char *text)
{
  return text == NULL ? 0 : strlen (name) + strlen (text) + ENTRY_BYTES;
}

static void
prepared_free (void *data)
{
  PreparedQuery *prepared = data;

  g_free (prepared->text);
  g_free (prepared);
}

void
session_values_init (SessionValues *state)
{
  state->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  state->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, prepared_free);
}

void
session_values_done (SessionValues *state)
{
  g_hash_table_destroy (state->values);
  g_hash_table_destroy (state->prepared);
}

void
session_values_set (SessionValues *state, const char *name, const char *value)
{
  state->bytes -= entry_bytes (name, g_hash_table_lookup (state->values, name));
  state->bytes += entry_bytes (name, value);
  g_hash_table_replace (state->values, g_strdup (name), g_strdup (value));
}

void
session_values_prepare (SessionValues *state, const char *name, bool read_only, const char *text)
{
  PreparedQuery *prepared = g_new0 (PreparedQuery, 1);
  const uint64_t hash = XXH64 (text, strlen (text), read_only ? 1 : 0);

  prepared->text = g_strdup (text);
  prepared->read_only = read_only;
  g_snprintf (prepared->shared_name, sizeof prepared->shared_name, "p%016" PRIx64, hash);
  session_values_deallocate (state, name);
  state->bytes += entry_bytes (name, text);
  g_hash_table_insert (state->prepared, g_strdup (name), prepared);
}

bool
session_values_deallocate (SessionValues *state, const char *name)
{
  const PreparedQuery *prepared = g_hash_table_lookup (state->prepared, name);

  if (prepared != NULL)
    state->bytes -= entry_bytes (name, prepared->text);
  return g_hash_table_remove (state->prepared, name);
}

const PreparedQuery *
session_values_prepared (const SessionValues *state, const char *name)
{
  return g_hash_table_lookup (state->prepared, name);
}
