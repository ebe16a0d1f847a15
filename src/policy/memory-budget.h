/**
 * DOC: How much memory a process spends on its callers: what they have sent and it has not handled,
 * statements under way, answers that they have not taken, and session values. Answers crowds that
 * send or ask for much at once, each caller within its own limits: when the budget is nearly spent,
 * the sessions that hold the most end first, until a good part of it is free again. An ordinary
 * caller holds a few kilobytes and is never among them.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Sessions that hold less are not ended for the budget's sake, in bytes. */
#define MEMORY_KEEP_BYTES (32 * 1024)

/** struct MemoryBudget - @limit_bytes: 0 for no limit. */
typedef struct
{
  uint64_t limit_bytes;
  uint64_t used_bytes;
} MemoryBudget;

/**
 * memory_budget_for_host() - Budget of a host with @memory_mb MB of memory; a default if that is 0.
 * The rest is for the process itself, copies on the way to instances, and the kernel's buffers.
 */
uint64_t memory_budget_for_host (uint64_t memory_mb);

/** memory_budget_charge() - A session that held @before_bytes holds @after_bytes now. */
void memory_budget_charge (MemoryBudget *budget, uint64_t before_bytes, uint64_t after_bytes);

/** memory_budget_is_exceeded() - Whether sessions have to end. */
bool memory_budget_is_exceeded (const MemoryBudget *budget);

/** memory_budget_is_relieved() - Whether enough of them have ended. */
bool memory_budget_is_relieved (const MemoryBudget *budget);
