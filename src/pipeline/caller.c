#include "pipeline/caller.h"

#include <string.h>

#include "adapter/pgwire.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/sql-text.h"
#include "base/stream.h"
#include "pipeline/caller-state.h"
#include "pipeline/caller-table.h"
#include "pipeline/classify.h"
#include "pipeline/local-statement.h"
#include "pipeline/prepared.h"
#include "pipeline/request.h"
#include "pipeline/startup.h"

/* Above this much unsent output, the owner is granted no further credit. */
#define OUTPUT_HIGH_WATERMARK_BYTES (128 * 1024)
/* A caller whose connection ends has this long to take more of its output, or to close. */
#define END_CHECK_MS 2000

static void process (Caller *caller);
static void release_pinned_transaction (Caller *caller);

GByteArray *
caller_output (Caller *caller)
{
  return stream_output (caller->stream);
}

static void
put_refusal (Caller *caller, const char *severity, RefusalKind refusal, const char *details)
{
  const RefusalInfo *info = refusal_info (refusal);
  char *detail = details[0] == '\0'
                     ? g_strdup (verdict_name (info->verdict))
                     : g_strdup_printf ("%s: %s", verdict_name (info->verdict), details);

  pgwire_put_error (caller_output (caller), severity, info->sqlstate, info->message, detail);
  g_free (detail);
}

static void schedule_end_check (Caller *caller);

/* Frees the caller unless it is still taking its output. */
static void
on_end_check (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
              void *data)
{
  Caller *caller = data;
  const guint unsent = stream_pending (caller->stream);

  if (unsent > 0 && unsent < caller->unsent)
    {
      schedule_end_check (caller);
      return;
    }
  if (unsent > 0)
    log_event (LOG_LEVEL_NOTICE, "caller_not_reading", "unsent_bytes=%u", unsent);
  caller_table_closed (caller->options.table, caller);
}

static void
schedule_end_check (Caller *caller)
{
  caller->unsent = stream_pending (caller->stream);
  tevent_add_timer (caller->options.worker->events, caller,
                    tevent_timeval_current_ofs (END_CHECK_MS / 1000, 0), on_end_check, caller);
}

/* The connection ends when the caller has its output and has closed it too. */
static void
end_connection (Caller *caller)
{
  if (caller->ending)
    return;
  caller->ending = true;
  release_pinned_transaction (caller);
  stream_flush (caller->stream);
  stream_finish (caller->stream);
  schedule_end_check (caller);
}

void
caller_end_malformed (Caller *caller, const char *message)
{
  counter_add (caller->options.worker->counters, COUNTER_PROTOCOL_ERRORS, 1);
  pgwire_put_error (caller_output (caller), "FATAL", "08P01", message, "not run");
  end_connection (caller);
}

static void
report_token (Caller *caller)
{
  char text[SESSION_TOKEN_TEXT_BYTES];

  if (session_token_compare (caller->session.token, caller->reported_token) == 0)
    return;
  caller->reported_token = caller->session.token;
  session_token_print (caller->session.token, text);
  pgwire_put_parameter (caller_output (caller), "peridotstep.session", text);
}

static void
put_ready (Caller *caller)
{
  report_token (caller);
  pgwire_put_ready (caller_output (caller), session_status (&caller->session));
  caller->between = true;
  stream_flush (caller->stream);
}

/* Finishes a statement whose response is complete. */
static void
end_statement (Caller *caller, bool extended, bool failed)
{
  caller->active_ms = clock_now_ms ();
  if (!extended)
    put_ready (caller);
  else if (failed)
    caller->skip_to_sync = true;
}

void
caller_refuse_statement (Caller *caller, bool extended, const char *sqlstate, const char *message)
{
  pgwire_put_error (caller_output (caller), "ERROR", sqlstate, message, "not run");
  if (caller->session.transaction != TRANSACTION_NONE)
    caller->session.transaction = TRANSACTION_FAILED;
  end_statement (caller, extended, true);
}

static void
release_pinned_transaction (Caller *caller)
{
  Session *session = &caller->session;

  if (!session->pinned)
    return;
  session->pinned = false;
  request_end_transaction (caller->options.worker, &session->pinned_host, session->service,
                           session->transaction_key, FRAME_LANE_BACKGROUND);
}

