/**
 * DOC: Which hosts hold the connections to the instances of a service. In a small fleet all of them
 * do. In a large one there would be more hosts than connections, so each service has a few owners
 * per failure domain, and the other hosts forward their sessions to an owner nearby. Covers fleets
 * of tens to thousands of hosts, whose load on a service is spread thinly over all hosts.
 *
 * Hosts may disagree on the owners for a while: ownership saves connections and messages, and no
 * promise depends on it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/ownership.h"

/**
 * service_owners_per_domain() - Owners of a service in each of @domains failure domains, if an
 * instance accepts @connection_limit connections; at least one.
 */
uint32_t service_owners_per_domain (uint32_t connection_limit, uint32_t domains);

/**
 * struct OwnerRequest - A session that needs an owner of a service.
 * @failure_domain, @region: of the host that has the session; nearer owners are preferred.
 * @owners: owners of the service in each failure domain.
 * @session: spreads the sessions over them.
 */
typedef struct
{
  const char *service;
  const char *failure_domain;
  const char *region;
  uint32_t owners;
  uint64_t session;
} OwnerRequest;

/**
 * service_owners_pick() - Index in @view of the owner to try as number @attempt, which counts from
 * 0; -1 if there are not that many hosts.
 */
int service_owners_pick (const HostView *view, const OwnerRequest *request, uint32_t attempt);
