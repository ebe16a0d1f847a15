#include "pool/directory.h"

const char *
directory_result_name (DirectoryResult result)
{
  static const char *const names[] = {
    [DIRECTORY_OK] = "done",         [DIRECTORY_CONFLICT] = "conflict",
    [DIRECTORY_REFUSED] = "refused", [DIRECTORY_COMPACTED] = "outdated",
    [DIRECTORY_UNKNOWN] = "unknown",
  };

  return names[result];
}
