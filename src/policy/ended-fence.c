#include "policy/ended-fence.h"

#include <glib.h>

void
ended_fence_record (EndedFence *fence, uint64_t token, int64_t until_ms)
{
  if (token == 0)
    return;
  fence->token = MAX (fence->token, token);
  fence->until_ms = MAX (fence->until_ms, until_ms);
}

uint64_t
ended_fence_token (const EndedFence *fence, int64_t now_ms)
{
  return now_ms < fence->until_ms ? fence->token : 0;
}
