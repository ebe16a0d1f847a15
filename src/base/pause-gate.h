/**
 * DOC: Freezes a thread that serves a mailbox, as if its host were paused; for demos.
 */
#pragma once

#include <stdbool.h>

#include "base/mailbox.h"

typedef struct PauseGate PauseGate;

/** pause_gate_new() - Gate of the thread that reads @mailbox; not paused. */
PauseGate *pause_gate_new (Mailbox *mailbox);

/** pause_gate_free() - Frees it; the thread must have ended. */
void pause_gate_free (PauseGate *gate);

/** pause_gate_set() - From any thread: freezes the thread, or lets it go on. */
void pause_gate_set (PauseGate *gate, bool paused);
