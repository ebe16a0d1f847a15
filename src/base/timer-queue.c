#include "base/timer-queue.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <glib.h>

#include "base/clock.h"

struct TimerQueue
{
  int fd;
  struct tevent_fd *fde;
  GSequence *timers;
  int64_t armed_ms; /* time the timerfd is set to; 0 if it is not set */
};

static int
compare_due (const void *a, const void *b, void *data)
{
  const Timer *first = a;
  const Timer *second = b;

  return (first->due_ms > second->due_ms) - (first->due_ms < second->due_ms);
}

static void
arm (TimerQueue *queue, int64_t due_ms)
{
  int64_t delay_ms = MAX (due_ms - clock_now_ms (), 1);
  const struct itimerspec spec = { .it_value = { delay_ms / 1000, (delay_ms % 1000) * 1000000 } };

  queue->armed_ms = due_ms;
  timerfd_settime (queue->fd, 0, &spec, NULL);
}

static Timer *
first_timer (const TimerQueue *queue)
{
  GSequenceIter *first = g_sequence_get_begin_iter (queue->timers);

  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

static void
on_wake (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  TimerQueue *queue = data;
  uint64_t expirations;
  int64_t now_ms = clock_now_ms ();
  Timer *timer;

  if (read (queue->fd, &expirations, sizeof expirations) < 0)
    return;
  queue->armed_ms = 0;
  while ((timer = first_timer (queue)) != NULL && timer->due_ms <= now_ms)
    {
      timer_clear (timer);
      timer->fired (timer->data);
    }
  if (timer != NULL)
    arm (queue, timer->due_ms);
}

static int
queue_destroy (TimerQueue *queue)
{
  TALLOC_FREE (queue->fde);
  close (queue->fd);
  g_sequence_free (queue->timers);
  return 0;
}

TimerQueue *
timer_queue_new (TALLOC_CTX *parent, struct tevent_context *events)
{
  int fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  TimerQueue *queue;

  if (fd < 0)
    return NULL;
  queue = talloc_zero (parent, TimerQueue);
  queue->fd = fd;
  queue->timers = g_sequence_new (NULL);
  queue->fde = tevent_add_fd (events, queue, fd, TEVENT_FD_READ, on_wake, queue);
  talloc_set_destructor (queue, queue_destroy);
  return queue;
}

void
timer_set (TimerQueue *queue, Timer *timer, int64_t delay_ms)
{
  timer_clear (timer);
  timer->due_ms = clock_now_ms () + MAX (delay_ms, 0);
  timer->node = g_sequence_insert_sorted (queue->timers, timer, compare_due, NULL);
  if (queue->armed_ms == 0 || timer->due_ms < queue->armed_ms)
    arm (queue, timer->due_ms);
}

void
timer_clear (Timer *timer)
{
  if (timer->node == NULL)
    return;
  g_sequence_remove (timer->node);
  timer->node = NULL;
}
