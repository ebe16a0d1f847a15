/**
 * DOC: What is asked of an instance about its part in its group, and what it answers.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** enum InstanceCommand - Orders to an instance about its part in the group. */
typedef enum
{
  INSTANCE_COMMAND_STATUS,    /* report, change nothing */
  INSTANCE_COMMAND_PAUSE,     /* a replica receives nothing until resumed or promoted */
  INSTANCE_COMMAND_RESUME,    /* a paused replica receives again */
  INSTANCE_COMMAND_STEP_DOWN, /* a primary of a lower term becomes a replica */
  INSTANCE_COMMAND_COUNT
} InstanceCommand;

/**
 * struct InstanceReport - What an instance says of itself.
 * @primary: it leads its group in @term.
 * @received: end of its log.
 * @pause_token: term of the order by which it is paused; 0 for none.
 * @lag_ms: how far it believes to be behind.
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
