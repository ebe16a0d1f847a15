/**
 * DOC: Monotonic timers for an event loop. tevent's own timers use the wall clock, which may jump.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

typedef struct TimerQueue TimerQueue;

/**
 * struct Timer - A one-shot timer, embedded in its owner; zero it before the first use.
 * @fired: callback on expiry; it may set the timer again or free its owner.
 * @due_ms: expiry time on the monotonic clock.
 * @node: used by the queue only; %NULL while the timer is not set.
 */
typedef struct
{
  void (*fired) (void *data);
  void *data;
  int64_t due_ms;
  void *node;
} Timer;

/** timer_queue_new() - Empty queue in the event loop @events; %NULL if no timerfd is available. */
TimerQueue *timer_queue_new (TALLOC_CTX *parent, struct tevent_context *events);

/** timer_set() - Starts or restarts the timer, to expire after @delay_ms. */
void timer_set (TimerQueue *queue, Timer *timer, int64_t delay_ms);

/** timer_clear() - Stops the timer; has no effect if it is not set. */
void timer_clear (Timer *timer);
