#include "standin/sql-engine.h"

#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define TYPE_BOOL 16
#define TYPE_INT8 20
#define TYPE_TEXT 25
#define TYPE_FLOAT8 701

struct SqlDatabase
{
  char uri[64];
  sqlite3 *connection; /* keeps the in-memory database alive and applies replicated records */
};

struct SqlSession
{
  sqlite3 *db;
};

static void
sql_no_op (sqlite3_context *context, int argc, sqlite3_value **argv)
{
  sqlite3_result_text (context, "", 0, SQLITE_STATIC);
}

static void
sql_version (sqlite3_context *context, int argc, sqlite3_value **argv)
{
  sqlite3_result_text (context, "PostgreSQL 15 (peridotstep stand-in)", -1, SQLITE_STATIC);
}

static sqlite3 *
open_db (const char *uri)
{
  sqlite3 *db;

  if (sqlite3_open_v2 (uri, &db,
                       SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_URI
                           | SQLITE_OPEN_SHAREDCACHE | SQLITE_OPEN_NOMUTEX,
                       NULL)
      != SQLITE_OK)
    g_error ("cannot open the in-memory database");
  sqlite3_create_function (db, "pg_sleep", 1, SQLITE_UTF8, NULL, sql_no_op, NULL, NULL);
  sqlite3_create_function (db, "version", 0, SQLITE_UTF8, NULL, sql_version, NULL, NULL);
  sqlite3_extended_result_codes (db, 1);
  return db;
}

SqlDatabase *
sql_database_new (void)
{
  static atomic_uint next_id;
  SqlDatabase *database = g_new0 (SqlDatabase, 1);

  g_snprintf (database->uri, sizeof database->uri, "file:instance%u?mode=memory&cache=shared",
              atomic_fetch_add (&next_id, 1));
  database->connection = open_db (database->uri);
  return database;
}

void
sql_database_free (SqlDatabase *database)
{
  sqlite3_close_v2 (database->connection);
  g_free (database);
}

static bool
is_locked (int code)
{
  return (code & 0xff) == SQLITE_LOCKED || (code & 0xff) == SQLITE_BUSY;
}

bool
sql_database_apply (SqlDatabase *database, const GPtrArray *statements)
{
  int code = sqlite3_exec (database->connection, "BEGIN IMMEDIATE", NULL, NULL, NULL);

  for (guint i = 0; code == SQLITE_OK && i < statements->len; i++)
    {
      code = sqlite3_exec (database->connection, statements->pdata[i], NULL, NULL, NULL);
      // The statement succeeded on the primary, so only a lock can prevent it here.
      if (!is_locked (code))
        code = SQLITE_OK;
    }
  if (code == SQLITE_OK)
    code = sqlite3_exec (database->connection, "COMMIT", NULL, NULL, NULL);
  if (code == SQLITE_OK)
    return true;
  sqlite3_exec (database->connection, "ROLLBACK", NULL, NULL, NULL);
  return false;
}

SqlSession *
sql_session_new (SqlDatabase *database)
{
  SqlSession *session = g_new0 (SqlSession, 1);

  session->db = open_db (database->uri);
  return session;
}

void
sql_session_free (SqlSession *session)
{
  if (sql_session_in_transaction (session))
    sqlite3_exec (session->db, "ROLLBACK", NULL, NULL, NULL);
  sqlite3_close_v2 (session->db);
  g_free (session);
}

sqlite3_stmt *
sql_session_prepare (SqlSession *session, const char *sql, char **message)
{
  sqlite3_stmt *statement = NULL;

  if (sqlite3_prepare_v2 (session->db, sql, -1, &statement, NULL) == SQLITE_OK)
    return statement;
  *message = g_strdup (sqlite3_errmsg (session->db));
  return NULL;
}

static const char *
sqlstate_of (int code)
{
  switch (code)
    {
    case SQLITE_CONSTRAINT_UNIQUE:
    case SQLITE_CONSTRAINT_PRIMARYKEY:
      return "23505";
    case SQLITE_CONSTRAINT_NOTNULL:
      return "23502";
    case SQLITE_CONSTRAINT_CHECK:
      return "23514";
    case SQLITE_CONSTRAINT_FOREIGNKEY:
      return "23503";
    default:
      return "XX000";
    }
}

SqlStep
sql_session_step (SqlSession *session, sqlite3_stmt *statement, char **message,
                  const char **sqlstate)
{
  int code = sqlite3_step (statement);

  if (code == SQLITE_ROW)
    return SQL_ROW;
  if (code == SQLITE_DONE)
    return SQL_DONE;
  if (is_locked (code))
    {
      sqlite3_reset (statement);
      return SQL_LOCKED;
    }
  *message = g_strdup (sqlite3_errmsg (session->db));
  *sqlstate = sqlstate_of (sqlite3_extended_errcode (session->db));
  return SQL_FAILED;
}

SqlStep
sql_session_exec (SqlSession *session, const char *sql)
{
  int code = sqlite3_exec (session->db, sql, NULL, NULL, NULL);

  if (code == SQLITE_OK)
    return SQL_DONE;
  return is_locked (code) ? SQL_LOCKED : SQL_FAILED;
}

bool
sql_session_in_transaction (const SqlSession *session)
{
  return sqlite3_get_autocommit (session->db) == 0;
}

int64_t
sql_session_changes (const SqlSession *session)
{
  return sqlite3_changes64 (session->db);
}

static uint32_t
declared_type (const char *name)
{
  static const struct
  {
    const char *word;
    uint32_t type;
  } types[] = {
    { "INT", TYPE_INT8 },    { "SERIAL", TYPE_INT8 },   { "BOOL", TYPE_BOOL },
    { "REAL", TYPE_FLOAT8 }, { "DOUBLE", TYPE_FLOAT8 }, { "FLOAT", TYPE_FLOAT8 },
  };
  char *upper = g_ascii_strup (name, -1);
  uint32_t type = TYPE_TEXT;

  for (size_t i = 0; i < G_N_ELEMENTS (types); i++)
    if (strstr (upper, types[i].word) != NULL)
      {
        type = types[i].type;
        break;
      }
  g_free (upper);
  return type;
}

uint32_t
sql_column_type (sqlite3_stmt *statement, int column, bool has_row)
{
  const char *name = sqlite3_column_decltype (statement, column);

  if (name != NULL)
    return declared_type (name);
  if (!has_row)
    return TYPE_TEXT;
  switch (sqlite3_column_type (statement, column))
    {
    case SQLITE_INTEGER:
      return TYPE_INT8;
    case SQLITE_FLOAT:
      return TYPE_FLOAT8;
    default:
      return TYPE_TEXT;
    }
}
