#include "policy/ownership.h"

#include <stdlib.h>
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

static int
compare_domains (const void *a, const void *b)
{
  return strcmp (((const Host *) a)->failure_domain, ((const Host *) b)->failure_domain);
}

void
host_view_sort (HostView *view)
{
  qsort (view->hosts, view->count, sizeof (Host), compare_domains);
  view->by_domain = true;
}

/* First host of @failure_domain or of a later one. */
static uint32_t
domain_start (const HostView *view, const char *failure_domain)
{
  uint32_t from = 0, to = view->count;

  while (from < to)
    {
      uint32_t middle = from + (to - from) / 2;

      if (strcmp (view->hosts[middle].failure_domain, failure_domain) < 0)
        from = middle + 1;
      else
        to = middle;
    }
  return from;
}

bool
host_view_has_domain (const HostView *view, const char *failure_domain)
{
  uint32_t from = domain_start (view, failure_domain);

  return from < view->count && strcmp (view->hosts[from].failure_domain, failure_domain) == 0;
}

/* The hosts that can hold @place: those of the domain alone when there are enough. */
static void
candidate_range (const HostView *view, const char *failure_domain, uint32_t place, uint32_t *from,
                 uint32_t *to)
{
  *from = view->by_domain ? domain_start (view, failure_domain) : 0;
  *to = *from;
  if (view->by_domain)
    while (*to < view->count && strcmp (view->hosts[*to].failure_domain, failure_domain) == 0)
      ++*to;
  if (*to - *from > place)
    return;
  *from = 0;
  *to = view->count;
}

static int
pick_after (const HostView *view, uint64_t instance, const char *failure_domain, const char *region,
            uint32_t from, uint32_t to, Standing *last)
{
  Standing best = { LOCALITY_ANY, 0 };
  int picked = -1;

  for (uint32_t i = from; i < to; i++)
    {
      const Host *host = &view->hosts[i];
      Standing standing
          = { host_locality (host, failure_domain, region), rendezvous_weight (host, instance) };

      if (!standing_before (*last, standing))
        continue;
      if (picked >= 0 && !standing_before (standing, best))
        continue;
      best = standing;
      picked = (int) i;
    }
  *last = best;
  return picked;
}

int
ownership_pick (const HostView *view, uint64_t instance, const char *failure_domain,
                const char *region, uint32_t place)
{
  Standing last = { LOCALITY_DOMAIN, UINT64_MAX };
  int picked = -1;
  uint32_t from, to;

  candidate_range (view, failure_domain, place, &from, &to);
  for (uint32_t round = 0; round <= place; round++)
    {
      picked = pick_after (view, instance, failure_domain, region, from, to, &last);
      if (picked < 0)
        return -1;
    }
  return picked;
}
