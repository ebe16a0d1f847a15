#include "standin/backend-session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapter/pgwire.h"
#include "base/clock.h"
#include "base/sql-text.h"
#include "standin/control-functions.h"
#include "standin/delayed-input.h"
#include "standin/sql-rows.h"

#define STREAM_HIGH_BYTES (256 * 1024)
#define LOCK_RETRY_US 1000
#define LOCK_LIMIT_MS 5000
/* Time after which the emulated TCP keepalive closes a session whose peer is unreachable. */
#define KEEPALIVE_MS 2000
#define TRANSACTION_ID_BYTES 64

/* The statement that is running. */
typedef struct
{
  sqlite3_stmt *statement;
  SqlVerb verb;
  char first_word[16]; /* of the SQL text, in upper case; for the command tag */
  char second_word[16];
  char transaction_id[TRANSACTION_ID_BYTES];
  bool describe;
  bool extended;
  bool described;
  bool has_slot;
  uint64_t rows;
  int64_t lock_until_ms;
} StatementRun;

struct BackendSession
{
  BackendSessionOptions options;
  struct tevent_context *events;
  Stream *stream;
  SqlSession *sql;
  DelayedInput *input;
  struct tevent_timer *run_timer;
  uint32_t key;
  bool started;
  bool paused;
  bool busy;
  bool skip_to_sync;
  int64_t last_message_ms;
  int64_t blackholed_since_ms; /* 0 if the network works */
  bool read_only;
  bool read_only_at_start;
  char status;
  GPtrArray *writes;
  SessionToken reported;
  StatementRun run;
  StatusWait status_wait;
  bool status_pending; /* a status call waits for the condition in @status_wait */
  /* extended protocol: the unnamed prepared statement and portal */
  char *parsed_sql;
  sqlite3_stmt *parsed;
  bool describe_portal;
};

static void process_input (BackendSession *session);
static void run_step (BackendSession *session);

static GByteArray *
output_buffer (BackendSession *session)
{
  return stream_output (session->stream);
}

static InstanceStatus
instance_status (const BackendSession *session)
{
  return database_group_status (session->options.group, session->options.instance);
}

static void
report_position (BackendSession *session)
{
  InstanceStatus status = instance_status (session);
  char text[SESSION_TOKEN_TEXT_BYTES];

  if (session_token_compare (status.applied, session->reported) == 0)
    return;
  session->reported = status.applied;
  session_token_print (status.applied, text);
  pgwire_put_parameter (output_buffer (session), "peridotstep.position", text);
}

static void
put_ready (BackendSession *session)
{
  report_position (session);
  pgwire_put_ready (output_buffer (session), session->status);
  stream_flush (session->stream);
}

static void
put_error (BackendSession *session, const char *sqlstate, const char *message)
{
  pgwire_put_error (output_buffer (session), "ERROR", sqlstate, message, NULL);
  if (session->status == 'T')
    session->status = 'E';
}

static void
free_run (BackendSession *session)
{
  bool had_slot = session->run.has_slot;

  TALLOC_FREE (session->run_timer);
  if (session->run.statement != NULL && session->run.statement != session->parsed)
    sqlite3_finalize (session->run.statement);
  else if (session->run.statement != NULL)
    sqlite3_reset (session->run.statement);
  session->run = (StatementRun){ 0 };
  session->busy = false;
  if (had_slot)
    session->options.callbacks->slot_freed (session->options.callback_data, session);
}

/* Ends the statement; the simple protocol then sends ReadyForQuery, the extended one at Sync. */
static void
finish_run (BackendSession *session, bool failed)
{
  bool extended = session->run.extended;

  free_run (session);
  if (!extended)
    put_ready (session);
  else if (failed)
    session->skip_to_sync = true;
  process_input (session);
}

static void
fail_run (BackendSession *session, const char *sqlstate, const char *message)
{
  put_error (session, sqlstate, message);
  finish_run (session, true);
}

