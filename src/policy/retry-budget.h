/**
 * DOC: Retry budget: limits retries to a fraction of the recent successes, so that they do not
 * amplify an overload.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** struct RetryBudget - Credit in thousandths of a retry. */
typedef struct
{
  int64_t credit_milli;
} RetryBudget;

/** retry_budget_init() - Starts with the maximum credit. */
void retry_budget_init (RetryBudget *budget);

/** retry_budget_success() - A request succeeded. */
void retry_budget_success (RetryBudget *budget);

/** retry_budget_take() - Consumes the credit of one retry; false if there is too little. */
bool retry_budget_take (RetryBudget *budget);
