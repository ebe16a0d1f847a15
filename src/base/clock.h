/**
 * DOC: Monotonic time for the I/O layers. Policies never call this module: they take
 * the time as an argument.
 */
#pragma once

#include <stdint.h>

/** clock_now_ms() - Monotonic time in milliseconds. */
int64_t clock_now_ms (void);

/** clock_now_us() - Monotonic time in microseconds. */
int64_t clock_now_us (void);
