#include "policy/position-history.h"

static PositionSample *
sample_at (PositionHistory *history, uint32_t index)
{
  return &history->samples[(history->first + index) % POSITION_SAMPLES];
}

void
position_history_add (PositionHistory *history, int64_t at_ms, SessionToken position)
{
  PositionSample *last;

  if (history->count == 0)
    {
      history->count = 1;
      *sample_at (history, 0) = (PositionSample){ at_ms, position };
      return;
    }
  last = sample_at (history, history->count - 1);
  // Answers may arrive out of order: that of an older request must not lower the position.
  if (at_ms <= last->at_ms || session_token_compare (position, last->position) < 0)
    return;
  if (history->count >= 2
      && at_ms - sample_at (history, history->count - 2)->at_ms < POSITION_SPACING_MS)
    {
      *last = (PositionSample){ at_ms, position };
      return;
    }
  if (history->count == POSITION_SAMPLES)
    history->first = (history->first + 1) % POSITION_SAMPLES;
  else
    history->count++;
  *sample_at (history, history->count - 1) = (PositionSample){ at_ms, position };
}

bool
position_history_since (const PositionHistory *history, int64_t since_ms, PositionSample *sample)
{
  for (uint32_t i = 0; i < history->count; i++)
    {
      const PositionSample *candidate = &history->samples[(history->first + i) % POSITION_SAMPLES];

      if (candidate->at_ms < since_ms)
        continue;
      *sample = *candidate;
      return true;
    }
  return false;
}

void
position_history_last (const PositionHistory *history, PositionSample *sample)
{
  *sample = (PositionSample){ 0 };
  if (history->count > 0)
    *sample = history->samples[(history->first + history->count - 1) % POSITION_SAMPLES];
}
