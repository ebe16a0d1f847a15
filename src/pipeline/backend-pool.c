#include "pipeline/backend-pool.h"

#include "base/clock.h"
#include "base/log.h"
#include "policy/conn-health.h"

/* Connections left free for the control connections of the group's monitors, which several hosts
 * may run. */
#define CONTROL_CONNECTIONS 6
#define PROBE_AFTER_MS 2000
#define RESPONSE_TIMEOUT_MS 400
#define CONNECT_RETRY_MS 100
#define CONNECT_TIMEOUT_MS 2000
#define CONNECTING_MAX 3

static const ConnHealthOptions health_options = { PROBE_AFTER_MS, RESPONSE_TIMEOUT_MS };

typedef enum
{
  POOLED_CONNECTING,
  POOLED_IDLE,
  POOLED_USED,
  POOLED_RESETTING,
  POOLED_PROBING
} PooledState;

struct PooledConnection
{
  BackendPool *pool;
  BackendConnection *backend;
  PooledState state;
  PooledCallbacks callbacks;
  bool urgent;
  bool read_only;
  ConnHealth health;
  int64_t opened_ms;
  GByteArray *discarded;
};

struct BackendPool
{
  BackendPoolOptions options;
  GQueue connections;
  uint32_t connecting;
  bool reachable;
  int64_t next_connect_ms;
  int64_t received_ms; /* when any of the connections last received data */
};

static uint32_t
pool_limit (const BackendPool *pool)
{
  uint32_t connections = pool->options.service->connections;

  return connections > 2 * CONTROL_CONNECTIONS ? connections - CONTROL_CONNECTIONS
                                               : connections / 2;
}

static uint32_t
count_used_non_urgent (const BackendPool *pool)
{
  uint32_t count = 0;

  for (GList *l = pool->connections.head; l != NULL; l = l->next)
    {
      const PooledConnection *connection = l->data;

      if (connection->state == POOLED_USED && !connection->urgent)
        count++;
    }
  return count;
}

static int
connection_destroy (PooledConnection *connection)
{
  BackendPool *pool = connection->pool;

  g_queue_remove (&pool->connections, connection);
  if (connection->state == POOLED_CONNECTING)
    pool->connecting--;
  counter_add (pool->options.worker->counters, COUNTER_BACKEND_OPEN, -1);
  TALLOC_FREE (connection->backend);
  g_byte_array_free (connection->discarded, true);
  return 0;
}

static void
mark_idle (PooledConnection *connection)
{
  BackendPool *pool = connection->pool;

  connection->state = POOLED_IDLE;
  pool->options.available (pool->options.data);
}

static void
connection_failed (PooledConnection *connection, bool refused)
{
  BackendPool *pool = connection->pool;
  PooledCallbacks callbacks = connection->callbacks;
  bool was_used = connection->state == POOLED_USED;

  if (connection->state == POOLED_CONNECTING)
    {
      pool->next_connect_ms = clock_now_ms () + CONNECT_RETRY_MS;
      pool->reachable = refused;
    }
  else
    counter_add (pool->options.worker->counters, COUNTER_BACKEND_LOST, 1);
  talloc_free (connection);
  if (was_used)
    callbacks.lost (callbacks.data);
  else
    pool->options.available (pool->options.data);
}

static void
connection_connected (PooledConnection *connection)
{
  BackendPool *pool = connection->pool;

  pool->connecting--;
  pool->reachable = true;
  counter_add (pool->options.worker->counters, COUNTER_BACKEND_OPENED, 1);
  mark_idle (connection);
}

static void
on_event (void *data, const BackendEvent *event)
{
  PooledConnection *connection = data;
  int64_t now_ms = clock_now_ms ();

  if (event->kind == BACKEND_LOST || event->kind == BACKEND_REFUSED)
    {
      connection_failed (connection, event->kind == BACKEND_REFUSED);
      return;
    }
  conn_health_received (&connection->health, now_ms);
  connection->pool->received_ms = now_ms;
  switch (connection->state)
    {
    case POOLED_CONNECTING:
      connection_connected (connection);
      return;
    case POOLED_USED:
      connection->callbacks.event (connection->callbacks.data, event);
      return;
    case POOLED_RESETTING:
    case POOLED_PROBING:
      if (event->kind != BACKEND_IDLE)
        return;
      g_byte_array_set_size (connection->discarded, 0);
      if (event->failed)
        connection_failed (connection, false);
      else
        mark_idle (connection);
      return;
    case POOLED_IDLE:
      return;
    }
}

static void
open_connection (BackendPool *pool, bool read_only, int64_t now_ms)
{
  const BackendPoolOptions *options = &pool->options;
  PooledConnection *connection = talloc_zero (pool, PooledConnection);
  const BackendOptions backend = {
    .address = options->instance->address,
    .port = options->instance->port,
    .database = options->service->database,
    .user = options->service->user,
    .application_name = daemon_application_name (options->worker->daemon),
    .session_options = read_only ? "-c default_transaction_read_only=on" : "",
    .events = on_event,
    .data = connection,
  };

  connection->pool = pool;
  connection->state = POOLED_CONNECTING;
  connection->read_only = read_only;
  connection->opened_ms = now_ms;
  connection->discarded = g_byte_array_new ();
  conn_health_received (&connection->health, now_ms);
  connection->backend = backend_connection_new (connection, options->worker->events, &backend);
  g_queue_push_tail (&pool->connections, connection);
  pool->connecting++;
  counter_add (options->worker->counters, COUNTER_BACKEND_OPEN, 1);
  talloc_set_destructor (connection, connection_destroy);
}

