/**
 * DOC: Retry budget: retries are a fraction of recent successes, so that they can't
 * amplify a flood.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** struct RetryBudget - Credit in thousandths of a retry. */
typedef struct
{
  int64_t credit_milli;
} RetryBudget;

/** retry_budget_init() - Starts with the full reserve. */
void retry_budget_init (RetryBudget *budget);

/** retry_budget_success() - A request was answered. */
void retry_budget_success (RetryBudget *budget);

/** retry_budget_take() - Spends one retry; false when none is left. */
bool retry_budget_take (RetryBudget *budget);
