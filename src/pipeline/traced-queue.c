#include "pipeline/traced-queue.h"

#include <inttypes.h>

#include <glib.h>

struct TracedQueue
{
  AdmissionQueue *inner;
  Trace *trace;
  uint64_t id;
};

static void
trace_options (TracedQueue *queue, const char *verb, const AdmissionOptions *options)
{
  trace_line (queue->trace, "queue %" PRIu64 " %s %u %u %u %u %u", queue->id, verb, options->slots,
              options->reserved_slots, options->floor_percent[PRIORITY_NORMAL],
              options->floor_percent[PRIORITY_BACKGROUND], options->queue_limit);
}

TracedQueue *
traced_queue_new (const AdmissionOptions *options, Trace *trace, uint64_t id)
{
  TracedQueue *queue = g_new0 (TracedQueue, 1);

  queue->inner = admission_queue_new (options);
  queue->trace = trace;
  queue->id = id;
  trace_options (queue, "new", options);
  return queue;
}

void
traced_queue_free (TracedQueue *queue)
{
  admission_queue_free (queue->inner);
  g_free (queue);
}

const AdmissionQueue *
traced_queue_inner (const TracedQueue *queue)
{
  return queue->inner;
}

void
traced_queue_configure (TracedQueue *queue, const AdmissionOptions *options)
{
  admission_queue_configure (queue->inner, options);
  trace_options (queue, "configure", options);
}

bool
traced_queue_push (TracedQueue *queue, AdmissionItem *item, uint64_t name, int64_t now_ms)
{
  bool accepted;

  item->name = name;
  accepted = admission_queue_push (queue->inner, item, now_ms);
  trace_line (queue->trace,
              "queue %" PRIu64 " push %" PRIu64 " %d %d %" PRIu64 " %" PRId64 " %" PRId64 " = %d",
              queue->id, name, item->priority, item->front, item->source, item->deadline_ms, now_ms,
              accepted);
  return accepted;
}

static uint64_t
name_of (const AdmissionItem *item)
{
  return item == NULL ? 0 : item->name;
}

AdmissionItem *
traced_queue_next (TracedQueue *queue, bool urgent_only, int64_t now_ms)
{
  AdmissionItem *item = admission_queue_next (queue->inner, urgent_only, now_ms);

  trace_line (queue->trace, "queue %" PRIu64 " next %d %" PRId64 " = %" PRIu64, queue->id,
              urgent_only, now_ms, name_of (item));
  return item;
}

AdmissionItem *
traced_queue_next_front (TracedQueue *queue)
{
  AdmissionItem *item = admission_queue_next_front (queue->inner);

  trace_line (queue->trace, "queue %" PRIu64 " front = %" PRIu64, queue->id, name_of (item));
  return item;
}

AdmissionItem *
traced_queue_expire (TracedQueue *queue, int64_t now_ms)
{
  AdmissionItem *item = admission_queue_expire (queue->inner, now_ms);

  // Almost always nothing has expired, so only a hit is traced.
  if (item != NULL)
    trace_line (queue->trace, "queue %" PRIu64 " expire %" PRId64 " = %" PRIu64, queue->id, now_ms,
                name_of (item));
  return item;
}

void
traced_queue_remove (TracedQueue *queue, AdmissionItem *item)
{
  admission_queue_remove (queue->inner, item);
  trace_line (queue->trace, "queue %" PRIu64 " remove %" PRIu64, queue->id, item->name);
}

AdmissionItem *
traced_queue_drain (TracedQueue *queue)
{
  AdmissionItem *item = admission_queue_drain (queue->inner);

  if (item != NULL)
    trace_line (queue->trace, "queue %" PRIu64 " remove %" PRIu64, queue->id, item->name);
  return item;
}

void
traced_queue_finish (TracedQueue *queue, Priority priority, int64_t service_us)
{
  admission_queue_finish (queue->inner, priority, service_us);
  trace_line (queue->trace, "queue %" PRIu64 " finish %d %" PRId64, queue->id, priority,
              service_us);
}

void
traced_queue_abort (TracedQueue *queue, Priority priority)
{
  admission_queue_abort (queue->inner, priority);
  trace_line (queue->trace, "queue %" PRIu64 " abort %d", queue->id, priority);
}
