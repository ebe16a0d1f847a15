/**
 * DOC: How a statement ended: the codes between the pool, its callers and backend servers.
 */
#pragma once

#include <stdbool.h>

#include "base/verdict.h"

/** enum AnswerCode - Outcome of one statement or connection attempt. */
typedef enum
{
  ANSWER_OK,
  ANSWER_OVERLOADED,       /* no slot or no route in time */
  ANSWER_UNREACHABLE,      /* no connection to the instance */
  ANSWER_BEHIND,           /* the replica lacks the position asked for */
  ANSWER_READ_ONLY,        /* a write at an instance that is not the primary */
  ANSWER_ROLLED_BACK,      /* the transaction is gone, nothing of it is kept */
  ANSWER_WRONG_INSTANCE,   /* the address belongs to another instance now */
  ANSWER_CONNECTION_LIMIT, /* the instance takes no more connections */
  ANSWER_UNKNOWN_PREPARED, /* no prepared statement of that name */
  ANSWER_FAILED,           /* ran, and failed */
  ANSWER_TIMEOUT,          /* the time limit of the statement passed while it ran */
  ANSWER_IN_DOUBT,         /* may have run */
  ANSWER_UNKNOWN_DATABASE,
  ANSWER_MALFORMED,
  ANSWER_TOO_LARGE,
  ANSWER_CODE_COUNT
} AnswerCode;

/** answer_code_name() - Name for logs. */
const char *answer_code_name (AnswerCode code);

/** answer_code_verdict() - Whether a statement that ended so may have run. */
Verdict answer_code_verdict (AnswerCode code);
