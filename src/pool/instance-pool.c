#include "pool/instance-pool.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

/* Connect timeout: an instance that has not accepted the session by then is not going to. */
#define CONNECT_TIMEOUT_MS 1500
/* Delay after a failed connect, so that an unreachable address costs little. It grows by as much
 * with each consecutive failure. */
#define CONNECT_RETRY_MS 150
/* The pool does not grow for this time after the instance refused a connection. */
#define GROW_BACKOFF_MS 400
/* Retry delay of a host that holds no connection to an instance at its connection limit. */
#define FULL_RETRY_MS 60
/* An idle connection is closed after this time: other hosts may need it, and connections left by a
 * crashed host count against the instance's limit for seconds. */
#define IDLE_TIMEOUT_MS 800
/* The same where there are more hosts than connections. */
#define SCARCE_IDLE_TIMEOUT_MS 100
/* The same for a connection of a customer, which is of use to that customer only. */
#define CUSTOMER_IDLE_TIMEOUT_MS 3000
/* Time in which the reported demand for connections falls by one. */
#define DEMAND_DECAY_MS 200
/* Waiting requests per priority; further ones are refused immediately. */
#define QUEUE_LIMIT 400
/* Share of the connections that the lower priorities keep under a flood of higher ones, in
 * percent. */
#define NORMAL_FLOOR_PERCENT 25
#define BACKGROUND_FLOOR_PERCENT 10
/* Longest delay between attempts to connect to an instance that is down. */
#define CONNECT_RETRY_MAX_MS 600

struct PoolConnection
{
  InstancePool *pool;
  InstanceConnection *backend;
  ConnectionRequest holder; /* copy, for its callbacks */
  bool granted;
  bool slot_released; /* granted, and between two statements of a transaction */
  bool opening;
  int64_t opened_ms;
  Priority priority;
  char customer[CATALOG_NAME_BYTES]; /* whose statements it runs; empty for none */
};

struct InstancePool
{
  InstancePoolOptions options;
  InstanceInfo info;
  AdmissionQueue *queue;
  GQueue connections; /* all PoolConnection */
  GQueue idle;        /* PoolConnection, most recently used first */
  GQueue waiting;     /* ConnectionRequest that has a slot but no connection yet */
  uint32_t opening;
  uint32_t in_use;
  uint32_t limit;           /* connection limit in force; lower after a refusal */
  uint32_t assigned_limit;  /* this host's share of the instance's connections */
  uint32_t statement_limit; /* statements running at once */
  uint32_t failures;
  int64_t open_after_ms;
  int64_t received_ms;
  uint32_t peak_demand;
  int64_t peak_demand_ms;
  bool scarce;
  bool closed;
  bool dispatching;
};

static int
pool_destroy (InstancePool *pool)
{
  PoolConnection *connection;

  pool->closed = true;
  while ((connection = g_queue_pop_head (&pool->connections)) != NULL)
    talloc_free (connection);
  g_queue_clear (&pool->idle);
  g_queue_clear (&pool->waiting);
  admission_queue_free (pool->queue);
  return 0;
}

static AdmissionOptions
queue_options (const InstancePool *pool)
{
  const uint32_t slots = MIN (pool->limit, pool->statement_limit);
  AdmissionOptions options = {
    .slots = slots,
    .reserved_slots = slots > 2 ? 1 : 0,
    .queue_limit = QUEUE_LIMIT,
  };

  options.floor_percent[PRIORITY_NORMAL] = NORMAL_FLOOR_PERCENT;
  options.floor_percent[PRIORITY_BACKGROUND] = BACKGROUND_FLOOR_PERCENT;
  return options;
}

static void
configure_queue (InstancePool *pool)
{
  const AdmissionOptions options = queue_options (pool);

  admission_queue_configure (pool->queue, &options);
}

