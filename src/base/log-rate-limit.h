/**
 * DOC: Limits the log lines per second of one kind of event and counts the suppressed lines.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct LogRateLimit - Limiter of one kind of event; set the rate and zero the rest.
 * @lines_per_s: lines allowed in each second.
 * @second: current second, of the monotonic clock.
 * @written: lines written in that second.
 * @dropped: lines suppressed since the last one that was written.
 */
typedef struct
{
  uint32_t lines_per_s;
  int64_t second;
  uint32_t written;
  uint32_t dropped;
} LogRateLimit;

/**
 * log_rate_limit_allow() - Returns whether a line may be written at @now_ms. If so, @dropped is
 * set to the number of lines suppressed before it, to be reported in that line.
 */
bool log_rate_limit_allow (LogRateLimit *limit, int64_t now_ms, uint32_t *dropped);
