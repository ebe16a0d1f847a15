/**
 * DOC: Fate of a request after a failure: what may be said of it, and what to do next,
 * given how far it had come.
 */
#pragma once

#include <stdbool.h>

#include "base/verdict.h"

/** enum RequestStep - How far the entry host knows a request to have come. */
typedef enum
{
  REQUEST_RECEIVED,   /* decoded, not handed to an owner */
  REQUEST_FORWARDED,  /* frame given to the link; may be queued or running at the owner */
  REQUEST_RESPONDING, /* part of the answer was relayed to the caller */
  REQUEST_DONE,       /* whole answer relayed */
  REQUEST_STEP_COUNT
} RequestStep;

/** enum RequestKind - Sort of request, as far as its fate depends on it. */
typedef enum
{
  REQUEST_READ,           /* run read-only; has no effect to lose */
  REQUEST_WRITE,          /* autocommitted statement with a transaction id */
  REQUEST_IN_TRANSACTION, /* statement of an open transaction */
  REQUEST_COMMIT,         /* COMMIT with a transaction id */
  REQUEST_KIND_COUNT
} RequestKind;

/** enum FailureKind - What ended the attempt. */
typedef enum
{
  FAILURE_REFUSED,      /* the owner said that it did not run */
  FAILURE_LINK_LOST,    /* no answer will come from that owner */
  FAILURE_BACKEND_LOST, /* the owner lost the backend connection while it ran */
  FAILURE_SUPERSEDED,   /* ran, but in a term that was replaced before a majority held it */
  FAILURE_NO_MAJORITY,  /* ran, but no majority held it in time */
  FAILURE_DEADLINE,     /* the caller's deadline passed without an answer */
  FAILURE_KIND_COUNT
} FailureKind;

/** enum FailureAction - What the entry host does next. */
typedef enum
{
  FAILURE_ACTION_RETRY,     /* send it again; nothing ran, or running twice is harmless */
  FAILURE_ACTION_NOT_RUN,   /* answer that it did not run */
  FAILURE_ACTION_RESOLVE,   /* look the transaction's outcome up, then decide */
  FAILURE_ACTION_IN_DOUBT,  /* answer that it may have run */
  FAILURE_ACTION_DISCONNECT /* part of the answer has gone out: end the caller's connection */
} FailureAction;

/**
 * struct RequestState - Facts on which the fate depends.
 * @idempotent: its class says that running twice is harmless.
 * @first_in_transaction: nothing of the transaction ran before.
 * @retryable: the refusal may pass on another instance or later.
 * @time_left: its deadline has not passed.
 * @unresolved_attempts: earlier attempts that may have run, whose outcome nobody looked up.
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

/** enum ResolvedOutcome - Answer of the outcome look-up. */
typedef enum
{
  RESOLVED_UNKNOWN,  /* nobody could say; what a message without an outcome means */
  RESOLVED_ABORTED,  /* it did not commit and never will */
  RESOLVED_COMMITTED /* it committed, and a majority holds it */
} ResolvedOutcome;

/**
 * request_resolved_verdict() - The verdict once the look-up of one attempt ended, while nothing
 * is known of @other_unresolved_attempts more.
 */
Verdict request_resolved_verdict (ResolvedOutcome outcome, unsigned int other_unresolved_attempts);

/** failure_action_name() - Name for logs and tables. */
const char *failure_action_name (FailureAction action);
