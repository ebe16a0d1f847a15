#include "pool/session-state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "policy/drain.h"
#include "pool/forward.pb-c.h"
#include "pool/session-forward.h"

/* Pipelined input buffered while a statement runs; reading pauses beyond it. */
#define INPUT_LIMIT_BYTES (1024 * 1024)
/* At this backlog no further statements are read from a caller that does not read its answers. */
#define OUTPUT_LIMIT_BYTES (4 * 1024 * 1024)
/* Longest first message of a host that forwards a session. */
#define PREFACE_LIMIT_BYTES 1024

static int
session_destroy (PoolSession *session)
{
  timer_clear (&session->timer);
  timer_clear (&session->end_timer);
  session_stop_opening (session);
  waiter_cancel (&session->waiter);
  limit_exchange_cancel (&session->limit_waiter);
  instance_pool_cancel (&session->request);
  session_drop_connection (session);
  session_release_catalog (session);
  statement_done (&session->statement);
  statement_done (&session->begin);
  session_values_done (&session->values);
  g_free (session->database_name);
  g_free (session->key);
  g_free (session->forwarded_service);
  pool_server_charge (session->server, session->charged_bytes, 0);
  pool_server_remove_session (session->server, session);
  counter_add (session->options->counters, COUNTER_CALLERS_OPEN, -1);
  return 0;
}

/* A new configuration applies from the next operation on, except that a key that is gone is not
 * served any more. */
