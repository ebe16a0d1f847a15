/**
 * DOC: Users that wait for something to change, each of which looks again when it has.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>

/** struct WaitQueue - See wait_queue_init(). */
typedef struct
{
  GQueue waiters;
} WaitQueue;

/**
 * struct Waiter - Embedded in its user.
 * @woken: something changed; check again.
 */
typedef struct
{
  void (*woken) (void *data);
  void *data;
  /* private */
  WaitQueue *queue; /* %NULL while not waiting */
} Waiter;

/** wait_queue_init() - Empty. */
void wait_queue_init (WaitQueue *queue);

/** wait_queue_done() - Removes all waiters without waking them. */
void wait_queue_done (WaitQueue *queue);

/** wait_queue_is_empty() - Whether nobody waits. */
bool wait_queue_is_empty (const WaitQueue *queue);

/** wait_queue_add() - Wakes @waiter, which must not be waiting, at the next change. */
void wait_queue_add (WaitQueue *queue, Waiter *waiter);

/** wait_queue_wake() - Something changed. Waiters that add themselves again are not woken twice. */
void wait_queue_wake (WaitQueue *queue);

/** waiter_cancel() - No longer waits, if it did. */
void waiter_cancel (Waiter *waiter);