static void
update_transaction (Caller *caller, const RequestOutcome *outcome)
{
  Session *session = &caller->session;
  Peridotstep__Operation operation = caller->running.operation;

  if (session->transaction == TRANSACTION_NONE)
    return;
  if (operation == PERIDOTSTEP__OPERATION__COMMIT || operation == PERIDOTSTEP__OPERATION__ROLLBACK)
    {
      if (outcome->refusal != REFUSAL_NONE)
        release_pinned_transaction (caller);
      session_end_transaction (session);
      return;
    }
  if (outcome->refusal != REFUSAL_NONE)
    {
      release_pinned_transaction (caller);
      session->transaction = TRANSACTION_FAILED;
      return;
    }
  if (outcome->transaction_status == 'I')
    {
      session_end_transaction (session);
      return;
    }
  session->has_run = true;
  session->pinned = true;
  session->pinned_host = *outcome->host;
  session->pinned_instance = outcome->instance;
  session->transaction_key = outcome->transaction_key;
  session->transaction = outcome->transaction_status == 'E' ? TRANSACTION_FAILED : TRANSACTION_OPEN;
}

static void
put_outcome (Caller *caller, const RequestOutcome *outcome)
{
  if (outcome->refusal != REFUSAL_NONE)
    {
      put_refusal (caller, "ERROR", outcome->refusal, outcome->detail);
      return;
    }
  // The commit took effect but its response was lost; the outcome look-up confirmed it.
  if (!caller->running.answer_started
      && caller->running.operation == PERIDOTSTEP__OPERATION__COMMIT)
    pgwire_put_complete (caller_output (caller), "COMMIT");
}

static void
on_request_done (void *user, const RequestOutcome *outcome)
{
  Caller *caller = user;
  RunningStatement running = caller->running;

  caller->request = NULL;
  caller->uncredited_bytes = 0;
  if (outcome->refusal != REFUSAL_NONE && running.answer_started)
    {
      put_refusal (caller, "FATAL", outcome->refusal, "the response is incomplete");
      end_connection (caller);
      return;
    }
  update_transaction (caller, outcome);
  put_outcome (caller, outcome);
  end_statement (caller, running.extended, outcome->refusal != REFUSAL_NONE || outcome->failed);
  process (caller);
}

/* The description of a portal has no parameter description. */
static void
skip_parameter_description (const uint8_t **bytes, size_t *length)
{
  PgwireMessage message;

  if (pgwire_read_message (*bytes, *length, &message) != PGWIRE_MESSAGE || message.type != 't')
    return;
  *bytes += message.size_bytes;
  *length -= message.size_bytes;
}

static void
on_request_data (void *user, const uint8_t *bytes, size_t length)
{
  Caller *caller = user;
  uint32_t credit = (uint32_t) length;

  if (caller->running.strip_parameters)
    skip_parameter_description (&bytes, &length);
  caller->running.answer_started = true;
  g_byte_array_append (caller_output (caller), bytes, (guint) length);
  stream_flush (caller->stream);
  if (stream_pending (caller->stream) < OUTPUT_HIGH_WATERMARK_BYTES)
    request_credit (caller->request, credit);
  else
    caller->uncredited_bytes += credit;
}

static RequestKind
request_kind (const Session *session, const ClassConfig *class_config,
              Peridotstep__Operation operation)
{
  if (operation == PERIDOTSTEP__OPERATION__COMMIT)
    return REQUEST_COMMIT;
  if (session->transaction != TRANSACTION_NONE)
    return REQUEST_IN_TRANSACTION;
  if (operation == PERIDOTSTEP__OPERATION__DESCRIBE)
    return REQUEST_READ;
  return class_config->write ? REQUEST_WRITE : REQUEST_READ;
}

void
caller_send_request (Caller *caller, const char *sql, RequestOptions *options,
                     bool strip_parameters)
{
  Worker *worker = caller->options.worker;
  ServiceConfig *service = daemon_service (worker->daemon, caller->session.service);
  const ClassConfig *class_config;

  if (service == NULL)
    {
      caller_refuse_statement (caller, options->extended, "3D000",
                               "the service was removed from the configuration");
      return;
    }
  class_config = classify_statement (service, &caller->session, sql);
  if (class_config == NULL)
    {
      service_config_unref (service);
      caller_refuse_statement (caller, options->extended, "22023", "the service has no such class");
      return;
    }
  caller->running = (RunningStatement){ .operation = options->operation,
                                        .extended = options->extended,
                                        .strip_parameters = strip_parameters };
  options->session = &caller->session;
  options->class_config = class_config;
  options->kind = request_kind (&caller->session, class_config, options->operation);
  options->sql = sql;
  options->data = on_request_data;
  options->done = on_request_done;
  options->user = caller;
  request_start (worker, options, &caller->request);
  service_config_unref (service);
}

