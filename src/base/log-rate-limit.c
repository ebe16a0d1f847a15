#include "base/log-rate-limit.h"

bool
log_rate_limit_allow (LogRateLimit *limit, int64_t now_ms, uint32_t *dropped)
{
  const int64_t second = now_ms / 1000;

  *dropped = 0;
  if (second != limit->second)
    {
      limit->second = second;
      limit->written = 0;
    }
  if (limit->written >= limit->lines_per_s)
    {
      limit->dropped++;
      return false;
    }
  limit->written++;
  *dropped = limit->dropped;
  limit->dropped = 0;
  return true;
}
