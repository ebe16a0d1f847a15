#include "policy/store-era.h"

StoreEraState
store_era_record (uint64_t *era, uint64_t answered)
{
  const uint64_t previous = *era;

  if (answered == 0 || answered == previous)
    return STORE_ERA_CURRENT;
  if (answered < previous)
    return STORE_ERA_PAST;
  *era = answered;
  return previous == 0 ? STORE_ERA_CURRENT : STORE_ERA_BEGUN;
}
