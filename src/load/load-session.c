#include "load/load-session.h"

#include <string.h>

#include "adapter/backend-connection.h"
#include "adapter/pgwire.h"
#include "base/clock.h"

#define RECONNECT_MS 50
#define SQL_BYTES 512

/* Steps of the current request. */
typedef enum
{
  STEP_ONLY,
  STEP_BEGIN,
  STEP_FIRST,
  STEP_SECOND,
  STEP_COMMIT,
  STEP_ROLLBACK
} Step;

struct LoadSession
{
  LoadSessionOptions options;
  BackendConnection *backend;
  bool ready;
  bool busy;
  LoadRequest request;
  Step step;
  GByteArray *sink;
  uint32_t host;
  char last_write[56];
  char token[SESSION_TOKEN_TEXT_BYTES];
  LoadOutcome rollback_outcome; /* outcome to report after the rollback */
};

static void connect_session (LoadSession *session, bool with_token);

static const LoadClass *
request_class (const LoadSession *session)
{
  return &session->options.load->classes[session->request.class_index];
}

static void
become_idle (LoadSession *session)
{
  session->busy = false;
  session->options.idle (session->options.data, session);
}

static void
record_write (LoadSession *session, LoadOutcome outcome)
{
  char id[56];

  if (request_class (session)->kind != LOAD_TRANSACTION)
    {
      load_results_write (session->options.results, session->request.id, outcome);
      return;
    }
  g_snprintf (id, sizeof id, "%s.1", session->request.id);
  load_results_write (session->options.results, id, outcome);
  g_snprintf (id, sizeof id, "%s.2", session->request.id);
  load_results_write (session->options.results, id, outcome);
}

static void
store_last_write (LoadSession *session)
{
  g_snprintf (session->last_write, sizeof session->last_write, "%s%s", session->request.id,
              request_class (session)->kind == LOAD_TRANSACTION ? ".2" : "");
}

static void on_disconnect (LoadSession *session);

static void
move_to_next_host (LoadSession *session)
{
  const char *token = backend_connection_parameter (session->backend, "peridotstep.session");

  g_strlcpy (session->token, token == NULL ? "" : token, sizeof session->token);
  session->host = (session->host + 1) % session->options.load->host_count;
  TALLOC_FREE (session->backend);
  session->ready = false;
  connect_session (session, session->request.keep_session_token);
}

static void
finish_request (LoadSession *session, LoadOutcome outcome)
{
  int64_t now_us = clock_now_us ();
  bool is_write = request_class (session)->kind != LOAD_READ;

  load_results_finished (session->options.results, session->request.class_index, outcome,
                         now_us - session->request.arrived_us,
                         (now_us - session->options.started_us) / 1000);
  if (is_write)
    record_write (session, outcome);
  if (is_write && outcome == LOAD_ANSWERED)
    store_last_write (session);
  session->options.ended (session->options.data);
  if (!session->ready)
    {
      session->busy = false;
      return;
    }
  if (is_write && outcome == LOAD_ANSWERED && session->request.roam)
    {
      session->busy = false;
      move_to_next_host (session);
      return;
    }
  become_idle (session);
}

static LoadOutcome
outcome_of_error (const LoadSession *session)
{
  const char *detail = pgwire_error_field (session->sink, 'D');

  if (g_str_has_prefix (detail, "not run"))
    return LOAD_NOT_RUN;
  if (g_str_has_prefix (detail, "may have run"))
    return LOAD_IN_DOUBT;
  if (g_str_has_prefix (detail, "ran"))
    return LOAD_RAN_UNANSWERED;
  return LOAD_FAILED;
}

static bool
send_sql (LoadSession *session, const char *sql)
{
  const BackendStatement statement = { .sql = sql };

  g_byte_array_set_size (session->sink, 0);
  return backend_connection_run (session->backend, &statement, session->sink);
}

static void
make_idempotent_insert (const LoadSession *session, char *sql)
{
  g_snprintf (sql, SQL_BYTES,
              "/*class='%s'*/ INSERT INTO load_writes (id) SELECT '%s' WHERE NOT EXISTS "
              "(SELECT 1 FROM load_writes WHERE id = '%s')",
              request_class (session)->name, session->request.id, session->request.id);
}

static void
make_insert (const LoadSession *session, const char *suffix, char *sql)
{
  g_snprintf (sql, SQL_BYTES, "/*class='%s'*/ INSERT INTO load_writes (id) VALUES ('%s%s')",
              request_class (session)->name, session->request.id, suffix);
}

static void
send_step (LoadSession *session)
{
  char sql[SQL_BYTES];

  switch (session->step)
    {
    case STEP_ONLY:
      if (request_class (session)->kind == LOAD_WRITE)
        make_insert (session, "", sql);
      else if (request_class (session)->kind == LOAD_IDEMPOTENT_WRITE)
        make_idempotent_insert (session, sql);
      else
        g_snprintf (sql, sizeof sql,
                    "/*class='%s'*/ SELECT count(*) FROM load_writes WHERE id = '%s'",
                    request_class (session)->name, session->last_write);
      break;
    case STEP_BEGIN:
      g_strlcpy (sql, "BEGIN", sizeof sql);
      break;
    case STEP_FIRST:
      make_insert (session, ".1", sql);
      break;
    case STEP_SECOND:
      make_insert (session, ".2", sql);
      break;
    case STEP_COMMIT:
      g_strlcpy (sql, "COMMIT", sizeof sql);
      break;
    case STEP_ROLLBACK:
      g_strlcpy (sql, "ROLLBACK", sizeof sql);
      break;
    }
  if (!send_sql (session, sql))
    on_disconnect (session);
}

