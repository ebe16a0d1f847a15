#include "pool/session-state.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* An answer that has not come by this share of the time limit, in percent, may be lost. */
#define LOST_ANSWER_PERCENT 40

static void lose_connection (PoolSession *session);
static void on_ended (void *data, const StatementResult *result);

static void
set_run_timer (PoolSession *session, int64_t due_ms)
{
  session->timer.fired = session_on_timer;
  timer_set (session->options->timers, &session->timer, due_ms - clock_now_ms ());
}

/* A write outside a transaction, and a commit, may have run: they can't be abandoned early. */
static bool
can_be_abandoned (const PoolSession *session)
{
  if (session->transaction == TRANSACTION_BOUND)
    return !session_ends_transaction (session);
  return !session->wrote;
}

static void
check_for_lost_answer (PoolSession *session)
{
  if (!can_be_abandoned (session)
      || !service_group_answered_later (session->group, session_current_pool (session),
                                        session->sent_ms))
    {
      set_run_timer (session, session->deadline_ms);
      return;
    }
  service_group_record_lost (session->group, session_current_pool (session));
  log_event (LOG_LEVEL_INFO, "answer_lost", "request=%s instance=%s waited_ms=%" PRId64,
             session->statement.id, instance_pool_info (session_current_pool (session))->id,
             clock_now_ms () - session->sent_ms);
  instance_pool_discard (session->connection);
  lose_connection (session);
}

static const char *
not_run_reason (StatementStep step)
{
  switch (step)
    {
    case STEP_LIMITING:
      return "no answer on the customer's limit in time";
    case STEP_ROUTING:
      return "no usable instance in time";
    default:
      return "time limit expired before it ran";
    }
}

static void
handle_timer (PoolSession *session)
{
  const bool wrote = session->wrote || session_statement_writes (session);

  switch (session->step)
    {
    case STEP_BACKING_OFF:
      session_dispatch (session);
      return;
    case STEP_NONE:
    case STEP_LIMITING:
    case STEP_ROUTING:
    case STEP_CONNECTING:
    case STEP_BEGINNING:
      session_refuse (session, ANSWER_OVERLOADED, not_run_reason (session->step));
      return;
    case STEP_RUNNING:
      break;
    }
  if (clock_now_ms () < session->deadline_ms)
    {
      check_for_lost_answer (session);
      return;
    }
  service_group_record_lost (session->group, session_current_pool (session));
  log_event (LOG_LEVEL_INFO, "statement_limit", "request=%s instance=%s limit_ms=%" PRId64,
             session->statement.id, instance_pool_info (session_current_pool (session))->id,
             session->database->statement_ms);
  session_drop_connection (session);
  if (session->transaction == TRANSACTION_BOUND
      && (session->statement.kind != STATEMENT_COMMIT || !wrote))
    {
      session_fail_transaction (session);
      session_answer_error (session, ANSWER_ROLLED_BACK, "statement time limit");
    }
  else
    {
      session_fail_transaction (session);
      session_answer_error (session, ANSWER_TIMEOUT, "statement time limit");
    }
}

void
session_on_timer (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  handle_timer (session);
  session_leave (session, outermost);
}

void
session_run (PoolSession *session)
{
  InstanceConnection *connection = instance_pool_connection (session->connection);
  const Statement *statement = &session->statement;
  const SessionToken *after = session->transaction == TRANSACTION_NONE
                                      && !session_statement_writes (session)
                                      && session->after.position > 0
                                  ? &session->after
                                  : NULL;

  session->step = STEP_RUNNING;
  session->sent_ms = clock_now_ms ();
  set_run_timer (session, MIN (session->deadline_ms,
                               session->sent_ms
                                   + session->database->statement_ms * LOST_ANSWER_PERCENT / 100));
  if (session_statement_writes (session))
    session->wrote = true;
  if (session->wrote
      && (session->transaction == TRANSACTION_NONE || statement->kind == STATEMENT_COMMIT))
    service_group_record_commit_sent (session->group, session_current_pool (session));
  if (statement->kind == STATEMENT_EXECUTE)
    instance_connection_execute (connection, statement->id, after,
                                 session_values_prepared (&session->values, statement->name),
                                 statement->argument, on_ended, session);
  else
    instance_connection_run (connection, statement->id, after, statement->text, on_ended, session);
}

