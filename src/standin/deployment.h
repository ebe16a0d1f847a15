/**
 * DOC: The two sample deployments that the stand-ins emulate: failure domains, network delays,
 * services, classes.
 */
#pragma once

#include <stdint.h>

#include <jansson.h>

#include "daemon/daemon.h"
#include "standin/database-group.h"

/** Number of failure domains, of services, and of instances per service. */
#define DEPLOYMENT_DOMAINS 3
#define DEPLOYMENT_SERVICES 3
#define DEPLOYMENT_INSTANCES 3

/** struct DeploymentClass - A statement class of a deployment. */
typedef struct
{
  const char *name;
  const char *priority;
  const char *access;
  bool idempotent;
  uint32_t max_age_ms;
  uint32_t deadline_ms;
} DeploymentClass;

/** struct Deployment - Failure domains, services and network of a deployment. */
typedef struct
{
  const char *name;
  const char *domains[DEPLOYMENT_DOMAINS];
  const char *regions[DEPLOYMENT_DOMAINS]; /* region of the domain at the same index */
  const char *service_prefix;
  const char *default_class;
  DeploymentClass classes[4];
  uint32_t connections;
  uint32_t slots;
  int64_t domain_delay_us;
  int64_t region_delay_us;
  uint32_t region_bytes_per_s;
} Deployment;

/** deployment_find() - Looks up "shops" or "funiculars"; %NULL for any other name. */
const Deployment *deployment_find (const char *name);

/** deployment_delay_us() - One-way delay between two failure domains; @data is the Deployment. */
int64_t deployment_delay_us (const char *from_domain, const char *to_domain, void *data);

/** deployment_instance_domain() - Index of the failure domain that hosts an instance. */
uint32_t deployment_instance_domain (uint32_t service, uint32_t instance);

/** deployment_config() - Configuration document for instances at @address and @ports. */
json_t *deployment_config (const Deployment *deployment, const char *address,
                           const uint16_t ports[DEPLOYMENT_SERVICES][DEPLOYMENT_INSTANCES]);
