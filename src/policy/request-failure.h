/**
 * DOC: Handling of a failed request: what may be reported to the caller and what to do next,
 * given how far the request had progressed.
 */
#pragma once

#include <stdbool.h>

#include "base/verdict.h"

/** enum RequestStep - Progress of a request as known to the entry host. */
typedef enum
{
  REQUEST_RECEIVED,   /* decoded, not forwarded to an owner */
  REQUEST_FORWARDED,  /* frame passed to the link; may be queued or running at the owner */
  REQUEST_RESPONDING, /* part of the answer was sent to the caller */
  REQUEST_DONE,       /* the whole answer was sent */
  REQUEST_STEP_COUNT
} RequestStep;

/** enum RequestKind - Kind of a request, as far as it matters for failures. */
typedef enum
{
  REQUEST_READ,           /* run read-only; has no effect */
  REQUEST_WRITE,          /* autocommitted statement with a transaction id */
  REQUEST_IN_TRANSACTION, /* statement of an open transaction */
  REQUEST_COMMIT,         /* COMMIT with a transaction id */
  REQUEST_KIND_COUNT
} RequestKind;

/** enum FailureKind - Cause of the failure. */
typedef enum
{
  FAILURE_REFUSED,      /* the owner reported that it did not run */
  FAILURE_LINK_LOST,    /* no answer will arrive from that owner */
  FAILURE_BACKEND_LOST, /* the owner lost the backend connection while it ran */
  FAILURE_SUPERSEDED,   /* ran, but in a term that ended before a majority had replicated it */
  FAILURE_NO_MAJORITY,  /* ran, but no majority replicated it in time */
  FAILURE_DEADLINE,     /* the caller's deadline passed without an answer */
  FAILURE_KIND_COUNT
} FailureKind;

/** enum FailureAction - The entry host's next action. */
typedef enum
{
  FAILURE_ACTION_RETRY,     /* send it again; it did not run, or running twice is harmless */
  FAILURE_ACTION_NOT_RUN,   /* report that it did not run */
  FAILURE_ACTION_RESOLVE,   /* look up the outcome of the transaction, then decide */
  FAILURE_ACTION_IN_DOUBT,  /* report that it may have run */
  FAILURE_ACTION_DISCONNECT /* part of the answer was sent: close the connection of the caller */
} FailureAction;

/**
 * struct RequestState - State of a request that determines the action.
 * @idempotent: its class declares that running twice is harmless.
 * @first_in_transaction: nothing of the transaction ran before it.
 * @retryable: another instance may accept it, or the same one later.
 * @time_left: its deadline has not passed.
 * @unresolved_attempts: earlier attempts that may have run and whose outcome was not looked up.
 */
typedef struct
{
  RequestKind kind;
  RequestStep step;
  bool idempotent;
  bool first_in_transaction;
  bool retryable;
  bool time_left;
  unsigned int unresolved_attempts;
} RequestState;

/** request_failure_action() - The action after @failure. */
FailureAction request_failure_action (const RequestState *state, FailureKind failure);

/** enum ResolvedOutcome - Result of the look-up of an outcome. */
typedef enum
{
  RESOLVED_UNKNOWN,  /* unknown; also the value of a message without an outcome */
  RESOLVED_ABORTED,  /* it did not commit and never can */
  RESOLVED_COMMITTED /* it committed, and a majority has replicated it */
} ResolvedOutcome;

/**
 * request_resolved_verdict() - The verdict once the look-up of one attempt has ended, while the
 * outcome of @other_unresolved_attempts more is unknown.
 */
Verdict request_resolved_verdict (ResolvedOutcome outcome, unsigned int other_unresolved_attempts);

/** failure_action_name() - Name for logs and tables. */
const char *failure_action_name (FailureAction action);