static void
set_limit (InstancePool *pool, uint32_t limit)
{
  limit = MAX (limit, 1);
  if (pool->limit == limit)
    return;
  pool->limit = limit;
  configure_queue (pool);
}

InstancePool *
instance_pool_new (TALLOC_CTX *parent, const InstancePoolOptions *options)
{
  InstancePool *pool = talloc_zero (parent, InstancePool);
  AdmissionOptions admission;

  pool->options = *options;
  pool->info = *options->info;
  pool->options.info = &pool->info;
  pool->limit = pool->assigned_limit = pool->statement_limit = MAX (options->limit, 1);
  g_queue_init (&pool->connections);
  g_queue_init (&pool->idle);
  g_queue_init (&pool->waiting);
  admission = queue_options (pool);
  pool->queue = admission_queue_new (&admission);
  pool->received_ms = clock_now_ms ();
  talloc_set_destructor (pool, pool_destroy);
  return pool;
}

const InstanceInfo *
instance_pool_info (const InstancePool *pool)
{
  return &pool->info;
}

static void dispatch (InstancePool *pool);

static void
remove_connection (PoolConnection *connection)
{
  InstancePool *pool = connection->pool;

  pool->received_ms
      = MAX (pool->received_ms, instance_connection_received_ms (connection->backend));
  g_queue_remove (&pool->connections, connection);
  g_queue_remove (&pool->idle, connection);
  if (connection->opening)
    pool->opening--;
  if (connection->granted)
    {
      pool->in_use--;
      if (!connection->slot_released)
        admission_queue_abort (pool->queue, connection->priority);
    }
  talloc_free (connection);
}

static ConnectionRequest *
pop_waiting (InstancePool *pool)
{
  ConnectionRequest *request = g_queue_pop_head (&pool->waiting);

  if (request != NULL)
    request->waiting = false;
  return request;
}

static void
refuse (ConnectionRequest *request, AnswerCode code)
{
  request->pool = NULL;
  request->refused (request->data, code);
}

static void
refuse_waiting (InstancePool *pool, AnswerCode code)
{
  ConnectionRequest *request;
  AdmissionItem *item;

  while ((request = pop_waiting (pool)) != NULL)
    {
      admission_queue_abort (pool->queue, request->priority);
      refuse (request, code);
    }
  while ((item = admission_queue_drain (pool->queue)) != NULL)
    refuse (item->data, code);
}

static void
grant (PoolConnection *connection, ConnectionRequest *request)
{
  InstancePool *pool = connection->pool;

  connection->granted = true;
  connection->priority = request->priority;
  connection->holder = *request;
  pool->in_use++;
  request->pool = NULL;
  request->granted (request->data, connection);
}

static void
on_opened (void *data)
{
  PoolConnection *connection = data;
  InstancePool *pool = connection->pool;

  connection->opening = false;
  pool->opening--;
  pool->failures = 0;
  pool->received_ms = clock_now_ms ();
  g_queue_push_head (&pool->idle, connection);
  dispatch (pool);
}

static void
on_refused (void *data, AnswerCode code)
{
  PoolConnection *connection = data;
  InstancePool *pool = connection->pool;
  const int64_t now_ms = clock_now_ms ();

  log_event (LOG_LEVEL_NOTICE, "connection_refused",
             "service=%s instance=%s code=%s connections=%u", pool->info.service, pool->info.id,
             answer_code_name (code), pool->connections.length - 1);
  remove_connection (connection);
  pool->received_ms = now_ms;
  if (code == ANSWER_WRONG_INSTANCE)
    {
      pool->options.displaced (pool->options.data, pool);
      refuse_waiting (pool, ANSWER_UNREACHABLE);
      return;
    }
  pool->open_after_ms = now_ms + CONNECT_RETRY_MS;
  if (code == ANSWER_CONNECTION_LIMIT)
    {
      // The queue orders requests by priority, so it must know how many can run. Without any
      // connection, waiting requests may still get one that another host closes.
      pool->open_after_ms
          = now_ms + (pool->connections.length == 0 ? FULL_RETRY_MS : GROW_BACKOFF_MS);
      set_limit (pool, pool->connections.length);
      return;
    }
  if (pool->connections.length == 0)
    refuse_waiting (pool, code);
}

