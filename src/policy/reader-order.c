#include "policy/reader-order.h"

/* Waves up to the last one, in which all further hosts read. */
#define WAVES 9
/* Hosts of different ranks retry at this many different times, over the last quarter of the delay.
 */
#define RETRY_TIMES 16

/* The waves end at ranks 0, 1, 3, 7, and so on. */
static uint32_t
wave_of_rank (uint32_t rank)
{
  uint32_t wave = 0;

  for (uint32_t rest = rank; rest > 0 && wave < WAVES; rest >>= 1)
    wave++;
  return wave;
}

bool
reader_order_precedes (const ReaderCandidate *candidate, const ReaderCandidate *other)
{
  if (candidate->store_lost != other->store_lost)
    return other->store_lost;
  return candidate->id < other->id;
}

int64_t
reader_order_takeover_ms (int64_t first_ms, int64_t last_ms, uint32_t rank)
{
  return first_ms + (last_ms - first_ms) * wave_of_rank (rank) / WAVES;
}

int64_t
reader_order_retry_ms (int64_t longest_ms, uint32_t rank)
{
  const int64_t spread_ms = longest_ms / 4;

  return longest_ms - spread_ms + spread_ms * (rank % RETRY_TIMES) / RETRY_TIMES;
}
