/**
 * DOC: The connections of this host to one instance, and the queue of requests for them.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "pool/instance-connection.h"
#include "pool/catalog.h"

typedef struct InstancePool InstancePool;
typedef struct PoolConnection PoolConnection;
typedef struct ConnectionRequest ConnectionRequest;

/**
 * struct ConnectionRequest - A request for a connection, embedded in its user; zeroed before use.
 * @priority: priority of the statement.
 * @deadline_ms: absolute time after which the request is refused.
 * @source: fairness key.
 * @customer: whose statement it is, as a connection serves one customer only; empty for none.
 * @restartable: the statement may be abandoned and run on another instance.
 * @values: session values that the connection should already have, if there is a choice.
 * @granted: a connection is available.
 * @refused: there is none; nothing was sent.
 * @lost: the granted connection is gone and must not be released.
 */
struct ConnectionRequest
{
  Priority priority;
  int64_t deadline_ms;
  uint64_t source;
  const char *customer;
  bool restartable;
  const SessionValues *values;
  void (*granted) (void *data, PoolConnection *connection);
  void (*refused) (void *data, AnswerCode code);
  void (*lost) (void *data);
  void *data;
  /* private */
  AdmissionItem item;
  InstancePool *pool;
  bool waiting;
};

/**
 * struct InstancePoolOptions - Instance, codec and callbacks.
 * @displaced: another instance has taken over the address.
 * @connect_failed: connecting failed: the connection was refused or timed out.
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

/** instance_pool_info() - The instance's entry. */
const InstanceInfo *instance_pool_info (const InstancePool *pool);

/** instance_pool_update() - The instance's entry changed; it is the same incarnation. */
void instance_pool_update (InstancePool *pool, const InstanceInfo *info);

/** instance_pool_request() - Requests a connection; a callback may run before it returns. */
void instance_pool_request (InstancePool *pool, ConnectionRequest *request);

/** instance_pool_cancel() - Cancels a request that was not granted. */
void instance_pool_cancel (ConnectionRequest *request);

/** instance_pool_release() - Returns the connection to the pool after @service_us of use. */
void instance_pool_release (PoolConnection *connection, int64_t service_us);

/**
 * instance_pool_release_slot() - The caller of an open transaction has its answer, after
 * @service_us: the connection stays with the transaction but no longer counts as a running
 * statement.
 */
void instance_pool_release_slot (PoolConnection *connection, int64_t service_us);

/**
 * instance_pool_retake_slot() - The next statement of the transaction is sent; it never waits for a
 * slot.
 */
void instance_pool_retake_slot (PoolConnection *connection);

/** instance_pool_discard() - Closes the connection, which rolls back a transaction open on it. */
void instance_pool_discard (PoolConnection *connection);

/**
 * instance_pool_fail_restartable() - Reports restartable work as lost now, because the instance is
 * unresponsive.
 */
void instance_pool_fail_restartable (InstancePool *pool);

/** instance_pool_close() - Refuses all waiting requests; connections in use stay until released. */
void instance_pool_close (InstancePool *pool);

/** instance_pool_close_idle() - Closes the connections that nobody uses. */
void instance_pool_close_idle (InstancePool *pool);

/** instance_pool_in_use() - Number of granted connections. */
uint32_t instance_pool_in_use (const InstancePool *pool);

/** instance_pool_demand() - Connections that the work of about the last second could have used. */
uint32_t instance_pool_demand (const InstancePool *pool);

/** struct InstancePoolLimits - This host's share of the instance. */
typedef struct
{
  uint32_t connections;
  uint32_t statements; /* running at once; statements of open transactions may exceed it */
  bool scarce;         /* idle connections are closed almost at once */
} InstancePoolLimits;

/** instance_pool_set_limits() - Sets the limits that apply from now on. */
void instance_pool_set_limits (InstancePool *pool, const InstancePoolLimits *limits);

/** instance_pool_connection() - The protocol connection. */
InstanceConnection *instance_pool_connection (PoolConnection *connection);

/** instance_pool_of_connection() - Pool of a connection. */
InstancePool *instance_pool_of_connection (PoolConnection *connection);

/** instance_pool_expected_wait_ms() - Expected wait of a new request for a connection. */
int64_t instance_pool_expected_wait_ms (const InstancePool *pool, Priority priority);

/**
 * instance_pool_is_down() - Whether the last connect failed and no connection is open, or the pool
 * is closed.
 */
bool instance_pool_is_down (const InstancePool *pool);

/**
 * instance_pool_silent_ms() - Time that work has waited without any data from the instance; 0 if
 * none waits.
 */
int64_t instance_pool_silent_ms (const InstancePool *pool, int64_t now_ms);

/** instance_pool_tick() - Applies the time limits of connecting, waiting and idling. */
void instance_pool_tick (InstancePool *pool, int64_t now_ms);
