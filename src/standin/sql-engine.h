/**
 * DOC: SQL by an in-memory SQLite database per instance; the only user of that library.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <sqlite3.h>

typedef struct SqlDatabase SqlDatabase;
typedef struct SqlSession SqlSession;

/** sql_database_new() - Empty database. */
SqlDatabase *sql_database_new (void);

/** sql_database_free() - Closes it; sessions must be closed before. */
void sql_database_free (SqlDatabase *database);

/** sql_database_apply() - Runs a replicated transaction; false to try again later. */
bool sql_database_apply (SqlDatabase *database, const GPtrArray *statements);

/** sql_session_new() - A connection's session. */
SqlSession *sql_session_new (SqlDatabase *database);

/** sql_session_free() - Rolls back what is open and closes. */
void sql_session_free (SqlSession *session);

/** sql_session_prepare() - Compiles one statement; %NULL with @message on error (g_free() it). */
sqlite3_stmt *sql_session_prepare (SqlSession *session, const char *sql, char **message);

/** enum SqlStep - Result of a step. */
typedef enum
{
  SQL_ROW,
  SQL_DONE,
  SQL_LOCKED, /* reset, and try again later */
  SQL_FAILED
} SqlStep;

/** sql_session_step() - Runs @statement up to its next row; @message as above, with @sqlstate. */
SqlStep sql_session_step (SqlSession *session, sqlite3_stmt *statement, char **message,
                          const char **sqlstate);

/** sql_session_exec() - Runs a transaction verb; %SQL_DONE, %SQL_LOCKED or %SQL_FAILED. */
SqlStep sql_session_exec (SqlSession *session, const char *sql);

/** sql_session_in_transaction() - Whether a transaction is open. */
bool sql_session_in_transaction (const SqlSession *session);

/** sql_session_changes() - Rows changed by the last statement. */
int64_t sql_session_changes (const SqlSession *session);

/** sql_column_type() - PostgreSQL type id of a result column; @row says that values are there. */
uint32_t sql_column_type (sqlite3_stmt *statement, int column, bool row);
