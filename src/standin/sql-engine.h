/**
 * DOC: SQL engine of an emulated instance, an in-memory SQLite database; wraps that library.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <sqlite3.h>

typedef struct SqlDatabase SqlDatabase;
typedef struct SqlSession SqlSession;

/** sql_database_new() - Creates an empty database. */
SqlDatabase *sql_database_new (void);

/** sql_database_free() - Closes the database; its sessions must be closed first. */
void sql_database_free (SqlDatabase *database);

/**
 * sql_database_apply() - Runs a replicated transaction; returns false without an effect if a lock
 * prevents it, so that the caller tries again later.
 */
bool sql_database_apply (SqlDatabase *database, const GPtrArray *statements);

/** sql_session_new() - Opens a session for a client connection. */
SqlSession *sql_session_new (SqlDatabase *database);

/** sql_session_free() - Rolls back an open transaction and closes the session. */
void sql_session_free (SqlSession *session);

/**
 * sql_session_prepare() - Compiles one statement; on error returns %NULL and sets @message, to be
 * freed with g_free().
 */
sqlite3_stmt *sql_session_prepare (SqlSession *session, const char *sql, char **message);

/** enum SqlStep - Result of a step. */
typedef enum
{
  SQL_ROW,
  SQL_DONE,
  SQL_LOCKED, /* waiting for a lock: the statement was reset and is to be stepped again later */
  SQL_FAILED
} SqlStep;

/**
 * sql_session_step() - Runs @statement up to its next row; %SQL_FAILED sets @sqlstate and @message,
 * to be freed with g_free().
 */
SqlStep sql_session_step (SqlSession *session, sqlite3_stmt *statement, char **message,
                          const char **sqlstate);

/** sql_session_exec() - Runs BEGIN, COMMIT or ROLLBACK; never returns %SQL_ROW. */
SqlStep sql_session_exec (SqlSession *session, const char *sql);

/** sql_session_in_transaction() - Whether a transaction is open. */
bool sql_session_in_transaction (const SqlSession *session);

/** sql_session_changes() - Rows changed by the last statement. */
int64_t sql_session_changes (const SqlSession *session);

/**
 * sql_column_type() - PostgreSQL type id of a result column. Without a declared type, the current
 * value determines the type if @has_row is true, and the type is text otherwise.
 */
uint32_t sql_column_type (sqlite3_stmt *statement, int column, bool has_row);