static void
describe_once (BackendSession *session, bool row)
{
  StatementRun *run = &session->run;

  if (run->described || !run->describe)
    return;
  run->described = true;
  if (sqlite3_column_count (run->statement) > 0)
    sql_rows_put_columns (output_buffer (session), run->statement, row);
  else if (run->extended)
    pgwire_put_empty (output_buffer (session), 'n');
}

static void
put_run_complete (BackendSession *session)
{
  const StatementRun *run = &session->run;
  char tag[64];

  if (strcmp (run->first_word, "INSERT") == 0)
    g_snprintf (tag, sizeof tag, "INSERT 0 %" G_GINT64_FORMAT, sql_session_changes (session->sql));
  else if (strcmp (run->first_word, "UPDATE") == 0 || strcmp (run->first_word, "DELETE") == 0)
    g_snprintf (tag, sizeof tag, "%s %" G_GINT64_FORMAT, run->first_word,
                sql_session_changes (session->sql));
  else if (sqlite3_column_count (run->statement) > 0)
    g_snprintf (tag, sizeof tag, "SELECT %" G_GUINT64_FORMAT, run->rows);
  else
    g_snprintf (tag, sizeof tag, "%s %s", run->first_word, run->second_word);
  pgwire_put_complete (output_buffer (session), tag);
}

static const char *
commit_refusal (CommitCheck check, const char **sqlstate)
{
  if (check == COMMIT_NOT_PRIMARY)
    {
      *sqlstate = "25006";
      return "this instance is not the primary";
    }
  *sqlstate = "40001";
  return "transaction id has already been resolved";
}

static CommitCheck
check_commit (BackendSession *session, const char *transaction_id)
{
  return group_log_check_commit (database_group_log (session->options.group),
                                 session->options.instance,
                                 transaction_id[0] == '\0' ? NULL : transaction_id);
}

static void
log_commit (BackendSession *session, const char *transaction_id, GPtrArray *statements)
{
  group_log_commit (database_group_log (session->options.group), session->options.instance,
                    transaction_id[0] == '\0' ? NULL : transaction_id, statements, clock_now_ms ());
}

/* Appends an executed write to the replication log, or keeps it until its transaction commits. */
static void
log_write (BackendSession *session)
{
  char *expanded = sqlite3_expanded_sql (session->run.statement);
  GPtrArray *statements;

  if (session->status == 'T')
    {
      g_ptr_array_add (session->writes, g_strdup (expanded));
      sqlite3_free (expanded);
      return;
    }
  statements = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (statements, g_strdup (expanded));
  sqlite3_free (expanded);
  log_commit (session, session->run.transaction_id, statements);
}

static void
schedule_run (BackendSession *session, int64_t delay_us, tevent_timer_handler_t handler)
{
  TALLOC_FREE (session->run_timer);
  session->run_timer = tevent_add_timer (
      session->events, session,
      tevent_timeval_current_ofs ((uint32_t) (delay_us / 1000000), (uint32_t) (delay_us % 1000000)),
      handler, session);
}

static void
on_run_timer (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
              void *data)
{
  BackendSession *session = data;

  session->run_timer = NULL;
  if (session->paused)
    schedule_run (session, LOCK_RETRY_US, on_run_timer);
  else
    run_step (session);
}

/* Returns false and fails the statement if it is a write that is not allowed here. */
static bool
write_allowed (BackendSession *session)
{
  const char *sqlstate;
  CommitCheck check;

  if (sqlite3_stmt_readonly (session->run.statement))
    return true;
  if (session->read_only)
    {
      fail_run (session, "25006", "cannot execute a write in a read-only transaction");
      return false;
    }
  check = check_commit (session, session->run.transaction_id);
  if (check == COMMIT_ALLOWED)
    return true;
  {
    const char *message = commit_refusal (check, &sqlstate);

    fail_run (session, sqlstate, message);
  }
  return false;
}

