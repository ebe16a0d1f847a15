#include "base/clock.h"

#include <time.h>

int64_t
clock_now_us (void)
{
  struct timespec ts;

  // Unlike CLOCK_MONOTONIC, this clock also advances while the host is suspended.
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t) ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
clock_now_ms (void)
{
  return clock_now_us () / 1000;
}