static void
record_answer (PoolSession *session, const StatementResult *result, bool committed)
{
  pool_metrics_add (session->options->metrics, POOL_LATENCY_SERVICE,
                    clock_now_ms () - session->sent_ms);
  service_group_record_answer (session->group, session_current_pool (session), result,
                               session->database->priority, session->sent_ms, committed);
}

static void
finish_begin (PoolSession *session, const StatementResult *result)
{
  record_answer (session, result, false);
  if (result->code == ANSWER_OK && result->state == 'T')
    {
      session->transaction = TRANSACTION_BOUND;
      session_run (session);
      return;
    }
  session->tried |= service_group_member_bit (session->group, session_current_pool (session));
  session_release_connection (session);
  session_retry (session, result->code == ANSWER_OK ? ANSWER_OVERLOADED : result->code);
}

void
session_on_begin_ended (void *data, const StatementResult *result)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  finish_begin (session, result);
  session_leave (session, outermost);
}

static bool
is_not_run (AnswerCode code)
{
  return answer_code_verdict (code) == VERDICT_NOT_RUN && code != ANSWER_MALFORMED;
}

/* Whether a commit that wrote, or a write outside a transaction, succeeded. */
static bool
has_committed (const PoolSession *session, const StatementResult *result)
{
  if (result->code != ANSWER_OK || result->state != 'I')
    return false;
  return session->wrote && session->statement.kind != STATEMENT_ROLLBACK;
}

static void
advance_token (PoolSession *session, SessionToken position)
{
  const char *service = service_group_name (session->group);

  if (strcmp (session->token_service, service) != 0)
    {
      g_strlcpy (session->token_service, service, sizeof session->token_service);
      session->token = (SessionToken){ 0 };
    }
  session_token_advance (&session->token, position);
}

static void
count_read (const PoolSession *session)
{
  CounterId counter = COUNTER_READS_REPLICA;

  if (service_group_is_primary (session->group, session_current_pool (session)))
    counter = COUNTER_READS_PRIMARY;
  counter_add (session->options->counters, counter, 1);
  if (service_group_distance (session->group, session_current_pool (session)) == DISTANCE_REMOTE)
    counter_add (session->options->counters, COUNTER_READS_REMOTE, 1);
}

static void
relay_result (PoolSession *session, const StatementResult *result)
{
  const Codec *codec = session->options->codec;

  session_record_outcome (session, result->code, result->text);
  if (result->code != ANSWER_OK)
    {
      codec->write_error (session_output (session), result->code, result->text);
      return;
    }
  for (guint i = 0; i < result->rows->len; i++)
    codec->write_row (session_output (session), result->rows->pdata[i]);
  codec->write_complete (session_output (session), result->text);
}

static void
update_transaction_state (PoolSession *session, char state)
{
  if (state == 'I')
    session->transaction = TRANSACTION_NONE;
  else if (state == 'E' && session->transaction != TRANSACTION_NONE)
    session->transaction = TRANSACTION_FAILED;
}

/* The commit ended after this host stopped relying on the primary, so it is unknown whether the
 * commit survives the primary change. */
static void
finish_unacknowledged (PoolSession *session)
{
  service_group_record_in_doubt (session->group, session_current_pool (session));
  session->transaction = TRANSACTION_NONE;
  session->wrote = false;
  session_release_connection (session);
  session_answer_error (session, ANSWER_IN_DOUBT, "the primary is being replaced");
}

