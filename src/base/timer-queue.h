/**
 * DOC: Timers on the steady clock for an event loop. tevent's own timers follow the time of
 * day, which may jump.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

typedef struct TimerQueue TimerQueue;

/**
 * struct Timer - One timer, embedded in its user. Zeroed before the first use.
 * @fired: called once when the time is over; may set the timer again or free its user.
 * @node: private to the queue; %NULL while the timer is not set.
 */
typedef struct
{
  void (*fired) (void *data);
  void *data;
  int64_t due_ms;
  void *node;
} Timer;

/** timer_queue_new() - Empty queue in @events; %NULL if the system gives no timer. */
TimerQueue *timer_queue_new (TALLOC_CTX *parent, struct tevent_context *events);

/** timer_set() - Fires after @delay_ms; replaces an earlier setting. */
void timer_set (TimerQueue *queue, Timer *timer, int64_t delay_ms);

/** timer_clear() - Does not fire any more; safe for a timer that was never set. */
void timer_clear (Timer *timer);