static void
put_command_tag (Caller *caller, bool extended, const char *tag)
{
  pgwire_put_complete (caller_output (caller), tag);
  end_statement (caller, extended, false);
}

static void
run_begin (Caller *caller, const char *sql, bool extended)
{
  if (caller->session.transaction == TRANSACTION_NONE)
    session_begin (&caller->session, sql);
  put_command_tag (caller, extended, "BEGIN");
}

static void
run_end (Caller *caller, SqlVerb verb, bool extended)
{
  Session *session = &caller->session;
  bool commit = verb == SQL_VERB_COMMIT && session->transaction != TRANSACTION_FAILED;
  RequestOptions options = { .extended = extended };

  if (!session->pinned)
    {
      session_end_transaction (session);
      put_command_tag (caller, extended, commit ? "COMMIT" : "ROLLBACK");
      return;
    }
  options.operation = commit ? PERIDOTSTEP__OPERATION__COMMIT : PERIDOTSTEP__OPERATION__ROLLBACK;
  caller_send_request (caller, commit ? "COMMIT" : "ROLLBACK", &options, false);
}

bool
caller_run_locally (Caller *caller, const char *sql, bool extended)
{
  SqlVerb verb = sql_text_verb (sql);
  ServiceConfig *service;
  LocalResult result;

  switch (verb)
    {
    case SQL_VERB_EMPTY:
      pgwire_put_empty (caller_output (caller), 'I');
      end_statement (caller, extended, false);
      return true;
    case SQL_VERB_BEGIN:
      run_begin (caller, sql, extended);
      return true;
    case SQL_VERB_COMMIT:
    case SQL_VERB_ROLLBACK:
      run_end (caller, verb, extended);
      return true;
    default:
      break;
    }
  service = daemon_service (caller->options.worker->daemon, caller->session.service);
  if (service == NULL)
    return false;
  result = local_statement (&caller->session, service, sql, caller_output (caller));
  service_config_unref (service);
  if (result == LOCAL_FORWARD)
    return false;
  if (result == LOCAL_REFUSED && caller->session.transaction != TRANSACTION_NONE)
    caller->session.transaction = TRANSACTION_FAILED;
  end_statement (caller, extended, result == LOCAL_REFUSED);
  return true;
}

static bool
ends_transaction (const char *sql)
{
  SqlVerb verb = sql_text_verb (sql);

  return verb == SQL_VERB_COMMIT || verb == SQL_VERB_ROLLBACK || verb == SQL_VERB_ROLLBACK_TO;
}

bool
caller_refuse_early (Caller *caller, const char *sql, bool extended)
{
  if (!sql_text_is_single (sql))
    {
      caller_refuse_statement (caller, extended, "0A000",
                               "several statements in one query are not supported");
      return true;
    }
  if (caller->session.transaction == TRANSACTION_FAILED && !ends_transaction (sql))
    {
      caller_refuse_statement (
          caller, extended, "25P02",
          "current transaction is aborted, commands ignored until end of transaction block");
      return true;
    }
  return false;
}

static void
run_simple (Caller *caller, const char *sql)
{
  RequestOptions options = { .describe = true };

  if (caller_refuse_early (caller, sql, false) || caller_run_locally (caller, sql, false))
    return;
  caller_send_request (caller, sql, &options, false);
}

static void
handle_query (Caller *caller, PgwireCursor *cursor)
{
  const char *sql = pgwire_get_string (cursor);

  if (cursor->failed)
    caller_end_malformed (caller, "malformed Query message");
  else
    run_simple (caller, sql);
}

static void
handle_message (Caller *caller, const PgwireMessage *message)
{
  PgwireCursor cursor = pgwire_cursor (message);

  if (caller->skip_to_sync && message->type != 'S' && message->type != 'X')
    return;
  if (caller_extended_message (caller, message))
    return;
  switch (message->type)
    {
    case 'Q':
      handle_query (caller, &cursor);
      return;
    case 'S':
      caller->skip_to_sync = false;
      put_ready (caller);
      return;
    case 'H':
      stream_flush (caller->stream);
      return;
    case 'X':
      end_connection (caller);
      return;
    case 'F':
      caller_refuse_statement (caller, false, "0A000", "function calls are not supported");
      return;
    case 'd':
    case 'c':
    case 'f':
      // Data that the caller sent after a refused COPY.
      return;
    default:
      caller_end_malformed (caller, "unknown message type");
    }
}

