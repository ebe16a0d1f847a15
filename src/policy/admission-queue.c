#include "policy/admission-queue.h"

#include <glib.h>

/* The weight of a new sample in the moving average of the service time is one divided by this. */
#define SERVICE_AVERAGE_DIVISOR 16
#define SERVICE_INITIAL_US 2000
/* A sample counts for at most this many times the average. */
#define OUTLIER_FACTOR 4
/* Maximum slot time that a priority can accumulate or owe under its floor. */
#define CREDIT_LIMIT_US 200000
/* A source is served newest first once its oldest item has waited for more than its time limit
 * divided by this. */
#define NEWEST_FIRST_DIVISOR 2

typedef struct
{
  uint64_t key;
  GQueue items;
} Source;

typedef struct
{
  GQueue sources; /* Source*, in round-robin order; only those with waiting items */
  GHashTable *sources_by_key;
  uint32_t waiting;
  uint32_t running;
  int64_t service_us;
  int64_t credit_us;
} Level;

struct AdmissionQueue
{
  AdmissionOptions options;
  Level levels[PRIORITY_COUNT];
  uint32_t running;
  int64_t credit_updated_ms;
};

const char *
priority_name (Priority priority)
{
  static const char *const names[PRIORITY_COUNT] = {
    [PRIORITY_URGENT] = "urgent",
    [PRIORITY_NORMAL] = "normal",
    [PRIORITY_BACKGROUND] = "background",
  };

  return names[priority];
}

AdmissionQueue *
admission_queue_new (const AdmissionOptions *options)
{
  AdmissionQueue *queue = g_new0 (AdmissionQueue, 1);

  queue->options = *options;
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      g_queue_init (&queue->levels[i].sources);
      queue->levels[i].sources_by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
      queue->levels[i].service_us = SERVICE_INITIAL_US;
    }
  return queue;
}

static void
source_free (Source *source)
{
  g_queue_clear (&source->items);
  g_free (source);
}

void
admission_queue_free (AdmissionQueue *queue)
{
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      g_queue_clear_full (&queue->levels[i].sources, (GDestroyNotify) source_free);
      g_hash_table_destroy (queue->levels[i].sources_by_key);
    }
  g_free (queue);
}

void
admission_queue_configure (AdmissionQueue *queue, const AdmissionOptions *options)
{
  queue->options = *options;
}

static uint32_t
level_slots (const AdmissionQueue *queue, Priority priority)
{
  if (priority == PRIORITY_URGENT)
    return queue->options.slots;
  return queue->options.slots - queue->options.reserved_slots;
}

/* How long the oldest item of a priority has waited: a new one is not expected to wait less. */
static int64_t
oldest_wait_us (const AdmissionQueue *queue, Priority priority)
{
  int64_t oldest_ms = queue->credit_updated_ms;

  for (GList *l = queue->levels[priority].sources.head; l != NULL; l = l->next)
    {
      const AdmissionItem *item = g_queue_peek_head (&((Source *) l->data)->items);

      oldest_ms = MIN (oldest_ms, item->enqueued_ms);
    }
  return (queue->credit_updated_ms - oldest_ms) * 1000;
}

int64_t
admission_queue_reported_wait_us (const AdmissionQueue *queue, Priority priority)
{
  int64_t estimate_us = admission_queue_expected_wait_us (queue, priority);

  return MAX (estimate_us, oldest_wait_us (queue, priority));
}

int64_t
admission_queue_expected_wait_us (const AdmissionQueue *queue, Priority priority)
{
  int64_t ahead_us = 0;
  uint32_t slots = level_slots (queue, priority);

  for (int i = 0; i <= (int) priority; i++)
    ahead_us += (int64_t) queue->levels[i].waiting * queue->levels[i].service_us;
  if (queue->running >= slots)
    ahead_us += queue->levels[priority].service_us;
  return ahead_us / slots;
}

