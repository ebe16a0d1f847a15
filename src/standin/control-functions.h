/**
 * DOC: The SQL functions that monitor and control a database group, as specified in
 * docs/PLATFORM.md.
 */
#pragma once

#include <stdbool.h>

#include <glib.h>

#include "standin/database-group.h"

/** struct ControlTarget - The instance on which a function was called. */
typedef struct
{
  DatabaseGroup *group;
  uint32_t instance;
  const DatabaseGroupOptions *emulation;
} ControlTarget;

/**
 * struct StatusWait - How long a status call waits: until the instance holds @position, or until
 * @until_ms.
 */
typedef struct
{
  SessionToken position;
  bool applied; /* the position must be applied, not just received */
  int64_t until_ms;
} StatusWait;

/**
 * control_functions_read_status() - Parses a call of peridotstep_status() into @wait. @body is a
 * statement without leading comments; returns false if it is any other statement.
 */
bool control_functions_read_status (const char *body, int64_t now_ms, StatusWait *wait);

/** control_functions_status_due() - Whether the status call must be answered now. */
bool control_functions_status_due (const ControlTarget *target, const StatusWait *wait,
                                   int64_t now_ms);

/** control_functions_put_status() - Appends the result of peridotstep_status() to @out. */
void control_functions_put_status (const ControlTarget *target, GByteArray *out);

/** control_functions_run() - Runs any other control function; false if @body calls none. */
bool control_functions_run (const ControlTarget *target, const char *body, GByteArray *out);
