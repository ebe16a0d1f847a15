#include "pool/instance-pool.h"

#include "base/clock.h"
#include "base/log.h"

/* An instance that has not taken a new connection by then is not going to. */
#define OPEN_LIMIT_MS 1500
/* After a failed attempt to connect the next one waits, so that a dead address costs little. */
#define RETRY_OPEN_MS 150
/* After the instance refused one more connection the pool does not grow for this time. */
#define GROW_PAUSE_MS 400
/* A host without any connection to a full instance tries again after this time. */
#define FULL_RETRY_MS 60
/* A connection unused for this time is closed: others may need it, and those that a lost host
 * leaves behind count against the limit of the instance for seconds. */
#define IDLE_LIMIT_MS 800
/* The same where there are more hosts than connections. */
#define SCARCE_IDLE_LIMIT_MS 100
/* The number of connections wanted falls by one in this time. */
#define WANTED_DECAY_MS 200
/* Waiting requests of one rank; more are refused at the door. */
#define QUEUE_LIMIT 400
/* Shares of the connections that lower ranks keep in a flood of others, in percent. */
#define NORMAL_FLOOR_PERCENT 25
#define BACKGROUND_FLOOR_PERCENT 10
/* Longest pause between attempts to connect to an instance that is down. */
#define RETRY_OPEN_LIMIT_MS 600

struct PoolConnection
{
  InstancePool *pool;
  InstanceConnection *line;
  ConnectionRequest holder; /* copy of the callbacks */
  bool granted;
  bool resting; /* granted, and between two statements of a transaction */
  bool opening;
  int64_t opened_ms;
  Priority priority;
};

struct InstancePool
{
  InstancePoolOptions options;
  InstanceInfo info;
  AdmissionQueue *queue;
  GQueue lines;   /* PoolConnection, all */
  GQueue idle;    /* PoolConnection, most recently used first */
  GQueue waiting; /* ConnectionRequest with a slot, until a connection is ready */
  uint32_t opening;
  uint32_t in_use;
  uint32_t limit;   /* connections in force */
  uint32_t allowed; /* connections by configuration */
  uint32_t window;  /* statements at work at once */
  uint32_t failures;
  int64_t open_after_ms;
  int64_t heard_ms;
  uint32_t wanted;
  int64_t wanted_ms;
  bool scarce;
  bool shut;
  bool pumping;
};

static int
pool_destroy (InstancePool *pool)
{
  PoolConnection *line;

  pool->shut = true;
  while ((line = g_queue_pop_head (&pool->lines)) != NULL)
    talloc_free (line);
  g_queue_clear (&pool->idle);
  g_queue_clear (&pool->waiting);
  admission_queue_free (pool->queue);
  return 0;
}

static AdmissionOptions
queue_options (const InstancePool *pool)
{
  const uint32_t slots = MIN (pool->limit, pool->window);
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
  pool->limit = pool->allowed = pool->window = MAX (options->limit, 1);
  g_queue_init (&pool->lines);
  g_queue_init (&pool->idle);
  g_queue_init (&pool->waiting);
  admission = queue_options (pool);
  pool->queue = admission_queue_new (&admission);
  pool->heard_ms = clock_now_ms ();
  talloc_set_destructor (pool, pool_destroy);
  return pool;
}

const InstanceInfo *
instance_pool_info (const InstancePool *pool)
{
  return &pool->info;
}

static void pump (InstancePool *pool);

