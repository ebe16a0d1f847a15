#include "base/wait-queue.h"

void
wait_queue_init (WaitQueue *queue)
{
  g_queue_init (&queue->waiters);
}

void
wait_queue_done (WaitQueue *queue)
{
  Waiter *waiter;

  while ((waiter = g_queue_pop_head (&queue->waiters)) != NULL)
    waiter->queue = NULL;
}

bool
wait_queue_is_empty (const WaitQueue *queue)
{
  return queue->waiters.length == 0;
}

void
wait_queue_add (WaitQueue *queue, Waiter *waiter)
{
  waiter->queue = queue;
  g_queue_push_tail (&queue->waiters, waiter);
}

void
wait_queue_wake (WaitQueue *queue)
{
  const guint count = queue->waiters.length;

  for (guint i = 0; i < count; i++)
    {
      Waiter *waiter = g_queue_pop_head (&queue->waiters);

      if (waiter == NULL)
        return;
      waiter->queue = NULL;
      waiter->woken (waiter->data);
    }
}

void
waiter_cancel (Waiter *waiter)
{
  if (waiter->queue == NULL)
    return;
  g_queue_remove (&waiter->queue->waiters, waiter);
  waiter->queue = NULL;
}
