/**
 * DOC: Stand-in for one replicated database: instances that speak the PostgreSQL protocol,
 * replicate by a GroupLog and fail on command. Runs in one event loop.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "policy/commit-gate.h"
#include "standin/group-log.h"
#include "standin/sql-engine.h"

typedef struct DatabaseGroup DatabaseGroup;

/**
 * typedef StandinDelay - One-way network delay in microseconds between two failure domains.
 */
typedef int64_t (*StandinDelay) (const char *from_domain, const char *to_domain, void *data);

/** struct StandinInstance - Place of one instance. @port 0 takes any. */
typedef struct
{
  const char *name;
  const char *address;
  uint16_t port;
  const char *failure_domain;
} StandinInstance;

/**
 * struct DatabaseGroupOptions - What to emulate.
 * @name: service that it stands in for.
 * @slots: statements that run at once; more wait in arrival order.
 * @connections: connections accepted; more are refused with 53300.
 * @connect_delay_ms: time that a new connection takes.
 * @service_us: time that a statement takes.
 * @lag_ms: time between receiving and applying at a replica.
 * @delay: network delays; %NULL for none.
 */
typedef struct
{
  const char *name;
  uint32_t instance_count;
  StandinInstance instances[GROUP_INSTANCES_MAX];
  uint32_t slots;
  uint32_t connections;
  uint32_t connect_delay_ms;
  uint32_t service_us;
  uint32_t lag_ms;
  StandinDelay delay;
  void *delay_data;
} DatabaseGroupOptions;

/** enum StandinFault - Failures on command. */
typedef enum
{
  STANDIN_FAULT_DOWN,   /* process gone: connections reset, none accepted */
  STANDIN_FAULT_CUT,    /* cut off from the rest of its group only */
  STANDIN_FAULT_SILENT, /* open connections go silent for good; new ones work */
  STANDIN_FAULT_PAUSE,  /* does nothing until resumed */
  STANDIN_FAULT_LAG,    /* replication lag set to a value in milliseconds */
  STANDIN_FAULT_SLOW,   /* service time set to a value in microseconds */
  STANDIN_FAULT_COUNT
} StandinFault;

/** struct StandinStats - Counts of one instance. */
typedef struct
{
  uint32_t open;
  uint32_t most_open;
  uint64_t refused;
  uint64_t statements;
  uint32_t running;
  uint32_t most_running;
  uint32_t transactions;
  int64_t longest_transaction_idle_ms;
} StandinStats;

/** database_group_new() - Starts listening; %NULL when a port can't be had. */
DatabaseGroup *database_group_new (TALLOC_CTX *parent, struct tevent_context *events,
                                   const DatabaseGroupOptions *options);

/** database_group_port() - Port of @instance. */
uint16_t database_group_port (const DatabaseGroup *group, uint32_t instance);

/** database_group_name() - Service name. */
const char *database_group_name (const DatabaseGroup *group);

/** database_group_find() - Index of the instance called @name; -1 if there is none. */
int database_group_find (const DatabaseGroup *group, const char *name);

/** database_group_set_fault() - Starts (@value > 0) or ends (@value 0) a failure. */
void database_group_set_fault (DatabaseGroup *group, uint32_t instance, StandinFault fault,
                               int64_t value);

/** standin_fault_parse() - Fault called @name; false if there is none. */
bool standin_fault_parse (const char *name, StandinFault *fault);

/** database_group_stats() - Counts of @instance. */
StandinStats database_group_stats (const DatabaseGroup *group, uint32_t instance);

/** database_group_status() - Replication state of @instance. */
InstanceStatus database_group_status (const DatabaseGroup *group, uint32_t instance);

/** database_group_log() - Replication of the group. */
GroupLog *database_group_log (DatabaseGroup *group);

/** database_group_database() - Database of @instance. */
SqlDatabase *database_group_database (DatabaseGroup *group, uint32_t instance);