static SessionAccess
look_up_route (PoolSession *session)
{
  Catalog *catalog = pool_server_catalog (session->server);

  if (session->transaction != TRANSACTION_NONE)
    return session_check_access (session, session->database);
  session_release_catalog (session);
  if (catalog == NULL)
    return SESSION_NO_DATABASE;
  session->catalog = catalog_ref (catalog);
  session->database = catalog_database (catalog, session->database_name);
  if (session->database == NULL)
    return SESSION_NO_DATABASE;
  session->group = pool_server_group (session->server, session->database->service);
  return session->group == NULL ? SESSION_NO_DATABASE
                                : session_check_access (session, session->database);
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
  session->counted = false;
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
  session_start_operation (session);
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

/* The statement is not run, and neither is the rest of its transaction. @reason is static text. */
static void
refuse_to_start (PoolSession *session, AnswerCode code, const char *reason)
{
  session->reason = reason;
  switch (session->transaction)
    {
    case TRANSACTION_NONE:
      session_answer_error (session, code, session->reason);
      return;
    case TRANSACTION_FAILED:
      run_in_failed_transaction (session);
      return;
    case TRANSACTION_BEGUN:
    case TRANSACTION_BOUND:
    case TRANSACTION_LOST:
      session_drop_connection (session);
      run_in_lost_transaction (session);
      return;
    }
}

/* Returns whether the statement may go on; otherwise it has been answered. */
static bool
check_access (PoolSession *session)
{
  AnswerCode code;

  switch (look_up_route (session))
    {
    case SESSION_ALLOWED:
      return true;
    case SESSION_NO_DATABASE:
      code = session_absence_code (session);
      session_answer_error (session, code, session_absence_text (code, "no such database"));
      return false;
    case SESSION_NO_KEY:
      refuse_to_start (session, ANSWER_UNAUTHENTICATED, "unknown key");
      if (session->transaction == TRANSACTION_NONE)
        pool_session_finish (session, SESSION_END_KEY);
      return false;
    case SESSION_OUT_OF_DATE:
      refuse_to_start (session, ANSWER_OVERLOADED, "the configuration may be out of date");
      return false;
    }
  return false;
}

static void
start_statement (PoolSession *session)
{
  timer_clear (&session->timer);
  session->active = true;
  session->started_ms = session->admitted_ms = clock_now_ms ();
  session->tried = 0;
  session->attempts = 0;
  session->reason = NULL;
  counter_add (session->options->counters, COUNTER_STATEMENTS, 1);
  if (!session_may_start (session))
    {
      refuse_to_start (session, ANSWER_OVERLOADED, "this host is shutting down");
      return;
    }
  if (!check_access (session))
    return;
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
      session->late = false;
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
      session->late = false;
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

static void
handle_message (PoolSession *session, CallerMessage *message, GBytes *bytes)
{
  switch (message->kind)
    {
    case CALLER_MESSAGE_NONE:
      return;
    case CALLER_MESSAGE_OPEN:
      session_open (session, message, bytes);
      return;
    case CALLER_MESSAGE_STATEMENT:
      session->statement = message->statement;
      if (session->notified)
        session_complete_notice (session);
      else if (session->database_name == NULL)
        session_end_with_error (session, SESSION_END_PROTOCOL, ANSWER_MALFORMED,
                                "the session is not open");
      else
        start_statement (session);
      return;
    case CALLER_MESSAGE_END:
      pool_session_finish (session, SESSION_END_CALLER);
      return;
    case CALLER_MESSAGE_MALFORMED:
      counter_add (session->options->counters, COUNTER_PROTOCOL_ERRORS, 1);
      session_end_with_error (session, SESSION_END_PROTOCOL, ANSWER_MALFORMED, "malformed message");
      return;
    case CALLER_MESSAGE_TOO_LARGE:
      counter_add (session->options->counters, COUNTER_PROTOCOL_ERRORS, 1);
      session_end_with_error (session, SESSION_END_PROTOCOL, ANSWER_TOO_LARGE, "message too large");
      return;
    }
}

/* Reads the first message of a host that forwards a session; returns false while it is incomplete,
 * and after a malformed one, which closes the session. */
static bool
read_preface (PoolSession *session)
{
  const GByteArray *input = stream_input (session->stream);
  Pool__ForwardOpen *message;
  guint32 length;

  if (input->len < sizeof length)
    return false;
  memcpy (&length, input->data, sizeof length);
  length = GUINT32_FROM_BE (length);
  if (length > PREFACE_LIMIT_BYTES)
    {
      session->closing = true;
      return false;
    }
  if (input->len < sizeof length + length)
    return false;
  message = pool__forward_open__unpack (NULL, length, input->data + sizeof length);
  if (message == NULL)
    {
      log_event (LOG_LEVEL_WARNING, "forward_malformed", "session=%" PRIu64 " bytes=%u",
                 session->id, length);
      session->closing = true;
      return false;
    }
  session->forwarded_service = g_strdup (message->service);
  log_event (LOG_LEVEL_DEBUG, "session_forwarded",
             "session=%" PRIu64 " from=%s from_session=%" PRIu64 " service=%s", session->id,
             message->host, message->session, message->service);
  pool__forward_open__free_unpacked (message, NULL);
  stream_consume (session->stream, (guint) sizeof length + length);
  return true;
}

static void
process_message (PoolSession *session, CallerMessage *message, const guint8 *data, size_t length)
{
  GBytes *bytes;

  if (session->forward != NULL && message->kind == CALLER_MESSAGE_STATEMENT
      && !session_may_start (session))
    TALLOC_FREE (session->forward);
  if (session->forward != NULL)
    {
      session_forward_message (session, message, data, length);
      return;
    }
  bytes = message->kind == CALLER_MESSAGE_OPEN ? g_bytes_new (data, length) : NULL;
  handle_message (session, message, bytes);
  if (bytes != NULL)
    g_bytes_unref (bytes);
}

static bool
is_backlogged (const PoolSession *session)
{
  return stream_pending (session->stream) > OUTPUT_LIMIT_BYTES;
}

/* Whether the input may begin with a whole message. Searches each byte once, as a message may come
 * in many pieces. */
static bool
may_hold_message (PoolSession *session)
{
  const Codec *codec = session->options->codec;
  const GByteArray *input = stream_input (session->stream);
  const gsize searched = session->searched_bytes;

  if (input->len >= codec->message_limit_bytes)
    return true;
  if (input->len <= searched
      || memchr (input->data + searched, codec->message_end, input->len - searched) == NULL)
    {
      session->searched_bytes = input->len;
      return false;
    }
  return true;
}

static void
process_input (PoolSession *session)
{
  while (!session->closing && !session->finishing && !session->active && !is_backlogged (session))
    {
      const GByteArray *input;
      CallerMessage message;
      size_t used;

      if (session->forwarded && session->forwarded_service == NULL && !read_preface (session))
        break;
      if (!may_hold_message (session))
        break;
      input = stream_input (session->stream);
      used = session->options->codec->read_caller (input->data, input->len, &message);
      if (used == 0)
        break;
      session->searched_bytes = 0;
      session->partial_ms = 0;
      session->statement_bytes = used;
      process_message (session, &message, input->data, used);
      stream_consume (session->stream, (guint) used);
    }
}

bool
session_enter (PoolSession *session)
{
  const bool outermost = !session->processing;

  session->processing = true;
  return outermost;
}

void
session_leave (PoolSession *session, bool outermost)
{
  if (!outermost)
    return;
  process_input (session);
  if (!session->active && !is_backlogged (session))
    session_apply_drain (session);
  stream_flush (session->stream);
  session->processing = false;
  if (session->closing)
    talloc_free (session);
  else
    session_charge (session);
}

static void
on_readable (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  session->used_ms = clock_now_ms ();
  if (is_backlogged (session)
      || (session->active && stream_input (session->stream)->len > INPUT_LIMIT_BYTES))
    stream_pause (session->stream, true);
  session_leave (session, outermost);
}

static void
on_drained (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  if (!session->active)
    stream_pause (session->stream, false);
  session_leave (session, outermost);
}

static void
on_closed (void *data)
{
  PoolSession *session = data;

  // A caller that has only ended its sending side still reads its answers.
  if (!session->finishing && stream_is_at_end (session->stream)
      && stream_pending (session->stream) > 0)
    pool_session_finish (session, SESSION_END_CALLER_LOST);
  else
    pool_session_close (session, SESSION_END_CALLER_LOST);
}

static const StreamEvents session_events = { on_readable, on_drained, on_closed };

/* A key that is gone ends the session after its operation. */
static void
check_key (PoolSession *session)
{
  const Catalog *catalog = pool_server_catalog (session->server);
  const Database *database
      = catalog == NULL ? NULL : catalog_database (catalog, session->database_name);

  if (session_check_access (session, database) == SESSION_NO_KEY)
    session_notify_end (session, SESSION_END_KEY);
}

static bool
is_between_operations (const PoolSession *session)
{
  return session->database_name != NULL && !session->active && !session->notified
         && !session->finishing && !session->closing && session->transaction == TRANSACTION_NONE;
}

void
pool_session_check (PoolSession *session)
{
  const bool outermost = session_enter (session);

  session_check_progress (session);
  if (is_between_operations (session))
    check_key (session);
  if (session->forward != NULL && !session->closing)
    session_forward_check (session);
  session_leave (session, outermost);
}

PoolSession *
pool_session_new (PoolServer *server, int fd, bool forwarded)
{
  PoolSession *session = talloc_zero (server, PoolSession);

  session->server = server;
  session->forwarded = forwarded;
  session->options = pool_server_options (server);
  session->id = pool_server_next_id (server);
  session->stream = stream_new (session, pool_server_events (server), fd, &session_events, session);
  stream_bound_socket (session->stream);
  session->used_ms = clock_now_ms ();
  session->late = pool_server_drain_phase (server) >= DRAIN_CLOSING;
  session_values_init (&session->values);
  session_init_open (session);
  session_init_route (session);
  session_init_access (session);
  session->timer.data = session;
  session->end_timer.data = session;
  talloc_set_destructor (session, session_destroy);
  pool_server_add_session (server, session);
  counter_add (session->options->counters, COUNTER_CALLERS_ACCEPTED, 1);
  counter_add (session->options->counters, COUNTER_CALLERS_OPEN, 1);
  return session;
}
