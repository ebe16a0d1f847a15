#include "base/mailbox.h"

#include <stdatomic.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/sanitizer.h"

struct Mailbox
{
  struct __cds_wfcq_head head;
  struct cds_wfcq_tail tail;
  atomic_bool wakeup_pending;
  int event_fd;
  void *receiver;
};

static void
mailbox_read (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Mailbox *mailbox = data;
  struct cds_wfcq_node *node;
  uint64_t count;

  if (read (mailbox->event_fd, &count, sizeof count) < 0)
    return;
  atomic_store (&mailbox->wakeup_pending, false);
  while ((node = __cds_wfcq_dequeue_blocking ((cds_wfcq_head_ptr_t) &mailbox->head, &mailbox->tail))
         != NULL)
    {
      MailboxMessage *message = (MailboxMessage *) node;

      SANITIZER_ACQUIRE (message);
      message->deliver (mailbox->receiver, message);
    }
}

static int
mailbox_destroy (Mailbox *mailbox)
{
  close (mailbox->event_fd);
  return 0;
}

Mailbox *
mailbox_new (TALLOC_CTX *parent, struct tevent_context *events, void *receiver)
{
  Mailbox *mailbox = talloc_zero (parent, Mailbox);

  __cds_wfcq_init (&mailbox->head, &mailbox->tail);
  mailbox->event_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  mailbox->receiver = receiver;
  talloc_set_destructor (mailbox, mailbox_destroy);
  tevent_add_fd (events, mailbox, mailbox->event_fd, TEVENT_FD_READ, mailbox_read, mailbox);
  return mailbox;
}

void
mailbox_post (Mailbox *mailbox, MailboxMessage *message)
{
  const uint64_t one = 1;

  SANITIZER_RELEASE (message);
  cds_wfcq_node_init (&message->node);
  cds_wfcq_enqueue ((cds_wfcq_head_ptr_t) &mailbox->head, &mailbox->tail, &message->node);
  // One eventfd write wakes the reader for all messages posted before it reads.
  if (atomic_exchange (&mailbox->wakeup_pending, true))
    return;
  if (write (mailbox->event_fd, &one, sizeof one) < 0)
    return;
}
