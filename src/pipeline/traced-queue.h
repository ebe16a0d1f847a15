/**
 * DOC: The admission queue of an instance as its owner uses it; every call is recorded in the
 * trace, if one is written.
 */
#pragma once

#include "base/trace.h"
#include "policy/admission-queue.h"

typedef struct TracedQueue TracedQueue;

/** traced_queue_new() - Creates a queue, identified by @id in @trace, which may be %NULL. */
TracedQueue *traced_queue_new (const AdmissionOptions *options, Trace *trace, uint64_t id);

/** traced_queue_free() - Frees the queue. */
void traced_queue_free (TracedQueue *queue);

/** traced_queue_inner() - The wrapped queue, for read-only access. */
const AdmissionQueue *traced_queue_inner (const TracedQueue *queue);

/** traced_queue_configure() - Calls and records admission_queue_configure(). */
void traced_queue_configure (TracedQueue *queue, const AdmissionOptions *options);

/**
 * traced_queue_push() - Calls and records admission_queue_push(); @name identifies the item in the
 * trace.
 */
bool traced_queue_push (TracedQueue *queue, AdmissionItem *item, uint64_t name, int64_t now_ms);

/** traced_queue_next() - Calls and records admission_queue_next(). */
AdmissionItem *traced_queue_next (TracedQueue *queue, bool urgent_only, int64_t now_ms);

/** traced_queue_next_front() - Calls and records admission_queue_next_front(). */
AdmissionItem *traced_queue_next_front (TracedQueue *queue);

/** traced_queue_expire() - Calls admission_queue_expire(); records it only if an item expired. */
AdmissionItem *traced_queue_expire (TracedQueue *queue, int64_t now_ms);

/** traced_queue_remove() - Calls and records admission_queue_remove(). */
void traced_queue_remove (TracedQueue *queue, AdmissionItem *item);

/** traced_queue_drain() - Calls admission_queue_drain(); records the item as removed. */
AdmissionItem *traced_queue_drain (TracedQueue *queue);

/** traced_queue_finish() - Calls and records admission_queue_finish(). */
void traced_queue_finish (TracedQueue *queue, Priority priority, int64_t service_us);

/** traced_queue_abort() - Calls and records admission_queue_abort(). */
void traced_queue_abort (TracedQueue *queue, Priority priority);
