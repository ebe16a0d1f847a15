#include "policy/commit-floor.h"

#include <glib.h>

void
commit_floor_record (CommitFloor *floor, SessionToken position, int64_t now_ms)
{
  const uint32_t last = (floor->next + COMMIT_FLOOR_POSITIONS - 1) % COMMIT_FLOOR_POSITIONS;

  if (floor->known_ms[last] != 0 && now_ms - floor->known_ms[last] < COMMIT_FLOOR_SPACING_MS)
    return;
  floor->known_ms[floor->next] = now_ms;
  floor->positions[floor->next] = position;
  floor->next = (floor->next + 1) % COMMIT_FLOOR_POSITIONS;
}

SessionToken
commit_floor_of (const CommitFloor *floor, int64_t sent_ms)
{
  SessionToken best = { 0 };

  for (uint32_t i = 0; i < COMMIT_FLOOR_POSITIONS; i++)
    if (floor->known_ms[i] != 0 && floor->known_ms[i] < sent_ms)
      session_token_advance (&best, floor->positions[i]);
  if (best.term != 0)
    best.position++;
  return best;
}
