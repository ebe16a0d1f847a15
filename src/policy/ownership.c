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

/* Sort key of a candidate: nearer localities first, then greater weights. */
typedef struct
{
  Locality locality;
  uint64_t weight;
} Preference;

static bool
preferred_to (Preference a, Preference b)
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

/* Index of the first host of @failure_domain, or of the domain after it. */
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

/* Range of the hosts that can have @rank: only those of the domain if there are enough of them. */
static void
candidate_range (const HostView *view, const char *failure_domain, uint32_t rank, uint32_t *from,
                 uint32_t *to)
{
  *from = view->by_domain ? domain_start (view, failure_domain) : 0;
  *to = *from;
  if (view->by_domain)
    while (*to < view->count && strcmp (view->hosts[*to].failure_domain, failure_domain) == 0)
      ++*to;
  if (*to - *from > rank)
    return;
  *from = 0;
  *to = view->count;
}

static int
pick_after (const HostView *view, uint64_t instance, const char *failure_domain, const char *region,
            uint32_t from, uint32_t to, Preference *last)
{
  Preference best = { LOCALITY_ANY, 0 };
  int picked = -1;

  for (uint32_t i = from; i < to; i++)
    {
      const Host *host = &view->hosts[i];
      Preference preference
          = { host_locality (host, failure_domain, region), rendezvous_weight (host, instance) };

      if (!preferred_to (*last, preference))
        continue;
      if (picked >= 0 && !preferred_to (preference, best))
        continue;
      best = preference;
      picked = (int) i;
    }
  *last = best;
  return picked;
}

int
ownership_pick (const HostView *view, uint64_t instance, const char *failure_domain,
                const char *region, uint32_t rank)
{
  Preference last = { LOCALITY_DOMAIN, UINT64_MAX };
  int picked = -1;
  uint32_t from, to;

  candidate_range (view, failure_domain, rank, &from, &to);
  for (uint32_t round = 0; round <= rank; round++)
    {
      picked = pick_after (view, instance, failure_domain, region, from, to, &last);
      if (picked < 0)
        return -1;
    }
  return picked;
}
