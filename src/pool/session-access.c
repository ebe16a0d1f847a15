#include <string.h>

#include "base/clock.h"
#include "pool/session-state.h"

SessionAccess
session_check_access (PoolSession *session, const Database *database)
{
  const Catalog *catalog = pool_server_catalog (session->server);
  const Customer *customer;

  *session->customer = '\0';
  if (database == NULL)
    return SESSION_NO_DATABASE;
  if (catalog->customers == NULL)
    return SESSION_ALLOWED;
  customer = catalog_customer (catalog, session->key);
  if (customer != NULL)
    g_strlcpy (session->customer, customer->name, sizeof session->customer);
  else if (!database->anonymous)
    return SESSION_NO_KEY;
  return session_may_send (session) ? SESSION_ALLOWED : SESSION_OUT_OF_DATE;
}

bool
session_may_send (const PoolSession *session)
{
  return *session->customer == '\0' || pool_server_config_is_current (session->server);
}

/* An operation that has waited for this part of its statement's time limit, in percent, is refused:
 * the rest is needed for the work itself. It only waits if nobody can say whether it is over the
 * limit, so trying at another host would not help its caller. */
#define LIMIT_WAIT_PERCENT 70

static void
set_limit_timer (PoolSession *session)
{
  const int64_t due_ms
      = session->started_ms + session->database->statement_ms * LIMIT_WAIT_PERCENT / 100;

  session->timer.fired = session_on_timer;
  timer_set (session->options->timers, &session->timer, due_ms - clock_now_ms ());
}

static void
on_granted (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  session->counted = true;
  session->admitted_ms = clock_now_ms ();
  session_dispatch (session);
  session_leave (session, outermost);
}

static void
on_refused (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  session_refuse (session, ANSWER_OVER_LIMIT, "over the customer's limit");
  session_leave (session, outermost);
}

void
session_start_operation (PoolSession *session)
{
  LimitExchange *limits = session->options->limits;

  if (session->transaction == TRANSACTION_NONE)
    session->counted = false;
  if (session->counted || limits == NULL || *session->customer == '\0'
      || session->transaction == TRANSACTION_BOUND)
    {
      session_dispatch (session);
      return;
    }
  session->step = STEP_LIMITING;
  set_limit_timer (session);
  if (limit_exchange_start (limits, session->customer, &session->limit_waiter))
    {
      session->counted = true;
      session_dispatch (session);
    }
}

void
session_init_access (PoolSession *session)
{
  session->limit_waiter.granted = on_granted;
  session->limit_waiter.refused = on_refused;
  session->limit_waiter.data = session;
}

const char *
session_customer (const PoolSession *session)
{
  return session->customer;
}
