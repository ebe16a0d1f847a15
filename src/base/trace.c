#include "base/trace.h"

#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>

#include <glib.h>

struct Trace
{
  FILE *file;
  pthread_mutex_t lock;
};

Trace *
trace_open (const char *path)
{
  FILE *file = fopen (path, "we");
  Trace *trace;

  if (file == NULL)
    return NULL;
  trace = g_new0 (Trace, 1);
  trace->file = file;
  pthread_mutex_init (&trace->lock, NULL);
  return trace;
}

void
trace_close (Trace *trace)
{
  if (trace == NULL)
    return;
  fclose (trace->file);
  pthread_mutex_destroy (&trace->lock);
  g_free (trace);
}

void
trace_line (Trace *trace, const char *format, ...)
{
  va_list args;

  if (trace == NULL)
    return;
  va_start (args, format);
  pthread_mutex_lock (&trace->lock);
  vfprintf (trace->file, format, args);
  fputc ('\n', trace->file);
  pthread_mutex_unlock (&trace->lock);
  va_end (args);
}
