#include "policy/instance-speed.h"

/* Weight of a sample in the moving averages, as a divisor. */
#define RECENT_WEIGHT 8.0
/* The same for what is usual: in general, and while the instance is slow or fast. */
#define USUAL_WEIGHT 256.0
#define SLOW_WEIGHT 4096.0
#define FAST_WEIGHT 32.0
/* Samples of a class before it is judged. */
#define SAMPLES_MIN 16
/* A class without a sample for this time is judged by the others. */
#define FRESH_MS 1000
/* Slower than this is not told apart: one statement a slot is in flight then. */
#define SLOWNESS_MAX 3.0
/* Between these the instance counts as usual: times vary by themselves. */
#define SLOWNESS_USUAL 1.6
#define FASTNESS_USUAL 0.6
#define LOG_CHANGE 1.2

static double
clamp (double value, double min, double max)
{
  if (value < min)
    return min;
  return value > max ? max : value;
}

static bool
differs (double a, double b)
{
  return a > b * LOG_CHANGE || b > a * LOG_CHANGE;
}

/* The first samples count alike. */
static double
usual_weight (const InstanceSpeed *speed, Priority priority)
{
  if (speed->samples[priority] < USUAL_WEIGHT / 4)
    return speed->samples[priority];
  if (speed->slowness > SLOWNESS_USUAL)
    return SLOW_WEIGHT;
  return speed->slowness < FASTNESS_USUAL ? FAST_WEIGHT : USUAL_WEIGHT;
}

bool
instance_speed_record (InstanceSpeed *speed, Priority priority, int64_t took_ms, int64_t now_ms)
{
  const double time_ms = took_ms < 1 ? 1 : (double) took_ms;
  double *usual_ms = &speed->usual_ms[priority];
  double *recent_ms = &speed->recent_ms[priority];

  speed->sampled_ms[priority] = now_ms;
  if (speed->samples[priority] < UINT32_MAX)
    speed->samples[priority]++;
  *recent_ms += (time_ms - *recent_ms) / (*recent_ms == 0 ? 1 : RECENT_WEIGHT);
  if (speed->slowness == 0)
    speed->slowness = speed->logged = 1;
  // One long statement is no slow instance.
  if (speed->samples[priority] > SAMPLES_MIN)
    speed->slowness += (clamp (time_ms / *usual_ms, 0, 3 * SLOWNESS_MAX) - speed->slowness)
                       / (2 * RECENT_WEIGHT);
  *usual_ms += (time_ms - *usual_ms) / usual_weight (speed, priority);
  if (!differs (speed->slowness, speed->logged)
      || (speed->slowness < SLOWNESS_USUAL && speed->logged < SLOWNESS_USUAL))
    return false;
  speed->logged = speed->slowness;
  return true;
}

int64_t
instance_speed_expected_ms (const InstanceSpeed *speed, Priority priority, int64_t now_ms)
{
  double usual_ms = speed->usual_ms[priority];

  if (usual_ms > 0 && now_ms - speed->sampled_ms[priority] < FRESH_MS)
    return (int64_t) speed->recent_ms[priority];
  for (int i = 0; i < PRIORITY_COUNT && usual_ms == 0; i++)
    usual_ms = speed->usual_ms[i];
  return (int64_t) (usual_ms * (speed->slowness == 0 ? 1 : speed->slowness));
}

uint32_t
instance_speed_statements_percent (const InstanceSpeed *speed)
{
  const double slowness = clamp (speed->slowness / SLOWNESS_USUAL, 1, SLOWNESS_MAX);

  return (uint32_t) (100 / slowness);
}