static void
on_lost (void *data)
{
  PoolConnection *connection = data;
  InstancePool *pool = connection->pool;
  const ConnectionRequest holder = connection->holder;
  const bool granted = connection->granted;
  const bool opening = connection->opening;

  remove_connection (connection);
  if (granted)
    holder.lost (holder.data);
  if (!opening)
    {
      dispatch (pool);
      return;
    }
  pool->failures++;
  pool->open_after_ms
      = clock_now_ms () + MIN (pool->failures * CONNECT_RETRY_MS, CONNECT_RETRY_MAX_MS);
  if (pool->connections.length == 0)
    refuse_waiting (pool, ANSWER_UNREACHABLE);
  pool->options.connect_failed (pool->options.data, pool);
}

static bool
open_connection (InstancePool *pool, const char *customer)
{
  PoolConnection *connection = talloc_zero (pool, PoolConnection);
  const InstanceConnectionOptions options = {
    .events = pool->options.events,
    .codec = pool->options.codec,
    .address = pool->info.address,
    .port = pool->info.port,
    .service = pool->info.service,
    .customer = *customer == '\0' ? NULL : customer,
    .instance = pool->info.id,
    .opened = on_opened,
    .refused = on_refused,
    .lost = on_lost,
    .data = connection,
  };

  connection->pool = pool;
  connection->opening = true;
  connection->opened_ms = clock_now_ms ();
  g_strlcpy (connection->customer, customer, sizeof connection->customer);
  connection->backend = instance_connection_new (connection, &options);
  if (connection->backend == NULL)
    {
      talloc_free (connection);
      return false;
    }
  g_queue_push_tail (&pool->connections, connection);
  pool->opening++;
  return true;
}

/* An idle connection that can serve @request, best one that has the session's values already. */
static PoolConnection *
pop_idle (InstancePool *pool, const ConnectionRequest *request)
{
  PoolConnection *connection;
  GList *found = NULL;

  for (GList *node = pool->idle.head; node != NULL; node = node->next)
    {
      connection = node->data;
      if (strcmp (connection->customer, request->customer) != 0)
        continue;
      if (found == NULL)
        found = node;
      if (request->values == NULL
          || !instance_connection_matches (connection->backend, request->values))
        continue;
      found = node;
      break;
    }
  if (found == NULL)
    return NULL;
  connection = found->data;
  g_queue_delete_link (&pool->idle, found);
  return connection;
}

static uint32_t
count_opening (const InstancePool *pool, const char *customer)
{
  uint32_t count = 0;

  for (const GList *node = pool->connections.head; node != NULL; node = node->next)
    {
      const PoolConnection *connection = node->data;

      count += connection->opening && strcmp (connection->customer, customer) == 0;
    }
  return count;
}

/* Whether connections being opened are enough for the request at @node and those before it. */
static bool
is_opening_for (const InstancePool *pool, const GList *node)
{
  const ConnectionRequest *request = node->data;
  uint32_t before = 0;

  for (const GList *other = node->prev; other != NULL; other = other->prev)
    before += strcmp (((const ConnectionRequest *) other->data)->customer, request->customer) == 0;
  return before < count_opening (pool, request->customer);
}

/* Makes room for a connection: the least recently used idle one serves another customer. */
static bool
make_room (InstancePool *pool)
{
  if (pool->connections.length < pool->limit)
    return true;
  if (pool->idle.length == 0)
    return false;
  remove_connection (g_queue_peek_tail (&pool->idle));
  return pool->connections.length < pool->limit;
}

