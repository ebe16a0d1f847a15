/**
 * DOC: How fast an instance does each kind of work now, compared with what is usual for it. Answers
 * instances of one service that differ in speed, and some that slow down long before they are full.
 *
 * Times are compared within a class of work, so another mix of work does not look like another
 * speed. What is usual is a long average, which hardly moves while the instance is slow: a slow
 * spell of seconds is seen as one, and a lasting change becomes usual after some minutes. Each host
 * judges by its own statements and scales only its own share of the instance, so hosts do not chase
 * each other.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/admission-queue.h"

/**
 * struct InstanceSpeed - Zeroed before use; times in milliseconds, by class of work.
 * @usual_ms: long average of the time of a statement. @recent_ms: short average. 0 before the first
 *   sample.
 * @samples: number of samples.
 * @slowness: moving average of time by usual time, over all classes; 0 before the first sample.
 * @sampled_ms: when the class had its last sample.
 * @logged: slowness in the last log line.
 */
typedef struct
{
  double usual_ms[PRIORITY_COUNT];
  double recent_ms[PRIORITY_COUNT];
  uint32_t samples[PRIORITY_COUNT];
  int64_t sampled_ms[PRIORITY_COUNT];
  double slowness;
  double logged;
} InstanceSpeed;

/**
 * instance_speed_record() - A statement took @took_ms. Returns whether the slowness has changed by
 * more than a fifth since it was last logged.
 */
bool instance_speed_record (InstanceSpeed *speed, Priority priority, int64_t took_ms,
                            int64_t now_ms);

/** instance_speed_expected_ms() - Expected time of a statement; 0 if nothing is known. */
int64_t instance_speed_expected_ms (const InstanceSpeed *speed, Priority priority, int64_t now_ms);

/**
 * instance_speed_statements_percent() - Part of the usual number of statements in flight that it
 * takes well. More would only wait inside the instance, where they can't be ordered or moved.
 */
uint32_t instance_speed_statements_percent (const InstanceSpeed *speed);
