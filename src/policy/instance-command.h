/**
 * DOC: Commands to an instance about its role in its group, and the report that it answers with.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** enum InstanceCommand - Command to an instance about its role in the group. */
typedef enum
{
  INSTANCE_COMMAND_STATUS,    /* report only */
  INSTANCE_COMMAND_PAUSE,     /* a replica stops replicating until it is resumed or promoted */
  INSTANCE_COMMAND_RESUME,    /* a paused replica replicates again */
  INSTANCE_COMMAND_STEP_DOWN, /* a primary of a lower term becomes a replica */
  INSTANCE_COMMAND_COUNT
} InstanceCommand;

/**
 * struct InstanceReport - State that an instance reports.
 * @primary: it is the primary of its group in @term.
 * @received: end of its log.
 * @pause_token: fencing token of the pause in force; 0 for none.
 * @lag_ms: its own estimate of its replication lag.
 * @busy: slots in use. @connections: open connections.
 */
typedef struct
{
  bool primary;
  uint64_t term;
  SessionToken received;
  uint64_t pause_token;
  int64_t lag_ms;
  uint32_t busy;
  uint32_t connections;
} InstanceReport;