static void
put_startup_response (Caller *caller)
{
  static const char *const parameters[][2] = {
    { "server_version", "15.0 (peridotstep)" },
    { "server_encoding", "UTF8" },
    { "client_encoding", "UTF8" },
    { "DateStyle", "ISO, MDY" },
    { "IntervalStyle", "postgres" },
    { "TimeZone", "UTC" },
    { "integer_datetimes", "on" },
    { "standard_conforming_strings", "on" },
  };
  guint mark = pgwire_begin (caller_output (caller), 'R');

  pgwire_put_u32 (caller_output (caller), 0);
  pgwire_end (caller_output (caller), mark);
  for (size_t i = 0; i < G_N_ELEMENTS (parameters); i++)
    pgwire_put_parameter (caller_output (caller), parameters[i][0], parameters[i][1]);
  mark = pgwire_begin (caller_output (caller), 'K');
  pgwire_put_u32 (caller_output (caller), caller->options.pid);
  pgwire_put_u32 (caller_output (caller), caller->options.key);
  pgwire_end (caller_output (caller), mark);
  put_ready (caller);
}

static void
refuse_startup (Caller *caller, const char *sqlstate, const char *message)
{
  pgwire_put_error (caller_output (caller), "FATAL", sqlstate, message, "not run");
  end_connection (caller);
}

static void
open_session (Caller *caller, const Startup *startup)
{
  Session *session = &caller->session;
  Worker *worker = caller->options.worker;
  const char *name = startup_service (startup);
  ServiceConfig *service = daemon_service (worker->daemon, name);
  char *invalid;

  if (service == NULL)
    {
      refuse_startup (caller, "3D000", "no such service");
      return;
    }
  g_strlcpy (session->service, name, sizeof session->service);
  g_strlcpy (session->user, startup->user, sizeof session->user);
  session->source = host_hash (session->user) ^ daemon_options (worker->daemon)->self.id_hash;
  invalid = startup_apply (startup, session, service);
  service_config_unref (service);
  if (invalid != NULL)
    {
      char *message
          = g_strdup_printf ("setting \"%s\" is unknown or its value is invalid", invalid);

      refuse_startup (caller, "22023", message);
      g_free (message);
      g_free (invalid);
      return;
    }
  caller->started = true;
  put_startup_response (caller);
}

static void
handle_startup (Caller *caller, const PgwireMessage *message)
{
  PgwireCursor cursor = pgwire_cursor (message);
  uint32_t code = pgwire_get_u32 (&cursor);
  Startup startup;

  switch (code)
    {
    case PGWIRE_SSL_REQUEST:
    case PGWIRE_GSS_REQUEST:
      pgwire_put_u8 (caller_output (caller), 'N');
      stream_flush (caller->stream);
      return;
    case PGWIRE_CANCEL_REQUEST:
      {
        uint32_t pid = pgwire_get_u32 (&cursor);
        uint32_t key = pgwire_get_u32 (&cursor);

        if (!cursor.failed)
          caller_table_request_cancel (caller->options.table, pid, key);
        end_connection (caller);
        return;
      }
    default:
      break;
    }
  if (code >> 16 != PGWIRE_VERSION_3 >> 16)
    {
      refuse_startup (caller, "0A000", "only protocol version 3 is supported");
      return;
    }
  if (daemon_closing (caller->options.worker->daemon))
    {
      refuse_startup (caller, "57P03", "this host is shutting down");
      return;
    }
  if (!startup_read (&cursor, &startup))
    {
      caller_end_malformed (caller, "malformed startup packet");
      return;
    }
  open_session (caller, &startup);
}

static PgwireReadResult
next_message (Caller *caller, PgwireMessage *message)
{
  const GByteArray *input = stream_input (caller->stream);

  if (!caller->started)
    return pgwire_read_startup (input->data, input->len, message);
  return pgwire_read_message (input->data, input->len, message);
}

/* Destructor of the guard in process(): records that the caller was freed. */
static int
set_freed (bool **freed)
{
  **freed = true;
  return 0;
}