static void
run_pool_statement (PooledConnection *connection, PooledState state, const char *sql)
{
  const BackendStatement statement = { .sql = sql };

  connection->state = state;
  conn_health_request_sent (&connection->health, clock_now_ms ());
  if (!backend_connection_run (connection->backend, &statement, connection->discarded))
    talloc_free (connection);
}

static PooledConnection *
find_idle (BackendPool *pool, bool read_only, int64_t now_ms)
{
  GList *next;

  for (GList *l = pool->connections.head; l != NULL; l = next)
    {
      PooledConnection *connection = l->data;

      next = l->next;
      if (connection->state != POOLED_IDLE || connection->read_only != read_only)
        continue;
      if (conn_health_check (&connection->health, &health_options, 0, now_ms) == CONN_USE)
        return connection;
      // The connection may have stopped responding while idle, so it is used only after the server
      // has answered an empty query.
      run_pool_statement (connection, POOLED_PROBING, "");
    }
  return NULL;
}

static bool
only_reserve_is_left (const BackendPool *pool, bool urgent)
{
  if (urgent)
    return false;
  return count_used_non_urgent (pool) + pool->options.service->reserved_connections
         >= pool_limit (pool);
}

/* If the pool is full, makes room by closing an idle connection of the other kind (read-only or
 * not). */
static bool
make_room (BackendPool *pool)
{
  if (g_queue_get_length (&pool->connections) < pool_limit (pool))
    return true;
  for (GList *l = pool->connections.head; l != NULL; l = l->next)
    if (((PooledConnection *) l->data)->state == POOLED_IDLE)
      {
        talloc_free (l->data);
        return true;
      }
  return false;
}

bool
backend_pool_has_capacity (BackendPool *pool, bool urgent)
{
  if (only_reserve_is_left (pool, urgent))
    return false;
  for (GList *l = pool->connections.head; l != NULL; l = l->next)
    if (((PooledConnection *) l->data)->state != POOLED_USED)
      return true;
  return g_queue_get_length (&pool->connections) < pool_limit (pool)
         && clock_now_ms () >= pool->next_connect_ms;
}

PooledConnection *
backend_pool_acquire (BackendPool *pool, bool urgent, bool read_only,
                      const PooledCallbacks *callbacks)
{
  int64_t now_ms = clock_now_ms ();
  PooledConnection *connection;

  if (only_reserve_is_left (pool, urgent))
    return NULL;
  connection = find_idle (pool, read_only, now_ms);
  if (connection == NULL)
    {
      if (pool->connecting < CONNECTING_MAX && now_ms >= pool->next_connect_ms && make_room (pool))
        open_connection (pool, read_only, now_ms);
      return NULL;
    }
  connection->state = POOLED_USED;
  connection->callbacks = *callbacks;
  connection->urgent = urgent;
  return connection;
}

void
backend_pool_configure (BackendPool *pool, const ServiceConfig *service,
                        const InstanceConfig *instance)
{
  pool->options.service = service;
  pool->options.instance = instance;
}

void
backend_pool_set_callbacks (PooledConnection *connection, const PooledCallbacks *callbacks)
{
  connection->callbacks = *callbacks;
}

void
backend_pool_release (PooledConnection *connection)
{
  connection->callbacks = (PooledCallbacks){ 0 };
  run_pool_statement (connection, POOLED_RESETTING, "DISCARD ALL");
}

void
backend_pool_drop (PooledConnection *connection)
{
  counter_add (connection->pool->options.worker->counters, COUNTER_BACKEND_LOST, 1);
  talloc_free (connection);
}

BackendConnection *
backend_pool_connection (PooledConnection *connection)
{
  return connection->backend;
}

void
backend_pool_shrink (BackendPool *pool, uint32_t keep)
{
  GList *next;

  for (GList *l = pool->connections.head; l != NULL; l = next)
    {
      PooledConnection *connection = l->data;

      next = l->next;
      if (g_queue_get_length (&pool->connections) <= keep)
        return;
      if (connection->state == POOLED_IDLE)
        talloc_free (connection);
    }
}

bool
backend_pool_reachable (const BackendPool *pool)
{
  return pool->reachable;
}

static bool
is_unresponsive (const PooledConnection *connection, int64_t now_ms)
{
  switch (connection->state)
    {
    case POOLED_CONNECTING:
      return now_ms - connection->opened_ms >= CONNECT_TIMEOUT_MS;
    case POOLED_RESETTING:
    case POOLED_PROBING:
      return conn_health_check (&connection->health, &health_options, connection->pool->received_ms,
                                now_ms)
             == CONN_RETIRE;
    case POOLED_IDLE:
    case POOLED_USED:
      break;
    }
  return false;
}

void
backend_pool_tick (BackendPool *pool, int64_t now_ms)
{
  GList *next;

  for (GList *l = pool->connections.head; l != NULL; l = next)
    {
      next = l->next;
      if (!is_unresponsive (l->data, now_ms))
        continue;
      log_event (LOG_LEVEL_NOTICE, "backend_silent", "service=%s instance=%s",
                 pool->options.service->name, pool->options.instance->name);
      connection_failed (l->data, false);
      return;
    }
}

static int
pool_destroy (BackendPool *pool)
{
  while (!g_queue_is_empty (&pool->connections))
    talloc_free (g_queue_peek_head (&pool->connections));
  return 0;
}

BackendPool *
backend_pool_new (TALLOC_CTX *parent, const BackendPoolOptions *options)
{
  BackendPool *pool = talloc_zero (parent, BackendPool);

  pool->options = *options;
  pool->reachable = true;
  g_queue_init (&pool->connections);
  talloc_set_destructor (pool, pool_destroy);
  return pool;
}