/* Expected wait if higher priorities use all slot time except the floor of this one. */
static int64_t
floor_wait_us (const AdmissionQueue *queue, Priority priority)
{
  const Level *level = &queue->levels[priority];
  uint32_t percent = queue->options.floor_percent[priority];

  if (percent == 0)
    return INT64_MAX;
  return (int64_t) level->waiting * level->service_us * 100
         / ((int64_t) percent * queue->options.slots);
}

static bool
would_miss_deadline (const AdmissionQueue *queue, const AdmissionItem *item, int64_t now_ms)
{
  int64_t wait_us = admission_queue_expected_wait_us (queue, item->priority);
  int64_t floor_us = floor_wait_us (queue, item->priority);

  return MIN (wait_us, floor_us) / 1000 > item->deadline_ms - now_ms;
}

static Source *
level_source (Level *level, uint64_t key)
{
  Source *source = g_hash_table_lookup (level->sources_by_key, &key);

  if (source != NULL)
    return source;
  source = g_new0 (Source, 1);
  source->key = key;
  g_queue_init (&source->items);
  g_queue_push_tail (&level->sources, source);
  g_hash_table_insert (level->sources_by_key, &source->key, source);
  return source;
}

bool
admission_queue_push (AdmissionQueue *queue, AdmissionItem *item, int64_t now_ms)
{
  Level *level = &queue->levels[item->priority];
  Source *source;

  if (!item->front && level->waiting >= queue->options.queue_limit)
    return false;
  if (!item->front && would_miss_deadline (queue, item, now_ms))
    return false;

  source = level_source (level, item->source);
  if (item->front)
    {
      g_queue_remove (&level->sources, source);
      g_queue_push_head (&level->sources, source);
    }
  item->enqueued_ms = now_ms;
  g_queue_push_tail (&source->items, item);
  item->node = g_queue_peek_tail_link (&source->items);
  level->waiting++;
  return true;
}

static void
level_drop_source (Level *level, Source *source)
{
  g_hash_table_remove (level->sources_by_key, &source->key);
  g_queue_remove (&level->sources, source);
  source_free (source);
}

void
admission_queue_remove (AdmissionQueue *queue, AdmissionItem *item)
{
  Level *level = &queue->levels[item->priority];
  Source *source = g_hash_table_lookup (level->sources_by_key, &item->source);

  g_queue_delete_link (&source->items, item->node);
  item->node = NULL;
  level->waiting--;
  if (g_queue_is_empty (&source->items))
    level_drop_source (level, source);
}

static bool
item_is_old (const AdmissionItem *item, int64_t now_ms)
{
  int64_t allowed_ms = item->deadline_ms - item->enqueued_ms;

  return now_ms - item->enqueued_ms > allowed_ms / NEWEST_FIRST_DIVISOR;
}

static AdmissionItem *
level_pop (AdmissionQueue *queue, Priority priority, int64_t now_ms)
{
  Level *level = &queue->levels[priority];
  Source *source = g_queue_pop_head (&level->sources);
  AdmissionItem *item = g_queue_peek_head (&source->items);

  g_queue_push_tail (&level->sources, source);
  if (!queue->options.fifo_only && item_is_old (item, now_ms))
    item = g_queue_peek_tail (&source->items);
  admission_queue_remove (queue, item);
  return item;
}

/* Only priorities with waiting items earn credit, so that an idle one accumulates none. */
static void
accrue_credit (AdmissionQueue *queue, int64_t now_ms)
{
  int64_t elapsed_us = (now_ms - queue->credit_updated_ms) * 1000;

  queue->credit_updated_ms = now_ms;
  for (int i = PRIORITY_NORMAL; i < PRIORITY_COUNT; i++)
    {
      Level *level = &queue->levels[i];

      if (level->waiting == 0)
        continue;
      level->credit_us += elapsed_us * queue->options.slots * queue->options.floor_percent[i] / 100;
      level->credit_us = CLAMP (level->credit_us, -CREDIT_LIMIT_US, CREDIT_LIMIT_US);
    }
}

/* Lower priorities can't use the reserved slots. Slots in use by urgent statements do not count
 * towards their limit. */