/* Opens the connections that waiting requests need beyond those being opened. */
static void
open_for_waiting (InstancePool *pool)
{
  const int64_t now_ms = clock_now_ms ();

  for (const GList *node = pool->waiting.head; node != NULL && now_ms >= pool->open_after_ms;
       node = node->next)
    {
      const ConnectionRequest *request = node->data;

      if (is_opening_for (pool, node))
        continue;
      if (!make_room (pool))
        break;
      if (!open_connection (pool, request->customer))
        pool->open_after_ms = now_ms + CONNECT_RETRY_MS;
    }
  if (pool->failures > 0 && pool->connections.length == 0 && pool->waiting.length > 0
      && now_ms < pool->open_after_ms)
    refuse_waiting (pool, ANSWER_UNREACHABLE);
}

/* Gives idle connections to the requests that wait for one, in their order. */
static void
grant_waiting (InstancePool *pool)
{
  GList *node = pool->waiting.head;

  while (node != NULL && pool->idle.length > 0)
    {
      ConnectionRequest *request = node->data;
      PoolConnection *connection = pop_idle (pool, request);

      if (connection == NULL)
        {
          node = node->next;
          continue;
        }
      g_queue_delete_link (&pool->waiting, node);
      request->waiting = false;
      grant (connection, request);
      // The callback may have changed the queue.
      node = pool->waiting.head;
    }
}

/* Connections that are or can be made available, minus those for requests that already have a
 * slot. */
static uint32_t
connections_available (const InstancePool *pool)
{
  const uint32_t room
      = pool->limit > pool->connections.length ? pool->limit - pool->connections.length : 0;
  const uint32_t obtainable = pool->idle.length + pool->opening + room;

  return obtainable > pool->waiting.length ? obtainable - pool->waiting.length : 0;
}

/* The next request to serve. Open transactions hold connections without a slot, so slots may be
 * free when no connection is; the last connection is reserved for urgent work. */
static AdmissionItem *
next_item (InstancePool *pool)
{
  const uint32_t available = connections_available (pool);
  const bool urgent_only = available <= 1 && pool->limit > 2;

  return available == 0 ? NULL : admission_queue_next (pool->queue, urgent_only, clock_now_ms ());
}

static void
dispatch (InstancePool *pool)
{
  AdmissionItem *item;

  if (pool->dispatching || pool->closed)
    return;
  pool->dispatching = true;
  while ((item = next_item (pool)) != NULL)
    {
      ConnectionRequest *request = item->data;

      request->waiting = true;
      g_queue_push_tail (&pool->waiting, request);
    }
  grant_waiting (pool);
  open_for_waiting (pool);
  pool->dispatching = false;
}

void
instance_pool_update (InstancePool *pool, const InstanceInfo *info)
{
  pool->info = *info;
}

void
instance_pool_set_limits (InstancePool *pool, const InstancePoolLimits *limits)
{
  pool->assigned_limit = MAX (limits->connections, 1);
  pool->scarce = limits->scarce;
  if (pool->statement_limit != MAX (limits->statements, 1))
    {
      pool->statement_limit = MAX (limits->statements, 1);
      configure_queue (pool);
    }
  // After a refusal the pool grows step by step, see instance_pool_tick().
  if (pool->limit > pool->assigned_limit || clock_now_ms () >= pool->open_after_ms)
    set_limit (pool, pool->assigned_limit);
}

void
instance_pool_request (InstancePool *pool, ConnectionRequest *request)
{
  if (pool->closed)
    {
      request->refused (request->data, ANSWER_UNREACHABLE);
      return;
    }
  request->pool = pool;
  request->waiting = false;
  if (request->customer == NULL)
    request->customer = "";
  request->item = (AdmissionItem){
    .priority = request->priority,
    .source = request->source,
    .deadline_ms = request->deadline_ms,
    .data = request,
  };
  if (!admission_queue_push (pool->queue, &request->item, clock_now_ms ()))
    {
      refuse (request, ANSWER_OVERLOADED);
      return;
    }
  dispatch (pool);
}

