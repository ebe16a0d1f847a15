/**
 * DOC: Owner of instances of one database group: their queues, pooled connections and open
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

/** struct InstanceOwner - Queue and connections of one instance. @serving: answers, as it last did.
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
  GQueue waiting_catchup;    /* OwnerJob, until the replica is recent enough */
  GQueue waiting_connection; /* OwnerJob, with a slot */
};

/** struct GroupOwner - State of the group's owner. */
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
  OwnerJob *job;         /* its statement in progress, or NULL */
  bool rollback_pending; /* nobody will end it: to be rolled back */
  int64_t used_ms;
};

/** group_owner_new() - Owner of @service, which it takes a reference to. */
GroupOwner *group_owner_new (TALLOC_CTX *parent, Worker *worker, ServiceConfig *service);

/** group_owner_configure() - Takes a new version of the same instances. */
void group_owner_configure (GroupOwner *group, ServiceConfig *service);

/** group_owner_same_instances() - Whether @service has the instances this owner was made for. */
bool group_owner_same_instances (const GroupOwner *group, const ServiceConfig *service);

/** group_owner_set_owned() - Whether this host owns @instance by the current view. */
void group_owner_set_owned (GroupOwner *group, uint32_t instance, bool owned);

/** group_owner_receive() - A frame came in; owns it. */
void group_owner_receive (GroupOwner *group, Origin origin, Frame *frame);

/** group_owner_origin_lost() - Nobody is left to take answers to @origin. */
void group_owner_origin_lost (GroupOwner *group, Origin origin);

/** group_owner_tick() - Time limits. */
void group_owner_tick (GroupOwner *group, int64_t now_ms);

/** group_owner_is_unused() - Owns nothing and holds nothing. */
bool group_owner_is_unused (const GroupOwner *group, int64_t now_ms);

/** group_owner_dispatch() - Starts what may start; safe to call from within itself. */
void group_owner_dispatch (GroupOwner *group);

/** group_owner_transaction() - Open transaction of @session, or %NULL. */
OwnerTransaction *group_owner_transaction (GroupOwner *group, uint64_t session);

/** group_owner_open_transaction() - Pins @connection to @session. */
OwnerTransaction *group_owner_open_transaction (InstanceOwner *instance, uint64_t session,
                                                Origin origin, PooledConnection *connection);

/** group_owner_close_transaction() - Ends the pin; the connection is the caller's again. */
PooledConnection *group_owner_close_transaction (GroupOwner *group, OwnerTransaction *transaction);

/** group_owner_drop_transaction() - Rolls back by closing the connection. */
void group_owner_drop_transaction (GroupOwner *group, OwnerTransaction *transaction);
