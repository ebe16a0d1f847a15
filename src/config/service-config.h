/**
 * DOC: Configuration of one database service: validated, immutable, and shared between the
 * configuration versions that do not change it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "policy/admission-queue.h"

/**
 * struct InstanceConfig - One backend server instance.
 * @name: unique in its service.
 * @address: IP address.
 * @port: TCP port.
 * @failure_domain: failure domain of the instance (interned).
 * @region: region of that failure domain (interned).
 * @leaving: being removed; it gets no new work, and if it is the primary, it is switched over.
 */
typedef struct
{
  char *name;
  char *address;
  uint16_t port;
  const char *failure_domain;
  const char *region;
  bool leaving;
} InstanceConfig;

/**
 * struct ClassConfig - One class of statements.
 * @name: name that callers use.
 * @priority: scheduling priority.
 * @write: runs on the primary and may change data.
 * @idempotent: may safely be run more than once.
 * @max_age_ms: maximum staleness that a read accepts; 0 for none.
 * @deadline_ms: time limit of a statement; a later answer is useless to the caller.
 */
typedef struct
{
  char *name;
  Priority priority;
  bool write;
  bool idempotent;
  uint32_t max_age_ms;
  uint32_t deadline_ms;
} ClassConfig;

/**
 * struct ServiceConfig - One service; reference counted.
 * @slots: concurrent statements per instance.
 * @reserved_slots: slots reserved for urgent work.
 * @connections: connection limit of an instance.
 * @reserved_connections: connections reserved for urgent work.
 * @floor_percent: minimum share of slot time guaranteed to each priority.
 * @queue_limit: maximum queued statements per priority and instance.
 * @idle_transaction_ms: idle timeout of an open transaction.
 * @replica_wait_ms: longest wait for a replica to reach the log position of a session.
 * @suspect_after_ms: time without a response after which a primary is suspected to have failed.
 * @step_timeout_ms: timeout of each failover command.
 * @rank_delay_ms: additional delay, per rank, of the hosts that may run a failover, so that the
 *   first one acts alone.
 */
typedef struct
{
  char *name;
  char *database;
  char *user;
  uint32_t slots;
  uint32_t reserved_slots;
  uint32_t connections;
  uint32_t reserved_connections;
  uint32_t floor_percent[PRIORITY_COUNT];
  uint32_t queue_limit;
  uint32_t idle_transaction_ms;
  uint32_t replica_wait_ms;
  uint32_t suspect_after_ms;
  uint32_t step_timeout_ms;
  uint32_t rank_delay_ms;
  uint32_t instance_count;
  InstanceConfig *instances;
  uint32_t class_count;
  ClassConfig *classes;
  uint32_t default_class;
} ServiceConfig;

/**
 * service_config_parse() - Parses and validates a service. Each error is appended to @errors as a
 * line "PATH: MESSAGE"; returns %NULL if there is any. @regions maps failure domains to regions.
 */
ServiceConfig *service_config_parse (const char *name, const json_t *json, GHashTable *regions,
                                     GString *errors);

/** service_config_ref() - Takes a reference; thread-safe. */
ServiceConfig *service_config_ref (ServiceConfig *service);

/** service_config_unref() - Drops a reference; thread-safe. */
void service_config_unref (ServiceConfig *service);

/** service_config_class() - The class @name, or %NULL. */
const ClassConfig *service_config_class (const ServiceConfig *service, const char *name);

/** service_config_admission() - Options for the admission queue of an instance of this service. */
AdmissionOptions service_config_admission (const ServiceConfig *service);