static bool
level_may_start (const AdmissionQueue *queue, Priority priority)
{
  uint32_t lower = queue->running - queue->levels[PRIORITY_URGENT].running;

  if (queue->levels[priority].waiting == 0 || queue->running >= queue->options.slots)
    return false;
  return priority == PRIORITY_URGENT || lower < level_slots (queue, priority);
}

static bool
level_has_credit (const AdmissionQueue *queue, Priority priority)
{
  const Level *level = &queue->levels[priority];

  return level->credit_us >= level->service_us * (int64_t) (level->running + 1);
}

static bool
pick_level (const AdmissionQueue *queue, bool urgent_only, Priority *priority)
{
  if (urgent_only)
    {
      *priority = PRIORITY_URGENT;
      return level_may_start (queue, PRIORITY_URGENT);
    }
  for (int i = PRIORITY_NORMAL; i < PRIORITY_COUNT; i++)
    if (level_may_start (queue, (Priority) i) && level_has_credit (queue, (Priority) i))
      {
        *priority = (Priority) i;
        return true;
      }
  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (level_may_start (queue, (Priority) i))
      {
        *priority = (Priority) i;
        return true;
      }
  return false;
}

AdmissionItem *
admission_queue_next (AdmissionQueue *queue, bool urgent_only, int64_t now_ms)
{
  Priority priority;
  AdmissionItem *item;

  accrue_credit (queue, now_ms);
  if (!pick_level (queue, urgent_only, &priority))
    return NULL;
  item = level_pop (queue, priority, now_ms);
  admission_queue_start_direct (queue, priority);
  return item;
}

AdmissionItem *
admission_queue_next_front (AdmissionQueue *queue)
{
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      Level *level = &queue->levels[i];

      for (GList *l = level->sources.head; l != NULL; l = l->next)
        {
          AdmissionItem *item = g_queue_peek_head (&((Source *) l->data)->items);

          if (!item->front)
            continue;
          admission_queue_remove (queue, item);
          admission_queue_start_direct (queue, (Priority) i);
          return item;
        }
    }
  return NULL;
}

/* Each source is in arrival order, so only the heads are checked. */
static AdmissionItem *
level_expired (Level *level, int64_t now_ms)
{
  for (GList *l = level->sources.head; l != NULL; l = l->next)
    {
      Source *source = l->data;
      AdmissionItem *item = g_queue_peek_head (&source->items);

      if (item->deadline_ms <= now_ms)
        return item;
    }
  return NULL;
}

AdmissionItem *
admission_queue_expire (AdmissionQueue *queue, int64_t now_ms)
{
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      AdmissionItem *item = level_expired (&queue->levels[i], now_ms);

      if (item == NULL)
        continue;
      admission_queue_remove (queue, item);
      return item;
    }
  return NULL;
}

AdmissionItem *
admission_queue_drain (AdmissionQueue *queue)
{
  return admission_queue_expire (queue, INT64_MAX);
}

void
admission_queue_start_direct (AdmissionQueue *queue, Priority priority)
{
  queue->running++;
  queue->levels[priority].running++;
}

void
admission_queue_finish (AdmissionQueue *queue, Priority priority, int64_t service_us)
{
  Level *level = &queue->levels[priority];

  queue->running--;
  level->running--;
  level->credit_us = MAX (level->credit_us - service_us, -CREDIT_LIMIT_US);
  // A statement that waited for a lock is not representative of the others.
  service_us = MIN (service_us, level->service_us * OUTLIER_FACTOR);
  if (queue->options.last_sample)
    level->service_us = service_us;
  else
    level->service_us += (service_us - level->service_us) / SERVICE_AVERAGE_DIVISOR;
}

void
admission_queue_abort (AdmissionQueue *queue, Priority priority)
{
  queue->running--;
  queue->levels[priority].running--;
}

uint32_t
admission_queue_waiting (const AdmissionQueue *queue, Priority priority)
{
  return queue->levels[priority].waiting;
}

uint32_t
admission_queue_running (const AdmissionQueue *queue)
{
  return queue->running;
}
