/**
 * DOC: Simulated database group that speaks the platform's text protocol over loopback, with fault
 * injection, in the event loop of the test.
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

/** enum FakeFault - Fault injected into an instance. */
typedef enum
{
  FAKE_FAULT_NONE,
  FAKE_FAULT_UNRESPONSIVE,     /* accepts input and answers nothing */
  FAKE_FAULT_CLOSE_UNANSWERED, /* runs the next statement and closes without an answer */
  FAKE_FAULT_WITHHOLD_ANSWER,  /* runs the next statement without an answer; the connection stays */
  FAKE_FAULT_BUSY,             /* has no free slot */
  FAKE_FAULT_DOWN,             /* does not listen */
  FAKE_FAULT_NOT_REPLICATING,  /* a replica that receives nothing */
  FAKE_FAULT_FULL,             /* refuses new connections with an error */
  FAKE_FAULT_RESET             /* closes new connections at once */
} FakeFault;

/** fake_group_new() - Group "ledger": primary p, replicas r and s. */
FakeGroup *fake_group_new (TALLOC_CTX *parent, struct tevent_context *events);

/** fake_group_set_fault() - Injects @fault into the instance @name. */
void fake_group_set_fault (FakeGroup *group, const char *name, FakeFault fault);

/** fake_group_set_leaving() - The instance announces that it leaves. */
void fake_group_set_leaving (FakeGroup *group, const char *name);

/** fake_group_reuse_address() - An instance of another service takes over the address. */
void fake_group_reuse_address (FakeGroup *group, const char *name);

/** fake_group_promote() - Makes it the primary of the next term; false if it is down. */
bool fake_group_promote (FakeGroup *group, const char *name);

/** fake_group_infos() - Entries of the instances as in the store; free the array. */
GArray *fake_group_infos (const FakeGroup *group);

/** fake_group_print() - Role, term, log length, pause and statement count of each instance. */
void fake_group_print (const FakeGroup *group, GString *out);
