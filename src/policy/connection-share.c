#include "policy/connection-share.h"

/* Each host needs one more at times, for orders to the instance. */
#define ORDERS_PER_HOST 1
/* A host that wants nothing now may start with this many. */
#define LEAST_SHARE 2

static uint32_t
larger (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

uint32_t
connection_share (const ConnectionDemand *demand)
{
  const uint32_t hosts = larger (demand->hosts, 1);
  const uint32_t reserve = hosts * ORDERS_PER_HOST;
  const uint32_t limit
      = demand->limit > 2 * reserve ? demand->limit - reserve : larger (demand->limit / 2, 1);
  const uint32_t own = larger (demand->own, 1);
  const uint32_t wanted = own + demand->others;

  // What nobody wants is split evenly, so that each can grow before the next beat.
  if (wanted <= limit)
    return own + (limit - wanted) / hosts;
  return larger (limit * own / wanted, limit / hosts < LEAST_SHARE ? 1 : LEAST_SHARE);
}
