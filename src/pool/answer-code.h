/**
 * DOC: Result codes of statements, shared by the pool, the codec and callers.
 */
#pragma once

#include <stdbool.h>

#include "base/verdict.h"

/** enum AnswerCode - Outcome of one statement or connection attempt. */
typedef enum
{
  ANSWER_OK,
  ANSWER_OVERLOADED,       /* no free slot or no usable instance in time */
  ANSWER_UNREACHABLE,      /* connecting to the instance failed */
  ANSWER_BEHIND,           /* the replica has not yet received the required position */
  ANSWER_READ_ONLY,        /* write sent to an instance that is not the primary */
  ANSWER_ROLLED_BACK,      /* the transaction was rolled back */
  ANSWER_WRONG_INSTANCE,   /* the address now belongs to another instance */
  ANSWER_CONNECTION_LIMIT, /* the instance accepts no more connections */
  ANSWER_UNKNOWN_PREPARED, /* no prepared statement of that name */
  ANSWER_FAILED,           /* ran and returned an error */
  ANSWER_TIMEOUT,          /* the statement's time limit expired while it ran */
  ANSWER_IN_DOUBT,         /* may have run */
  ANSWER_UNKNOWN_DATABASE,
  ANSWER_MALFORMED,
  ANSWER_TOO_LARGE,
  ANSWER_UNAUTHENTICATED, /* the key belongs to no customer */
  ANSWER_OVER_LIMIT,      /* beyond the customer's limit */
  ANSWER_CODE_COUNT
} AnswerCode;

/** answer_code_name() - Name of @code in log lines. */
const char *answer_code_name (AnswerCode code);

/** answer_code_verdict() - Whether a statement that ended with @code may have run. */
Verdict answer_code_verdict (AnswerCode code);