static void
check_read (LoadSession *session)
{
  const char *count = backend_connection_field (session->backend, 0);
  const char *token = backend_connection_parameter (session->backend, "peridotstep.session");
  const LoadHost *host = &session->options.load->hosts[session->host];
  char *description;

  if (session->last_write[0] == '\0' || strcmp (count, "1") == 0)
    return;
  description = g_strdup_printf ("%s, count '%s', class %s, host %s:%u, token %s",
                                 session->last_write, count, request_class (session)->name,
                                 host->address, host->port, token == NULL ? "none" : token);
  load_results_stale_read (session->options.results, description);
  g_free (description);
}

static void
step_failed (LoadSession *session)
{
  LoadOutcome outcome = outcome_of_error (session);

  load_results_error (session->options.results, pgwire_error_field (session->sink, 'C'),
                      pgwire_error_field (session->sink, 'M'));
  switch (session->step)
    {
    case STEP_ROLLBACK:
      finish_request (session, session->rollback_outcome);
      return;
    case STEP_FIRST:
    case STEP_SECOND:
      // Without COMMIT, the statement has no lasting effect even if it ran.
      session->rollback_outcome = LOAD_NOT_RUN;
      session->step = STEP_ROLLBACK;
      send_step (session);
      return;
    default:
      finish_request (session, outcome);
    }
}

static void
step_succeeded (LoadSession *session)
{
  switch (session->step)
    {
    case STEP_ONLY:
      if (request_class (session)->kind == LOAD_READ)
        check_read (session);
      finish_request (session, LOAD_ANSWERED);
      return;
    case STEP_COMMIT:
      finish_request (session, LOAD_ANSWERED);
      return;
    case STEP_ROLLBACK:
      finish_request (session, session->rollback_outcome);
      return;
    default:
      session->step++;
      send_step (session);
    }
}

static void
on_reconnect (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
              void *data)
{
  LoadSession *session = data;

  session->host = (session->host + 1) % session->options.load->host_count;
  TALLOC_FREE (session->backend);
  // Acknowledged writes must be visible even to a session that presents no token.
  connect_session (session, false);
}

static LoadOutcome
outcome_of_disconnect (const LoadSession *session)
{
  // "not run" in the last error is proof. Without it, the outcome is unknown as soon as the server
  // may have received COMMIT, or a write outside a transaction.
  if (g_str_has_prefix (pgwire_error_field (session->sink, 'D'), "not run"))
    return LOAD_NOT_RUN;
  switch (session->step)
    {
    case STEP_BEGIN:
    case STEP_FIRST:
    case STEP_SECOND:
    case STEP_ROLLBACK:
      return LOAD_NOT_RUN;
    default:
      return request_class (session)->kind == LOAD_READ ? LOAD_NOT_RUN : LOAD_IN_DOUBT;
    }
}

static void
on_disconnect (LoadSession *session)
{
  session->ready = false;
  session->options.disconnected (session->options.data, session);
  if (session->busy)
    finish_request (session, outcome_of_disconnect (session));
  tevent_add_timer (session->options.events, session,
                    tevent_timeval_current_ofs (0, RECONNECT_MS * 1000), on_reconnect, session);
}

static void
on_event (void *data, const BackendEvent *event)
{
  LoadSession *session = data;

  switch (event->kind)
    {
    case BACKEND_CONNECTED:
      session->ready = true;
      become_idle (session);
      return;
    case BACKEND_DATA:
      return;
    case BACKEND_IDLE:
      if (!session->busy)
        return;
      if (event->failed)
        step_failed (session);
      else
        step_succeeded (session);
      return;
    case BACKEND_REFUSED:
    case BACKEND_LOST:
      on_disconnect (session);
      return;
    }
}

static void
connect_session (LoadSession *session, bool with_token)
{
  const LoadHost *host = &session->options.load->hosts[session->host];
  char options[96] = "";
  BackendOptions backend = {
    .address = host->address,
    .port = host->port,
    .database = session->options.load->service,
    .user = session->options.user,
    .application_name = "load",
    .session_options = options,
    .events = on_event,
    .data = session,
  };

  if (with_token && session->token[0] != '\0')
    g_snprintf (options, sizeof options, "-c peridotstep.session=%s", session->token);
  session->backend = backend_connection_new (session, session->options.events, &backend);
}

static int
session_destroy (LoadSession *session)
{
  TALLOC_FREE (session->backend);
  g_byte_array_free (session->sink, true);
  return 0;
}

LoadSession *
load_session_new (TALLOC_CTX *parent, const LoadSessionOptions *options)
{
  LoadSession *session = talloc_zero (parent, LoadSession);

  session->options = *options;
  session->host = options->first_host;
  session->sink = g_byte_array_new ();
  talloc_set_destructor (session, session_destroy);
  connect_session (session, false);
  return session;
}

void
load_session_run (LoadSession *session, const LoadRequest *request)
{
  session->request = *request;
  session->busy = true;
  session->step = request_class (session)->kind == LOAD_TRANSACTION ? STEP_BEGIN : STEP_ONLY;
  send_step (session);
}

bool
load_session_busy (const LoadSession *session)
{
  return session->busy;
}