static void
forget_line (PoolConnection *line)
{
  InstancePool *pool = line->pool;

  pool->heard_ms = MAX (pool->heard_ms, instance_connection_received_ms (line->line));
  g_queue_remove (&pool->lines, line);
  g_queue_remove (&pool->idle, line);
  if (line->opening)
    pool->opening--;
  if (line->granted)
    {
      pool->in_use--;
      if (!line->resting)
        admission_queue_abort (pool->queue, line->priority);
    }
  talloc_free (line);
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
grant (PoolConnection *line, ConnectionRequest *request)
{
  InstancePool *pool = line->pool;

  line->granted = true;
  line->priority = request->priority;
  line->holder = *request;
  pool->in_use++;
  request->pool = NULL;
  request->granted (request->data, line);
}

static void
on_opened (void *data)
{
  PoolConnection *line = data;
  InstancePool *pool = line->pool;

  line->opening = false;
  pool->opening--;
  pool->failures = 0;
  pool->heard_ms = clock_now_ms ();
  g_queue_push_head (&pool->idle, line);
  pump (pool);
}

static void
on_refused (void *data, AnswerCode code)
{
  PoolConnection *line = data;
  InstancePool *pool = line->pool;
  const int64_t now_ms = clock_now_ms ();

  log_event (LOG_LEVEL_NOTICE, "connection_refused", "service=%s instance=%s code=%s lines=%u",
             pool->info.service, pool->info.id, answer_code_name (code), pool->lines.length - 1);
  forget_line (line);
  pool->heard_ms = now_ms;
  if (code == ANSWER_WRONG_INSTANCE)
    {
      pool->options.displaced (pool->options.data, pool);
      refuse_waiting (pool, ANSWER_UNREACHABLE);
      return;
    }
  pool->open_after_ms = now_ms + RETRY_OPEN_MS;
  if (code == ANSWER_CONNECTION_LIMIT)
    {
      // The queue orders the work by rank, so it must know how much may run. Without any
      // connection the waiting may hope for one that another host closes.
      pool->open_after_ms = now_ms + (pool->lines.length == 0 ? FULL_RETRY_MS : GROW_PAUSE_MS);
      set_limit (pool, pool->lines.length);
      return;
    }
  if (pool->lines.length == 0)
    refuse_waiting (pool, code);
}

static void
on_lost (void *data)
{
  PoolConnection *line = data;
  InstancePool *pool = line->pool;
  const ConnectionRequest holder = line->holder;
  const bool granted = line->granted;
  const bool opening = line->opening;

  forget_line (line);
  if (granted)
    holder.lost (holder.data);
  if (!opening)
    {
      pump (pool);
      return;
    }
  pool->failures++;
  pool->open_after_ms = clock_now_ms () + MIN (pool->failures * RETRY_OPEN_MS, RETRY_OPEN_LIMIT_MS);
  if (pool->lines.length == 0)
    refuse_waiting (pool, ANSWER_UNREACHABLE);
  pool->options.connect_failed (pool->options.data, pool);
}

static bool
open_line (InstancePool *pool)
{
  PoolConnection *line = talloc_zero (pool, PoolConnection);
  const InstanceConnectionOptions options = {
    .events = pool->options.events,
    .codec = pool->options.codec,
    .address = pool->info.address,
    .port = pool->info.port,
    .service = pool->info.service,
    .instance = pool->info.id,
    .opened = on_opened,
    .refused = on_refused,
    .lost = on_lost,
    .data = line,
  };

  line->pool = pool;
  line->opening = true;
  line->opened_ms = clock_now_ms ();
  line->line = instance_connection_new (line, &options);
  if (line->line == NULL)
    {
      talloc_free (line);
      return false;
    }
  g_queue_push_tail (&pool->lines, line);
  pool->opening++;
  return true;
}

static PoolConnection *
take_idle (InstancePool *pool, const SessionValues *values)
{
  PoolConnection *line;

  for (GList *node = pool->idle.head; node != NULL && values != NULL; node = node->next)
    {
      line = node->data;
      if (!instance_connection_matches (line->line, values))
        continue;
      g_queue_delete_link (&pool->idle, node);
      return line;
    }
  return g_queue_pop_head (&pool->idle);
}

/* Opens what the waiting need beyond what is opening already. */
static void
open_for_waiting (InstancePool *pool)
{
  const int64_t now_ms = clock_now_ms ();

  while (pool->waiting.length > pool->opening && pool->lines.length < pool->limit
         && now_ms >= pool->open_after_ms)
    if (!open_line (pool))
      {
        pool->open_after_ms = now_ms + RETRY_OPEN_MS;
        break;
      }
  if (pool->failures > 0 && pool->lines.length == 0 && pool->waiting.length > 0
      && now_ms < pool->open_after_ms)
    refuse_waiting (pool, ANSWER_UNREACHABLE);
}

/* Connections that those with a slot can have, less those for whom they are there already. */
static uint32_t
connections_left (const InstancePool *pool)
{
  const uint32_t room = pool->limit > pool->lines.length ? pool->limit - pool->lines.length : 0;
  const uint32_t coming = pool->idle.length + pool->opening + room;

  return coming > pool->waiting.length ? coming - pool->waiting.length : 0;
}

/* The next request to be served. Open transactions hold connections without a slot, so there
 * may be slots and no connection; the last one is kept for urgent work. */
static AdmissionItem *
next_item (InstancePool *pool)
{
  const uint32_t left = connections_left (pool);
  const bool urgent_only = left <= 1 && pool->limit > 2;

  return left == 0 ? NULL : admission_queue_next (pool->queue, urgent_only, clock_now_ms ());
}

static void
pump (InstancePool *pool)
{
  AdmissionItem *item;

  if (pool->pumping || pool->shut)
    return;
  pool->pumping = true;
  while ((item = next_item (pool)) != NULL)
    {
      ConnectionRequest *request = item->data;

      request->waiting = true;
      g_queue_push_tail (&pool->waiting, request);
    }
  while (pool->waiting.length > 0 && pool->idle.length > 0)
    {
      ConnectionRequest *request = pop_waiting (pool);

      grant (take_idle (pool, request->values), request);
    }
  open_for_waiting (pool);
  pool->pumping = false;
}

void
instance_pool_update (InstancePool *pool, const InstanceInfo *info)
{
  pool->info = *info;
}

void
instance_pool_set_limits (InstancePool *pool, const InstancePoolLimits *limits)
{
  pool->allowed = MAX (limits->connections, 1);
  pool->scarce = limits->scarce;
  if (pool->window != MAX (limits->statements, 1))
    {
      pool->window = MAX (limits->statements, 1);
      configure_queue (pool);
    }
  // After a refusal the pool grows step by step, see instance_pool_tick().
  if (pool->limit > pool->allowed || clock_now_ms () >= pool->open_after_ms)
    set_limit (pool, pool->allowed);
}

void
instance_pool_request (InstancePool *pool, ConnectionRequest *request)
{
  if (pool->shut)
    {
      request->refused (request->data, ANSWER_UNREACHABLE);
      return;
    }
  request->pool = pool;
  request->waiting = false;
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
  pump (pool);
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
instance_pool_release (PoolConnection *line, int64_t service_us)
{
  InstancePool *pool = line->pool;

  if (!instance_connection_is_idle (line->line)
      || instance_connection_transaction_state (line->line) != 'I' || pool->shut)
    {
      instance_pool_discard (line);
      return;
    }
  pool->heard_ms = MAX (pool->heard_ms, instance_connection_received_ms (line->line));
  line->granted = false;
  pool->in_use--;
  admission_queue_finish (pool->queue, line->priority, service_us);
  g_queue_push_head (&pool->idle, line);
  pump (pool);
}

void
instance_pool_release_slot (PoolConnection *line, int64_t service_us)
{
  if (line->resting)
    return;
  line->resting = true;
  admission_queue_finish (line->pool->queue, line->priority, service_us);
  pump (line->pool);
}

void
instance_pool_retake_slot (PoolConnection *line)
{
  if (!line->resting)
    return;
  line->resting = false;
  admission_queue_start_direct (line->pool->queue, line->priority);
}

void
instance_pool_discard (PoolConnection *line)
{
  InstancePool *pool = line->pool;

  forget_line (line);
  pump (pool);
}

static PoolConnection *
restartable_line (const InstancePool *pool)
{
  for (GList *node = pool->lines.head; node != NULL; node = node->next)
    {
      PoolConnection *line = node->data;

      if (line->granted && line->holder.restartable)
        return line;
    }
  return NULL;
}

void
instance_pool_fail_restartable (InstancePool *pool)
{
  PoolConnection *line;

  while ((line = restartable_line (pool)) != NULL)
    {
      const ConnectionRequest holder = line->holder;

      forget_line (line);
      holder.lost (holder.data);
    }
}

void
instance_pool_close (InstancePool *pool)
{
  GList *node = pool->lines.head;

  // Whoever made the pool may be gone before the connections in use are: no more callbacks.
  pool->shut = true;
  refuse_waiting (pool, ANSWER_UNREACHABLE);
  while (node != NULL)
    {
      PoolConnection *line = node->data;

      node = node->next;
      if (!line->granted)
        forget_line (line);
    }
}

uint32_t
instance_pool_in_use (const InstancePool *pool)
{
  return pool->in_use;
}

static uint32_t
demand (const InstancePool *pool)
{
  uint32_t waiting = pool->waiting.length;

  for (int priority = 0; priority < PRIORITY_COUNT; priority++)
    waiting += admission_queue_waiting (pool->queue, (Priority) priority);
  return pool->in_use + waiting;
}

uint32_t
instance_pool_demand (const InstancePool *pool)
{
  return MAX (pool->wanted, demand (pool));
}

InstanceConnection *
instance_pool_connection (PoolConnection *line)
{
  return line->line;
}

InstancePool *
instance_pool_of_connection (PoolConnection *line)
{
  return line->pool;
}

int64_t
instance_pool_expected_wait_ms (const InstancePool *pool, Priority priority)
{
  return admission_queue_expected_wait_us (pool->queue, priority) / 1000;
}

bool
instance_pool_is_down (const InstancePool *pool)
{
  return pool->shut || (pool->failures > 0 && pool->lines.length == pool->opening);
}

/* When the instance last sent anything to this host. */
static int64_t
last_heard_ms (const InstancePool *pool)
{
  int64_t heard_ms = pool->heard_ms;

  for (const GList *node = pool->lines.head; node != NULL; node = node->next)
    {
      const PoolConnection *line = node->data;

      if (!line->opening)
        heard_ms = MAX (heard_ms, instance_connection_received_ms (line->line));
    }
  return heard_ms;
}

int64_t
instance_pool_silent_ms (const InstancePool *pool, int64_t now_ms)
{
  const int64_t heard_ms = last_heard_ms (pool);
  int64_t asked_ms = 0;

  for (const GList *node = pool->lines.head; node != NULL; node = node->next)
    {
      const PoolConnection *line = node->data;
      int64_t since_ms = line->opening ? line->opened_ms : instance_connection_used_ms (line->line);

      if (!line->opening && instance_connection_is_idle (line->line))
        continue;
      since_ms = MAX (since_ms, heard_ms);
      if (asked_ms == 0 || since_ms < asked_ms)
        asked_ms = since_ms;
    }
  return asked_ms == 0 ? 0 : now_ms - asked_ms;
}

static void
close_idle (InstancePool *pool, int64_t now_ms)
{
  const int64_t limit_ms = pool->scarce ? SCARCE_IDLE_LIMIT_MS : IDLE_LIMIT_MS;
  const guint kept = pool->scarce ? 0 : 1;
  PoolConnection *oldest;

  while (pool->lines.length > kept && (oldest = g_queue_peek_tail (&pool->idle)) != NULL
         && now_ms - instance_connection_used_ms (oldest->line) > limit_ms)
    forget_line (oldest);
}

/* Other hosts need what this one may not hold any more. */
static void
close_surplus (InstancePool *pool)
{
  while (pool->lines.length > pool->limit && pool->idle.length > 0)
    forget_line (g_queue_peek_tail (&pool->idle));
}

static void
end_slow_openings (InstancePool *pool, int64_t now_ms)
{
  GList *node = pool->lines.head;

  while (node != NULL)
    {
      PoolConnection *line = node->data;

      node = node->next;
      if (!line->opening || now_ms - line->opened_ms < OPEN_LIMIT_MS)
        continue;
      on_lost (line);
      // The callbacks may have changed the list.
      node = pool->lines.head;
    }
}

void
instance_pool_tick (InstancePool *pool, int64_t now_ms)
{
  AdmissionItem *item;

  if (demand (pool) >= pool->wanted)
    {
      pool->wanted = demand (pool);
      pool->wanted_ms = now_ms;
    }
  else if (now_ms - pool->wanted_ms >= WANTED_DECAY_MS)
    {
      pool->wanted--;
      pool->wanted_ms = now_ms;
    }
  // Nobody asks for a connection to an instance that is down, so the pool looks by itself.
  if (pool->failures > 0 && pool->lines.length == 0 && now_ms >= pool->open_after_ms)
    open_line (pool);
  close_surplus (pool);
  end_slow_openings (pool, now_ms);
  if (pool->limit < pool->allowed && now_ms >= pool->open_after_ms
      && pool->in_use + pool->waiting.length >= pool->limit)
    set_limit (pool, pool->limit + 1);
  close_idle (pool, now_ms);
  while ((item = admission_queue_expire (pool->queue, now_ms)) != NULL)
    refuse (item->data, ANSWER_OVERLOADED);
  pump (pool);
}
