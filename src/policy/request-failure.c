#include "policy/request-failure.h"

static FailureAction
retry_or_refuse (const RequestState *state)
{
  if (!state->retryable || !state->time_left)
    return FAILURE_ACTION_NOT_RUN;
  if (state->kind == REQUEST_IN_TRANSACTION && !state->first_in_transaction)
    return FAILURE_ACTION_NOT_RUN;
  if (state->kind == REQUEST_COMMIT)
    return FAILURE_ACTION_NOT_RUN;
  return FAILURE_ACTION_RETRY;
}

static FailureAction
read_action (const RequestState *state)
{
  return state->time_left ? FAILURE_ACTION_RETRY : FAILURE_ACTION_NOT_RUN;
}

static FailureAction
write_action (const RequestState *state, FailureKind failure)
{
  // Running idempotent work twice is harmless, and the answer of the second run is complete.
  if (state->idempotent && state->time_left && failure != FAILURE_NO_MAJORITY)
    return FAILURE_ACTION_RETRY;
  return FAILURE_ACTION_RESOLVE;
}

static FailureAction
attempt_action (const RequestState *state, FailureKind failure)
{
  if (state->step == REQUEST_RESPONDING)
    return FAILURE_ACTION_DISCONNECT;
  if (failure == FAILURE_REFUSED || state->step == REQUEST_RECEIVED)
    return retry_or_refuse (state);

  switch (state->kind)
    {
    case REQUEST_READ:
      return read_action (state);
    case REQUEST_WRITE:
      return write_action (state, failure);
    case REQUEST_IN_TRANSACTION:
      // COMMIT was not sent, so the owner or the backend server rolls the transaction back.
      return state->first_in_transaction && state->time_left ? FAILURE_ACTION_RETRY
                                                             : FAILURE_ACTION_NOT_RUN;
    case REQUEST_COMMIT:
      return FAILURE_ACTION_RESOLVE;
    case REQUEST_KIND_COUNT:
      break;
    }
  return FAILURE_ACTION_IN_DOUBT;
}

/* That the last attempt did not run proves nothing about the earlier ones. */
FailureAction
request_failure_action (const RequestState *state, FailureKind failure)
{
  FailureAction action = attempt_action (state, failure);

  if (action != FAILURE_ACTION_NOT_RUN || state->unresolved_attempts == 0)
    return action;
  return state->unresolved_attempts == 1 ? FAILURE_ACTION_RESOLVE : FAILURE_ACTION_IN_DOUBT;
}

Verdict
request_resolved_verdict (ResolvedOutcome outcome, unsigned int other_unresolved_attempts)
{
  switch (outcome)
    {
    case RESOLVED_ABORTED:
      return other_unresolved_attempts == 0 ? VERDICT_NOT_RUN : VERDICT_MAY_HAVE_RUN;
    case RESOLVED_COMMITTED:
      return VERDICT_RAN;
    case RESOLVED_UNKNOWN:
      break;
    }
  return VERDICT_MAY_HAVE_RUN;
}

const char *
failure_action_name (FailureAction action)
{
  static const char *const names[] = {
    [FAILURE_ACTION_RETRY] = "retry",
    [FAILURE_ACTION_NOT_RUN] = "not-run",
    [FAILURE_ACTION_RESOLVE] = "resolve",
    [FAILURE_ACTION_IN_DOUBT] = "in-doubt",
    [FAILURE_ACTION_DISCONNECT] = "drop-caller",
  };

  return names[action];
}
