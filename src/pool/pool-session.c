#include "pool/pool-session.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* A request without a route is refused after this part of the time its operation should take:
 * the caller gains more from coming back than from waiting. */
#define ROUTE_WAIT_PART 4
/* A statement that has not got a connection after this part of that time is refused: what is
 * left of it has to do for the work. */
#define QUEUE_WAIT_PART 2
/* A statement that an instance had no slot for is sent again after this time. */
#define BUSY_RETRY_MS 25
/* Times that a statement that did not run is tried, in all. */
#define ATTEMPTS_MAX 6
/* Margin by which data is fresher than a class asks for. */
#define STALENESS_MARGIN_MS 200
#define RETRY_TEXT_BYTES 32

typedef enum
{
  TRANSACTION_NONE,
  TRANSACTION_BEGUN, /* not on a connection yet */
  TRANSACTION_BOUND, /* on its connection */
  TRANSACTION_LOST,  /* rolled back, and the caller does not know */
  TRANSACTION_FAILED /* the caller was told, and has to end it */
} TransactionState;

typedef enum
{
  STEP_NONE,
  STEP_ROUTING,    /* no instance can be told */
  STEP_PAUSING,    /* until the next attempt */
  STEP_CONNECTING, /* waits for a connection */
  STEP_BEGINNING,  /* BEGIN runs */
  STEP_RUNNING
} Step;

struct PoolSession
{
  PoolServer *server;
  const PoolServerOptions *options;
  Stream *stream;
  bool processing; /* input is being taken; the end waits for that */
  bool closing;
  uint64_t id;
  char *database_name;
  Catalog *catalog; /* of the operation at hand */
  const Database *database;
  ServiceGroup *group;
  SessionValues values;
  SessionToken token;
  char token_service[CATALOG_NAME_BYTES];

  TransactionState transaction;
  Statement begin;
  bool read_only;
  bool wrote;
  int64_t begun_ms;

  PooledLine *line;
  int64_t line_us;

  Statement statement;
  Step step;
  bool active;
  uint32_t tried;
  uint32_t attempts;
  int64_t started_ms;
  int64_t deadline_ms;
  int64_t sent_ms;
  SessionToken after;
  const InstancePool *asked; /* compared only */
  LineRequest request;
  GroupWaiter waiter;
  Timer timer;
  int64_t idle_since_ms;
};

static void dispatch (PoolSession *session);
static void process_input (PoolSession *session);
static void on_ended (void *data, const LineResult *result);

static InstancePool *
current_pool (const PoolSession *session)
{
  return instance_pool_of (session->line);
}

static GByteArray *
output (PoolSession *session)
{
  return stream_output (session->stream);
}

static void
release_catalog (PoolSession *session)
{
  if (session->catalog != NULL)
    catalog_unref (session->catalog);
  session->catalog = NULL;
  session->database = NULL;
  session->group = NULL;
}

static void
drop_line (PoolSession *session)
{
  if (session->line == NULL)
    return;
  instance_pool_drop (session->line);
  session->line = NULL;
}

static void
give_line_back (PoolSession *session)
{
  PooledLine *line = session->line;

  session->line = NULL;
  if (line != NULL)
    instance_pool_give_back (line, clock_now_us () - session->line_us);
}

