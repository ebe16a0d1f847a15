#include "pipeline/control-connection.h"

#include <string.h>

#include "adapter/backend-connection.h"
#include "base/clock.h"
#include "policy/conn-health.h"

#define RECONNECT_MS 150

typedef struct
{
  ControlQueryKind kind;
  char *sql;
  void *tag;
} Query;

struct ControlConnection
{
  ControlConnectionOptions options;
  BackendConnection *backend;
  bool ready;
  bool busy;
  Query running;
  int64_t sent_us;
  int64_t next_connect_ms;
  ConnHealth health;
  GQueue queries;
  GByteArray *discarded;
};

static void send_next (ControlConnection *connection);

static void
query_free (void *data)
{
  Query *query = data;

  g_free (query->sql);
  g_free (query);
}

static void
report_result (ControlConnection *connection, const Query *query, bool ok)
{
  ControlResult result = {
    .kind = query->kind,
    .ok = ok,
    .sent_us = connection->sent_us,
    .tag = query->tag,
  };

  for (int i = 0; i < (int) G_N_ELEMENTS (result.fields); i++)
    result.fields[i] = ok ? backend_connection_field (connection->backend, i) : "";
  connection->options.result (connection->options.data, &result);
}

/* Closes the connection and reports failure of the running query, whose response is lost, and of
 * the queued ones, which would be stale once the connection is open again. */
static void
drop_connection (ControlConnection *connection, int64_t now_ms)
{
  Query running = connection->running;
  bool was_busy = connection->busy;
  GQueue queries = connection->queries;
  Query *query;

  TALLOC_FREE (connection->backend);
  connection->ready = false;
  connection->busy = false;
  connection->running.sql = NULL;
  connection->next_connect_ms = now_ms + RECONNECT_MS;
  g_queue_init (&connection->queries);
  if (was_busy)
    report_result (connection, &running, false);
  g_free (running.sql);
  while ((query = g_queue_pop_head (&queries)) != NULL)
    {
      report_result (connection, query, false);
      query_free (query);
    }
}

static void
on_backend_event (void *data, const BackendEvent *event)
{
  ControlConnection *connection = data;
  int64_t now_ms = clock_now_ms ();
  Query done;

  switch (event->kind)
    {
    case BACKEND_CONNECTED:
      connection->ready = true;
      conn_health_received (&connection->health, now_ms);
      send_next (connection);
      return;
    case BACKEND_DATA:
      return;
    case BACKEND_IDLE:
      conn_health_received (&connection->health, now_ms);
      g_byte_array_set_size (connection->discarded, 0);
      if (!connection->busy)
        return;
      done = connection->running;
      connection->running.sql = NULL;
      connection->busy = false;
      report_result (connection, &done, !event->failed);
      g_free (done.sql);
      send_next (connection);
      return;
    case BACKEND_REFUSED:
    case BACKEND_LOST:
      drop_connection (connection, now_ms);
      return;
    }
}

static void
connect_backend (ControlConnection *connection, int64_t now_ms)
{
  const ControlConnectionOptions *options = &connection->options;
  const BackendOptions backend = {
    .address = options->instance->address,
    .port = options->instance->port,
    .database = options->service->database,
    .user = options->service->user,
    .application_name = daemon_application_name (options->worker->daemon),
    .session_options = "",
    .events = on_backend_event,
    .data = connection,
  };

  connection->health = (ConnHealth){ .received_ms = now_ms, .awaiting_since_ms = now_ms };
  connection->backend = backend_connection_new (connection, options->worker->events, &backend);
}

static void
send_next (ControlConnection *connection)
{
  Query *query;
  BackendStatement statement = { 0 };

  if (!connection->ready || connection->busy)
    return;
  query = g_queue_pop_head (&connection->queries);
  if (query == NULL)
    return;
  connection->running = *query;
  g_free (query);
  connection->busy = true;
  connection->sent_us = clock_now_us ();
  conn_health_request_sent (&connection->health, clock_now_ms ());
  statement.sql = connection->running.sql;
  if (!backend_connection_run (connection->backend, &statement, connection->discarded))
    drop_connection (connection, clock_now_ms ());
}

void
control_connection_query (ControlConnection *connection, ControlQueryKind kind, const char *sql,
                          void *tag)
{
  Query *query;

  if (!connection->ready)
    {
      const Query unsent = { kind, NULL, tag };

      connection->sent_us = clock_now_us ();
      report_result (connection, &unsent, false);
      return;
    }
  query = g_new0 (Query, 1);
  query->kind = kind;
  query->sql = g_strdup (sql);
  query->tag = tag;
  if (kind == CONTROL_QUERY_STATUS)
    g_queue_push_tail (&connection->queries, query);
  else
    g_queue_push_head (&connection->queries, query);
  send_next (connection);
}

void
control_connection_configure (ControlConnection *connection, const ServiceConfig *service,
                              const InstanceConfig *instance)
{
  connection->options.service = service;
  connection->options.instance = instance;
}

bool
control_connection_is_idle (const ControlConnection *connection)
{
  return connection->ready && !connection->busy
         && g_queue_is_empty ((GQueue *) &connection->queries);
}

void
control_connection_tick (ControlConnection *connection, int64_t now_ms)
{
  const ConnHealthOptions health = { INT64_MAX, connection->options.response_timeout_ms };

  if (connection->backend == NULL)
    {
      if (now_ms >= connection->next_connect_ms)
        connect_backend (connection, now_ms);
      return;
    }
  if (conn_health_check (&connection->health, &health, 0, now_ms) == CONN_RETIRE)
    drop_connection (connection, now_ms);
}

static int
connection_destroy (ControlConnection *connection)
{
  g_queue_clear_full (&connection->queries, query_free);
  g_free (connection->running.sql);
  TALLOC_FREE (connection->backend);
  g_byte_array_free (connection->discarded, true);
  return 0;
}

ControlConnection *
control_connection_new (TALLOC_CTX *parent, const ControlConnectionOptions *options)
{
  ControlConnection *connection = talloc_zero (parent, ControlConnection);

  connection->options = *options;
  connection->discarded = g_byte_array_new ();
  g_queue_init (&connection->queries);
  talloc_set_destructor (connection, connection_destroy);
  return connection;
}
