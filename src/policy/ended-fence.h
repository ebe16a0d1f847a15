/**
 * DOC: Fencing token of a change of primary that a host announced before its process ended. The
 * promotion that it requested may still take effect.
 */
#pragma once

#include <stdint.h>

/** struct EndedFence - The token, in force until @until_ms; zeroed for none. */
typedef struct
{
  uint64_t token;
  int64_t until_ms;
} EndedFence;

/** ended_fence_record() - A process that had announced @token (0 for none) has ended. */
void ended_fence_record (EndedFence *fence, uint64_t token, int64_t until_ms);

/** ended_fence_token() - Token in force; 0 for none. */
uint64_t ended_fence_token (const EndedFence *fence, int64_t now_ms);
