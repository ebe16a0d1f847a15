/**
 * DOC: Decision trace: one line per policy decision with all inputs and the result, so that
 * the "replay" command can run the same policies on the same inputs. The format is in
 * docs/TRACE.md.
 */
#pragma once

#include <stdbool.h>

typedef struct Trace Trace;

/** trace_open() - Creates the trace file @path; %NULL if it can't be created. */
Trace *trace_open (const char *path);

/** trace_close() - Closes the trace; @trace may be %NULL. */
void trace_close (Trace *trace);

/** trace_line() - Appends a line; thread-safe; has no effect if @trace is %NULL. */
void trace_line (Trace *trace, const char *format, ...) __attribute__ ((format (printf, 2, 3)));
