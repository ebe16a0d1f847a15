/**
 * DOC: Results of the stand-in's SQL as protocol messages.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>
#include <sqlite3.h>

/** sql_rows_put_columns() - RowDescription; @row says that values of a first row are there. */
void sql_rows_put_columns (GByteArray *out, sqlite3_stmt *statement, bool row);

/** sql_rows_put_row() - DataRow of the row that @statement stands at. */
void sql_rows_put_row (GByteArray *out, sqlite3_stmt *statement);
