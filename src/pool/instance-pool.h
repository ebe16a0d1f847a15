/**
 * DOC: The connections of this host to one instance, and the queue of those who want one.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "pool/backend-line.h"
#include "pool/catalog.h"

typedef struct InstancePool InstancePool;
typedef struct PoolConnection PoolConnection;
typedef struct ConnectionRequest ConnectionRequest;

/**
 * struct ConnectionRequest - One who wants a connection, embedded in its user; zeroed before use.
 * @priority: rank of the work.
 * @deadline_ms: absolute time after which it is refused.
 * @source: fairness key.
 * @restartable: what runs on the connection may be given up and run elsewhere.
 * @values: what the connection should hold already, if there is a choice.
 * @granted: here is a connection. @refused: there is none; nothing was sent.
 * @lost: the granted connection is gone, and must not be given back.
 */
struct ConnectionRequest
{
  Priority priority;
  int64_t deadline_ms;
  uint64_t source;
  bool restartable;
  const SessionValues *values;
  void (*granted) (void *data, PoolConnection *line);
  void (*refused) (void *data, AnswerCode code);
  void (*lost) (void *data);
  void *data;
  /* private */
  AdmissionItem item;
  InstancePool *pool;
  bool waiting;
};

/**
 * struct InstancePoolOptions - Whom to connect to.
 * @displaced: the instance at that address is another one by now.
 * @connect_failed: an attempt to connect failed: nobody listens there, or nobody answers.
 */
typedef struct
{
  struct tevent_context *events;
  const Codec *codec;
  const InstanceInfo *info;
  uint32_t limit;
  void (*displaced) (void *data, InstancePool *pool);
  void (*connect_failed) (void *data, InstancePool *pool);
  void *data;
} InstancePoolOptions;

/** instance_pool_new() - Empty pool. */
InstancePool *instance_pool_new (TALLOC_CTX *parent, const InstancePoolOptions *options);

/** instance_pool_info() - The instance. */
const InstanceInfo *instance_pool_info (const InstancePool *pool);

/** instance_pool_update() - The instance announced itself again; same life. */
void instance_pool_update (InstancePool *pool, const InstanceInfo *info);

/** instance_pool_request() - Asks for a connection; a callback may come before it returns. */
void instance_pool_request (InstancePool *pool, ConnectionRequest *request);

/** instance_pool_cancel() - Not wanted any more; for a request that was not granted. */
void instance_pool_cancel (ConnectionRequest *request);

/** instance_pool_release() - The connection is free, after @service_us of use. */
void instance_pool_release (PoolConnection *line, int64_t service_us);

/**
 * instance_pool_release_slot() - The caller of an open transaction has its answer, after
 * @service_us: the connection stays its own, and does not count as work at the instance.
 */
void instance_pool_release_slot (PoolConnection *line, int64_t service_us);

/** instance_pool_retake_slot() - The next statement of the transaction is sent; it never waits. */
void instance_pool_retake_slot (PoolConnection *line);

/** instance_pool_discard() - Closes the connection, which rolls back what is open on it. */
void instance_pool_discard (PoolConnection *line);

/** instance_pool_fail_restartable() - The instance is silent: restartable work is lost there at
 * once. */
void instance_pool_fail_restartable (InstancePool *pool);

/** instance_pool_close() - Refuses all who wait; connections in use stay until given back. */
void instance_pool_close (InstancePool *pool);

/** instance_pool_in_use() - Connections granted. */
uint32_t instance_pool_in_use (const InstancePool *pool);

/** instance_pool_demand() - Connections that the work of the last second or so could use. */
uint32_t instance_pool_demand (const InstancePool *pool);

/** struct InstancePoolLimits - What this host may take of the instance. */
typedef struct
{
  uint32_t connections;
  uint32_t statements; /* at work at once; those of open transactions go on beyond it */
  bool scarce;         /* connections not in use are closed almost at once */
} InstancePoolLimits;

/** instance_pool_set_limits() - What holds from now on. */
void instance_pool_set_limits (InstancePool *pool, const InstancePoolLimits *limits);

/** instance_pool_connection() - The connection itself. */
InstanceConnection *instance_pool_connection (PoolConnection *line);

/** instance_pool_of_connection() - Pool of a connection. */
InstancePool *instance_pool_of_connection (PoolConnection *line);

/** instance_pool_expected_wait_ms() - Wait for a connection that new work can expect. */
int64_t instance_pool_expected_wait_ms (const InstancePool *pool, Priority priority);

/** instance_pool_is_down() - Connecting failed a moment ago and nothing is open. */
bool instance_pool_is_down (const InstancePool *pool);

/** instance_pool_silent_ms() - How long work has been running there without a sign of life. */
int64_t instance_pool_silent_ms (const InstancePool *pool, int64_t now_ms);

/** instance_pool_tick() - Time limits of connecting, waiting and idling. */
void instance_pool_tick (InstancePool *pool, int64_t now_ms);
