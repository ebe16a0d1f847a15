#include "base/log-budget.h"

bool
log_rate_limit_allow (LogRateLimit *budget, int64_t now_ms, uint32_t *dropped)
{
  const int64_t second = now_ms / 1000;

  *dropped = 0;
  if (second != budget->second)
    {
      budget->second = second;
      budget->written = 0;
    }
  if (budget->written >= budget->lines_per_s)
    {
      budget->dropped++;
      return false;
    }
  budget->written++;
  *dropped = budget->dropped;
  budget->dropped = 0;
  return true;
}
