/**
 * DOC: Encodes SQLite results as PostgreSQL protocol messages.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>
#include <sqlite3.h>

/** sql_rows_put_columns() - RowDescription; @has_row as in sql_column_type(). */
void sql_rows_put_columns (GByteArray *out, sqlite3_stmt *statement, bool has_row);

/** sql_rows_put_row() - DataRow of the current row of @statement. */
void sql_rows_put_row (GByteArray *out, sqlite3_stmt *statement);
