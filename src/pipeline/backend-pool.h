/**
 * DOC: The pooled connections of one owner to one instance. Never more than the limit; a
 * returned connection is reset before reuse, one long idle is proved, a doubtful one dropped.
 */
#pragma once

#include <stdbool.h>

#include "adapter/backend-connection.h"
#include "config/service-config.h"
#include "runtime/worker.h"

typedef struct BackendPool BackendPool;
typedef struct PooledConnection PooledConnection;

/**
 * struct BackendPoolOptions - Whom to connect to.
 * @available: a connection can be taken again.
 */
typedef struct
{
  Worker *worker;
  const ServiceConfig *service;
  const InstanceConfig *instance;
  void (*available) (void *data);
  void *data;
} BackendPoolOptions;

/** struct PooledCallbacks - Who holds a connection. @lost: it is gone, and must not be returned. */
typedef struct
{
  void (*event) (void *data, const BackendEvent *event);
  void (*lost) (void *data);
  void *data;
} PooledCallbacks;

/** backend_pool_new() - Empty pool. */
BackendPool *backend_pool_new (TALLOC_CTX *parent, const BackendPoolOptions *options);

/** backend_pool_configure() - Replaces the limits. */
void backend_pool_configure (BackendPool *pool, const ServiceConfig *service,
                             const InstanceConfig *instance);

/** backend_pool_has_capacity() - Whether work may count on a connection now or very soon. */
bool backend_pool_has_capacity (BackendPool *pool, bool urgent);

/**
 * backend_pool_acquire() - An idle connection for @user, or %NULL: then one is opened if the
 * limit allows and @available follows. Work that is not urgent leaves the reserve alone.
 * A read-only connection refuses writes by itself, also after it was reset.
 */
PooledConnection *backend_pool_acquire (BackendPool *pool, bool urgent, bool read_only,
                                        const PooledCallbacks *user);

/** backend_pool_set_callbacks() - Hands a connection in use to another holder. */
void backend_pool_set_callbacks (PooledConnection *connection, const PooledCallbacks *user);

/** backend_pool_release() - Returns a connection, to be reset. */
void backend_pool_release (PooledConnection *connection);

/** backend_pool_drop() - Closes a connection that is in doubt. */
void backend_pool_drop (PooledConnection *connection);

/** backend_pool_connection() - The connection itself. */
BackendConnection *backend_pool_connection (PooledConnection *connection);

/** backend_pool_shrink() - Closes idle connections beyond @keep. */
void backend_pool_shrink (BackendPool *pool, uint32_t keep);

/** backend_pool_reachable() - Whether the last attempt to connect succeeded. */
bool backend_pool_reachable (const BackendPool *pool);

/** backend_pool_tick() - Retires silent connections. */
void backend_pool_tick (BackendPool *pool, int64_t now_ms);