/* Frees the slot of a statement that waits for a lock, so that the lock holder can get one. */
static void
wait_for_lock (BackendSession *session)
{
  StatementRun *run = &session->run;

  if (run->lock_until_ms == 0)
    run->lock_until_ms = clock_now_ms () + LOCK_LIMIT_MS;
  if (!run->has_slot)
    return;
  run->has_slot = false;
  session->options.callbacks->slot_freed (session->options.callback_data, session);
}

static void
run_step (BackendSession *session)
{
  StatementRun *run = &session->run;
  char *message = NULL;
  const char *sqlstate = "XX000";

  if (session->status == 'E')
    {
      fail_run (session, "25006", "this instance is not the primary");
      return;
    }
  if (!write_allowed (session))
    return;
  for (;;)
    {
      SqlStep step = sql_session_step (session->sql, run->statement, &message, &sqlstate);

      switch (step)
        {
        case SQL_ROW:
          describe_once (session, true);
          run->rows++;
          sql_rows_put_row (output_buffer (session), run->statement);
          if (stream_pending (session->stream) < STREAM_HIGH_BYTES)
            continue;
          stream_flush (session->stream);
          if (stream_pending (session->stream) < STREAM_HIGH_BYTES)
            continue;
          return;
        case SQL_DONE:
          describe_once (session, false);
          if (!sqlite3_stmt_readonly (run->statement))
            log_write (session);
          put_run_complete (session);
          finish_run (session, false);
          return;
        case SQL_LOCKED:
          wait_for_lock (session);
          if (clock_now_ms () < run->lock_until_ms)
            schedule_run (session, LOCK_RETRY_US, on_run_timer);
          else
            fail_run (session, "55P03", "lock not available");
          return;
        case SQL_FAILED:
          fail_run (session, sqlstate, message);
          g_free (message);
          return;
        }
    }
}

/* Duration of a pg_sleep() call in @sql, which is added to the service time. */
static int64_t
sleep_us (const char *sql)
{
  const char *call = strstr (sql, "pg_sleep(");

  return call == NULL ? 0 : (int64_t) (g_ascii_strtod (call + strlen ("pg_sleep("), NULL) * 1e6);
}

void
backend_session_start (BackendSession *session, uint32_t service_us)
{
  session->run.has_slot = true;
  schedule_run (session, service_us + sleep_us (sqlite3_sql (session->run.statement)),
                on_run_timer);
}

static void
start_run (BackendSession *session, sqlite3_stmt *statement, const char *sql, bool extended)
{
  StatementRun *run = &session->run;

  session->busy = true;
  *run = (StatementRun){ .statement = statement, .extended = extended };
  run->describe = !extended || session->describe_portal;
  session->describe_portal = false;
  sql_text_word (sql, 0, run->first_word, sizeof run->first_word);
  sql_text_word (sql, 1, run->second_word, sizeof run->second_word);
  for (char *c = run->first_word; *c != '\0'; c++)
    *c = g_ascii_toupper (*c);
  for (char *c = run->second_word; *c != '\0'; c++)
    *c = g_ascii_toupper (*c);
  sql_text_tag (sql, "peridotstep_txid", run->transaction_id, sizeof run->transaction_id);
  run->has_slot = true;
  session->options.callbacks->slot_requested (session->options.callback_data, session);
}

static ControlTarget
control_target (const BackendSession *session)
{
  return (ControlTarget){ session->options.group, session->options.instance,
                          session->options.emulation };
}

void
backend_session_tick (BackendSession *session, int64_t now_ms)
{
  const ControlTarget target = control_target (session);

  if (session->blackholed_since_ms != 0 && now_ms - session->blackholed_since_ms >= KEEPALIVE_MS)
    {
      session->options.callbacks->closed (session->options.callback_data, session);
      return;
    }
  if (!session->status_pending || session->paused
      || !control_functions_status_due (&target, &session->status_wait, now_ms))
    return;
  session->status_pending = false;
  session->busy = false;
  control_functions_put_status (&target, output_buffer (session));
  put_ready (session);
  process_input (session);
}

