#include "base/pause-gate.h"

#include <pthread.h>
#include <glib.h>

struct PauseGate
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
  PauseGate *gate;
} PauseMessage;

PauseGate *
pause_gate_new (Mailbox *mailbox)
{
  PauseGate *gate = g_new0 (PauseGate, 1);

  gate->mailbox = mailbox;
  pthread_mutex_init (&gate->lock, NULL);
  pthread_cond_init (&gate->ended, NULL);
  return gate;
}

void
pause_gate_free (PauseGate *gate)
{
  pthread_cond_destroy (&gate->ended);
  pthread_mutex_destroy (&gate->lock);
  g_free (gate);
}

static void
deliver_pause (void *receiver, MailboxMessage *message)
{
  PauseGate *gate = ((PauseMessage *) message)->gate;

  g_free (message);
  pthread_mutex_lock (&gate->lock);
  while (gate->paused)
    pthread_cond_wait (&gate->ended, &gate->lock);
  pthread_mutex_unlock (&gate->lock);
}

void
pause_gate_set (PauseGate *gate, bool paused)
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