void
instance_pool_cancel (ConnectionRequest *request)
{
  InstancePool *pool = request->pool;

  if (pool == NULL)
    return;
  if (request->waiting)
    {
      g_queue_remove (&pool->waiting, request);
      admission_queue_abort (pool->queue, request->priority);
    }
  else
    admission_queue_remove (pool->queue, &request->item);
  request->pool = NULL;
  request->waiting = false;
}

void
instance_pool_release (PoolConnection *connection, int64_t service_us)
{
  InstancePool *pool = connection->pool;

  if (!instance_connection_is_idle (connection->backend)
      || instance_connection_transaction_state (connection->backend) != 'I' || pool->closed)
    {
      instance_pool_discard (connection);
      return;
    }
  pool->received_ms
      = MAX (pool->received_ms, instance_connection_received_ms (connection->backend));
  connection->granted = false;
  pool->in_use--;
  admission_queue_finish (pool->queue, connection->priority, service_us);
  g_queue_push_head (&pool->idle, connection);
  dispatch (pool);
}

void
instance_pool_release_slot (PoolConnection *connection, int64_t service_us)
{
  if (connection->slot_released)
    return;
  connection->slot_released = true;
  admission_queue_finish (connection->pool->queue, connection->priority, service_us);
  dispatch (connection->pool);
}

void
instance_pool_retake_slot (PoolConnection *connection)
{
  if (!connection->slot_released)
    return;
  connection->slot_released = false;
  admission_queue_start_direct (connection->pool->queue, connection->priority);
}

void
instance_pool_discard (PoolConnection *connection)
{
  InstancePool *pool = connection->pool;

  remove_connection (connection);
  dispatch (pool);
}

static PoolConnection *
find_restartable (const InstancePool *pool)
{
  for (GList *node = pool->connections.head; node != NULL; node = node->next)
    {
      PoolConnection *connection = node->data;

      if (connection->granted && connection->holder.restartable)
        return connection;
    }
  return NULL;
}

void
instance_pool_fail_restartable (InstancePool *pool)
{
  PoolConnection *connection;

  while ((connection = find_restartable (pool)) != NULL)
    {
      const ConnectionRequest holder = connection->holder;

      remove_connection (connection);
      holder.lost (holder.data);
    }
}

void
instance_pool_close (InstancePool *pool)
{
  GList *node = pool->connections.head;

  // The pool's owner may be freed before the connections in use: no callbacks from now on.
  pool->closed = true;
  refuse_waiting (pool, ANSWER_UNREACHABLE);
  while (node != NULL)
    {
      PoolConnection *connection = node->data;

      node = node->next;
      if (!connection->granted)
        remove_connection (connection);
    }
}

void
instance_pool_close_idle (InstancePool *pool)
{
  while (pool->idle.length > 0)
    remove_connection (g_queue_peek_tail (&pool->idle));
}

uint32_t
instance_pool_in_use (const InstancePool *pool)
{
  return pool->in_use;
}

static uint32_t
current_demand (const InstancePool *pool)
{
  uint32_t waiting = pool->waiting.length;

  for (int priority = 0; priority < PRIORITY_COUNT; priority++)
    waiting += admission_queue_waiting (pool->queue, (Priority) priority);
  return pool->in_use + waiting;
}

uint32_t
instance_pool_demand (const InstancePool *pool)
{
  return MAX (pool->peak_demand, current_demand (pool));
}

InstanceConnection *
instance_pool_connection (PoolConnection *connection)
{
  return connection->backend;
}

InstancePool *
instance_pool_of_connection (PoolConnection *connection)
{
  return connection->pool;
}

int64_t
instance_pool_expected_wait_ms (const InstancePool *pool, Priority priority)
{
  return admission_queue_expected_wait_us (pool->queue, priority) / 1000;
}

bool
instance_pool_is_down (const InstancePool *pool)
{
  return pool->closed || (pool->failures > 0 && pool->connections.length == pool->opening);
}