static int
session_destroy (PoolSession *session)
{
  timer_clear (&session->timer);
  service_group_forget (&session->waiter);
  instance_pool_cancel (&session->request);
  drop_line (session);
  release_catalog (session);
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

bool
pool_session_in_transaction (const PoolSession *session)
{
  return session->transaction != TRANSACTION_NONE;
}

static char
caller_state (const PoolSession *session)
{
  switch (session->transaction)
    {
    case TRANSACTION_NONE:
      return 'I';
    case TRANSACTION_BEGUN:
    case TRANSACTION_BOUND:
    case TRANSACTION_LOST:
      return 'T';
    case TRANSACTION_FAILED:
      return 'E';
    }
  return 'E';
}

static void
on_idle_transaction (void *data)
{
  PoolSession *session = data;

  log_event (LOG_LEVEL_INFO, "transaction_idle", "session=%" PRIu64 " database=%s begin=%s",
             session->id, session->database_name, session->begin.id);
  drop_line (session);
  session->transaction = TRANSACTION_LOST;
}

/* The caller has its answer; the next statement may come. */
static void
end_statement (PoolSession *session)
{
  timer_clear (&session->timer);
  statement_done (&session->statement);
  session->active = false;
  session->step = STEP_NONE;
  session->idle_since_ms = clock_now_ms ();
  if (session->transaction == TRANSACTION_BOUND && session->catalog->idle_transaction_ms > 0)
    {
      session->timer.fired = on_idle_transaction;
      timer_set (session->options->timers, &session->timer, session->catalog->idle_transaction_ms);
    }
  if (session->transaction == TRANSACTION_NONE)
    {
      statement_done (&session->begin);
      release_catalog (session);
    }
  stream_flush (session->stream);
}

static void
log_outcome (const PoolSession *session, AnswerCode code, const char *text)
{
  const InstanceInfo *info
      = session->line == NULL ? NULL : instance_pool_info (instance_pool_of (session->line));

  if (code == ANSWER_OK && !log_enabled (LOG_LEVEL_DEBUG))
    return;
  log_event (code == ANSWER_OK ? LOG_LEVEL_DEBUG : LOG_LEVEL_INFO, "statement",
             "request=%s session=%" PRIu64 " database=%s kind=%d code=%s verdict=\"%s\" "
             "instance=%s after=%" PRIu64 ".%" PRIu64 " attempts=%u took_ms=%" PRId64
             " text=\"%s\"",
             session->statement.id, session->id, session->database_name, session->statement.kind,
             answer_code_name (code), verdict_name (answer_code_verdict (code)),
             info == NULL ? "-" : info->id, session->after.term, session->after.position,
             session->attempts, clock_now_ms () - session->started_ms, text);
}

static void
count_outcome (const PoolSession *session, AnswerCode code)
{
  static const CounterId counters[] = {
    [VERDICT_RAN] = COUNTER_STATEMENTS_RAN,
    [VERDICT_NOT_RUN] = COUNTER_STATEMENTS_NOT_RUN,
    [VERDICT_MAY_HAVE_RUN] = COUNTER_STATEMENTS_IN_DOUBT,
  };

  counter_add (session->options->counters, counters[answer_code_verdict (code)], 1);
}

static void
answer_complete (PoolSession *session, const char *receipt, SessionToken position)
{
  count_outcome (session, ANSWER_OK);
  session->options->codec->write_complete (output (session), receipt);
  session->options->codec->write_ready (output (session), caller_state (session), position);
  end_statement (session);
}

static void
answer_error (PoolSession *session, AnswerCode code, const char *text)
{
  log_outcome (session, code, text);
  count_outcome (session, code);
  session->options->codec->write_error (output (session), code, text);
  session->options->codec->write_ready (output (session), caller_state (session),
                                        (SessionToken){ 0 });
  end_statement (session);
}

static bool
ends_transaction (const PoolSession *session)
{
  return session->statement.kind == STATEMENT_COMMIT
         || session->statement.kind == STATEMENT_ROLLBACK;
}

/* A failed statement fails its transaction, which the caller then ends. */
static void
fail_transaction (PoolSession *session)
{
  if (session->transaction == TRANSACTION_NONE)
    return;
  session->transaction = ends_transaction (session) ? TRANSACTION_NONE : TRANSACTION_FAILED;
}

/* Nothing of the statement ran, nor of its transaction after the connection is dropped. */
static void
refuse (PoolSession *session, AnswerCode code)
{
  char text[RETRY_TEXT_BYTES];

  service_group_forget (&session->waiter);
  instance_pool_cancel (&session->request);
  drop_line (session);
  fail_transaction (session);
  g_snprintf (text, sizeof text, "not run");
  answer_error (session, code, text);
}

static bool
statement_writes (const PoolSession *session)
{
  const PreparedShape *shape;

  switch (session->statement.kind)
    {
    case STATEMENT_WRITE:
      return true;
    case STATEMENT_EXECUTE:
      shape = session_values_shape (&session->values, session->statement.name);
      return shape != NULL && !shape->read_only;
    default:
      return false;
    }
}

static bool
needs_primary (const PoolSession *session)
{
  if (session->database->consistency == CONSISTENCY_PRIMARY)
    return true;
  if (session->transaction == TRANSACTION_BEGUN)
    return !session->read_only;
  return statement_writes (session);
}

static void
on_statement_timer (void *data)
{
  PoolSession *session = data;
  const bool wrote = session->wrote || statement_writes (session);

  switch (session->step)
    {
    case STEP_PAUSING:
      dispatch (session);
      return;
    case STEP_NONE:
    case STEP_ROUTING:
    case STEP_CONNECTING:
    case STEP_BEGINNING:
      refuse (session, ANSWER_OVERLOADED);
      process_input (session);
      return;
    case STEP_RUNNING:
      break;
    }
  log_event (LOG_LEVEL_INFO, "statement_limit", "request=%s instance=%s limit_ms=%" PRId64,
             session->statement.id, instance_pool_info (current_pool (session))->id,
             session->database->statement_ms);
  drop_line (session);
  if (session->transaction == TRANSACTION_BOUND
      && (session->statement.kind != STATEMENT_COMMIT || !wrote))
    {
      fail_transaction (session);
      answer_error (session, ANSWER_ROLLED_BACK, "statement time limit");
    }
  else
    {
      fail_transaction (session);
      answer_error (session, ANSWER_TIMEOUT, "statement time limit");
    }
  process_input (session);
}

static void
set_deadline_timer (PoolSession *session)
{
  session->timer.fired = on_statement_timer;
  timer_set (session->options->timers, &session->timer, session->deadline_ms - clock_now_ms ());
}

static void
pause_and_retry (PoolSession *session, int64_t delay_ms)
{
  session->step = STEP_PAUSING;
  session->timer.fired = on_statement_timer;
  timer_set (session->options->timers, &session->timer, delay_ms);
}

static InstancePool *
choose_pool (PoolSession *session)
{
  const Database *database = session->database;
  SessionToken token = { 0 };
  InstancePool *pool;
  int64_t since_ms;

  session->after = (SessionToken){ 0 };
  if (needs_primary (session))
    return service_group_primary (session->group);
  if (database->consistency == CONSISTENCY_SESSION
      && strcmp (session->token_service, database->service) == 0)
    token = session->token;
  since_ms = session->started_ms - MAX (database->staleness_ms - STALENESS_MARGIN_MS, 0);
  pool = service_group_place (session->group, since_ms, token, database->priority, session->tried,
                              &session->after);
  if (pool != NULL || session->tried == 0)
    return pool;
  session->tried = 0;
  return service_group_place (session->group, since_ms, token, database->priority, 0,
                              &session->after);
}

static bool
has_untried_pool (PoolSession *session)
{
  const InstancePool *pool = choose_pool (session);

  return pool != NULL && (service_group_bit (session->group, pool) & session->tried) == 0;
}

static void
wait_for_route (PoolSession *session)
{
  const int64_t limit_ms
      = MIN (session->deadline_ms,
             session->started_ms + session->database->operation_ms / ROUTE_WAIT_PART);
  const int64_t left_ms = limit_ms - clock_now_ms ();

  if (left_ms <= 0)
    {
      refuse (session, ANSWER_OVERLOADED);
      return;
    }
  session->step = STEP_ROUTING;
  session->timer.fired = on_statement_timer;
  timer_set (session->options->timers, &session->timer, left_ms);
  service_group_wait (session->group, &session->waiter);
}

/* The statement did not run, with @code; another try follows if it may help. */
static void
retry (PoolSession *session, AnswerCode code)
{
  const int64_t now_ms = clock_now_ms ();

  if (++session->attempts >= ATTEMPTS_MAX || now_ms + BUSY_RETRY_MS >= session->deadline_ms)
    {
      refuse (session, code);
      return;
    }
  counter_add (session->options->counters, COUNTER_RETRIES, 1);
  if (has_untried_pool (session) || code != ANSWER_OVERLOADED)
    {
      dispatch (session);
      return;
    }
  session->tried = 0;
  pause_and_retry (session, BUSY_RETRY_MS);
}

static void
run_statement (PoolSession *session)
{
  BackendLine *line = instance_pool_line (session->line);
  const Statement *statement = &session->statement;
  const SessionToken *after = session->transaction == TRANSACTION_NONE
                                      && !statement_writes (session) && session->after.position > 0
                                  ? &session->after
                                  : NULL;

  session->step = STEP_RUNNING;
  session->sent_ms = clock_now_ms ();
  if (statement_writes (session))
    session->wrote = true;
  if (session->wrote
      && (session->transaction == TRANSACTION_NONE || statement->kind == STATEMENT_COMMIT))
    service_group_note_commit_sent (session->group, current_pool (session));
  if (statement->kind == STATEMENT_EXECUTE)
    backend_line_execute (line, statement->id, after,
                          session_values_shape (&session->values, statement->name),
                          statement->argument, on_ended, session);
  else
    backend_line_run (line, statement->id, after, statement->text, on_ended, session);
}

static void
note_answer (PoolSession *session, const LineResult *result, bool committed)
{
  service_group_note_answer (session->group, current_pool (session), result, session->sent_ms,
                             committed);
}

static void
on_begin_ended (void *data, const LineResult *result)
{
  PoolSession *session = data;

  note_answer (session, result, false);
  if (result->code == ANSWER_OK && result->state == 'T')
    {
      session->transaction = TRANSACTION_BOUND;
      run_statement (session);
      return;
    }
  session->tried |= service_group_bit (session->group, current_pool (session));
  give_line_back (session);
  retry (session, result->code == ANSWER_OK ? ANSWER_OVERLOADED : result->code);
  if (!session->active)
    process_input (session);
}

static bool
is_not_run (AnswerCode code)
{
  return answer_code_verdict (code) == VERDICT_NOT_RUN && code != ANSWER_MALFORMED;
}

/* A commit that wrote, or a write outside a transaction, succeeded. */
static bool
has_committed (const PoolSession *session, const LineResult *result)
{
  if (result->code != ANSWER_OK || result->state != 'I')
    return false;
  return session->wrote && session->statement.kind != STATEMENT_ROLLBACK;
}

static void
raise_token (PoolSession *session, SessionToken position)
{
  const char *service = service_group_name (session->group);

  if (strcmp (session->token_service, service) != 0)
    {
      g_strlcpy (session->token_service, service, sizeof session->token_service);
      session->token = (SessionToken){ 0 };
    }
  session_token_raise (&session->token, position);
}

static void
count_read (const PoolSession *session)
{
  CounterId counter = COUNTER_READS_REPLICA;

  if (service_group_is_primary (session->group, current_pool (session)))
    counter = COUNTER_READS_PRIMARY;
  counter_add (session->options->counters, counter, 1);
  if (service_group_distance (session->group, current_pool (session)) == DISTANCE_REMOTE)
    counter_add (session->options->counters, COUNTER_READS_REMOTE, 1);
}

static void
relay_result (PoolSession *session, const LineResult *result)
{
  const Codec *codec = session->options->codec;

  log_outcome (session, result->code, result->text);
  count_outcome (session, result->code);
  if (result->code != ANSWER_OK)
    {
      codec->write_error (output (session), result->code, result->text);
      return;
    }
  for (guint i = 0; i < result->rows->len; i++)
    codec->write_row (output (session), result->rows->pdata[i]);
  codec->write_complete (output (session), result->text);
}

static void
take_transaction_state (PoolSession *session, char state)
{
  if (state == 'I')
    session->transaction = TRANSACTION_NONE;
  else if (state == 'E' && session->transaction != TRANSACTION_NONE)
    session->transaction = TRANSACTION_FAILED;
}

static void
finish_at_instance (PoolSession *session, const LineResult *result)
{
  const bool committed = has_committed (session, result);

  note_answer (session, result, committed);
  if (result->code == ANSWER_OK && !committed && session->transaction == TRANSACTION_NONE)
    count_read (session);
  if (committed)
    raise_token (session, result->position);
  relay_result (session, result);
  take_transaction_state (session, result->state);
  session->options->codec->write_ready (output (session), caller_state (session), result->position);
  if (session->transaction == TRANSACTION_NONE)
    {
      session->wrote = false;
      give_line_back (session);
    }
  end_statement (session);
  process_input (session);
}

static void
on_ended (void *data, const LineResult *result)
{
  PoolSession *session = data;

  // Without a slot a transaction's statement has not run, and the transaction goes on.
  if (result->code == ANSWER_OVERLOADED && result->state == 'T'
      && clock_now_ms () + BUSY_RETRY_MS < session->deadline_ms)
    {
      pause_and_retry (session, BUSY_RETRY_MS);
      return;
    }
  if (session->transaction != TRANSACTION_NONE || !is_not_run (result->code))
    {
      finish_at_instance (session, result);
      return;
    }
  session->wrote = false;
  note_answer (session, result, false);
  session->tried |= service_group_bit (session->group, current_pool (session));
  give_line_back (session);
  retry (session, result->code);
  if (!session->active)
    process_input (session);
}

static void
end_lost_statement (PoolSession *session)
{
  const bool in_transaction = session->transaction == TRANSACTION_BOUND;
  const bool doubtful = session->wrote && (!in_transaction || ends_transaction (session));
  AnswerCode code = ANSWER_IN_DOUBT;

  // An open transaction whose commit was not sent is rolled back with its connection.
  if (in_transaction && (!doubtful || session->statement.kind == STATEMENT_ROLLBACK))
    code = ANSWER_ROLLED_BACK;
  session->wrote = false;
  fail_transaction (session);
  if (session->statement.kind == STATEMENT_ROLLBACK && code == ANSWER_ROLLED_BACK)
    answer_complete (session, "-", (SessionToken){ 0 });
  else
    answer_error (session, code, "connection lost");
}

static void
on_lost (void *data)
{
  PoolSession *session = data;

  session->line = NULL;
  switch (session->step)
    {
    case STEP_BEGINNING:
      retry (session, ANSWER_OVERLOADED);
      break;
    case STEP_RUNNING:
      if (session->transaction == TRANSACTION_NONE && !session->wrote
          && session->attempts + 1 < session->database->attempts)
        retry (session, ANSWER_IN_DOUBT);
      else
        end_lost_statement (session);
      break;
    case STEP_PAUSING:
      end_lost_statement (session);
      break;
    case STEP_NONE:
    case STEP_ROUTING:
    case STEP_CONNECTING:
      timer_clear (&session->timer);
      session->transaction = TRANSACTION_LOST;
      return;
    }
  if (!session->active)
    process_input (session);
}

static void
on_granted (void *data, PooledLine *line)
{
  PoolSession *session = data;
  BackendLine *backend = instance_pool_line (line);

  session->line = line;
  session->line_us = clock_now_us ();
  // The wait may have outlasted the proof that this is the primary.
  if (needs_primary (session) && service_group_primary (session->group) != instance_pool_of (line))
    {
      give_line_back (session);
      dispatch (session);
      return;
    }
  backend_line_synchronize (backend, &session->values);
  if (session->transaction == TRANSACTION_NONE)
    {
      run_statement (session);
      return;
    }
  session->step = STEP_BEGINNING;
  session->sent_ms = clock_now_ms ();
  backend_line_run (backend, session->begin.id, session->read_only ? &session->after : NULL,
                    session->begin.text, on_begin_ended, session);
}

/* No connection in time: another instance may have one, else the caller had better come back. */
static void
on_refused (void *data, AnswerCode code)
{
  PoolSession *session = data;

  session->tried |= service_group_bit (session->group, session->asked);
  session->attempts++;
  if (session->attempts < ATTEMPTS_MAX && has_untried_pool (session))
    dispatch (session);
  else if (session->attempts < ATTEMPTS_MAX && code == ANSWER_UNREACHED)
    wait_for_route (session);
  else
    refuse (session, code);
  if (!session->active)
    process_input (session);
}

static void
on_woken (void *data)
{
  PoolSession *session = data;

  session->tried = 0;
  dispatch (session);
}

static void
dispatch (PoolSession *session)
{
  InstancePool *pool;

  set_deadline_timer (session);
  if (session->transaction == TRANSACTION_BOUND)
    {
      run_statement (session);
      return;
    }
  pool = choose_pool (session);
  if (pool == NULL)
    {
      wait_for_route (session);
      return;
    }
  session->step = STEP_CONNECTING;
  session->asked = pool;
  session->request.priority = session->database->priority;
  session->request.deadline_ms
      = MIN (session->deadline_ms,
             session->started_ms + session->database->operation_ms / QUEUE_WAIT_PART);
  session->request.restartable
      = session->transaction == TRANSACTION_NONE && !statement_writes (session);
  session->request.source = session->id;
  session->request.values = &session->values;
  instance_pool_request (pool, &session->request);
}

/* A change of the configuration applies from the next operation on. */
static bool
take_route (PoolSession *session)
{
  Catalog *catalog = pool_server_catalog (session->server);

  if (session->transaction != TRANSACTION_NONE)
    return true;
  release_catalog (session);
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
      fail_transaction (session);
      drop_line (session);
      answer_error (session, ANSWER_MALFORMED, "already in a transaction");
      return;
    }
  session->transaction = TRANSACTION_BEGUN;
  session->wrote = false;
  session->read_only = session->statement.read_only;
  session->begun_ms = session->started_ms;
  session->begin = session->statement;
  memset (&session->statement, 0, sizeof session->statement);
  answer_complete (session, "-", (SessionToken){ 0 });
}