void
backend_session_blackhole (BackendSession *session)
{
  session->blackholed_since_ms = clock_now_ms ();
  backend_session_set_paused (session, true);
}

/* Runs a control function, which needs no slot. Returns false for all other statements. */
static bool
handle_control (BackendSession *session, const char *body)
{
  const ControlTarget target = control_target (session);
  int64_t now_ms = clock_now_ms ();

  if (control_functions_read_status (body, now_ms, &session->status_wait))
    {
      session->status_pending = true;
      session->busy = true;
      backend_session_tick (session, now_ms);
      return true;
    }
  if (!control_functions_run (&target, body, output_buffer (session)))
    return false;
  put_ready (session);
  return true;
}

static void
end_transaction (BackendSession *session, const char *verb)
{
  sql_session_exec (session->sql, verb);
  g_ptr_array_set_size (session->writes, 0);
  session->status = 'I';
}

static void
commit (BackendSession *session, const char *sql)
{
  char transaction_id[TRANSACTION_ID_BYTES] = "";
  const char *sqlstate;
  CommitCheck check;

  if (session->status != 'T')
    {
      end_transaction (session, "ROLLBACK");
      pgwire_put_complete (output_buffer (session), session->status == 'E' ? "ROLLBACK" : "COMMIT");
      return;
    }
  sql_text_tag (sql, "peridotstep_txid", transaction_id, sizeof transaction_id);
  check = session->writes->len == 0 ? COMMIT_ALLOWED : check_commit (session, transaction_id);
  if (check != COMMIT_ALLOWED)
    {
      const char *message = commit_refusal (check, &sqlstate);

      end_transaction (session, "ROLLBACK");
      put_error (session, sqlstate, message);
      return;
    }
  if (session->writes->len > 0)
    {
      log_commit (session, transaction_id, session->writes);
      session->writes = g_ptr_array_new_with_free_func (g_free);
    }
  end_transaction (session, "COMMIT");
  pgwire_put_complete (output_buffer (session), "COMMIT");
}

static void
set_variable (BackendSession *session, const char *sql)
{
  char name[64], value[64];

  if (!sql_text_assignment (sql, name, sizeof name, value, sizeof value))
    return;
  if (strcmp (name, "default_transaction_read_only") == 0)
    session->read_only = strcmp (value, "on") == 0;
}

/* Runs a statement that needs no slot. Returns false for all other statements. */
static bool
run_verb (BackendSession *session, SqlVerb verb, const char *sql)
{
  switch (verb)
    {
    case SQL_VERB_EMPTY:
      pgwire_put_empty (output_buffer (session), 'I');
      return true;
    case SQL_VERB_BEGIN:
      if (session->status == 'I' && sql_session_exec (session->sql, "BEGIN") == SQL_DONE)
        session->status = 'T';
      pgwire_put_complete (output_buffer (session), "BEGIN");
      return true;
    case SQL_VERB_COMMIT:
      commit (session, sql);
      return true;
    case SQL_VERB_ROLLBACK:
      end_transaction (session, "ROLLBACK");
      pgwire_put_complete (output_buffer (session), "ROLLBACK");
      return true;
    case SQL_VERB_SET:
      set_variable (session, sql);
      pgwire_put_complete (output_buffer (session), "SET");
      return true;
    case SQL_VERB_DISCARD:
      if (session->status == 'I')
        session->read_only = session->read_only_at_start;
      pgwire_put_complete (output_buffer (session), "DISCARD ALL");
      return true;
    default:
      return false;
    }
}

static sqlite3_stmt *
prepare_or_fail (BackendSession *session, const char *sql)
{
  char *message = NULL;
  sqlite3_stmt *statement;

  if (session->status == 'E')
    {
      put_error (session, "25P02",
                 "current transaction is aborted, commands ignored until end of transaction block");
      return NULL;
    }
  statement = sql_session_prepare (session->sql, sql, &message);
  if (statement == NULL)
    {
      const char *sqlstate = strstr (message, "no such table") != NULL ? "42P01" : "42601";

      put_error (session, sqlstate, message);
      g_free (message);
    }
  return statement;
}

