#include "base/pause-gate.h"

#include <pthread.h>
#include <glib.h>

struct ThreadPause
{
  Mailbox *mailbox;
  pthread_mutex_t lock;
  pthread_cond_t ended;
  bool paused;
};

/* Runs in the frozen thread and keeps it. */
typedef struct
{
  MailboxMessage head;
  ThreadPause *gate;
} PauseMessage;

ThreadPause *
thread_pause_new (Mailbox *mailbox)
{
  ThreadPause *gate = g_new0 (ThreadPause, 1);

  gate->mailbox = mailbox;
  pthread_mutex_init (&gate->lock, NULL);
  pthread_cond_init (&gate->ended, NULL);
  return gate;
}

void
thread_pause_free (ThreadPause *gate)
{
  pthread_cond_destroy (&gate->ended);
  pthread_mutex_destroy (&gate->lock);
  g_free (gate);
}

static void
deliver_pause (void *receiver, MailboxMessage *message)
{
  ThreadPause *gate = ((PauseMessage *) message)->gate;

  g_free (message);
  pthread_mutex_lock (&gate->lock);
  while (gate->paused)
    pthread_cond_wait (&gate->ended, &gate->lock);
  pthread_mutex_unlock (&gate->lock);
}

void
thread_pause_set (ThreadPause *gate, bool paused)
{
  PauseMessage *message;

  pthread_mutex_lock (&gate->lock);
  gate->paused = paused;
  pthread_cond_broadcast (&gate->ended);
  pthread_mutex_unlock (&gate->lock);
  if (!paused)
    return;
  message = g_new0 (PauseMessage, 1);
  message->head.deliver = deliver_pause;
  message->gate = gate;
  mailbox_post (gate->mailbox, &message->head);
}
