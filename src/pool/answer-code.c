#include "pool/answer-code.h"

typedef struct
{
  const char *name;
  Verdict verdict;
} AnswerInfo;

static const AnswerInfo answer_table[ANSWER_CODE_COUNT] = {
  [ANSWER_OK] = { "ok", VERDICT_RAN },
  [ANSWER_OVERLOADED] = { "overloaded", VERDICT_NOT_RUN },
  [ANSWER_UNREACHABLE] = { "unreached", VERDICT_NOT_RUN },
  [ANSWER_BEHIND] = { "behind", VERDICT_NOT_RUN },
  [ANSWER_READ_ONLY] = { "read_only", VERDICT_NOT_RUN },
  [ANSWER_ROLLED_BACK] = { "rolled_back", VERDICT_NOT_RUN },
  [ANSWER_WRONG_INSTANCE] = { "wrong_instance", VERDICT_NOT_RUN },
  [ANSWER_CONNECTION_LIMIT] = { "connection_limit", VERDICT_NOT_RUN },
  [ANSWER_UNKNOWN_PREPARED] = { "unknown_prepared", VERDICT_NOT_RUN },
  [ANSWER_FAILED] = { "failed", VERDICT_RAN },
  [ANSWER_TIMEOUT] = { "timeout", VERDICT_MAY_HAVE_RUN },
  [ANSWER_IN_DOUBT] = { "in_doubt", VERDICT_MAY_HAVE_RUN },
  [ANSWER_UNKNOWN_DATABASE] = { "unknown_database", VERDICT_NOT_RUN },
  [ANSWER_MALFORMED] = { "malformed", VERDICT_NOT_RUN },
  [ANSWER_TOO_LARGE] = { "too_large", VERDICT_NOT_RUN },
  [ANSWER_UNAUTHENTICATED] = { "unauthenticated", VERDICT_NOT_RUN },
  [ANSWER_OVER_LIMIT] = { "over_limit", VERDICT_NOT_RUN },
};

const char *
answer_code_name (AnswerCode code)
{
  return answer_table[code].name;
}

Verdict
answer_code_verdict (AnswerCode code)
{
  return answer_table[code].verdict;
}