static void
handle_query (BackendSession *session, const char *sql)
{
  sqlite3_stmt *statement;

  if (handle_control (session, sql_text_skip_comments (sql)))
    return;
  if (run_verb (session, sql_text_verb (sql), sql))
    {
      put_ready (session);
      return;
    }
  statement = prepare_or_fail (session, sql);
  if (statement == NULL)
    put_ready (session);
  else
    start_run (session, statement, sql, false);
}

static void
free_parsed (BackendSession *session)
{
  if (session->parsed != NULL)
    sqlite3_finalize (session->parsed);
  session->parsed = NULL;
  g_free (session->parsed_sql);
  session->parsed_sql = NULL;
}

static void
handle_parse (BackendSession *session, PgwireCursor *cursor)
{
  const char *name = pgwire_get_string (cursor);
  const char *sql = pgwire_get_string (cursor);

  free_parsed (session);
  if (name[0] != '\0')
    {
      put_error (session, "0A000", "named prepared statements are not supported by the stand-in");
      session->skip_to_sync = true;
      return;
    }
  session->parsed_sql = g_strdup (sql);
  if (sql_text_verb (sql) == SQL_VERB_OTHER)
    {
      session->parsed = prepare_or_fail (session, sql);
      if (session->parsed == NULL)
        {
          session->skip_to_sync = true;
          return;
        }
    }
  pgwire_put_empty (output_buffer (session), '1');
}

static void
bind_parameter (BackendSession *session, int number, const uint8_t *bytes, uint32_t length)
{
  char name[16];
  int at;

  g_snprintf (name, sizeof name, "$%d", number);
  at = sqlite3_bind_parameter_index (session->parsed, name);
  if (at > 0 && bytes != NULL)
    sqlite3_bind_text (session->parsed, at, (const char *) bytes, (int) length, SQLITE_TRANSIENT);
  else if (at > 0)
    sqlite3_bind_null (session->parsed, at);
}

static void
handle_bind (BackendSession *session, PgwireCursor *cursor)
{
  uint16_t count;

  pgwire_get_string (cursor);
  pgwire_get_string (cursor);
  count = pgwire_get_u16 (cursor);
  for (uint16_t i = 0; i < count; i++)
    if (pgwire_get_u16 (cursor) != 0)
      {
        put_error (session, "0A000", "binary parameters are not supported by the stand-in");
        session->skip_to_sync = true;
        return;
      }
  count = pgwire_get_u16 (cursor);
  if (session->parsed != NULL)
    {
      sqlite3_reset (session->parsed);
      sqlite3_clear_bindings (session->parsed);
    }
  for (uint16_t i = 0; i < count && !cursor->failed; i++)
    {
      uint32_t length = pgwire_get_u32 (cursor);
      const uint8_t *bytes = length == (uint32_t) -1 ? NULL : pgwire_get_bytes (cursor, length);

      if (session->parsed != NULL)
        bind_parameter (session, i + 1, bytes, length);
    }
  pgwire_put_empty (output_buffer (session), '2');
}

static void
put_parameter_description (BackendSession *session)
{
  GByteArray *output = output_buffer (session);
  guint mark = pgwire_begin (output, 't');
  int count = session->parsed == NULL ? 0 : sqlite3_bind_parameter_count (session->parsed);

  pgwire_put_u16 (output, (uint16_t) count);
  for (int i = 0; i < count; i++)
    pgwire_put_u32 (output, 25);
  pgwire_end (output, mark);
}

