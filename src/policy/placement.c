#include "policy/placement.h"

/* Penalty for a read on the primary, whose capacity the writes need. */
#define PRIMARY_PENALTY_MS 60
/* Another failure domain costs a network hop and some money. */
#define DOMAIN_PENALTY_MS 4
/* The link between regions has little bandwidth and is charged by volume. */
#define REGION_PENALTY_MS 90
/* A refusal costs at least one more round trip. */
#define LAGGING_PENALTY_MS 95
#define REFUSED_PENALTY_MS 400
/* A leaving instance is chosen only if no other can serve. */
#define LEAVING_PENALTY_MS 100000
/* One that fails much of its work, likewise, but before one that leaves. */
#define EJECTED_PENALTY_MS 50000
/* Replicas usually have replicated a commit after this time. */
#define USUAL_LAG_MS 250

static bool
is_probably_lagging (const PlacementView *view, const PlacementRequirement *requirement)
{
  return !view->primary && requirement->after_position_age_ms < USUAL_LAG_MS
         && session_token_compare (view->seen, requirement->after) < 0;
}

/* The instance answered a moment ago that it lacks the position; trying it again would only cost a
 * round trip. */
static bool
is_known_lagging (const PlacementView *view, const PlacementRequirement *requirement,
                  int64_t now_ms)
{
  return now_ms < view->behind_until_ms
         && session_token_compare (view->seen, requirement->after) < 0;
}

static int64_t
distance_cost (Distance distance)
{
  switch (distance)
    {
    case DISTANCE_DOMAIN:
      return 0;
    case DISTANCE_REGION:
      return DOMAIN_PENALTY_MS;
    case DISTANCE_REMOTE:
      return REGION_PENALTY_MS;
    }
  return REGION_PENALTY_MS;
}

static int64_t
cost_ms (const PlacementView *view, const PlacementRequirement *requirement, int64_t now_ms)
{
  int64_t cost = view->latency_ms + view->wait_ms + distance_cost (view->distance);

  if (view->leaving)
    cost += LEAVING_PENALTY_MS;
  if (view->ejected)
    cost += EJECTED_PENALTY_MS;
  if (view->primary)
    cost += PRIMARY_PENALTY_MS;
  if (is_probably_lagging (view, requirement))
    cost += LAGGING_PENALTY_MS;
  if (now_ms < view->refused_until_ms)
    cost += REFUSED_PENALTY_MS;
  return cost;
}

int
placement_read (const PlacementView *views, uint32_t count, const PlacementRequirement *requirement,
                uint32_t tried, int64_t now_ms)
{
  int best = -1;
  int64_t best_cost = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      int64_t cost;

      if (!views[i].usable || (tried & (1u << i)) != 0
          || is_known_lagging (&views[i], requirement, now_ms))
        continue;
      cost = cost_ms (&views[i], requirement, now_ms);
      if (best >= 0 && cost >= best_cost)
        continue;
      best = (int) i;
      best_cost = cost;
    }
  return best;
}
