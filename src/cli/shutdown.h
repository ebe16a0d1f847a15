/**
 * DOC: Waits for SIGINT or SIGTERM, for commands that run until one of these arrives.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** shutdown_block_signals() - Blocks both signals; must be called before any thread starts. */
void shutdown_block_signals (void);

/** shutdown_wait() - Waits up to @timeout_ms for a signal; returns whether one arrived. */
bool shutdown_wait (int64_t timeout_ms);