/* When the instance last sent anything to this host. */
static int64_t
last_received_ms (const InstancePool *pool)
{
  int64_t received_ms = pool->received_ms;

  for (const GList *node = pool->connections.head; node != NULL; node = node->next)
    {
      const PoolConnection *connection = node->data;

      if (!connection->opening)
        received_ms = MAX (received_ms, instance_connection_received_ms (connection->backend));
    }
  return received_ms;
}

int64_t
instance_pool_silent_ms (const InstancePool *pool, int64_t now_ms)
{
  const int64_t received_ms = last_received_ms (pool);
  int64_t waiting_since_ms = 0;

  for (const GList *node = pool->connections.head; node != NULL; node = node->next)
    {
      const PoolConnection *connection = node->data;
      int64_t since_ms = connection->opening ? connection->opened_ms
                                             : instance_connection_used_ms (connection->backend);

      if (!connection->opening && instance_connection_is_idle (connection->backend))
        continue;
      since_ms = MAX (since_ms, received_ms);
      if (waiting_since_ms == 0 || since_ms < waiting_since_ms)
        waiting_since_ms = since_ms;
    }
  return waiting_since_ms == 0 ? 0 : now_ms - waiting_since_ms;
}

static int64_t
idle_timeout_ms (const InstancePool *pool, const PoolConnection *connection)
{
  if (pool->scarce)
    return SCARCE_IDLE_TIMEOUT_MS;
  return *connection->customer == '\0' ? IDLE_TIMEOUT_MS : CUSTOMER_IDLE_TIMEOUT_MS;
}

static void
close_idle (InstancePool *pool, int64_t now_ms)
{
  const guint kept = pool->scarce ? 0 : 1;
  PoolConnection *oldest;

  while (pool->connections.length > kept && (oldest = g_queue_peek_tail (&pool->idle)) != NULL
         && now_ms - instance_connection_used_ms (oldest->backend) > idle_timeout_ms (pool, oldest))
    remove_connection (oldest);
}

/* Other hosts need the connections above this host's limit. */
static void
close_surplus (InstancePool *pool)
{
  while (pool->connections.length > pool->limit && pool->idle.length > 0)
    remove_connection (g_queue_peek_tail (&pool->idle));
}

static void
close_timed_out_connects (InstancePool *pool, int64_t now_ms)
{
  GList *node = pool->connections.head;

  while (node != NULL)
    {
      PoolConnection *connection = node->data;

      node = node->next;
      if (!connection->opening || now_ms - connection->opened_ms < CONNECT_TIMEOUT_MS)
        continue;
      on_lost (connection);
      // The callbacks may have changed the list.
      node = pool->connections.head;
    }
}

void
instance_pool_tick (InstancePool *pool, int64_t now_ms)
{
  AdmissionItem *item;

  if (current_demand (pool) >= pool->peak_demand)
    {
      pool->peak_demand = current_demand (pool);
      pool->peak_demand_ms = now_ms;
    }
  else if (now_ms - pool->peak_demand_ms >= DEMAND_DECAY_MS)
    {
      pool->peak_demand--;
      pool->peak_demand_ms = now_ms;
    }
  // No request reaches an instance that is down, so the pool itself probes it by connecting.
  if (pool->failures > 0 && pool->connections.length == 0 && now_ms >= pool->open_after_ms)
    open_connection (pool, "");
  close_surplus (pool);
  close_timed_out_connects (pool, now_ms);
  if (pool->limit < pool->assigned_limit && now_ms >= pool->open_after_ms
      && pool->in_use + pool->waiting.length >= pool->limit)
    set_limit (pool, pool->limit + 1);
  close_idle (pool, now_ms);
  while ((item = admission_queue_expire (pool->queue, now_ms)) != NULL)
    refuse (item->data, ANSWER_OVERLOADED);
  dispatch (pool);
}
