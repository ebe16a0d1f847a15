#include "pool/session-state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

InstancePool *
session_current_pool (const PoolSession *session)
{
  return instance_pool_of_connection (session->connection);
}

GByteArray *
session_output (PoolSession *session)
{
  return stream_output (session->stream);
}

void
session_release_catalog (PoolSession *session)
{
  if (session->catalog != NULL)
    catalog_unref (session->catalog);
  session->catalog = NULL;
  session->database = NULL;
  session->group = NULL;
}

void
session_drop_connection (PoolSession *session)
{
  if (session->connection == NULL)
    return;
  instance_pool_discard (session->connection);
  session->connection = NULL;
}

void
session_release_connection (PoolSession *session)
{
  PoolConnection *connection = session->connection;

  session->connection = NULL;
  if (connection != NULL)
    instance_pool_release (connection, clock_now_us () - session->connection_since_us);
}

char
session_caller_state (const PoolSession *session)
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
  session_drop_connection (session);
  session->transaction = TRANSACTION_LOST;
}

void
session_end_statement (PoolSession *session)
{
  timer_clear (&session->timer);
  statement_done (&session->statement);
  if (session->connection == NULL)
    *session->instance = '\0';
  else
    instance_pool_release_slot (session->connection,
                                clock_now_us () - session->connection_since_us);
  session->active = false;
  session->step = STEP_NONE;
  if (session->transaction == TRANSACTION_BOUND && session->catalog->idle_transaction_ms > 0)
    {
      session->timer.fired = on_idle_transaction;
      timer_set (session->options->timers, &session->timer, session->catalog->idle_transaction_ms);
    }
  if (session->transaction == TRANSACTION_NONE)
    {
      statement_done (&session->begin);
      session_release_catalog (session);
    }
  stream_pause (session->stream, false);
}

static int64_t
age_ms (int64_t at_ms)
{
  return at_ms == 0 ? -1 : clock_now_ms () - at_ms;
}

/* Logs what the outcome was based on, and how old that knowledge was. */
static void
log_outcome (const PoolSession *session, AnswerCode code, const char *text, uint32_t dropped)
{
  const Database *database = session->database;
  GroupView view = { .primary = "" };

  if (session->group != NULL)
    service_group_view (session->group, &view);
  log_event (LOG_LEVEL_INFO, "statement",
             "request=%s session=%" PRIu64
             " database=%s customer=%s service=%s priority=%s kind=%s code=%s "
             "verdict=\"%s\" instance=%s primary=%s term=%" PRIu64 " confirmed_age_ms=%" PRId64
             " required_position=%" PRIu64 ".%" PRIu64 " position_age_ms=%" PRId64
             " position_host=%016" PRIx64 " config=%" PRIu64 " config_source=%s"
             " config_heard=%" PRIu64 " config_proof_age_ms=%" PRId64
             " attempts=%u took_ms=%" PRId64 " reason=\"%s\" text=\"%s\" suppressed=%u",
             session->statement.id, session->id,
             session->database_name == NULL ? "-" : session->database_name,
             *session->customer == '\0' ? "-" : session->customer,
             database == NULL ? "-" : database->service,
             database == NULL ? "-" : priority_name (database->priority),
             statement_kind_name (session->statement.kind), answer_code_name (code),
             verdict_name (answer_code_verdict (code)),
             *session->instance == '\0' ? "-" : session->instance, view.primary, view.term,
             age_ms (view.confirmed_ms), session->after.term, session->after.position,
             age_ms (view.position.at_ms), view.position_host,
             session->catalog == NULL ? pool_server_config_version (session->server)
                                      : session->catalog->version,
             config_source_name (session->options->proof->source),
             session->options->proof->heard_version,
             pool_server_config_proof_age_ms (session->server), session->attempts,
             clock_now_ms () - session->started_ms, session->reason == NULL ? "-" : session->reason,
             text, dropped);
}

void
session_record_outcome (PoolSession *session, AnswerCode code, const char *text)
{
  static const CounterId counters[] = {
    [VERDICT_RAN] = COUNTER_STATEMENTS_RAN,
    [VERDICT_NOT_RUN] = COUNTER_STATEMENTS_NOT_RUN,
    [VERDICT_MAY_HAVE_RUN] = COUNTER_STATEMENTS_IN_DOUBT,
  };
  const Verdict verdict = answer_code_verdict (code);
  const int64_t now_ms = clock_now_ms ();
  uint32_t dropped;

  counter_add (session->options->counters, counters[verdict], 1);
  if (session->database != NULL)
    pool_metrics_add_statement (session->options->metrics, session->database->priority, verdict,
                                now_ms - session->started_ms);
  if (!log_enabled (LOG_LEVEL_INFO))
    return;
  if (pool_server_may_log (session->server, verdict, now_ms, &dropped))
    log_outcome (session, code, text, dropped);
}

void
session_answer_complete (PoolSession *session, const char *text, SessionToken position)
{
  session_record_outcome (session, ANSWER_OK, text);
  session->options->codec->write_complete (session_output (session), text);
  session->options->codec->write_ready (session_output (session), session_caller_state (session),
                                        position);
  session_end_statement (session);
}

void
session_answer_error (PoolSession *session, AnswerCode code, const char *text)
{
  session_record_outcome (session, code, text);
  session->options->codec->write_error (session_output (session), code, text);
  session->options->codec->write_ready (session_output (session), session_caller_state (session),
                                        (SessionToken){ 0 });
  session_end_statement (session);
}

bool
session_ends_transaction (const PoolSession *session)
{
  return session->statement.kind == STATEMENT_COMMIT
         || session->statement.kind == STATEMENT_ROLLBACK;
}

/* A failed statement fails its transaction; the caller has to end it. */
void
session_fail_transaction (PoolSession *session)
{
  if (session->transaction == TRANSACTION_NONE)
    return;
  session->transaction = session_ends_transaction (session) ? TRANSACTION_NONE : TRANSACTION_FAILED;
}

/* The statement did not run, and closing the connection rolls back its transaction. */
void
session_refuse (PoolSession *session, AnswerCode code, const char *reason)
{
  session->reason = reason;
  waiter_cancel (&session->waiter);
  limit_exchange_cancel (&session->limit_waiter);
  instance_pool_cancel (&session->request);
  session_drop_connection (session);
  session_fail_transaction (session);
  session_answer_error (session, code, "not run");
}

bool
session_statement_writes (const PoolSession *session)
{
  const PreparedQuery *prepared;

  switch (session->statement.kind)
    {
    case STATEMENT_WRITE:
      return true;
    case STATEMENT_EXECUTE:
      prepared = session_values_prepared (&session->values, session->statement.name);
      return prepared != NULL && !prepared->read_only;
    default:
      return false;
    }
}