/* Processes messages until a request is in flight or the caller was freed (returns true). */
static bool
process_messages (Caller *caller, const bool *freed)
{
  PgwireMessage message;

  while (caller->request == NULL && !caller->ending)
    {
      PgwireReadResult read = next_message (caller, &message);
      uint8_t *copy;

      if (read == PGWIRE_INCOMPLETE)
        return false;
      if (read == PGWIRE_MALFORMED)
        {
          caller_end_malformed (caller, "malformed or oversized message");
          return true;
        }
      if (caller->started && caller_extended_flush_describe (caller, &message))
        {
          if (*freed)
            return true;
          continue;
        }
      copy = g_memdup2 (message.body, (gsize) message.length + 1);
      message.body = copy;
      stream_consume (caller->stream, message.size_bytes);
      caller->active_ms = clock_now_ms ();
      caller->between = false;
      if (message.type == 0)
        handle_startup (caller, &message);
      else
        handle_message (caller, &message);
      g_free (copy);
      if (*freed)
        return true;
    }
  return false;
}

static void
end_between_operations (Caller *caller)
{
  if (caller->request != NULL || caller->ending)
    return;
  if (caller->session.transaction != TRANSACTION_NONE || stream_input (caller->stream)->len > 0)
    return;
  pgwire_put_error (caller_output (caller), "FATAL", "57P01",
                    "terminating connection due to administrator command", "not run");
  end_connection (caller);
}

static void
process (Caller *caller)
{
  bool freed = false;
  bool **guard;

  // A request that completes synchronously calls this again; the outer call processes the rest.
  if (caller->processing || caller->ending)
    return;
  caller->processing = true;
  guard = talloc (caller, bool *);
  *guard = &freed;
  talloc_set_destructor (guard, set_freed);
  if (process_messages (caller, &freed))
    {
      if (freed)
        return;
    }
  talloc_set_destructor (guard, NULL);
  talloc_free (guard);
  caller->processing = false;
  if (caller->request == NULL)
    stream_pause (caller->stream, false);
  if (caller->between && daemon_closing (caller->options.worker->daemon))
    end_between_operations (caller);
}

static void
on_readable (void *data)
{
  Caller *caller = data;

  // While a statement is in flight, no more than the size of one message is read ahead.
  if (caller->request != NULL && stream_input (caller->stream)->len > PGWIRE_MESSAGE_LIMIT_BYTES)
    {
      stream_pause (caller->stream, true);
      return;
    }
  process (caller);
}

static void
on_drained (void *data)
{
  Caller *caller = data;
  uint32_t uncredited_bytes = caller->uncredited_bytes;

  caller->uncredited_bytes = 0;
  if (caller->request != NULL && uncredited_bytes > 0)
    request_credit (caller->request, uncredited_bytes);
}

static void
on_closed (void *data)
{
  Caller *caller = data;

  caller_table_closed (caller->options.table, caller);
}

static const StreamEvents stream_events = { on_readable, on_drained, on_closed };

static int
caller_destroy (Caller *caller)
{
  if (caller->request != NULL)
    request_abandon (caller->request);
  release_pinned_transaction (caller);
  session_done (&caller->session);
  prepared_store_free (caller->prepared);
  return 0;
}

Caller *
caller_new (TALLOC_CTX *parent, const CallerOptions *options)
{
  Caller *caller = talloc_zero (parent, Caller);

  caller->options = *options;
  caller->prepared = prepared_store_new ();
  caller->active_ms = clock_now_ms ();
  session_init (&caller->session, worker_next_id (options->worker));
  caller->stream
      = stream_new (caller, options->worker->events, options->fd, &stream_events, caller);
  talloc_set_destructor (caller, caller_destroy);
  return caller;
}

bool
caller_matches (const Caller *caller, uint32_t pid, uint32_t key)
{
  return caller->options.pid == pid && caller->options.key == key;
}

void
caller_cancel (Caller *caller)
{
  if (caller->request != NULL)
    request_cancel (caller->request);
}

void
caller_end_now (Caller *caller)
{
  const bool sent = caller->request != NULL && request_is_sent (caller->request);
  const Verdict verdict = sent ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN;

  if (caller->ending)
    return;
  if (caller->request != NULL)
    {
      log_event (LOG_LEVEL_NOTICE, "statement_unfinished", "service=%s verdict=\"%s\"",
                 caller->session.service, verdict_name (verdict));
      request_abandon (caller->request);
      caller->request = NULL;
    }
  pgwire_put_error (caller_output (caller), "FATAL", sent ? "08007" : "57P01",
                    "terminating connection due to administrator command", verdict_name (verdict));
  end_connection (caller);
}

void
caller_end_if_idle (Caller *caller, int64_t since_ms)
{
  if (caller->active_ms <= since_ms)
    end_between_operations (caller);
}
