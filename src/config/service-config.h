/**
 * DOC: Configuration of one database service, checked and immutable. Shared by reference
 * between configuration versions that do not change it.
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
 * @failure_domain: where it stands (interned).
 * @region: the region of that failure domain (interned).
 * @leaving: takes no new work; a leaving primary is switched over.
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
 * @name: the name that callers give.
 * @priority: rank of its work.
 * @write: runs on the primary and may change data.
 * @idempotent: running it twice is harmless.
 * @max_age_ms: greatest age of the data a read accepts; 0 for none.
 * @deadline_ms: time after which an answer is of no use.
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
 * @slots: statements an instance runs at once.
 * @reserved_slots: slots only urgent work may take.
 * @connections: connections an instance accepts.
 * @reserved_connections: connections only urgent work may take.
 * @floor_percent: share of slot time kept for each priority.
 * @queue_limit: waiting statements per priority and instance.
 * @idle_transaction_ms: longest pause inside an open transaction.
 * @replica_wait_ms: longest wait for a replica to reach a session's position.
 * @suspect_after_ms: silence after which a primary is suspected.
 * @step_timeout_ms: time given to each failover order.
 * @rank_delay_ms: extra wait of each further failover decider.
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
 * service_config_parse() - Reads a service. Each fault is appended to @faults as
 * "PATH: what is wrong". Returns %NULL when there is any. @regions maps failure domains
 * to regions.
 */
ServiceConfig *service_config_parse (const char *name, const json_t *json, GHashTable *regions,
                                     GString *faults);

/** service_config_ref() - Takes a reference; safe from any thread. */
ServiceConfig *service_config_ref (ServiceConfig *service);

/** service_config_unref() - Drops a reference. */
void service_config_unref (ServiceConfig *service);

/** service_config_class() - The class called @name, or %NULL. */
const ClassConfig *service_config_class (const ServiceConfig *service, const char *name);

/** service_config_admission() - Queue limits of an instance of this service. */
AdmissionOptions service_config_admission (const ServiceConfig *service);
