#include "pool/directory.h"

const char *
call_result_name (CallResult result)
{
  static const char *const names[] = {
    [CALL_DONE] = "done",         [CALL_CONFLICT] = "conflict", [CALL_REFUSED] = "refused",
    [CALL_OUTDATED] = "outdated", [CALL_UNKNOWN] = "unknown",
  };

  return names[result];
}
