/**
 * DOC: Prepared statements and portals of a caller's connection, kept by the entry host.
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

/** prepared_store_new() - Creates an empty store. */
PreparedStore *prepared_store_new (void);

/** prepared_store_free() - Frees the store with its contents. */
void prepared_store_free (PreparedStore *store);

/**
 * prepared_store_parse() - Handles a Parse message. Returns an error message for the caller, or
 * %NULL on success; @malformed is set when the message itself can't be decoded.
 */
const char *prepared_store_parse (PreparedStore *store, PgwireCursor *cursor, bool *malformed);

/** prepared_store_bind() - Handles a Bind message, with the same result. */
const char *prepared_store_bind (PreparedStore *store, PgwireCursor *cursor, bool *malformed);

/** prepared_store_statement() - Statement called @name, or %NULL. */
const PreparedStatement *prepared_store_statement (PreparedStore *store, const char *name);

/** prepared_store_portal() - Portal called @name, or %NULL. */
const Portal *prepared_store_portal (PreparedStore *store, const char *name);

/** prepared_store_close() - Removes a statement ('S') or portal ('P'). */
void prepared_store_close (PreparedStore *store, char kind, const char *name);

/** prepared_store_clear() - Removes all statements and portals. */
void prepared_store_clear (PreparedStore *store);
