#include "base/pause-gate.h"

#include <glib.h>

struct PauseGate
{
  Mailbox *mailbox;
  GMutex lock;
  GCond ended;
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
  g_mutex_init (&gate->lock);
  g_cond_init (&gate->ended);
  return gate;
}

void
pause_gate_free (PauseGate *gate)
{
  g_cond_clear (&gate->ended);
  g_mutex_clear (&gate->lock);
  g_free (gate);
}

static void
deliver_pause (void *receiver, MailboxMessage *message)
{
  PauseGate *gate = ((PauseMessage *) message)->gate;

  g_free (message);
  g_mutex_lock (&gate->lock);
  while (gate->paused)
    g_cond_wait (&gate->ended, &gate->lock);
  g_mutex_unlock (&gate->lock);
}

void
pause_gate_set (PauseGate *gate, bool paused)
{
  PauseMessage *message;

  g_mutex_lock (&gate->lock);
  gate->paused = paused;
  g_cond_broadcast (&gate->ended);
  g_mutex_unlock (&gate->lock);
  if (!paused)
    return;
  message = g_new0 (PauseMessage, 1);
  message->head.deliver = deliver_pause;
  message->gate = gate;
  mailbox_post (gate->mailbox, &message->head);
}
