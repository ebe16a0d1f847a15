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

typedef struct FakeGroup FakeGroup;

/** enum FakeFault - What is wrong with an instance. */
typedef enum
{
  FAKE_FAULT_NONE,
  FAKE_FAULT_UNRESPONSIVE,     /* takes what is sent, and answers nothing */
  FAKE_FAULT_CLOSE_UNANSWERED, /* runs the next statement, and closes without an answer */
  FAKE_FAULT_WITHHOLD_ANSWER,  /* runs the next statement without an answer; the connection stays */
  FAKE_FAULT_BUSY,             /* has no slot */
  FAKE_FAULT_DOWN,             /* nobody listens */
  FAKE_FAULT_NOT_REPLICATING,  /* a replica that receives nothing */
  FAKE_FAULT_FULL,             /* says that it takes no new connections */
  FAKE_FAULT_RESET             /* closes new connections without a word */
} FakeFault;

/** fake_group_new() - Group "ledger": p, the primary, r and s. */
FakeGroup *fake_group_new (TALLOC_CTX *parent, struct tevent_context *events);

/** fake_group_set_fault() - Puts @fault on the instance called @name. */
void fake_group_set_fault (FakeGroup *world, const char *name, FakeFault fault);

/** fake_group_set_leaving() - The instance announces that it leaves. */
void fake_group_set_leaving (FakeGroup *world, const char *name);

/** fake_group_reuse_address() - Another instance, of another service, stands at the address. */
void fake_group_reuse_address (FakeGroup *world, const char *name);

/** fake_group_promote() - Makes it the primary of the next term. False if it does not run. */
bool fake_group_promote (FakeGroup *world, const char *name);

/** fake_group_infos() - The instances as they announce themselves; free the array. */
GArray *fake_group_infos (const FakeGroup *world);

/** fake_group_print() - Role, term and log of each instance, and what was run on it. */
void fake_group_print (const FakeGroup *world, GString *out);
