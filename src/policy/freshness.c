#include "policy/freshness.h"

/* Minimum time between samples; closer ones would add no useful precision. */
#define SAMPLE_SPACING_MS 20

void
freshness_sample (Freshness *freshness, int64_t began_ms, SessionToken position)
{
  uint32_t last = (freshness->next + FRESHNESS_SAMPLES - 1) % FRESHNESS_SAMPLES;

  // The position was still current at this poll, so its sample takes the later time.
  if (freshness->count > 0
      && session_token_compare (freshness->samples[last].position, position) == 0)
    {
      freshness->samples[last].began_ms = began_ms;
      return;
    }
  if (freshness->count > 0 && began_ms - freshness->samples[last].began_ms < SAMPLE_SPACING_MS)
    return;
  freshness->samples[freshness->next].began_ms = began_ms;
  freshness->samples[freshness->next].position = position;
  freshness->next = (freshness->next + 1) % FRESHNESS_SAMPLES;
  if (freshness->count < FRESHNESS_SAMPLES)
    freshness->count++;
}

int64_t
freshness_age_ms (const Freshness *freshness, SessionToken applied, int64_t now_ms)
{
  for (uint32_t i = 0; i < freshness->count; i++)
    {
      uint32_t index = (freshness->next + FRESHNESS_SAMPLES - 1 - i) % FRESHNESS_SAMPLES;

      if (session_token_covers (applied, freshness->samples[index].position))
        return now_ms - freshness->samples[index].began_ms;
    }
  return -1;
}
