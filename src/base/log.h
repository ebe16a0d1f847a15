/**
 * DOC: Structured log on standard error with syslog priorities: "<6>event=NAME key=value ...".
 * Thread-safe; each line is a single write().
 */
#pragma once

#include <stdint.h>

/** enum LogLevel - Syslog severities used. */
typedef enum
{
  LOG_LEVEL_ERROR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} LogLevel;

/** log_set_level() - Discards lines with a severity number above @level. */
void log_set_level (LogLevel level);

/** log_enabled() - Returns whether lines of @level are written. */
int log_enabled (LogLevel level);

/** log_event() - Writes one line; @format holds the key=value pairs after event=@event. */
void log_event (LogLevel level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * log_use_stdout() - Logs to standard output instead, with UTC timestamps. The output becomes
 * non-blocking: lines that a full pipe does not accept are dropped and counted.
 */
void log_use_stdout (void);

/** log_dropped() - Number of lines dropped because a write failed. */
uint64_t log_dropped (void);
