#include "base/clock.h"

#include <time.h>

int64_t
clock_now_us (void)
{
  struct timespec ts;

  // Counts the time that a host was suspended, which CLOCK_MONOTONIC leaves out.
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t) ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
clock_now_ms (void)
{
  return clock_now_us () / 1000;
}
