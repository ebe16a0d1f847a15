#include "base/log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024

static atomic_int max_level = LOG_LEVEL_INFO;
static atomic_int log_fd = STDERR_FILENO;
static atomic_bool with_timestamp;
static _Atomic uint64_t dropped;

void
log_set_level (LogLevel level)
{
  atomic_store_explicit (&max_level, (int) level, memory_order_relaxed);
}

int
log_enabled (LogLevel level)
{
  return (int) level <= atomic_load_explicit (&max_level, memory_order_relaxed);
}

/* Timestamps have milliseconds, so that log lines of several hosts can be merged in order. */
static int
print_prefix (char *line, size_t size, LogLevel level, const char *event)
{
  struct timespec now;
  struct tm fields;
  char text[24];

  if (!atomic_load_explicit (&with_timestamp, memory_order_relaxed))
    return snprintf (line, size, "<%d>event=%s ", (int) level, event);
  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &fields);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &fields);
  return snprintf (line, size, "<%d>time=%s.%03ldZ event=%s ", (int) level, text,
                   now.tv_nsec / 1000000, event);
}

void
log_event (LogLevel level, const char *event, const char *format, ...)
{
  char line[LINE_BYTES];
  va_list args;
  int used, more;

  if (!log_enabled (level))
    return;

  used = print_prefix (line, sizeof line, level, event);
  va_start (args, format);
  more = vsnprintf (line + used, sizeof line - (size_t) used - 1, format, args);
  va_end (args);

  used += more;
  if (used > LINE_BYTES - 2)
    used = LINE_BYTES - 2;
  // Strip line breaks, so that a value can't inject a forged log line.
  for (int i = 0; i < used; i++)
    if (line[i] == '\n' || line[i] == '\r')
      line[i] = ' ';
  line[used++] = '\n';
  if (write (atomic_load_explicit (&log_fd, memory_order_relaxed), line, (size_t) used) < 0)
    atomic_fetch_add_explicit (&dropped, 1, memory_order_relaxed);
}

void
log_use_stdout (void)
{
  const int flags = fcntl (STDOUT_FILENO, F_GETFL);

  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  atomic_store_explicit (&log_fd, STDOUT_FILENO, memory_order_relaxed);
  atomic_store_explicit (&with_timestamp, true, memory_order_relaxed);
}

uint64_t
log_dropped (void)
{
  return atomic_load_explicit (&dropped, memory_order_relaxed);
}
