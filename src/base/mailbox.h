/**
 * DOC: Messages between threads: a wait-free queue with an eventfd that wakes the reader's
 * event loop.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>
#include <tevent.h>
#include <urcu/wfcqueue.h>

typedef struct Mailbox Mailbox;
typedef struct MailboxMessage MailboxMessage;

/**
 * struct MailboxMessage - Head of every message; embed it first.
 * @node: private to the queue.
 * @deliver: runs in the reader's thread with the mailbox's receiver; owns the message.
 */
struct MailboxMessage
{
  struct cds_wfcq_node node;
  void (*deliver) (void *receiver, MailboxMessage *message);
};

/** mailbox_new() - Mailbox read by @events; messages are delivered to @receiver. */
Mailbox *mailbox_new (TALLOC_CTX *parent, struct tevent_context *events, void *receiver);

/** mailbox_post() - Hands @message over; safe from any thread. */
void mailbox_post (Mailbox *mailbox, MailboxMessage *message);
