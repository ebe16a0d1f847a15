/**
 * DOC: Owner of instances of one database group: their admission queues, connection pools and open
 * transactions.
 */
#pragma once

#include <stdbool.h>

#include "config/service-config.h"
#include "runtime/worker.h"
#include "pipeline/backend-pool.h"
#include "pipeline/group-monitor.h"
#include "pipeline/traced-queue.h"

typedef struct GroupOwner GroupOwner;
typedef struct InstanceOwner InstanceOwner;
typedef struct OwnerJob OwnerJob;
typedef struct OwnerTransaction OwnerTransaction;

/**
 * struct InstanceOwner - Queue and connections of one instance.
 * @serving: it was responding at the last check.
 */
struct InstanceOwner
{
  GroupOwner *group;
  uint32_t index;
  bool owned;
  bool serving;
  bool primary;
  TracedQueue *queue;
  BackendPool *pool;
  GQueue waiting_catchup;    /* OwnerJob, until the replica has caught up */
  GQueue waiting_connection; /* OwnerJob that holds a slot */
};

/** struct GroupOwner - The owned instances of a group, with their jobs and transactions. */
struct GroupOwner
{
  Worker *worker;
  ServiceConfig *service;
  GroupMonitor *monitor;
  InstanceOwner instances[GROUP_INSTANCES_MAX];
  GHashTable *jobs;         /* request id -> OwnerJob */
  GHashTable *transactions; /* session id -> OwnerTransaction */
  int64_t created_ms;
  int64_t used_ms;
  bool dispatching;
  bool dispatch_again;
};

/** struct OwnerTransaction - A transaction pinned to a connection. */
struct OwnerTransaction
{
  uint64_t session;
  Origin origin;
  InstanceOwner *instance;
  PooledConnection *connection;
  OwnerJob *job;         /* its running statement, or NULL */
  bool rollback_pending; /* nobody will end it: roll back after the statement */
  int64_t used_ms;
};

/** group_owner_new() - Creates the owner of @service, to which it takes a reference. */
GroupOwner *group_owner_new (TALLOC_CTX *parent, Worker *worker, ServiceConfig *service);

/** group_owner_configure() - Applies a new configuration of the same instances. */
void group_owner_configure (GroupOwner *group, ServiceConfig *service);

/** group_owner_same_instances() - Whether @service still has the instances of this owner. */
bool group_owner_same_instances (const GroupOwner *group, const ServiceConfig *service);

/** group_owner_set_owned() - Sets whether this host owns @instance in the current view. */
void group_owner_set_owned (GroupOwner *group, uint32_t instance, bool owned);

/** group_owner_receive() - Handles @frame and takes ownership of it. */
void group_owner_receive (GroupOwner *group, Origin origin, Frame *frame);

/**
 * group_owner_origin_lost() - Ends the work of @origin, to which no response can be sent any more.
 */
void group_owner_origin_lost (GroupOwner *group, Origin origin);

/** group_owner_tick() - Enforces time limits. */
void group_owner_tick (GroupOwner *group, int64_t now_ms);

/**
 * group_owner_is_unused() - Whether it owns no instance, has no work and has been idle for a while.
 */
bool group_owner_is_unused (const GroupOwner *group, int64_t now_ms);

/** group_owner_dispatch() - Starts every job that may start; safe to call recursively. */
void group_owner_dispatch (GroupOwner *group);

/** group_owner_transaction() - Open transaction of @session, or %NULL. */
OwnerTransaction *group_owner_transaction (GroupOwner *group, uint64_t session);

/** group_owner_open_transaction() - Pins @connection to the transaction of @session. */
OwnerTransaction *group_owner_open_transaction (InstanceOwner *instance, uint64_t session,
                                                Origin origin, PooledConnection *connection);

/**
 * group_owner_close_transaction() - Unpins the connection and returns it to the function's caller.
 */
PooledConnection *group_owner_close_transaction (GroupOwner *group, OwnerTransaction *transaction);

/**
 * group_owner_drop_transaction() - Rolls back by closing the connection, after the running
 * statement if there is one.
 */
void group_owner_drop_transaction (GroupOwner *group, OwnerTransaction *transaction);
