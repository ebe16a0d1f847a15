/**
 * DOC: An instance's admission queue as its owner uses it: the policy, with every call
 * written to the trace when there is one.
 */
#pragma once

#include "base/trace.h"
#include "policy/admission-queue.h"

typedef struct TracedQueue TracedQueue;

/** traced_queue_new() - Queue called @id in @trace, which may be %NULL. */
TracedQueue *traced_queue_new (const AdmissionOptions *options, Trace *trace, uint64_t id);

/** traced_queue_free() - Frees it. */
void traced_queue_free (TracedQueue *queue);

/** traced_queue_inner() - The queue itself, for questions that change nothing. */
const AdmissionQueue *traced_queue_inner (const TracedQueue *queue);

/** traced_queue_configure() - As admission_queue_configure(). */
void traced_queue_configure (TracedQueue *queue, const AdmissionOptions *options);

/** traced_queue_push() - As admission_queue_push(); @name is the item's in the trace. */
bool traced_queue_push (TracedQueue *queue, AdmissionItem *item, uint64_t name, int64_t now_ms);

/** traced_queue_next() - As admission_queue_next(). */
AdmissionItem *traced_queue_next (TracedQueue *queue, bool urgent_only, int64_t now_ms);

/** traced_queue_next_front() - As admission_queue_next_front(). */
AdmissionItem *traced_queue_next_front (TracedQueue *queue);

/** traced_queue_expire() - As admission_queue_expire(). */
AdmissionItem *traced_queue_expire (TracedQueue *queue, int64_t now_ms);

/** traced_queue_remove() - As admission_queue_remove(). */
void traced_queue_remove (TracedQueue *queue, AdmissionItem *item);

/** traced_queue_drain() - As admission_queue_drain(). */
AdmissionItem *traced_queue_drain (TracedQueue *queue);

/** traced_queue_finish() - As admission_queue_finish(). */
void traced_queue_finish (TracedQueue *queue, Priority priority, int64_t service_us);

/** traced_queue_abort() - As admission_queue_abort(). */
void traced_queue_abort (TracedQueue *queue, Priority priority);
