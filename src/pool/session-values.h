/**
 * DOC: Session state that follows a caller's session across connections: its values and prepared
 * statements. The proxy stores them and applies them to a connection before use.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/**
 * Longest name of a prepared statement on a backend connection, including the terminator, in bytes.
 */
#define SHARED_NAME_BYTES 20

/**
 * struct PreparedQuery - A prepared statement.
 * @text: its text.
 * @read_only: whether it only reads.
 * @shared_name: its name on backend connections, the same for all callers with this text.
 */
typedef struct
{
  char *text;
  bool read_only;
  char shared_name[SHARED_NAME_BYTES];
} PreparedQuery;

/**
 * struct SessionValues - Hash tables: name to value, and name to &struct PreparedQuery.
 * @bytes: memory of all of them, about.
 */
typedef struct
{
  GHashTable *values;
  GHashTable *prepared;
  size_t bytes;
} SessionValues;

/** session_values_init() - Empty. */
void session_values_init (SessionValues *state);

/** session_values_done() - Frees the tables. */
void session_values_done (SessionValues *state);

/** session_values_set() - Sets value @name. */
void session_values_set (SessionValues *state, const char *name, const char *value);

/** session_values_prepare() - Defines or replaces prepared statement @name. */
void session_values_prepare (SessionValues *state, const char *name, bool read_only,
                             const char *text);

/** session_values_deallocate() - Removes prepared statement @name; false if there is none. */
bool session_values_deallocate (SessionValues *state, const char *name);

/** session_values_prepared() - Prepared statement @name, or %NULL. */
const PreparedQuery *session_values_prepared (const SessionValues *state, const char *name);
