#include "pool/session-state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Pipelined input buffered while a statement runs; reading pauses beyond it. */
#define INPUT_LIMIT_BYTES (1024 * 1024)
/* A caller that does not read its answers is disconnected at this backlog. */
#define OUTPUT_LIMIT_BYTES (4 * 1024 * 1024)

static int
session_destroy (PoolSession *session)
{
  timer_clear (&session->timer);
  service_group_cancel_wait (&session->waiter);
  instance_pool_cancel (&session->request);
  session_drop_connection (session);
  session_release_catalog (session);
  statement_done (&session->statement);
  statement_done (&session->begin);
  session_values_done (&session->values);
  g_free (session->database_name);
  pool_server_remove_session (session->server, session);
  counter_add (session->options->counters, COUNTER_CALLERS_OPEN, -1);
  return 0;
}

void
pool_session_close (PoolSession *session)
{
  session->closing = true;
  if (!session->processing)
    talloc_free (session);
}

bool
pool_session_is_idle (const PoolSession *session)
{
  return !session->active && session->transaction == TRANSACTION_NONE;
}

int64_t
pool_session_idle_ms (const PoolSession *session, int64_t now_ms)
{
  return session->active ? 0 : now_ms - session->idle_since_ms;
}

/* A new configuration applies from the next operation on. */
static bool
look_up_route (PoolSession *session)
{
  Catalog *catalog = pool_server_catalog (session->server);

  if (session->transaction != TRANSACTION_NONE)
    return true;
  session_release_catalog (session);
  if (catalog == NULL)
    return false;
  session->catalog = catalog_ref (catalog);
  session->database = catalog_database (catalog, session->database_name);
  if (session->database == NULL)
    return false;
  session->group = pool_server_group (session->server, session->database->service);
  return session->group != NULL;
}

static void
begin_transaction (PoolSession *session)
{
  if (session->transaction != TRANSACTION_NONE)
    {
      session_fail_transaction (session);
      session_drop_connection (session);
      session_answer_error (session, ANSWER_MALFORMED, "already in a transaction");
      return;
    }
  session->transaction = TRANSACTION_BEGUN;
  session->wrote = false;
  session->read_only = session->statement.read_only;
  session->begin = session->statement;
  memset (&session->statement, 0, sizeof session->statement);
  session_answer_complete (session, "-", (SessionToken){ 0 });
}

static void
run_in_failed_transaction (PoolSession *session)
{
  // Closing the connection rolls back the rest of the transaction.
  session_drop_connection (session);
  if (!session_ends_transaction (session))
    {
      session_answer_error (session, ANSWER_MALFORMED, "the transaction has failed");
      return;
    }
  session->transaction = TRANSACTION_NONE;
  session->wrote = false;
  if (session->statement.kind == STATEMENT_ROLLBACK)
    session_answer_complete (session, "-", (SessionToken){ 0 });
  else
    session_answer_error (session, ANSWER_ROLLED_BACK, "the transaction has failed");
}

static void
run_in_lost_transaction (PoolSession *session)
{
  if (session->statement.kind == STATEMENT_ROLLBACK)
    {
      session->transaction = TRANSACTION_NONE;
      session_answer_complete (session, "-", (SessionToken){ 0 });
      return;
    }
  session_fail_transaction (session);
  session_answer_error (session, ANSWER_ROLLED_BACK, "the transaction was rolled back");
}

static void
run_at_instance (PoolSession *session)
{
  const StatementKind kind = session->statement.kind;

  if (session_ends_transaction (session) && session->transaction == TRANSACTION_NONE)
    {
      session_answer_error (session, ANSWER_MALFORMED, "not in a transaction");
      return;
    }
  if (kind == STATEMENT_ROLLBACK && session->transaction == TRANSACTION_BEGUN)
    {
      session->transaction = TRANSACTION_NONE;
      session_answer_complete (session, "-", (SessionToken){ 0 });
      return;
    }
  if (kind == STATEMENT_EXECUTE
      && session_values_prepared (&session->values, session->statement.name) == NULL)
    {
      session_fail_transaction (session);
      session_drop_connection (session);
      session_answer_error (session, ANSWER_UNKNOWN_PREPARED, session->statement.name);
      return;
    }
  if (session->transaction == TRANSACTION_NONE)
    session->wrote = false;
  if (session->transaction == TRANSACTION_BOUND)
    {
      session->connection_since_us = clock_now_us ();
      instance_pool_retake_slot (session->connection);
      instance_connection_synchronize (instance_pool_connection (session->connection),
                                       &session->values);
    }
  session_dispatch (session);
}

static void
answer_local (PoolSession *session)
{
  const Statement *statement = &session->statement;

  switch (statement->kind)
    {
    case STATEMENT_SET_VALUE:
      session_values_set (&session->values, statement->name, statement->argument);
      break;
    case STATEMENT_PREPARE:
      session_values_prepare (&session->values, statement->name, statement->read_only,
                              statement->argument);
      break;
    default:
      if (!session_values_deallocate (&session->values, statement->name))
        {
          session_fail_transaction (session);
          session_drop_connection (session);
          session_answer_error (session, ANSWER_UNKNOWN_PREPARED, statement->name);
          return;
        }
      break;
    }
  session_answer_complete (session, "-", (SessionToken){ 0 });
}

