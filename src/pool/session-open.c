#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "pool/session-forward.h"
#include "pool/session-state.h"

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

/* Returns whether the caller may use the database; otherwise the session ends. */
static bool
may_open (PoolSession *session, const Database *route)
{
  switch (session_check_access (session, route))
    {
    case SESSION_ALLOWED:
      return true;
    case SESSION_NO_DATABASE:
      session_end_with_error (session, SESSION_END_REFUSED, ANSWER_UNKNOWN_DATABASE,
                              session->database_name);
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

void
session_open (PoolSession *session, CallerMessage *opening, GBytes *message)
{
  Catalog *catalog = pool_server_catalog (session->server);
  const Database *route;

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
  if (session->notified || !drain_may_open (pool_server_drain_phase (session->server)))
    {
      session_end_with_error (session, SESSION_END_DRAIN, ANSWER_OVERLOADED,
                              "this host is shutting down");
      return;
    }
  if (catalog == NULL)
    {
      session_end_with_error (session, SESSION_END_REFUSED, ANSWER_OVERLOADED, "starting");
      return;
    }
  route = catalog_database (catalog, session->database_name);
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
      session_forward_open (session, message);
      return;
    }
  session->options->codec->write_ready (session_output (session), 'I', (SessionToken){ 0 });
  stream_flush (session->stream);
}
