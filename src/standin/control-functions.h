/**
 * DOC: The SQL functions by which a database group is watched and steered, as docs/PLATFORM.md
 * describes them.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>

#include "standin/database-group.h"

/** struct ControlTarget - The instance that was called. */
typedef struct
{
  DatabaseGroup *group;
  uint32_t instance;
  const DatabaseGroupOptions *emulation;
} ControlTarget;

/** struct StatusWait - Until when a status call waits. */
typedef struct
{
  SessionToken position;
  bool applied; /* to be applied, not just received */
  int64_t until_ms;
} StatusWait;

/** control_functions_read_status() - Whether @body calls peridotstep_status(); fills @wait. */
bool control_functions_read_status (const char *body, int64_t now_ms, StatusWait *wait);

/** control_functions_status_due() - Whether the wait is over. */
bool control_functions_status_due (const ControlTarget *target, const StatusWait *wait,
                                   int64_t now_ms);

/** control_functions_put_status() - The answer of peridotstep_status(). */
void control_functions_put_status (const ControlTarget *target, GByteArray *out);

/** control_functions_run() - Runs any other function; false if @body calls none. */
bool control_functions_run (const ControlTarget *target, const char *body, GByteArray *out);
