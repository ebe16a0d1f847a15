/**
 * DOC: Connection pool of one owner for one instance. It never exceeds its limit. A released
 * connection is reset before reuse, one that was idle for long is probed before it is used, and one
 * in an unknown state is closed.
 */
#pragma once

#include <stdbool.h>

#include "adapter/backend-connection.h"
#include "config/service-config.h"
#include "runtime/worker.h"

typedef struct BackendPool BackendPool;
typedef struct PooledConnection PooledConnection;

/**
 * struct BackendPoolOptions - Where to connect.
 * @available: called when a connection can be acquired again.
 */
typedef struct
{
  Worker *worker;
  const ServiceConfig *service;
  const InstanceConfig *instance;
  void (*available) (void *data);
  void *data;
} BackendPoolOptions;

/**
 * struct PooledCallbacks - Callbacks to the user of an acquired connection.
 * @lost: the connection was closed and must not be released.
 */
typedef struct
{
  void (*event) (void *data, const BackendEvent *event);
  void (*lost) (void *data);
  void *data;
} PooledCallbacks;

/** backend_pool_new() - Creates an empty pool. */
BackendPool *backend_pool_new (TALLOC_CTX *parent, const BackendPoolOptions *options);

/** backend_pool_configure() - Replaces the limits. */
void backend_pool_configure (BackendPool *pool, const ServiceConfig *service,
                             const InstanceConfig *instance);

/** backend_pool_has_capacity() - Whether a connection is available now or will be shortly. */
bool backend_pool_has_capacity (BackendPool *pool, bool urgent);

/**
 * backend_pool_acquire() - Returns an idle connection, or %NULL. In that case a new one is opened
 * if the limit allows it, and @available is called once it is ready. Only urgent work may use the
 * reserved connections. A read-only connection rejects writes on its own, also after a reset.
 */
PooledConnection *backend_pool_acquire (BackendPool *pool, bool urgent, bool read_only,
                                        const PooledCallbacks *callbacks);

/** backend_pool_set_callbacks() - Passes an acquired connection on to another user. */
void backend_pool_set_callbacks (PooledConnection *connection, const PooledCallbacks *callbacks);

/** backend_pool_release() - Returns a connection to the pool, which resets it. */
void backend_pool_release (PooledConnection *connection);

/** backend_pool_drop() - Closes an acquired connection whose state is unknown. */
void backend_pool_drop (PooledConnection *connection);

/** backend_pool_connection() - The underlying backend connection. */
BackendConnection *backend_pool_connection (PooledConnection *connection);

/** backend_pool_shrink() - Closes idle connections until at most @keep connections are left. */
void backend_pool_shrink (BackendPool *pool, uint32_t keep);

/**
 * backend_pool_reachable() - Whether the last connection attempt got a response from the server,
 * which includes a rejection at its connection limit.
 */
bool backend_pool_reachable (const BackendPool *pool);

/** backend_pool_tick() - Closes connections that have stopped responding. */
void backend_pool_tick (BackendPool *pool, int64_t now_ms);
