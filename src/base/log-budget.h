/**
 * DOC: Bounds the lines that one kind of event may write, and counts what it left out.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct LogRateLimit - Lines of one event; initialise with the rate, the rest zeroed.
 * @lines_per_s: lines in each second.
 * @second: second under way. @written, @dropped: in it.
 */
typedef struct
{
  uint32_t lines_per_s;
  int64_t second;
  uint32_t written;
  uint32_t dropped;
} LogRateLimit;

/**
 * log_rate_limit_allow() - Whether a line may be written at @now_ms. @dropped is the number of
 * lines left out before, to be told with the next line; 0 when there were none.
 */
bool log_rate_limit_allow (LogRateLimit *budget, int64_t now_ms, uint32_t *dropped);
