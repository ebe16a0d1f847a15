#include "policy/admission-queue.h"

#include <glib.h>

/* Weight of a new sample in the averaged service time, as a divisor. */
#define SERVICE_AVERAGE_WEIGHT 16
#define SERVICE_INITIAL_US 2000
#define OUTLIER_FACTOR 4
/* Floor credit a priority can save up or owe, in slot time. */
#define CREDIT_LIMIT_US 200000
/* Newest-first starts when the oldest waiting item has used this part of its time. */
#define OVERLOAD_WAIT_PART 2

typedef struct
{
  uint64_t key;
  GQueue items;
} Source;

typedef struct
{
  GQueue sources; /* Source*, in turn order; only those with waiting items */
  GHashTable *by_key;
  uint32_t waiting;
  uint32_t running;
  int64_t service_us;
  int64_t credit_us;
} Lane;

struct AdmissionQueue
{
  AdmissionOptions options;
  Lane lanes[PRIORITY_COUNT];
  uint32_t running;
  int64_t credited_ms;
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
      g_queue_init (&queue->lanes[i].sources);
      queue->lanes[i].by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
      queue->lanes[i].service_us = SERVICE_INITIAL_US;
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
      g_queue_clear_full (&queue->lanes[i].sources, (GDestroyNotify) source_free);
      g_hash_table_destroy (queue->lanes[i].by_key);
    }
  g_free (queue);
}

void
admission_queue_configure (AdmissionQueue *queue, const AdmissionOptions *options)
{
  queue->options = *options;
}

static uint32_t
lane_slots (const AdmissionQueue *queue, Priority priority)
{
  if (priority == PRIORITY_URGENT)
    return queue->options.slots;
  return queue->options.slots - queue->options.reserved_slots;
}

/* How long the oldest waiting item of a lane has waited: the next one will not wait less. */
static int64_t
oldest_wait_us (const AdmissionQueue *queue, Priority priority)
{
  int64_t oldest_ms = queue->credited_ms;

  for (GList *l = queue->lanes[priority].sources.head; l != NULL; l = l->next)
    {
      const AdmissionItem *item = g_queue_peek_head (&((Source *) l->data)->items);

      oldest_ms = MIN (oldest_ms, item->enqueued_ms);
    }
  return (queue->credited_ms - oldest_ms) * 1000;
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
  uint32_t slots = lane_slots (queue, priority);

  for (int i = 0; i <= (int) priority; i++)
    ahead_us += (int64_t) queue->lanes[i].waiting * queue->lanes[i].service_us;
  if (queue->running >= slots)
    ahead_us += queue->lanes[priority].service_us;
  return ahead_us / slots;
}

