#include "policy/store-clock.h"

int64_t
store_clock_record (StoreClock *clock, int64_t store_ms, int64_t sent_ms, int64_t received_ms)
{
  if (store_ms < 0)
    return sent_ms;
  // The store restarted its clock: what was learned of it does not apply any more.
  if (clock->known && store_ms + clock->offset_ms > received_ms)
    clock->known = false;
  if (!clock->known || sent_ms - store_ms > clock->offset_ms)
    clock->offset_ms = sent_ms - store_ms;
  clock->known = true;
  return store_ms + clock->offset_ms;
}
