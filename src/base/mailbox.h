/**
 * DOC: Message queue between threads: wait-free for writers, with an eventfd that wakes the
 * reader's event loop.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>
#include <tevent.h>
#include <urcu/wfcqueue.h>

typedef struct Mailbox Mailbox;
typedef struct MailboxMessage MailboxMessage;

/**
 * struct MailboxMessage - Header of every message; must be the first member of its struct.
 * @node: used by the queue only.
 * @deliver: called in the reader's thread with the receiver of the mailbox; takes ownership of the
 *   message.
 */
struct MailboxMessage
{
  struct cds_wfcq_node node;
  void (*deliver) (void *receiver, MailboxMessage *message);
};

/** mailbox_new() - Mailbox read by the event loop @events; passes messages to @receiver. */
Mailbox *mailbox_new (TALLOC_CTX *parent, struct tevent_context *events, void *receiver);

/** mailbox_post() - Queues @message and takes ownership of it; thread-safe. */
void mailbox_post (Mailbox *mailbox, MailboxMessage *message);
