#include "policy/connection-share.h"

/* Each host sometimes needs one more connection for commands to the instance. They do not all need
 * it at once, so the reserve is at most the limit divided by this. */
#define COMMAND_RESERVE_DIVISOR 6
/* Minimum share of a host, even of one without demand; 1 if the limit is too low for that. */
#define MIN_SHARE 2
/* Statements in flight per slot of an instance, counting those in the network: enough to keep it
 * busy across the slow link, while few wait in its own queue. */
#define STATEMENTS_PER_SLOT 3

static uint32_t
min_u32 (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

static uint32_t
max_u32 (uint32_t a, uint32_t b)
{
  return a > b ? a : b;
}

/* This host's part of @limit, which is divided by demand. */
static uint32_t
share_of (uint32_t limit, const ConnectionDemand *demand)
{
  const uint32_t hosts = max_u32 (demand->hosts, 1);
  const uint32_t own = max_u32 (demand->own, 1);
  const uint32_t wanted = own + demand->others;

  // Unused capacity is split evenly, so that each host can grow before the next heartbeat.
  if (wanted <= limit)
    return own + (limit - wanted) / hosts;
  return max_u32 (limit * own / wanted, limit / hosts < MIN_SHARE ? 1 : MIN_SHARE);
}

uint32_t
connection_share (const ConnectionDemand *demand)
{
  const uint32_t reserve
      = min_u32 (max_u32 (demand->hosts, 1), demand->limit / COMMAND_RESERVE_DIVISOR);

  return share_of (max_u32 (demand->limit - reserve, 1), demand);
}

uint32_t
connection_share_statements (const ConnectionDemand *demand)
{
  const uint32_t slots = max_u32 (demand->slots, 1);
  const uint32_t statements = slots * STATEMENTS_PER_SLOT * demand->statements_percent / 100;

  return share_of (max_u32 (statements, slots), demand);
}

bool
connection_share_is_scarce (const ConnectionDemand *demand)
{
  return demand->hosts * MIN_SHARE > demand->limit;
}
