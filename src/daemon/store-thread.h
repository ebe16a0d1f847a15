/**
 * DOC: A thread for the blocking calls to the platform store, so that an outage of the store does
 * not block other threads.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/mailbox.h"

typedef struct StoreThread StoreThread;

/** enum StoreResultKind - Kind of result. */
typedef enum
{
  STORE_RESULT_CONFIG, /* parts of newer versions, if there are any */
  STORE_RESULT_HOSTS   /* the platform's host list */
} StoreResultKind;

/**
 * struct StoreResult - Result of a request, posted to the mailbox; free with store_result_free().
 * @answered: the store responded.
 * @latest_version: latest version in the store.
 * @parts: array of ConfigPart, in order; may be %NULL.
 * @hosts: host list, or %NULL.
 */
typedef struct
{
  MailboxMessage message;
  StoreResultKind kind;
  bool answered;
  uint64_t latest_version;
  GPtrArray *parts;
  json_t *hosts;
} StoreResult;

/** store_result_free() - Frees a result. */
void store_result_free (StoreResult *result);

/**
 * struct StoreThreadOptions - Options.
 * @url: base URL of the platform API.
 * @mailbox: receives the results.
 * @deliver: called for each result in the thread that reads @mailbox.
 */
typedef struct
{
  const char *url;
  Mailbox *mailbox;
  void (*deliver) (void *receiver, MailboxMessage *message);
} StoreThreadOptions;

/** store_thread_new() - Starts the thread. */
StoreThread *store_thread_new (const StoreThreadOptions *options);

/**
 * store_thread_free() - Stops the thread after the current call, and frees @store. Audit events
 * that are still queued are lost.
 */
void store_thread_free (StoreThread *store);

/** store_thread_poll() - Requests the parts of versions after @have. */
void store_thread_poll (StoreThread *store, uint64_t have);

/**
 * store_thread_sync_hosts() - Registers this host with @self, unless %NULL, and reads the host
 * list if @read. Takes ownership of @self.
 */
void store_thread_sync_hosts (StoreThread *store, const char *id, json_t *self, bool read);

/**
 * store_thread_audit() - Writes an event to the audit trail, retrying until it is stored; the
 * oldest events are dropped if too many are queued. Takes ownership of @value.
 */
void store_thread_audit (StoreThread *store, const char *key, json_t *value);
