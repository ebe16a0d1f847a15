#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "pool/session-forward.h"
#include "pool/session-state.h"

/* Longest wait for a configuration in which the database may be; callers give up after twice that.
 */
#define DATABASE_WAIT_MS 1000

/* Logs an error that ends the session, and on which configuration it rests. */
static void
log_refusal (PoolSession *session, AnswerCode code, const char *text)
{
  uint32_t dropped;

  if (!log_enabled (LOG_LEVEL_INFO)
      || !pool_server_may_log (session->server, answer_code_verdict (code), clock_now_ms (),
                               &dropped))
    return;
  log_event (LOG_LEVEL_INFO, "session_refused",
             "session=%" PRIu64 " database=%s code=%s config=%" PRIu64
             " config_source=%s config_heard=%" PRIu64 " config_proof_age_ms=%" PRId64
             " forwarded=%d reason=\"%s\" suppressed=%u",
             session->id, session->database_name == NULL ? "-" : session->database_name,
             answer_code_name (code), pool_server_config_version (session->server),
             config_source_name (session->options->proof->source),
             session->options->proof->heard_version,
             pool_server_config_proof_age_ms (session->server), session->forwarded, text, dropped);
}

void
session_end_with_error (PoolSession *session, SessionEnd reason, AnswerCode code, const char *text)
{
  log_refusal (session, code, text);
  session->options->codec->write_error (session_output (session), code, text);
  stream_flush (session->stream);
  pool_session_finish (session, reason);
}

/* Whether the host that forwards the session has the same route for it; a host with an older
 * configuration than the other one must not serve it. */
static bool
route_matches (const PoolSession *session, const Database *database)
{
  return !session->forwarded || strcmp (session->forwarded_service, database->service) == 0;
}

AnswerCode
session_absence_code (PoolSession *session)
{
  // The host that forwards the session may have a newer configuration.
  if (!session->forwarded && pool_server_knows_absence (session->server))
    return ANSWER_UNKNOWN_DATABASE;
  pool_metrics_count (session->options->metrics, POOL_COUNT_ABSENCE_UNPROVED);
  return ANSWER_OVERLOADED;
}

const char *
session_absence_text (AnswerCode code, const char *unknown)
{
  return code == ANSWER_UNKNOWN_DATABASE ? unknown : "the configuration may be out of date";
}

static void
refuse_absent (PoolSession *session)
{
  const AnswerCode code = session_absence_code (session);

  session_end_with_error (session, SESSION_END_REFUSED, code,
                          session_absence_text (code, session->database_name));
}

/* Returns whether the caller may use the database; otherwise the session ends. */
static bool
may_open (PoolSession *session, const Database *route)
{
  switch (session_check_access (session, route))
    {
    case SESSION_ALLOWED:
      return true;
    case SESSION_NO_DATABASE:
      refuse_absent (session);
      return false;
    case SESSION_NO_KEY:
      pool_metrics_count (session->options->metrics, POOL_COUNT_KEYS_REFUSED);
      // The host that forwards the session knows the key, from a newer configuration perhaps.
      session_end_with_error (session, SESSION_END_REFUSED,
                              session->forwarded ? ANSWER_OVERLOADED : ANSWER_UNAUTHENTICATED,
                              "unknown key");
      return false;
    case SESSION_OUT_OF_DATE:
      session_end_with_error (session, SESSION_END_REFUSED, ANSWER_OVERLOADED,
                              "the configuration may be out of date");
      return false;
    }
  return false;
}

static void on_config_checked (void *data);

/* Returns false if the database is not worth waiting for, or has been waited for. */
static bool
wait_for_database (PoolSession *session)
{
  const int64_t left_ms = session->started_ms + DATABASE_WAIT_MS - clock_now_ms ();

  if (session->forwarded || left_ms <= 0 || pool_server_knows_absence (session->server)
      || !pool_server_awaits_config (session->server))
    return false;
  session->active = true;
  session->timer.fired = on_config_checked;
  timer_set (session->options->timers, &session->timer, left_ms);
  pool_server_wait_for_config (session->server, &session->config_waiter);
  return true;
}

static void
open_or_wait (PoolSession *session)
{
  const Database *route
      = catalog_database (pool_server_catalog (session->server), session->database_name);

  if (session->notified || !drain_may_open (pool_server_drain_phase (session->server)))
    {
      session_end_with_error (session, SESSION_END_DRAIN, ANSWER_OVERLOADED,
                              "this host is shutting down");
      return;
    }
  if (route == NULL)
    {
      if (!wait_for_database (session))
        refuse_absent (session);
      return;
    }
  if (!may_open (session, route))
    return;
  if (session->forwarded
      && (!pool_server_is_ready (session->server) || !route_matches (session, route)))
    {
      session_end_with_error (session, SESSION_END_REFUSED, ANSWER_OVERLOADED,
                              "not ready to serve it");
      return;
    }
  if (!session->forwarded && pool_server_has_owners (session->server))
    {
      session_forward_open (session, session->opening);
      session_stop_opening (session);
      return;
    }
  session_stop_opening (session);
  session->options->codec->write_ready (session_output (session), 'I', (SessionToken){ 0 });
  stream_flush (session->stream);
}

/* The configuration may have changed, or the wait is over. */
static void
on_config_checked (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  timer_clear (&session->timer);
  waiter_cancel (&session->config_waiter);
  session->active = false;
  open_or_wait (session);
  session_leave (session, outermost);
}

void
session_open (PoolSession *session, CallerMessage *opening, GBytes *message)
{
  if (session->database_name != NULL)
    {
      g_free (opening->database);
      g_free (opening->key);
      session_end_with_error (session, SESSION_END_PROTOCOL, ANSWER_MALFORMED,
                              "the session is open");
      return;
    }
  session->database_name = opening->database;
  session->key = opening->key;
  if (pool_server_catalog (session->server) == NULL)
    {
      session_end_with_error (session, SESSION_END_REFUSED, ANSWER_OVERLOADED, "starting");
      return;
    }
  session->started_ms = clock_now_ms ();
  session->opening = g_bytes_ref (message);
  open_or_wait (session);
}

void
session_init_open (PoolSession *session)
{
  session->config_waiter.woken = on_config_checked;
  session->config_waiter.data = session;
}

void
session_stop_opening (PoolSession *session)
{
  waiter_cancel (&session->config_waiter);
  g_clear_pointer (&session->opening, g_bytes_unref);
}
