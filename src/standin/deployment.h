/**
 * DOC: The two deployments of the brief as the stand-ins emulate them: places, delays,
 * services, classes.
 */
#pragma once

#include <stdint.h>

#include <jansson.h>

#include "daemon/daemon.h"
#include "standin/database-group.h"

/** Failure domains, services and instances per service of a deployment. */
#define DEPLOYMENT_DOMAINS 3
#define DEPLOYMENT_SERVICES 3
#define DEPLOYMENT_INSTANCES 3

/** struct DeploymentClass - A class of statements of a deployment. */
typedef struct
{
  const char *name;
  const char *priority;
  const char *access;
  bool idempotent;
  uint32_t max_age_ms;
  uint32_t deadline_ms;
} DeploymentClass;

/** struct Deployment - Places and services. */
typedef struct
{
  const char *name;
  const char *domains[DEPLOYMENT_DOMAINS];
  const char *regions[DEPLOYMENT_DOMAINS]; /* of the domain at the same index */
  const char *service_prefix;
  const char *default_class;
  DeploymentClass classes[4];
  uint32_t connections;
  uint32_t slots;
  int64_t domain_delay_us;
  int64_t region_delay_us;
  uint32_t region_bytes_per_s;
} Deployment;

/** deployment_find() - "shops" or "funiculars"; %NULL for any other name. */
const Deployment *deployment_find (const char *name);

/** deployment_delay_us() - One-way delay between two failure domains; @data is the Deployment. */
int64_t deployment_delay_us (const char *from_domain, const char *to_domain, void *data);

/** deployment_instance_domain() - Index of the domain where an instance of a service stands. */
uint32_t deployment_instance_domain (uint32_t service, uint32_t instance);

/** deployment_config() - Configuration document for instances at @ports on @address. */
json_t *deployment_config (const Deployment *deployment, const char *address,
                           const uint16_t ports[DEPLOYMENT_SERVICES][DEPLOYMENT_INSTANCES]);
