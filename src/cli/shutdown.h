/**
 * DOC: Waiting for SIGINT or SIGTERM in commands that run until then.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** shutdown_block_signals() - To be called before any thread starts. */
void shutdown_block_signals (void);

/** shutdown_wait() - Waits up to @timeout_ms for a signal; true if one came. */
bool shutdown_wait (int64_t timeout_ms);
