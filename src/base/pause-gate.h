/**
 * DOC: Freezes a thread that serves a mailbox, as if its host were paused; for demos.
 */
#pragma once

#include <stdbool.h>

#include "base/mailbox.h"

typedef struct ThreadPause ThreadPause;

/** thread_pause_new() - Gate of the thread that reads @mailbox; not paused. */
ThreadPause *thread_pause_new (Mailbox *mailbox);

/** thread_pause_free() - Frees it; the thread must have ended. */
void thread_pause_free (ThreadPause *gate);

/** thread_pause_set() - From any thread: freezes the thread, or lets it go on. */
void thread_pause_set (ThreadPause *gate, bool paused);
