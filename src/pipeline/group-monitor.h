/**
 * DOC: A host's view of one database group: polls its instances, holds answers until a
 * majority has them, and carries out what the failover policy decides.
 */
#pragma once

#include <stdbool.h>

#include "config/service-config.h"
#include "runtime/worker.h"
#include "policy/commit-gate.h"
#include "policy/failover.h"

typedef struct GroupMonitor GroupMonitor;

/**
 * struct GroupMonitorOptions - What to watch.
 * @changed: an instance's status, or the phase, changed.
 * @released: a held answer may leave.
 * @sampled: a position for a waiter of group_monitor_sample().
 * @resolved: an outcome for a waiter of group_monitor_resolve(), not yet held by a majority.
 */
typedef struct
{
  Worker *worker;
  ServiceConfig *service;
  void (*changed) (void *data);
  void (*released) (void *data, void *ticket, GateResult result);
  void (*sampled) (void *data, void *waiter, SessionToken position);
  void (*resolved) (void *data, void *waiter, bool known, bool committed, SessionToken position);
  void *data;
} GroupMonitorOptions;

/** group_monitor_new() - Starts polling. */
GroupMonitor *group_monitor_new (TALLOC_CTX *parent, const GroupMonitorOptions *options);

/** group_monitor_configure() - Takes a new version of the same instances. */
void group_monitor_configure (GroupMonitor *monitor, ServiceConfig *service);

/** group_monitor_set_rank() - Place of this host in the order of failover deciders. */
void group_monitor_set_rank (GroupMonitor *monitor, uint32_t rank);

/** group_monitor_set_busy() - Work runs on the primary; a planned change waits for its end. */
void group_monitor_set_busy (GroupMonitor *monitor, bool busy);

/** group_monitor_status() - Last known status of @instance. */
const InstanceStatus *group_monitor_status (const GroupMonitor *monitor, uint32_t instance);

/** group_monitor_primary() - Index of the current primary; -1 if none is known. */
int32_t group_monitor_primary (const GroupMonitor *monitor);

/** group_monitor_term() - Greatest term seen. */
uint64_t group_monitor_term (const GroupMonitor *monitor);

/** group_monitor_is_stable() - Whether no change of primary is under way here. */
bool group_monitor_is_stable (const GroupMonitor *monitor);

/** group_monitor_has_majority() - Whether a majority answered lately. */
bool group_monitor_has_majority (const GroupMonitor *monitor);

/** group_monitor_is_responding() - Whether @instance answered lately. */
bool group_monitor_is_responding (const GroupMonitor *monitor, uint32_t instance);

/** group_monitor_age_ms() - Bound on the age of data that includes @applied; -1 if unknown. */
int64_t group_monitor_age_ms (const GroupMonitor *monitor, SessionToken applied);

/** group_monitor_confirm() - Polls soon, so that a read begun now can be confirmed. */
void group_monitor_confirm (GroupMonitor *monitor);

/**
 * group_monitor_hold() - Holds an answer at @ticket->position. @holder is the instance that
 * showed in its own answer to hold that position, or -1 if none did.
 */
void group_monitor_hold (GroupMonitor *monitor, int32_t holder, const GatedResponse *ticket);

/** group_monitor_applied() - A result showed that @instance has applied @position. */
void group_monitor_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position);

/** group_monitor_await_applied() - Polls @instance until it has applied @position. */
void group_monitor_await_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position);

/** group_monitor_sample() - @waiter wants a position that covers all acknowledged until now. */
void group_monitor_sample (GroupMonitor *monitor, void *waiter);

/** group_monitor_remove_waiter() - @waiter wants no position any more. */
void group_monitor_remove_waiter (GroupMonitor *monitor, const void *waiter);

/** group_monitor_resolve() - Looks the outcome of @transaction_id up on the primary. */
void group_monitor_resolve (GroupMonitor *monitor, const char *transaction_id, void *waiter);
