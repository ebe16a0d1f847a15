#include "policy/connection-share.h"

/* Hosts need one more at times, for orders to the instance: not all at once, and never more
 * than this part of the limit. */
#define ORDER_PART 6
/* A host that wants nothing now may start with this many. */
#define LEAST_SHARE 2
/* Statements on their way to an instance, at work there or on their way back, for each of its
 * slots: enough to keep it busy across the slow link, and few to wait in its own queue. */
#define STATEMENTS_PER_SLOT 3

static uint32_t
smaller (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

static uint32_t
larger (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

/* This host's part of @limit, which the hosts have according to what they want. */
static uint32_t
part_of (uint32_t limit, const ConnectionDemand *demand)
{
  const uint32_t hosts = larger (demand->hosts, 1);
  const uint32_t own = larger (demand->own, 1);
  const uint32_t wanted = own + demand->others;

  // What nobody wants is split evenly, so that each can grow before the next beat.
  if (wanted <= limit)
    return own + (limit - wanted) / hosts;
  return larger (limit * own / wanted, limit / hosts < LEAST_SHARE ? 1 : LEAST_SHARE);
}

uint32_t
connection_share (const ConnectionDemand *demand)
{
  const uint32_t reserve = smaller (larger (demand->hosts, 1), demand->limit / ORDER_PART);

  return part_of (larger (demand->limit - reserve, 1), demand);
}

uint32_t
connection_share_statements (const ConnectionDemand *demand)
{
  return part_of (larger (demand->slots, 1) * STATEMENTS_PER_SLOT, demand);
}

bool
connection_share_is_scarce (const ConnectionDemand *demand)
{
  return demand->hosts * LEAST_SHARE > demand->limit;
}
