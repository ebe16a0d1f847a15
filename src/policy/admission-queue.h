/**
 * DOC: Admission queue of one backend server instance: urgent work first, a floor of slot
 * time for each lower priority, slots kept for urgent work, refusal at the door when the
 * expected wait exceeds the deadline, fairness between sources inside a priority.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** enum Priority - Ranks of work, most urgent first. */
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
 * @reserved_slots: slots that only urgent work may take; less than @slots.
 * @floor_percent: share of slot time kept for each priority in a flood of others.
 * @queue_limit: waiting statements per priority; more are refused.
 * @fifo_only: never serve newest first.
 * @last_sample: estimate service times by the last sample in place of the average.
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
 * @priority: its rank.
 * @front: goes before all others of its rank; used for open transactions, each of which
 *   must be a @source of its own.
 * @source: fairness key (entry host and caller).
 * @deadline_ms: absolute time after which it must not start.
 * @enqueued_ms: set by admission_queue_push().
 * @name: the caller's own, for traces.
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

/** admission_queue_new() - Queue with @options; free with admission_queue_free(). */
AdmissionQueue *admission_queue_new (const AdmissionOptions *options);

/** admission_queue_free() - Frees the queue, not the items. */
void admission_queue_free (AdmissionQueue *queue);

/** admission_queue_configure() - Replaces the limits; waiting items stay. */
void admission_queue_configure (AdmissionQueue *queue, const AdmissionOptions *options);

/** admission_queue_push() - Queues @item; false refuses it at the door (nothing ran). */
bool admission_queue_push (AdmissionQueue *queue, AdmissionItem *item, int64_t now_ms);

/**
 * admission_queue_next() - Takes the item to start now, or %NULL. It counts as running.
 * With @urgent_only other priorities are left waiting.
 */
AdmissionItem *admission_queue_next (AdmissionQueue *queue, bool urgent_only, int64_t now_ms);

/**
 * admission_queue_next_front() - Takes an item marked front whatever the slots; it counts as
 * running. For open transactions, which must end for others to go on.
 */
AdmissionItem *admission_queue_next_front (AdmissionQueue *queue);

/** admission_queue_expire() - Takes out one item whose deadline has passed, or %NULL. */
AdmissionItem *admission_queue_expire (AdmissionQueue *queue, int64_t now_ms);

/** admission_queue_remove() - Takes a waiting item out. */
void admission_queue_remove (AdmissionQueue *queue, AdmissionItem *item);

/** admission_queue_drain() - Takes out any waiting item, or %NULL when empty. */
AdmissionItem *admission_queue_drain (AdmissionQueue *queue);

/** admission_queue_start_direct() - Counts a statement that bypasses the wait as running. */
void admission_queue_start_direct (AdmissionQueue *queue, Priority priority);

/** admission_queue_finish() - A running statement of @priority ended after @service_us. */
void admission_queue_finish (AdmissionQueue *queue, Priority priority, int64_t service_us);

/** admission_queue_abort() - A running statement of @priority ended without having run. */
void admission_queue_abort (AdmissionQueue *queue, Priority priority);

/** admission_queue_expected_wait_us() - Wait that a new item of @priority can expect. */
int64_t admission_queue_expected_wait_us (const AdmissionQueue *queue, Priority priority);

/**
 * admission_queue_reported_wait_us() - Wait as others are told it: at least what the oldest
 * waiting item of @priority has waited already.
 */
int64_t admission_queue_reported_wait_us (const AdmissionQueue *queue, Priority priority);

/** admission_queue_waiting() - Waiting items of @priority. */
uint32_t admission_queue_waiting (const AdmissionQueue *queue, Priority priority);

/** admission_queue_running() - Statements running. */
uint32_t admission_queue_running (const AdmissionQueue *queue);
