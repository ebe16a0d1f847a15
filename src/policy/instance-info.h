/**
 * DOC: An instance as it announces itself.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Longest name kept, with its terminator, in bytes. */
#define CATALOG_NAME_BYTES 64

/**
 * struct InstanceInfo - An instance as it announces itself.
 * @started_ms: when it started; a greater value under the same @id is a restarted instance,
 *   which has kept no state of its earlier run.
 * @slots: statements that it runs at once.
 * @leaving: it takes no new work.
 * @primary: it considers itself the primary of its group.
 */
typedef struct
{
  char id[CATALOG_NAME_BYTES];
  char service[CATALOG_NAME_BYTES];
  char address[CATALOG_NAME_BYTES];
  uint16_t port;
  char failure_domain[CATALOG_NAME_BYTES];
  int64_t started_ms;
  uint32_t slots;
  bool leaving;
  bool primary;
} InstanceInfo;
