#include "pool/session-state.h"

#include <string.h>

#include "base/clock.h"

/* A request that no instance can serve is refused after the expected operation time divided by
 * this: the caller gains more from retrying than from waiting. */
#define ROUTE_WAIT_DIVISOR 4
/* A request without a connection is refused after the expected operation time divided by this: the
 * rest of the time is needed for the work itself, and a longer queue only adds delay. */
#define QUEUE_WAIT_DIVISOR 3
/* Maximum number of attempts of a statement that did not run. */
#define ATTEMPTS_MAX 6
/* Data must be fresher than the staleness bound by this margin. */
#define STALENESS_MARGIN_MS 200

static bool
needs_primary (const PoolSession *session)
{
  if (session->database->consistency == CONSISTENCY_PRIMARY)
    return true;
  if (session->transaction == TRANSACTION_BEGUN)
    return !session->read_only;
  return session_statement_writes (session);
}

static void
set_deadline_timer (PoolSession *session)
{
  session->timer.fired = session_on_timer;
  timer_set (session->options->timers, &session->timer, session->deadline_ms - clock_now_ms ());
}

void
session_retry_later (PoolSession *session, int64_t delay_ms)
{
  session->step = STEP_BACKING_OFF;
  session->timer.fired = session_on_timer;
  timer_set (session->options->timers, &session->timer, delay_ms);
}

static InstancePool *
choose_pool (PoolSession *session)
{
  const Database *database = session->database;
  SessionToken token = { 0 };
  int64_t since_ms;

  session->after = (SessionToken){ 0 };
  if (needs_primary (session))
    return service_group_primary (session->group);
  if (database->consistency == CONSISTENCY_SESSION
      && strcmp (session->token_service, database->service) == 0)
    token = session->token;
  since_ms = session->started_ms - MAX (database->staleness_ms - STALENESS_MARGIN_MS, 0);
  return service_group_choose_for_read (session->group, since_ms, token, database->priority,
                                        session->tried, &session->after);
}

static bool
has_untried_pool (PoolSession *session)
{
  const InstancePool *pool = choose_pool (session);

  return pool != NULL && (service_group_member_bit (session->group, pool) & session->tried) == 0;
}

static void
wait_for_route (PoolSession *session)
{
  const int64_t limit_ms
      = MIN (session->deadline_ms,
             session->admitted_ms + session->database->operation_ms / ROUTE_WAIT_DIVISOR);
  const int64_t left_ms = limit_ms - clock_now_ms ();

  if (left_ms <= 0)
    {
      session_refuse (session, ANSWER_OVERLOADED, "no usable instance in time");
      return;
    }
  session->step = STEP_ROUTING;
  session->timer.fired = session_on_timer;
  timer_set (session->options->timers, &session->timer, left_ms);
  service_group_wait (session->group, &session->waiter);
}

void
session_retry (PoolSession *session, AnswerCode code)
{
  if (++session->attempts >= ATTEMPTS_MAX || !session_can_wait_for_slot (session))
    {
      session_refuse (session, code, "refused by instances");
      return;
    }
  counter_add (session->options->counters, COUNTER_RETRIES, 1);
  if (has_untried_pool (session) || code != ANSWER_OVERLOADED)
    {
      session_dispatch (session);
      return;
    }
  session->tried = 0;
  session_retry_later (session, BUSY_RETRY_MS);
}

static void
use_connection (PoolSession *session, PoolConnection *connection)
{
  InstanceConnection *backend = instance_pool_connection (connection);

  session->connection = connection;
  session->connection_since_us = clock_now_us ();
  g_strlcpy (session->instance, instance_pool_info (instance_pool_of_connection (connection))->id,
             sizeof session->instance);
  pool_metrics_add (session->options->metrics, POOL_LATENCY_CONNECTION,
                    clock_now_ms () - session->requested_ms);
  if (!session_may_send (session))
    {
      session_release_connection (session);
      session_refuse (session, ANSWER_OVERLOADED, "the configuration may be out of date");
      return;
    }
  // The lease on the primary may have expired during the wait.
  if (needs_primary (session)
      && service_group_primary (session->group) != instance_pool_of_connection (connection))
    {
      session_release_connection (session);
      session_dispatch (session);
      return;
    }
  instance_connection_synchronize (backend, &session->values);
  if (session->transaction == TRANSACTION_NONE)
    {
      session_run (session);
      return;
    }
  session->step = STEP_BEGINNING;
  session->sent_ms = clock_now_ms ();
  instance_connection_run (backend, session->begin.id, session->read_only ? &session->after : NULL,
                           session->begin.text, session_on_begin_ended, session);
}

static void
on_granted (void *data, PoolConnection *connection)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  use_connection (session, connection);
  session_leave (session, outermost);
}

/* No connection in time: tries another instance, else refuses so that the caller can retry. */
static void
on_refused (void *data, AnswerCode code)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  session->tried |= service_group_member_bit (session->group, session->requested_pool);
  session->attempts++;
  if (session->attempts < ATTEMPTS_MAX && has_untried_pool (session))
    session_dispatch (session);
  else if (session->attempts < ATTEMPTS_MAX && code == ANSWER_UNREACHABLE)
    wait_for_route (session);
  else
    session_refuse (session, code, "no connection in time");
  session_leave (session, outermost);
}

static void
on_woken (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  session->tried = 0;
  session_dispatch (session);
  session_leave (session, outermost);
}

void
session_dispatch (PoolSession *session)
{
  InstancePool *pool;

  set_deadline_timer (session);
  if (session->transaction == TRANSACTION_BOUND)
    {
      session_run (session);
      return;
    }
  pool = choose_pool (session);
  if (pool == NULL)
    {
      wait_for_route (session);
      return;
    }
  session->step = STEP_CONNECTING;
  session->requested_pool = pool;
  session->requested_ms = clock_now_ms ();
  session->request.priority = session->database->priority;
  session->request.deadline_ms
      = MIN (session->deadline_ms,
             session->admitted_ms + session->database->operation_ms / QUEUE_WAIT_DIVISOR);
  session->request.restartable
      = session->transaction == TRANSACTION_NONE && !session_statement_writes (session);
  // Customers take turns; without customers, sessions do.
  session->request.source
      = *session->customer == '\0' ? session->id : g_str_hash (session->customer);
  session->request.customer = session_customer (session);
  session->request.values = &session->values;
  instance_pool_request (pool, &session->request);
}

void
session_init_route (PoolSession *session)
{
  session->request.granted = on_granted;
  session->request.refused = on_refused;
  session->request.lost = session_on_lost;
  session->request.data = session;
  session->waiter.woken = on_woken;
  session->waiter.data = session;
}
