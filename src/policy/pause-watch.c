#include "policy/pause-watch.h"

#include <glib.h>

/* A pause counts as abandoned after this time without a change of primary. */
#define ABANDONED_MS 2000
/* An older report may be out of date. */
#define REPORT_VALID_MS 1000

static WatchedPause *
find_pause (PauseWatch *watch, uint32_t instance)
{
  for (uint32_t i = 0; i < watch->count; i++)
    if (watch->items[i].instance == instance)
      return &watch->items[i];
  return NULL;
}

void
pause_watch_remove (PauseWatch *watch, uint32_t instance)
{
  WatchedPause *pause = find_pause (watch, instance);

  if (pause != NULL)
    *pause = watch->items[--watch->count];
}

void
pause_watch_record (PauseWatch *watch, uint32_t instance, uint64_t token, int64_t reported_ms)
{
  WatchedPause *pause = find_pause (watch, instance);

  if (pause != NULL && reported_ms < pause->reported_ms)
    return;
  if (token == 0)
    {
      pause_watch_remove (watch, instance);
      return;
    }
  if (pause == NULL && watch->count == PAUSE_WATCH_MAX)
    return;
  if (pause == NULL)
    {
      pause = &watch->items[watch->count++];
      *pause = (WatchedPause){ .instance = instance };
    }
  if (pause->token != token)
    pause->since_ms = reported_ms;
  pause->token = token;
  pause->reported_ms = reported_ms;
}

void
pause_watch_restart (PauseWatch *watch, int64_t now_ms)
{
  for (uint32_t i = 0; i < watch->count; i++)
    watch->items[i].since_ms = now_ms;
}

bool
pause_watch_is_empty (const PauseWatch *watch)
{
  return watch->count == 0;
}

uint64_t
pause_watch_abandoned (const PauseWatch *watch, int64_t now_ms)
{
  uint64_t token = 0;

  for (uint32_t i = 0; i < watch->count; i++)
    {
      const WatchedPause *pause = &watch->items[i];

      if (pause->reported_ms - pause->since_ms >= ABANDONED_MS
          && now_ms - pause->reported_ms < REPORT_VALID_MS)
        token = MAX (token, pause->token);
    }
  return token;
}
