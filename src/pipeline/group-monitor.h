/**
 * DOC: One host's view of a database group: polls the instances, holds responses until a majority
 * has reached their position, and sends the commands of the failover policy.
 */
#pragma once

#include <stdbool.h>

#include "config/service-config.h"
#include "runtime/worker.h"
#include "policy/commit-gate.h"
#include "policy/failover.h"

typedef struct GroupMonitor GroupMonitor;

/**
 * struct GroupMonitorOptions - The group to monitor.
 * @changed: the status of an instance or the failover phase may have changed.
 * @released: a response has left the commit gate.
 * @sampled: result of group_monitor_sample().
 * @resolved: result of group_monitor_resolve(), not yet replicated to a majority.
 */
typedef struct
{
  Worker *worker;
  ServiceConfig *service;
  void (*changed) (void *data);
  void (*released) (void *data, void *response, GateResult result);
  void (*sampled) (void *data, void *waiter, SessionToken position);
  void (*resolved) (void *data, void *waiter, bool known, bool committed, SessionToken position);
  void *data;
} GroupMonitorOptions;

/** group_monitor_new() - Creates a monitor and starts polling. */
GroupMonitor *group_monitor_new (TALLOC_CTX *parent, const GroupMonitorOptions *options);

/** group_monitor_configure() - Applies a new configuration of the same instances. */
void group_monitor_configure (GroupMonitor *monitor, ServiceConfig *service);

/** group_monitor_set_rank() - Sets the rank of this host among those that decide on a failover. */
void group_monitor_set_rank (GroupMonitor *monitor, uint32_t rank);

/**
 * group_monitor_set_busy() - Sets whether the primary is running work; a planned switchover waits
 * for it to finish.
 */
void group_monitor_set_busy (GroupMonitor *monitor, bool busy);

/** group_monitor_status() - Last known status of @instance. */
const InstanceStatus *group_monitor_status (const GroupMonitor *monitor, uint32_t instance);

/** group_monitor_primary() - Index of the current primary; -1 if unknown. */
int32_t group_monitor_primary (const GroupMonitor *monitor);

/** group_monitor_term() - Highest term seen. */
uint64_t group_monitor_term (const GroupMonitor *monitor);

/** group_monitor_is_stable() - Whether this host has no change of primary in progress. */
bool group_monitor_is_stable (const GroupMonitor *monitor);

/** group_monitor_has_majority() - Whether a majority of instances responded recently. */
bool group_monitor_has_majority (const GroupMonitor *monitor);

/** group_monitor_is_responding() - Whether @instance responded recently. */
bool group_monitor_is_responding (const GroupMonitor *monitor, uint32_t instance);

/**
 * group_monitor_age_ms() - Upper bound on the age of data that includes @applied; -1 if unknown.
 */
int64_t group_monitor_age_ms (const GroupMonitor *monitor, SessionToken applied);

/**
 * group_monitor_confirm() - Polls as soon as possible, so that a read starting now can be
 * confirmed.
 */
void group_monitor_confirm (GroupMonitor *monitor);

/**
 * group_monitor_hold() - Holds a response until a majority has reached @response->position. @holder
 * is the instance whose own response showed that it has the position, or -1.
 */
void group_monitor_hold (GroupMonitor *monitor, int32_t holder, const GatedResponse *response);

/** group_monitor_applied() - Records that a result showed @instance to have applied @position. */
void group_monitor_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position);

/** group_monitor_await_applied() - Polls @instance until it has applied @position. */
void group_monitor_await_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position);

/**
 * group_monitor_sample() - Requests, for @waiter, a position that covers every write acknowledged
 * so far.
 */
void group_monitor_sample (GroupMonitor *monitor, void *waiter);

/** group_monitor_remove_waiter() - Drops the request of @waiter for a position. */
void group_monitor_remove_waiter (GroupMonitor *monitor, const void *waiter);

/** group_monitor_resolve() - Looks up the outcome of @transaction_id on the primary. */
void group_monitor_resolve (GroupMonitor *monitor, const char *transaction_id, void *waiter);
