/**
 * DOC: Syslog-style lines on standard error: "<6>event=NAME key=value ...".
 * Safe to call from any thread; one line is one write.
 */
#pragma once

#include <stdint.h>

/** enum LogLevel - Syslog severities in use. */
typedef enum
{
  LOG_LEVEL_ERROR = 3,
  LOG_LEVEL_WARNING = 4,
  LOG_LEVEL_NOTICE = 5,
  LOG_LEVEL_INFO = 6,
  LOG_LEVEL_DEBUG = 7
} LogLevel;

/** log_set_level() - Lines with a severity number above @level are dropped. */
void log_set_level (LogLevel level);

/** log_enabled() - Whether a line of @level would be written. */
int log_enabled (LogLevel level);

/** log_event() - Writes one line; @format holds the key=value pairs after event=@event. */
void log_event (LogLevel level, const char *event, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * log_use_stdout() - Lines go to standard output, with the time of day in UTC; what a full pipe
 * does not take is dropped.
 */
void log_use_stdout (void);

/** log_dropped() - Lines dropped so far. */
uint64_t log_dropped (void);