static void
handle_describe (BackendSession *session, PgwireCursor *cursor)
{
  if (pgwire_get_u8 (cursor) == 'P')
    {
      session->describe_portal = true;
      return;
    }
  put_parameter_description (session);
  if (session->parsed != NULL && sqlite3_column_count (session->parsed) > 0)
    sql_rows_put_columns (output_buffer (session), session->parsed, false);
  else
    pgwire_put_empty (output_buffer (session), 'n');
}

static void
handle_execute (BackendSession *session)
{
  if (session->parsed == NULL)
    {
      if (session->describe_portal)
        pgwire_put_empty (output_buffer (session), 'n');
      session->describe_portal = false;
      run_verb (session, sql_text_verb (session->parsed_sql), session->parsed_sql);
      return;
    }
  start_run (session, session->parsed, session->parsed_sql, true);
}

static void
handle_message (BackendSession *session, const PgwireMessage *message)
{
  PgwireCursor cursor = pgwire_cursor (message);

  if (session->skip_to_sync && message->type != 'S' && message->type != 'X')
    return;
  switch (message->type)
    {
    case 'Q':
      handle_query (session, pgwire_get_string (&cursor));
      return;
    case 'P':
      handle_parse (session, &cursor);
      return;
    case 'B':
      handle_bind (session, &cursor);
      return;
    case 'D':
      handle_describe (session, &cursor);
      return;
    case 'E':
      handle_execute (session);
      return;
    case 'C':
      pgwire_put_empty (output_buffer (session), '3');
      return;
    case 'H':
      stream_flush (session->stream);
      return;
    case 'S':
      session->skip_to_sync = false;
      put_ready (session);
      return;
    default:
      put_error (session, "08P01", "unexpected message");
      stream_flush (session->stream);
    }
}

static void
on_connected (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
              void *data)
{
  BackendSession *session = data;
  GByteArray *output = output_buffer (session);
  guint mark;

  session->run_timer = NULL;
  session->busy = false;
  mark = pgwire_begin (output, 'R');
  pgwire_put_u32 (output, 0);
  pgwire_end (output, mark);
  pgwire_put_parameter (output, "server_version", "15.0");
  pgwire_put_parameter (output, "client_encoding", "UTF8");
  pgwire_put_parameter (output, "standard_conforming_strings", "on");
  mark = pgwire_begin (output, 'K');
  pgwire_put_u32 (output, session->options.pid);
  pgwire_put_u32 (output, session->key);
  pgwire_end (output, mark);
  put_ready (session);
  process_input (session);
}

static void
read_startup_parameters (BackendSession *session, PgwireCursor *cursor)
{
  const DatabaseGroupOptions *emulation = session->options.emulation;
  const char *prefix = "peridotstep:";

  while (!cursor->failed)
    {
      const char *name = pgwire_get_string (cursor);
      const char *value;

      if (name[0] == '\0')
        return;
      value = pgwire_get_string (cursor);
      if (strcmp (name, "options") == 0
          && strstr (value, "default_transaction_read_only=on") != NULL)
        session->read_only = session->read_only_at_start = true;
      if (strcmp (name, "application_name") == 0 && g_str_has_prefix (value, prefix)
          && emulation->delay != NULL)
        delayed_input_set_delay (
            session->input,
            2
                * emulation->delay (value + strlen (prefix),
                                    emulation->instances[session->options.instance].failure_domain,
                                    emulation->delay_data));
    }
}

static void
handle_startup (BackendSession *session, const PgwireMessage *message)
{
  PgwireCursor cursor = pgwire_cursor (message);
  uint32_t code = pgwire_get_u32 (&cursor);

  if (code == PGWIRE_SSL_REQUEST || code == PGWIRE_GSS_REQUEST)
    {
      pgwire_put_u8 (output_buffer (session), 'N');
      stream_flush (session->stream);
      return;
    }
  if (code == PGWIRE_CANCEL_REQUEST)
    {
      uint32_t pid = pgwire_get_u32 (&cursor);

      session->options.callbacks->cancel (session->options.callback_data, pid,
                                          pgwire_get_u32 (&cursor));
      return;
    }
  session->started = true;
  if (session->options.refuse)
    {
      pgwire_put_error (output_buffer (session), "FATAL", "53300",
                        "sorry, too many clients already", NULL);
      stream_flush (session->stream);
      return;
    }
  read_startup_parameters (session, &cursor);
  session->busy = true;
  schedule_run (session,
                (int64_t) session->options.emulation->connect_delay_ms * 1000
                    + delayed_input_delay_us (session->input),
                on_connected);
}

