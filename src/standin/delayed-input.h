/**
 * DOC: Input that has to cross an emulated network before it counts as received.
 */
#pragma once

#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

typedef struct DelayedInput DelayedInput;

/** delayed_input_new() - No delay; @arrived is called when input becomes available. */
DelayedInput *delayed_input_new (TALLOC_CTX *parent, struct tevent_context *events,
                                 void (*arrived) (void *data), void *data);

/** delayed_input_set_delay() - Delay of all that comes from now on, in microseconds. */
void delayed_input_set_delay (DelayedInput *input, int64_t delay_us);

/** delayed_input_delay_us() - That delay. */
int64_t delayed_input_delay_us (const DelayedInput *input);

/** delayed_input_received() - @length bytes stand in the buffer. */
void delayed_input_received (DelayedInput *input, uint64_t length);

/** delayed_input_available() - Bytes at the front of the buffer that have arrived. */
uint64_t delayed_input_available (const DelayedInput *input);

/** delayed_input_consume() - @count bytes were taken off the front of the buffer. */
void delayed_input_consume (DelayedInput *input, uint64_t count);