static void
run_in_failed_transaction (PoolSession *session)
{
  // What is left of it is rolled back with its connection.
  drop_line (session);
  if (!ends_transaction (session))
    {
      answer_error (session, ANSWER_MALFORMED, "the transaction has failed");
      return;
    }
  session->transaction = TRANSACTION_NONE;
  session->wrote = false;
  if (session->statement.kind == STATEMENT_ROLLBACK)
    answer_complete (session, "-", (SessionToken){ 0 });
  else
    answer_error (session, ANSWER_ROLLED_BACK, "the transaction has failed");
}

static void
run_in_lost_transaction (PoolSession *session)
{
  if (session->statement.kind == STATEMENT_ROLLBACK)
    {
      session->transaction = TRANSACTION_NONE;
      answer_complete (session, "-", (SessionToken){ 0 });
      return;
    }
  fail_transaction (session);
  answer_error (session, ANSWER_ROLLED_BACK, "the transaction was rolled back");
}

static void
start_at_instance (PoolSession *session)
{
  const StatementKind kind = session->statement.kind;

  if (ends_transaction (session) && session->transaction == TRANSACTION_NONE)
    {
      answer_error (session, ANSWER_MALFORMED, "not in a transaction");
      return;
    }
  if (kind == STATEMENT_ROLLBACK && session->transaction == TRANSACTION_BEGUN)
    {
      session->transaction = TRANSACTION_NONE;
      answer_complete (session, "-", (SessionToken){ 0 });
      return;
    }
  if (kind == STATEMENT_EXECUTE
      && session_values_shape (&session->values, session->statement.name) == NULL)
    {
      fail_transaction (session);
      drop_line (session);
      answer_error (session, ANSWER_UNKNOWN_PREPARED, session->statement.name);
      return;
    }
  if (session->transaction == TRANSACTION_NONE)
    session->wrote = false;
  if (session->transaction == TRANSACTION_BOUND)
    backend_line_synchronize (instance_pool_line (session->line), &session->values);
  dispatch (session);
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
          fail_transaction (session);
          drop_line (session);
          answer_error (session, ANSWER_UNKNOWN_PREPARED, statement->name);
          return;
        }
      break;
    }
  answer_complete (session, "-", (SessionToken){ 0 });
}

