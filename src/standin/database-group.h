/**
 * DOC: Emulates one replicated database: its instances speak the PostgreSQL protocol, replicate
 * through a GroupLog, and support fault injection. Runs in one event loop.
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
 * typedef StandinDelay - Returns the one-way network delay between two failure domains in
 * microseconds.
 */
typedef int64_t (*StandinDelay) (const char *from_domain, const char *to_domain, void *data);

/** struct StandinInstance - Address and failure domain of an instance. @port 0 picks a free one. */
typedef struct
{
  const char *name;
  const char *address;
  uint16_t port;
  const char *failure_domain;
} StandinInstance;

/**
 * struct DatabaseGroupOptions - What to emulate.
 * @name: name of the emulated service.
 * @slots: statements that run concurrently; further ones wait in order of arrival.
 * @connections: connection limit; further ones are refused with 53300.
 * @connect_delay_ms: time to establish a connection.
 * @service_us: duration of a statement.
 * @lag_ms: replication lag: time from writing a record on the primary until a replica applies it,
 *   at least the network delay.
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

/** enum StandinFault - Faults that can be injected into an instance. */
typedef enum
{
  STANDIN_FAULT_DOWN,   /* crashed: connections are reset and none accepted */
  STANDIN_FAULT_CUT,    /* partitioned from the other instances of its group, not from clients */
  STANDIN_FAULT_SILENT, /* drops all traffic of open connections for good; new ones work */
  STANDIN_FAULT_PAUSE,  /* stops all processing until resumed */
  STANDIN_FAULT_LAG,    /* replication lag set to a value in milliseconds */
  STANDIN_FAULT_SLOW,   /* service time set to a value in microseconds */
  STANDIN_FAULT_COUNT
} StandinFault;

/** struct StandinStats - Counters of an instance. */
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

/** database_group_new() - Starts listening; returns %NULL if a port is unavailable. */
DatabaseGroup *database_group_new (TALLOC_CTX *parent, struct tevent_context *events,
                                   const DatabaseGroupOptions *options);

/** database_group_port() - Port of @instance. */
uint16_t database_group_port (const DatabaseGroup *group, uint32_t instance);

/** database_group_name() - Name of the emulated service. */
const char *database_group_name (const DatabaseGroup *group);

/** database_group_find() - Index of the instance named @name; -1 if there is none. */
int database_group_find (const DatabaseGroup *group, const char *name);

/**
 * database_group_set_fault() - Starts (@value > 0) or ends (@value 0) a fault of @instance. For
 * %STANDIN_FAULT_LAG and %STANDIN_FAULT_SLOW, @value is the new lag or duration; 0 sets a lag of 0
 * and restores the configured duration. %STANDIN_FAULT_SILENT ignores @value.
 */
void database_group_set_fault (DatabaseGroup *group, uint32_t instance, StandinFault fault,
                               int64_t value);

/** standin_fault_parse() - Looks up the fault named @name; false if there is none. */
bool standin_fault_parse (const char *name, StandinFault *fault);

/** database_group_stats() - Counters of @instance. */
StandinStats database_group_stats (const DatabaseGroup *group, uint32_t instance);

/** database_group_status() - Replication state of @instance. */
InstanceStatus database_group_status (const DatabaseGroup *group, uint32_t instance);

/** database_group_log() - Replication log of the group. */
GroupLog *database_group_log (DatabaseGroup *group);

/** database_group_database() - Database of @instance. */
SqlDatabase *database_group_database (DatabaseGroup *group, uint32_t instance);
