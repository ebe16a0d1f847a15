#include "policy/memory-budget.h"

/* Part of a host's memory, in percent. */
#define HOST_PERCENT 20
/* Budget of a host whose memory is unknown. */
#define DEFAULT_BYTES (UINT64_C (256) * 1024 * 1024)
/* Sessions end from the first part of the budget on, until no more than the second is used, in
 * percent. What a single read adds fits above the first. */
#define EXCEEDED_PERCENT 85
#define RELIEVED_PERCENT 60

uint64_t
memory_budget_for_host (uint64_t memory_mb)
{
  return memory_mb == 0 ? DEFAULT_BYTES : memory_mb * 1024 * 1024 * HOST_PERCENT / 100;
}

void
memory_budget_charge (MemoryBudget *budget, uint64_t before_bytes, uint64_t after_bytes)
{
  budget->used_bytes += after_bytes;
  budget->used_bytes -= before_bytes < budget->used_bytes ? before_bytes : budget->used_bytes;
}

static bool
is_above (const MemoryBudget *budget, uint64_t percent)
{
  return budget->limit_bytes > 0 && budget->used_bytes > budget->limit_bytes * percent / 100;
}

bool
memory_budget_is_exceeded (const MemoryBudget *budget)
{
  return is_above (budget, EXCEEDED_PERCENT);
}

bool
memory_budget_is_relieved (const MemoryBudget *budget)
{
  return !is_above (budget, RELIEVED_PERCENT);
}