static void
finish_at_instance (PoolSession *session, const StatementResult *result)
{
  const bool committed = has_committed (session, result);

  if (committed && !service_group_may_acknowledge (session->group, session_current_pool (session)))
    {
      finish_unacknowledged (session);
      return;
    }
  record_answer (session, result, committed);
  if (result->code == ANSWER_OK && !committed && session->transaction == TRANSACTION_NONE)
    count_read (session);
  if (committed)
    advance_token (session, result->position);
  relay_result (session, result);
  update_transaction_state (session, result->state);
  session->options->codec->write_ready (session_output (session), session_caller_state (session),
                                        result->position);
  if (session->transaction == TRANSACTION_NONE)
    {
      session->wrote = false;
      session_release_connection (session);
    }
  session_end_statement (session);
}

/* A read that failed at an instance which fails much more than the others may succeed elsewhere. */
static bool
may_retry_failed_read (const PoolSession *session, const StatementResult *result)
{
  return result->code == ANSWER_FAILED && session->transaction == TRANSACTION_NONE
         && !session->wrote && session->attempts + 1 < session->database->attempts
         && service_group_is_suspect (session->group, session_current_pool (session));
}

static void
finish_statement (PoolSession *session, const StatementResult *result)
{
  // A statement refused for lack of a slot did not run; its transaction stays open.
  if (result->code == ANSWER_OVERLOADED && result->state == 'T'
      && session_can_wait_for_slot (session))
    {
      session_retry_later (session, BUSY_RETRY_MS);
      return;
    }
  if (session->transaction != TRANSACTION_NONE
      || (!is_not_run (result->code) && !may_retry_failed_read (session, result)))
    {
      finish_at_instance (session, result);
      return;
    }
  session->wrote = false;
  record_answer (session, result, false);
  session->tried |= service_group_member_bit (session->group, session_current_pool (session));
  session_release_connection (session);
  session_retry (session, result->code);
}

static void
on_ended (void *data, const StatementResult *result)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  finish_statement (session, result);
  session_leave (session, outermost);
}

static void
end_lost_statement (PoolSession *session, const char *reason)
{
  const bool in_transaction = session->transaction == TRANSACTION_BOUND;
  const bool outcome_unknown
      = session->wrote && (!in_transaction || session_ends_transaction (session));
  AnswerCode code = ANSWER_IN_DOUBT;

  // Closing the connection rolls back an open transaction whose commit was not sent.
  if (in_transaction && (!outcome_unknown || session->statement.kind == STATEMENT_ROLLBACK))
    code = ANSWER_ROLLED_BACK;
  session->wrote = false;
  session_fail_transaction (session);
  if (session->statement.kind == STATEMENT_ROLLBACK && code == ANSWER_ROLLED_BACK)
    session_answer_complete (session, "-", (SessionToken){ 0 });
  else
    session_answer_error (session, code, reason);
}

void
session_answer_unfinished (PoolSession *session, const char *reason)
{
  if (session->step != STEP_RUNNING)
    {
      session_refuse (session, ANSWER_OVERLOADED, reason);
      return;
    }
  session->reason = reason;
  session_drop_connection (session);
  end_lost_statement (session, reason);
}

static void
lose_connection (PoolSession *session)
{
  session->connection = NULL;
  switch (session->step)
    {
    case STEP_BEGINNING:
      session_retry (session, ANSWER_OVERLOADED);
      break;
    case STEP_RUNNING:
      if (session->transaction == TRANSACTION_NONE && !session->wrote
          && session->attempts + 1 < session->database->attempts)
        session_retry (session, ANSWER_IN_DOUBT);
      else
        end_lost_statement (session, "connection lost");
      break;
    case STEP_BACKING_OFF:
      end_lost_statement (session, "connection lost");
      break;
    case STEP_NONE:
    case STEP_LIMITING:
    case STEP_ROUTING:
    case STEP_CONNECTING:
      timer_clear (&session->timer);
      session->transaction = TRANSACTION_LOST;
      break;
    }
}

void
session_on_lost (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  lose_connection (session);
  session_leave (session, outermost);
}

bool
session_can_wait_for_slot (const PoolSession *session)
{
  return clock_now_ms () + BUSY_RETRY_MS < session->deadline_ms;
}
