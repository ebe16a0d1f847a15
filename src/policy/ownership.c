#include "policy/ownership.h"

#include <string.h>

#include <xxhash.h>

typedef enum
{
  LOCALITY_DOMAIN,
  LOCALITY_REGION,
  LOCALITY_ANY
} Locality;

uint64_t
host_hash (const char *id)
{
  return XXH3_64bits (id, strlen (id));
}

uint64_t
instance_hash (const char *service, const char *instance)
{
  return XXH3_64bits_withSeed (instance, strlen (instance), host_hash (service));
}

static Locality
host_locality (const Host *host, const char *failure_domain, const char *region)
{
  if (strcmp (host->failure_domain, failure_domain) == 0)
    return LOCALITY_DOMAIN;
  if (strcmp (host->region, region) == 0)
    return LOCALITY_REGION;
  return LOCALITY_ANY;
}

static uint64_t
rendezvous_weight (const Host *host, uint64_t instance)
{
  uint64_t pair[2] = { host->id_hash, instance };

  return XXH3_64bits (pair, sizeof pair);
}

/* A candidate's place in the order: nearer first, then greater weight. */
typedef struct
{
  Locality locality;
  uint64_t weight;
} Standing;

static bool
standing_before (Standing a, Standing b)
{
  if (a.locality != b.locality)
    return a.locality < b.locality;
  return a.weight > b.weight;
}

int
ownership_pick (const HostView *view, uint64_t instance, const char *failure_domain,
                const char *region, uint32_t place)
{
  Standing last = { LOCALITY_DOMAIN, UINT64_MAX };
  int picked = -1;

  for (uint32_t round = 0; round <= place; round++)
    {
      Standing best = { LOCALITY_ANY, 0 };

      picked = -1;
      for (uint32_t i = 0; i < view->count; i++)
        {
          const Host *host = &view->hosts[i];
          Standing standing = { host_locality (host, failure_domain, region),
                                rendezvous_weight (host, instance) };

          if (!standing_before (last, standing))
            continue;
          if (picked >= 0 && !standing_before (standing, best))
            continue;
          best = standing;
          picked = (int) i;
        }
      if (picked < 0)
        return -1;
      last = best;
    }
  return picked;
}