/* Handles one complete message of the input. Returns false if there is none. */
static bool
handle_next_message (BackendSession *session)
{
  const GByteArray *input = stream_input (session->stream);
  uint64_t allowed = delayed_input_available (session->input);
  PgwireMessage message;
  PgwireReadResult read;
  uint8_t *copy;

  if (!session->started)
    read = pgwire_read_startup (input->data, allowed, &message);
  else
    read = pgwire_read_message (input->data, allowed, &message);
  if (read != PGWIRE_MESSAGE)
    return false;
  copy = g_memdup2 (message.body, message.length);
  message.body = copy;
  stream_consume (session->stream, message.size_bytes);
  delayed_input_consume (session->input, message.size_bytes);
  session->last_message_ms = clock_now_ms ();
  if (message.type == 0)
    handle_startup (session, &message);
  else
    handle_message (session, &message);
  g_free (copy);
  return true;
}

static void
process_input (BackendSession *session)
{
  while (!session->busy && !session->paused && handle_next_message (session))
    ;
}

static void
on_arrived (void *data)
{
  process_input (data);
}

static void
on_readable (void *data)
{
  BackendSession *session = data;

  delayed_input_received (session->input, stream_input (session->stream)->len);
}

static void
on_drained (void *data)
{
  BackendSession *session = data;

  // Continues a large result after the output buffer has drained.
  if (session->run.statement != NULL && session->run.rows > 0 && session->run_timer == NULL)
    run_step (session);
}

static void
on_closed (void *data)
{
  BackendSession *session = data;

  session->options.callbacks->closed (session->options.callback_data, session);
}

static const StreamEvents stream_events = { on_readable, on_drained, on_closed };

static int
session_destroy (BackendSession *session)
{
  free_run (session);
  free_parsed (session);
  g_ptr_array_free (session->writes, true);
  TALLOC_FREE (session->stream);
  sql_session_free (session->sql);
  return 0;
}

BackendSession *
backend_session_new (TALLOC_CTX *parent, struct tevent_context *events,
                     const BackendSessionOptions *options)
{
  BackendSession *session = talloc_zero (parent, BackendSession);

  session->options = *options;
  session->events = events;
  session->status = 'I';
  session->key = options->pid * 2654435761u;
  session->writes = g_ptr_array_new_with_free_func (g_free);
  session->sql = sql_session_new (database_group_database (options->group, options->instance));
  session->stream = stream_new (session, events, options->fd, &stream_events, session);
  session->input = delayed_input_new (session, events, on_arrived, session);
  talloc_set_destructor (session, session_destroy);
  return session;
}

bool
backend_session_cancel (BackendSession *session, uint32_t pid, uint32_t key)
{
  if (session->options.pid != pid || session->key != key)
    return false;
  if (session->run.statement != NULL && !session->paused)
    fail_run (session, "57014", "canceling statement due to user request");
  return true;
}

void
backend_session_set_paused (BackendSession *session, bool paused)
{
  session->paused = paused;
  stream_pause (session->stream, paused);
  if (!paused)
    process_input (session);
}

int64_t
backend_session_transaction_idle_ms (const BackendSession *session, int64_t now_ms)
{
  return session->status == 'I' ? -1 : now_ms - session->last_message_ms;
}

void
backend_session_roll_back (BackendSession *session)
{
  if (session->status != 'T')
    return;
  sql_session_exec (session->sql, "ROLLBACK");
  g_ptr_array_set_size (session->writes, 0);
  session->status = 'E';
}
