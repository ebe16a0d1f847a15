/**
 * DOC: Simulated store with revisions, a change feed and restores from a backup, in the event loop
 * of the test. Each client has a connection of its own, which can be down or silent.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>

#include "base/timer-queue.h"
#include "pool/directory.h"

typedef struct FakeStore FakeStore;

/** enum FakeStoreAccess - How a client reaches the store. */
typedef enum
{
  FAKE_STORE_OK,
  FAKE_STORE_DOWN,  /* calls are refused */
  FAKE_STORE_SILENT /* calls get no answer */
} FakeStoreAccess;

/** struct FakeStoreClient - A client; @directory calls the store. @calls: since last set to 0. */
typedef struct
{
  FakeStore *store;
  FakeStoreAccess access;
  guint calls;
  Directory directory;
} FakeStoreClient;

/** fake_store_new() - Store in its first era, with a configuration and instances. */
FakeStore *fake_store_new (TALLOC_CTX *parent, TimerQueue *timers, guint64 version,
                           guint instances);

/** fake_store_client_new() - Connects a client. */
FakeStoreClient *fake_store_client_new (TALLOC_CTX *parent, FakeStore *store,
                                        FakeStoreAccess access);

/** fake_store_set_access() - Calls under way end without an answer when the store goes down. */
void fake_store_set_access (FakeStoreClient *client, FakeStoreAccess access);

/** fake_store_put_config() - The operator writes configuration @version. */
void fake_store_put_config (FakeStore *store, guint64 version);

/** fake_store_put_config_before_watch() - The same, right before the next watch arrives. */
void fake_store_put_config_before_watch (FakeStore *store, guint64 version);

/** fake_store_set_instances() - The first @count instances are registered, the others are not. */
void fake_store_set_instances (FakeStore *store, guint count);

/** fake_store_touch() - Others write @count times to other tables. */
void fake_store_touch (FakeStore *store, guint count);

/** fake_store_backup() - Saves the state that fake_store_restore() returns to. */
void fake_store_backup (FakeStore *store);

/**
 * fake_store_restore() - Loses what was written since the backup and begins the next era. Calls
 * under way lose their connections; with @silent they are not told so, and time out.
 */
void fake_store_restore (FakeStore *store, bool silent);

/** fake_store_print_hosts() - Ids in the host list, in order, on one line; or "none". */
void fake_store_print_hosts (const FakeStore *store, GString *out);
