/**
 * DOC: A database group that speaks the platform's line protocol over loopback, with faults on
 * command, in the event loop of the test.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"
#include "pool/catalog.h"

typedef struct LineWorld LineWorld;

/** enum LineFault - What is wrong with an instance. */
typedef enum
{
  LINE_FAULT_NONE,
  LINE_FAULT_MUTE, /* takes what is sent, and answers nothing */
  LINE_FAULT_LOSE, /* runs the next statement, and closes without an answer */
  LINE_FAULT_HIDE, /* runs the next statement without an answer; the connection stays */
  LINE_FAULT_BUSY, /* has no slot */
  LINE_FAULT_DOWN, /* nobody listens */
  LINE_FAULT_DEAF, /* a replica that receives nothing */
  LINE_FAULT_FULL, /* says that it takes no new connections */
  LINE_FAULT_RESET /* closes new connections without a word */
} LineFault;

/** line_world_new() - Group "ledger": p, the primary, r and s. */
LineWorld *line_world_new (TALLOC_CTX *parent, struct tevent_context *events);

/** line_world_set_fault() - Puts @fault on the instance called @name. */
void line_world_set_fault (LineWorld *world, const char *name, LineFault fault);

/** line_world_set_leaving() - The instance announces that it leaves. */
void line_world_set_leaving (LineWorld *world, const char *name);

/** line_world_replace() - Another instance, of another service, stands at the address. */
void line_world_replace (LineWorld *world, const char *name);

/** line_world_promote() - Makes it the primary of the next term. False if it does not run. */
bool line_world_promote (LineWorld *world, const char *name);

/** line_world_infos() - The instances as they announce themselves; free the array. */
GArray *line_world_infos (const LineWorld *world);

/** line_world_print() - Role, term and log of each instance, and what was run on it. */
void line_world_print (const LineWorld *world, GString *out);