static void
start_statement (PoolSession *session)
{
  timer_clear (&session->timer);
  session->active = true;
  session->started_ms = clock_now_ms ();
  session->tried = 0;
  session->attempts = 0;
  counter_add (session->options->counters, COUNTER_STATEMENTS, 1);
  if (!take_route (session))
    {
      answer_error (session, ANSWER_UNKNOWN_DATABASE, "no such database");
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
      start_at_instance (session);
      return;
    case STATEMENT_MALFORMED:
      fail_transaction (session);
      drop_line (session);
      answer_error (session, ANSWER_MALFORMED, "no such statement");
      return;
    }
}

/* Sends an error that ends the session. */
static void
end_with_error (PoolSession *session, AnswerCode code, const char *text)
{
  session->options->codec->write_error (output (session), code, text);
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
  session->options->codec->write_ready (output (session), 'I', (SessionToken){ 0 });
  stream_flush (session->stream);
}

static void
take_message (PoolSession *session, CallerMessage *message)
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

static void
process_input (PoolSession *session)
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
      take_message (session, &message);
    }
  session->processing = false;
  if (session->closing)
    talloc_free (session);
}

static void
on_readable (void *data)
{
  process_input (data);
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
  session->request.granted = on_granted;
  session->request.refused = on_refused;
  session->request.lost = on_lost;
  session->request.data = session;
  session->waiter.woken = on_woken;
  session->waiter.data = session;
  session->timer.data = session;
  talloc_set_destructor (session, session_destroy);
  pool_server_add_session (server, session);
  counter_add (session->options->counters, COUNTER_CALLERS_ACCEPTED, 1);
  counter_add (session->options->counters, COUNTER_CALLERS_OPEN, 1);
  return session;
}
