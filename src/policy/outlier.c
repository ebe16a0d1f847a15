#include "policy/outlier.h"

/* Weight of a new answer in the moving average, as a divisor. */
#define WEIGHT 12.0
/* Share of failures from which an instance stands out, and from which it is worth to try another.
 */
#define EJECT_SHARE 0.25
#define SUSPECT_SHARE 0.08
/* It has to fail so many times more often than the best of the others. */
#define OTHERS_FACTOR 4.0
/* Answers before the first judgement. */
#define SAMPLES_MIN 6
/* First and longest time without reads. */
#define EJECTED_MS 1000
#define EJECTED_MAX_MS 8000
/* A returning instance gets a read at this interval, until so many in a row have succeeded. */
#define TRIAL_INTERVAL_MS 100
#define TRIAL_SUCCESSES 8

/* Share of failures of the best of the others; statements that are wrong fail there too. */
static double
best_failing (Outlier *const *members, uint32_t count, uint32_t index)
{
  double best = 1;

  for (uint32_t i = 0; i < count; i++)
    if (i != index && members[i]->until_ms == 0 && members[i]->failing < best)
      best = members[i]->failing;
  return best;
}

static bool
stands_out (Outlier *const *members, uint32_t count, uint32_t index, double share)
{
  const Outlier *outlier = members[index];

  return outlier->failing >= share
         && outlier->failing >= OTHERS_FACTOR * best_failing (members, count, index);
}

static bool
may_eject_another (Outlier *const *members, uint32_t count)
{
  uint32_t ejected = 1;

  for (uint32_t i = 0; i < count; i++)
    ejected += members[i]->until_ms != 0;
  return ejected * 2 <= count;
}

static void
eject (Outlier *outlier, int64_t now_ms)
{
  int64_t time_ms = EJECTED_MS;

  for (uint32_t i = 0; i < outlier->turns && time_ms < EJECTED_MAX_MS; i++)
    time_ms *= 2;
  outlier->turns++;
  outlier->successes = 0;
  outlier->until_ms = now_ms + time_ms;
}

static OutlierChange
record_trial (Outlier *outlier, bool failed, int64_t now_ms)
{
  // Answers to what was sent before it was left out tell nothing new.
  if (now_ms < outlier->until_ms)
    return OUTLIER_SAME;
  if (failed)
    {
      eject (outlier, now_ms);
      return OUTLIER_EJECTED;
    }
  if (++outlier->successes < TRIAL_SUCCESSES)
    return OUTLIER_SAME;
  *outlier = (Outlier){ .turns = outlier->turns };
  return OUTLIER_RETURNED;
}

OutlierChange
outlier_record (Outlier *const *members, uint32_t count, uint32_t index, bool failed,
                int64_t now_ms)
{
  Outlier *outlier = members[index];

  if (outlier->until_ms != 0)
    return record_trial (outlier, failed, now_ms);
  outlier->failing += ((failed ? 1 : 0) - outlier->failing) / WEIGHT;
  if (outlier->samples < UINT32_MAX)
    outlier->samples++;
  // After a long time without trouble a first turn is short again.
  if (outlier->samples > 1000 && !failed)
    outlier->turns = 0;
  if (!failed || outlier->samples < SAMPLES_MIN || !stands_out (members, count, index, EJECT_SHARE)
      || !may_eject_another (members, count))
    return OUTLIER_SAME;
  eject (outlier, now_ms);
  return OUTLIER_EJECTED;
}

bool
outlier_is_suspect (Outlier *const *members, uint32_t count, uint32_t index)
{
  return members[index]->until_ms != 0 || stands_out (members, count, index, SUSPECT_SHARE);
}

bool
outlier_may_use (const Outlier *outlier, int64_t now_ms)
{
  if (outlier->until_ms == 0)
    return true;
  return now_ms >= outlier->until_ms && now_ms - outlier->tried_ms >= TRIAL_INTERVAL_MS;
}

void
outlier_chosen (Outlier *outlier, int64_t now_ms)
{
  outlier->tried_ms = now_ms;
}
