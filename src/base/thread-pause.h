/**
 * DOC: Pauses a thread that reads a mailbox, to simulate a paused host; demos only.
 */
#pragma once

#include <stdbool.h>

#include "base/mailbox.h"

typedef struct ThreadPause ThreadPause;

/** thread_pause_new() - Pause control of the thread that reads @mailbox; initially not paused. */
ThreadPause *thread_pause_new (Mailbox *mailbox);

/** thread_pause_free() - Frees @pause; the thread must have exited. */
void thread_pause_free (ThreadPause *pause);

/** thread_pause_set() - Pauses or resumes the thread; may be called from any other thread. */
void thread_pause_set (ThreadPause *pause, bool paused);
