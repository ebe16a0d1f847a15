#include "policy/retry-budget.h"

#define RETRY_COST_MILLI 1000
#define SUCCESS_GAIN_MILLI 200
#define CREDIT_LIMIT_MILLI 100000

void
retry_budget_init (RetryBudget *budget)
{
  budget->credit_milli = CREDIT_LIMIT_MILLI;
}

void
retry_budget_success (RetryBudget *budget)
{
  budget->credit_milli += SUCCESS_GAIN_MILLI;
  if (budget->credit_milli > CREDIT_LIMIT_MILLI)
    budget->credit_milli = CREDIT_LIMIT_MILLI;
}

bool
retry_budget_take (RetryBudget *budget)
{
  if (budget->credit_milli < RETRY_COST_MILLI)
    return false;
  budget->credit_milli -= RETRY_COST_MILLI;
  return true;
}