static void
start_statement (PoolSession *session)
{
  timer_clear (&session->timer);
  session->active = true;
  session->started_ms = clock_now_ms ();
  session->tried = 0;
  session->attempts = 0;
  session->reason = NULL;
  counter_add (session->options->counters, COUNTER_STATEMENTS, 1);
  if (!look_up_route (session))
    {
      session_answer_error (session, ANSWER_UNKNOWN_DATABASE, "no such database");
      return;
    }
  session->deadline_ms = session->started_ms + session->database->statement_ms;
  if (session->transaction == TRANSACTION_FAILED)
    {
      run_in_failed_transaction (session);
      return;
    }
  if (session->transaction == TRANSACTION_LOST)
    {
      run_in_lost_transaction (session);
      return;
    }
  switch (session->statement.kind)
    {
    case STATEMENT_BEGIN:
      begin_transaction (session);
      return;
    case STATEMENT_SET_VALUE:
    case STATEMENT_PREPARE:
    case STATEMENT_DEALLOCATE:
      answer_local (session);
      return;
    case STATEMENT_READ:
    case STATEMENT_WRITE:
    case STATEMENT_EXECUTE:
    case STATEMENT_COMMIT:
    case STATEMENT_ROLLBACK:
      run_at_instance (session);
      return;
    case STATEMENT_MALFORMED:
    case STATEMENT_KIND_COUNT:
      session_fail_transaction (session);
      session_drop_connection (session);
      session_answer_error (session, ANSWER_MALFORMED, "no such statement");
      return;
    }
}

/* Sends an error that ends the session. */
static void
end_with_error (PoolSession *session, AnswerCode code, const char *text)
{
  session->options->codec->write_error (session_output (session), code, text);
  stream_flush (session->stream);
  pool_session_close (session);
}

static void
open_session (PoolSession *session, char *database)
{
  Catalog *catalog = pool_server_catalog (session->server);

  if (session->database_name != NULL)
    {
      g_free (database);
      end_with_error (session, ANSWER_MALFORMED, "the session is open");
      return;
    }
  session->database_name = database;
  if (catalog == NULL)
    {
      end_with_error (session, ANSWER_OVERLOADED, "starting");
      return;
    }
  if (catalog_database (catalog, database) == NULL)
    {
      end_with_error (session, ANSWER_UNKNOWN_DATABASE, database);
      return;
    }
  session->options->codec->write_ready (session_output (session), 'I', (SessionToken){ 0 });
  stream_flush (session->stream);
}

static void
handle_message (PoolSession *session, CallerMessage *message)
{
  switch (message->kind)
    {
    case CALLER_MESSAGE_NONE:
      return;
    case CALLER_MESSAGE_OPEN:
      open_session (session, message->database);
      return;
    case CALLER_MESSAGE_STATEMENT:
      session->statement = message->statement;
      if (session->database_name == NULL)
        end_with_error (session, ANSWER_MALFORMED, "the session is not open");
      else
        start_statement (session);
      return;
    case CALLER_MESSAGE_END:
      pool_session_close (session);
      return;
    case CALLER_MESSAGE_MALFORMED:
      counter_add (session->options->counters, COUNTER_PROTOCOL_ERRORS, 1);
      end_with_error (session, ANSWER_MALFORMED, "malformed message");
      return;
    case CALLER_MESSAGE_TOO_LARGE:
      counter_add (session->options->counters, COUNTER_PROTOCOL_ERRORS, 1);
      end_with_error (session, ANSWER_TOO_LARGE, "message too large");
      return;
    }
}

void
session_process_input (PoolSession *session)
{
  if (session->processing)
    return;
  session->processing = true;
  while (!session->closing && !session->active)
    {
      const GByteArray *input = stream_input (session->stream);
      CallerMessage message;
      size_t used = session->options->codec->read_caller (input->data, input->len, &message);

      if (used == 0)
        break;
      stream_consume (session->stream, (guint) used);
      handle_message (session, &message);
    }
  session->processing = false;
  if (session->closing)
    talloc_free (session);
}

static void
on_readable (void *data)
{
  PoolSession *session = data;

  if (stream_pending (session->stream) > OUTPUT_LIMIT_BYTES)
    {
      log_event (LOG_LEVEL_NOTICE, "caller_not_reading", "session=%" PRIu64 " pending_bytes=%u",
                 session->id, stream_pending (session->stream));
      pool_session_close (session);
      return;
    }
  if (session->active && stream_input (session->stream)->len > INPUT_LIMIT_BYTES)
    stream_pause (session->stream, true);
  session_process_input (session);
}

static void
on_drained (void *data)
{
}

static void
on_closed (void *data)
{
  pool_session_close (data);
}

static const StreamEvents session_events = { on_readable, on_drained, on_closed };

PoolSession *
pool_session_new (PoolServer *server, int fd)
{
  PoolSession *session = talloc_zero (server, PoolSession);

  session->server = server;
  session->options = pool_server_options (server);
  session->id = pool_server_next_id (server);
  session->stream = stream_new (session, pool_server_events (server), fd, &session_events, session);
  session->idle_since_ms = clock_now_ms ();
  session_values_init (&session->values);
  session_init_route (session);
  session->timer.data = session;
  talloc_set_destructor (session, session_destroy);
  pool_server_add_session (server, session);
  counter_add (session->options->counters, COUNTER_CALLERS_ACCEPTED, 1);
  counter_add (session->options->counters, COUNTER_CALLERS_OPEN, 1);
  return session;
}
