#include "policy/replica-choice.h"

/* A report older than this no longer excludes a replica. */
#define VIEW_VALID_MS 50
/* Cost of crossing the link between regions, as an equivalent wait. */
#define REMOTE_COST_US 250000
#define OTHER_DOMAIN_COST_US 2000
/* The primary is kept free for the work that only it can do. */
#define PRIMARY_READ_COST_US 20000

int
replica_choice_primary (const InstanceView *views, uint32_t count)
{
  int best = -1;

  for (uint32_t i = 0; i < count; i++)
    if (views[i].primary && (best < 0 || views[i].term > views[best].term))
      best = (int) i;
  if (best < 0)
    return -1;
  // A later term reported by any instance means that this primary has been replaced.
  for (uint32_t i = 0; i < count; i++)
    if (views[i].term > views[best].term)
      return -1;
  return best;
}

static bool
is_available (const InstanceView *view, uint32_t index, uint32_t tried, int64_t now_ms)
{
  if ((tried & (1u << index)) != 0 || !view->owned)
    return false;
  return view->refused_until_ms <= now_ms;
}

static bool
is_known_unsuitable (const InstanceView *view, const ReadRequirement *requirement, int64_t now_ms)
{
  if (view->seen_ms == 0 || now_ms - view->seen_ms > VIEW_VALID_MS)
    return false;
  if (!session_token_covers (view->applied, requirement->token))
    return true;
  return view->age_ms > requirement->max_age_ms;
}

static int64_t
read_cost_us (const InstanceView *view, bool is_primary)
{
  static const int64_t distance_cost_us[] = {
    [DISTANCE_DOMAIN] = 0,
    [DISTANCE_REGION] = OTHER_DOMAIN_COST_US,
    [DISTANCE_REMOTE] = REMOTE_COST_US,
  };
  int64_t cost_us = distance_cost_us[view->distance] + view->wait_us;

  return is_primary ? cost_us + PRIMARY_READ_COST_US : cost_us;
}

int
replica_choice_read (const InstanceView *views, uint32_t count, const ReadRequirement *requirement,
                     uint32_t tried, int64_t now_ms)
{
  int primary = replica_choice_primary (views, count);
  int best = -1;
  int64_t best_cost_us = INT64_MAX;

  if (requirement->max_age_ms == 0)
    return replica_choice_write (views, count, tried, now_ms);

  for (uint32_t i = 0; i < count; i++)
    {
      bool is_primary = (int) i == primary;
      int64_t cost_us = read_cost_us (&views[i], is_primary);

      if (views[i].leaving || !is_available (&views[i], i, tried, now_ms))
        continue;
      if (!is_primary && is_known_unsuitable (&views[i], requirement, now_ms))
        continue;
      if (cost_us >= best_cost_us)
        continue;
      best = (int) i;
      best_cost_us = cost_us;
    }
  return best;
}

int
replica_choice_write (const InstanceView *views, uint32_t count, uint32_t tried, int64_t now_ms)
{
  int primary = replica_choice_primary (views, count);
  int best = -1;

  if (primary >= 0 && is_available (&views[primary], (uint32_t) primary, tried, now_ms))
    return primary;
  // Any owner can report which instance is the primary.
  for (uint32_t i = 0; i < count; i++)
    {
      if (!is_available (&views[i], i, tried, now_ms))
        continue;
      if (best < 0 || views[i].distance < views[best].distance)
        best = (int) i;
    }
  return best;
}
