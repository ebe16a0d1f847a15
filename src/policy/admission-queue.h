/**
 * DOC: Admission queue of one backend server instance. Higher priorities go first, but each lower
 * one is guaranteed a share of slot time, and some slots are reserved for urgent work. A statement
 * whose expected wait exceeds its deadline is refused on arrival. Sources of the same priority are
 * served round-robin.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** enum Priority - Priority of a statement, most urgent first. */
typedef enum
{
  PRIORITY_URGENT,
  PRIORITY_NORMAL,
  PRIORITY_BACKGROUND,
  PRIORITY_COUNT
} Priority;

/** priority_name() - "urgent", "normal" or "background". */
const char *priority_name (Priority priority);

typedef struct AdmissionQueue AdmissionQueue;

/**
 * struct AdmissionOptions - Limits of an instance.
 * @slots: statements that may run at once.
 * @reserved_slots: slots that only urgent statements may use; less than @slots.
 * @floor_percent: share of slot time guaranteed to each priority while others are overloaded.
 * @queue_limit: statements that may wait per priority; more are refused.
 * @fifo_only: always serve in arrival order, never newest first.
 * @last_sample: estimate the service time by the last sample instead of the moving average.
 */
typedef struct
{
  uint32_t slots;
  uint32_t reserved_slots;
  uint32_t floor_percent[PRIORITY_COUNT];
  uint32_t queue_limit;
  bool fifo_only;
  bool last_sample;
} AdmissionOptions;

/**
 * struct AdmissionItem - One statement, embedded in the owner's job.
 * @priority: its priority.
 * @front: goes before all others of its priority; set for statements of open transactions, each
 *   of which must be a @source of its own.
 * @source: round-robin key (entry host and caller).
 * @deadline_ms: absolute time after which it must not start.
 * @enqueued_ms: set by admission_queue_push().
 * @name: identifies the statement in traces; the queue does not use it.
 * @node: private to the queue.
 * @data: the owner's job.
 */
typedef struct
{
  Priority priority;
  bool front;
  uint64_t source;
  int64_t deadline_ms;
  int64_t enqueued_ms;
  uint64_t name;
  void *node;
  void *data;
} AdmissionItem;

/** admission_queue_new() - Creates a queue; free it with admission_queue_free(). */
AdmissionQueue *admission_queue_new (const AdmissionOptions *options);

/** admission_queue_free() - Frees the queue, not the items. */
void admission_queue_free (AdmissionQueue *queue);

/** admission_queue_configure() - Replaces the limits; waiting items stay. */
void admission_queue_configure (AdmissionQueue *queue, const AdmissionOptions *options);

/** admission_queue_push() - Queues @item; false if it is refused (nothing ran). */
bool admission_queue_push (AdmissionQueue *queue, AdmissionItem *item, int64_t now_ms);

/**
 * admission_queue_next() - Removes and returns the item to start now, or %NULL. It counts as
 * running. With @urgent_only the other priorities keep waiting.
 */
AdmissionItem *admission_queue_next (AdmissionQueue *queue, bool urgent_only, int64_t now_ms);

/**
 * admission_queue_next_front() - Removes and returns an item marked front even if no slot is free;
 * it counts as running. For open transactions, which hold up others until they end.
 */
AdmissionItem *admission_queue_next_front (AdmissionQueue *queue);

/** admission_queue_expire() - Removes and returns an item past its deadline, or %NULL. */
AdmissionItem *admission_queue_expire (AdmissionQueue *queue, int64_t now_ms);

/** admission_queue_remove() - Removes a waiting item. */
void admission_queue_remove (AdmissionQueue *queue, AdmissionItem *item);

/** admission_queue_drain() - Removes and returns any waiting item; %NULL if there is none. */
AdmissionItem *admission_queue_drain (AdmissionQueue *queue);

/** admission_queue_start_direct() - Counts a statement that was not queued as running. */
void admission_queue_start_direct (AdmissionQueue *queue, Priority priority);

/** admission_queue_finish() - A running statement of @priority ended after @service_us. */
void admission_queue_finish (AdmissionQueue *queue, Priority priority, int64_t service_us);

/** admission_queue_abort() - A running statement of @priority ended without having run. */
void admission_queue_abort (AdmissionQueue *queue, Priority priority);

/** admission_queue_expected_wait_us() - Estimated wait of a new item of @priority. */
int64_t admission_queue_expected_wait_us (const AdmissionQueue *queue, Priority priority);

/**
 * admission_queue_reported_wait_us() - Wait as reported to other hosts: at least what the oldest
 * waiting item of @priority has waited so far.
 */
int64_t admission_queue_reported_wait_us (const AdmissionQueue *queue, Priority priority);

/** admission_queue_waiting() - Number of waiting items of @priority. */
uint32_t admission_queue_waiting (const AdmissionQueue *queue, Priority priority);

/** admission_queue_running() - Number of running statements. */
uint32_t admission_queue_running (const AdmissionQueue *queue);
