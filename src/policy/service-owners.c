#include "policy/service-owners.h"

/* Connections per owner: fewer would be opened and closed all the time under uneven load. */
#define CONNECTIONS_PER_OWNER 10
/* Enough for the load of a failure domain; more would only take connections from each other. */
#define MAX_PER_DOMAIN 3

uint32_t
service_owners_per_domain (uint32_t connection_limit, uint32_t domains)
{
  const uint32_t owners = connection_limit / (CONNECTIONS_PER_OWNER * (domains == 0 ? 1 : domains));

  if (owners < 1)
    return 1;
  return owners < MAX_PER_DOMAIN ? owners : MAX_PER_DOMAIN;
}

int
service_owners_pick (const HostView *view, const OwnerRequest *request, uint32_t attempt)
{
  uint32_t rank = attempt;

  if (attempt < request->owners)
    rank = (uint32_t) ((request->session + attempt) % request->owners);
  return ownership_pick (view, host_hash (request->service), request->failure_domain,
                         request->region, rank);
}