/* In a flood of more urgent work a lane still drains at its floor. */
static int64_t
floor_wait_us (const AdmissionQueue *queue, Priority priority)
{
  const Lane *lane = &queue->lanes[priority];
  uint32_t percent = queue->options.floor_percent[priority];

  if (percent == 0)
    return INT64_MAX;
  return (int64_t) lane->waiting * lane->service_us * 100
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
lane_source (Lane *lane, uint64_t key)
{
  Source *source = g_hash_table_lookup (lane->by_key, &key);

  if (source != NULL)
    return source;
  source = g_new0 (Source, 1);
  source->key = key;
  g_queue_init (&source->items);
  g_queue_push_tail (&lane->sources, source);
  g_hash_table_insert (lane->by_key, &source->key, source);
  return source;
}

bool
admission_queue_push (AdmissionQueue *queue, AdmissionItem *item, int64_t now_ms)
{
  Lane *lane = &queue->lanes[item->priority];
  Source *source;

  if (!item->front && lane->waiting >= queue->options.queue_limit)
    return false;
  if (!item->front && would_miss_deadline (queue, item, now_ms))
    return false;

  source = lane_source (lane, item->source);
  if (item->front)
    {
      g_queue_remove (&lane->sources, source);
      g_queue_push_head (&lane->sources, source);
    }
  item->enqueued_ms = now_ms;
  g_queue_push_tail (&source->items, item);
  item->node = g_queue_peek_tail_link (&source->items);
  lane->waiting++;
  return true;
}

static void
lane_drop_source (Lane *lane, Source *source)
{
  g_hash_table_remove (lane->by_key, &source->key);
  g_queue_remove (&lane->sources, source);
  source_free (source);
}

void
admission_queue_remove (AdmissionQueue *queue, AdmissionItem *item)
{
  Lane *lane = &queue->lanes[item->priority];
  Source *source = g_hash_table_lookup (lane->by_key, &item->source);

  g_queue_delete_link (&source->items, item->node);
  item->node = NULL;
  lane->waiting--;
  if (g_queue_is_empty (&source->items))
    lane_drop_source (lane, source);
}

static bool
item_is_old (const AdmissionItem *item, int64_t now_ms)
{
  int64_t allowed_ms = item->deadline_ms - item->enqueued_ms;

  return now_ms - item->enqueued_ms > allowed_ms / OVERLOAD_WAIT_PART;
}

static AdmissionItem *
lane_take (AdmissionQueue *queue, Priority priority, int64_t now_ms)
{
  Lane *lane = &queue->lanes[priority];
  Source *source = g_queue_pop_head (&lane->sources);
  AdmissionItem *item = g_queue_peek_head (&source->items);

  g_queue_push_tail (&lane->sources, source);
  if (!queue->options.fifo_only && item_is_old (item, now_ms))
    item = g_queue_peek_tail (&source->items);
  admission_queue_remove (queue, item);
  return item;
}

/* Credit accrues only to lanes with waiting work, so that an idle lane saves nothing up. */
static void
accrue_credit (AdmissionQueue *queue, int64_t now_ms)
{
  int64_t elapsed_us = (now_ms - queue->credited_ms) * 1000;

  queue->credited_ms = now_ms;
  for (int i = PRIORITY_NORMAL; i < PRIORITY_COUNT; i++)
    {
      Lane *lane = &queue->lanes[i];

      if (lane->waiting == 0)
        continue;
      lane->credit_us += elapsed_us * queue->options.slots * queue->options.floor_percent[i] / 100;
      lane->credit_us = CLAMP (lane->credit_us, -CREDIT_LIMIT_US, CREDIT_LIMIT_US);
    }
}

/* Lower work leaves the reserve alone; what urgent work has taken does not count against it. */
static bool
lane_may_start (const AdmissionQueue *queue, Priority priority)
{
  uint32_t lower = queue->running - queue->lanes[PRIORITY_URGENT].running;

  if (queue->lanes[priority].waiting == 0 || queue->running >= queue->options.slots)
    return false;
  return priority == PRIORITY_URGENT || lower < lane_slots (queue, priority);
}

static bool
lane_has_credit (const AdmissionQueue *queue, Priority priority)
{
  const Lane *lane = &queue->lanes[priority];

  return lane->credit_us >= lane->service_us * (int64_t) (lane->running + 1);
}

static bool
pick_lane (const AdmissionQueue *queue, bool urgent_only, Priority *priority)
{
  if (urgent_only)
    {
      *priority = PRIORITY_URGENT;
      return lane_may_start (queue, PRIORITY_URGENT);
    }
  for (int i = PRIORITY_NORMAL; i < PRIORITY_COUNT; i++)
    if (lane_may_start (queue, (Priority) i) && lane_has_credit (queue, (Priority) i))
      {
        *priority = (Priority) i;
        return true;
      }
  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (lane_may_start (queue, (Priority) i))
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
  if (!pick_lane (queue, urgent_only, &priority))
    return NULL;
  item = lane_take (queue, priority, now_ms);
  admission_queue_start_direct (queue, priority);
  return item;
}

AdmissionItem *
admission_queue_next_front (AdmissionQueue *queue)
{
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      Lane *lane = &queue->lanes[i];

      for (GList *l = lane->sources.head; l != NULL; l = l->next)
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

/* Arrival order holds inside a source, so only heads need to be looked at. */
static AdmissionItem *
lane_expired (Lane *lane, int64_t now_ms)
{
  for (GList *l = lane->sources.head; l != NULL; l = l->next)
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
      AdmissionItem *item = lane_expired (&queue->lanes[i], now_ms);

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
  queue->lanes[priority].running++;
}

void
admission_queue_finish (AdmissionQueue *queue, Priority priority, int64_t service_us)
{
  Lane *lane = &queue->lanes[priority];

  queue->running--;
  lane->running--;
  lane->credit_us = MAX (lane->credit_us - service_us, -CREDIT_LIMIT_US);
  // One statement that waited for a lock says little about the others.
  service_us = MIN (service_us, lane->service_us * OUTLIER_FACTOR);
  if (queue->options.last_sample)
    lane->service_us = service_us;
  else
    lane->service_us += (service_us - lane->service_us) / SERVICE_AVERAGE_WEIGHT;
}

void
admission_queue_abort (AdmissionQueue *queue, Priority priority)
{
  queue->running--;
  queue->lanes[priority].running--;
}

uint32_t
admission_queue_waiting (const AdmissionQueue *queue, Priority priority)
{
  return queue->lanes[priority].waiting;
}

uint32_t
admission_queue_running (const AdmissionQueue *queue)
{
  return queue->running;
}
