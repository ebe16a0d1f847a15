#include "base/thread-pause.h"

#include <pthread.h>
#include <glib.h>

struct ThreadPause
{
  Mailbox *mailbox;
  pthread_mutex_t lock;
  pthread_cond_t resumed;
  bool paused;
};

/* A message whose delivery blocks the receiving thread until it is resumed. */
typedef struct
{
  MailboxMessage head;
  ThreadPause *pause;
} PauseMessage;

ThreadPause *
thread_pause_new (Mailbox *mailbox)
{
  ThreadPause *pause = g_new0 (ThreadPause, 1);

  pause->mailbox = mailbox;
  pthread_mutex_init (&pause->lock, NULL);
  pthread_cond_init (&pause->resumed, NULL);
  return pause;
}

void
thread_pause_free (ThreadPause *pause)
{
  pthread_cond_destroy (&pause->resumed);
  pthread_mutex_destroy (&pause->lock);
  g_free (pause);
}

static void
deliver_pause (void *receiver, MailboxMessage *message)
{
  ThreadPause *pause = ((PauseMessage *) message)->pause;

  g_free (message);
  pthread_mutex_lock (&pause->lock);
  while (pause->paused)
    pthread_cond_wait (&pause->resumed, &pause->lock);
  pthread_mutex_unlock (&pause->lock);
}

void
thread_pause_set (ThreadPause *pause, bool paused)
{
  PauseMessage *message;

  pthread_mutex_lock (&pause->lock);
  pause->paused = paused;
  pthread_cond_broadcast (&pause->resumed);
  pthread_mutex_unlock (&pause->lock);
  if (!paused)
    return;
  message = g_new0 (PauseMessage, 1);
  message->head.deliver = deliver_pause;
  message->pause = pause;
  mailbox_post (pause->mailbox, &message->head);
}
