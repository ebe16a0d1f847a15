/**
 * DOC: Named statements and portals of a caller's connection, kept by the entry host.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "adapter/pgwire.h"
#include "pipeline/request.h"

/** struct PreparedStatement - Text and parameter types of a statement. */
typedef struct
{
  char *sql;
  uint32_t type_count;
  uint32_t *types;
} PreparedStatement;

/** struct Portal - A statement with its parameters. */
typedef struct
{
  PreparedStatement statement;
  uint32_t param_count;
  RequestParam *params;
  uint32_t result_format;
  bool mixed_formats;
} Portal;

typedef struct PreparedStore PreparedStore;

/** prepared_store_new() - Empty store. */
PreparedStore *prepared_store_new (void);

/** prepared_store_free() - Frees all. */
void prepared_store_free (PreparedStore *store);

/**
 * prepared_store_parse() - Reads a Parse message. Returns a message for the caller's error,
 * or %NULL when all is well; @malformed is set when the message itself is broken.
 */
const char *prepared_store_parse (PreparedStore *store, PgwireCursor *cursor, bool *malformed);

/** prepared_store_bind() - Reads a Bind message; as above. */
const char *prepared_store_bind (PreparedStore *store, PgwireCursor *cursor, bool *malformed);

/** prepared_store_statement() - Statement called @name, or %NULL. */
const PreparedStatement *prepared_store_statement (PreparedStore *store, const char *name);

/** prepared_store_portal() - Portal called @name, or %NULL. */
const Portal *prepared_store_portal (PreparedStore *store, const char *name);

/** prepared_store_close() - Drops a statement ('S') or portal ('P'). */
void prepared_store_close (PreparedStore *store, char kind, const char *name);

/** prepared_store_clear() - Drops everything. */
void prepared_store_clear (PreparedStore *store);
