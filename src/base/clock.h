/**
 * DOC: Monotonic clock for the I/O layers. Policy modules never read a clock: they take the
 * current time as an argument.
 */
#pragma once

#include <stdint.h>

/** clock_now_ms() - Monotonic time in milliseconds. */
int64_t clock_now_ms (void);

/** clock_now_us() - Monotonic time in microseconds. */
int64_t clock_now_us (void);
