/**
 * DOC: A thread that talks to the platform's service, so that its outages delay nobody.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/mailbox.h"

typedef struct StoreThread StoreThread;

/** enum StoreResultKind - What was asked for. */
typedef enum
{
  STORE_RESULT_CONFIG, /* parts towards a newer version, or none */
  STORE_RESULT_HOSTS   /* the platform's host list */
} StoreResultKind;

/**
 * struct StoreResult - An answer, delivered to the mailbox; free with store_result_free().
 * @answered: the store answered.
 * @latest_version: greatest version in the store.
 * @parts: ConfigPart, in order; may be %NULL.
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

/** struct StoreThreadOptions - Where results go. */
typedef struct
{
  const char *url;
  Mailbox *mailbox;
  void (*deliver) (void *receiver, MailboxMessage *message);
} StoreThreadOptions;

/** store_thread_new() - Starts the thread. */
StoreThread *store_thread_new (const StoreThreadOptions *options);

/** store_thread_free() - Ends the thread, after a call in progress. */
void store_thread_free (StoreThread *store);

/** store_thread_poll() - Asks for versions after @have. */
void store_thread_poll (StoreThread *store, uint64_t have);

/** store_thread_sync_hosts() - Shows @self, which it takes over, if not %NULL; reads the list if
 * asked.
 */
void store_thread_sync_hosts (StoreThread *store, const char *id, json_t *self, bool read);

/** store_thread_audit() - Records an event for the audit trail, again until it is stored. */
void store_thread_audit (StoreThread *store, const char *key, json_t *value);
