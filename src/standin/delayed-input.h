/**
 * DOC: Delays received input by the latency of an emulated network.
 */
#pragma once

#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

typedef struct DelayedInput DelayedInput;

/** delayed_input_new() - Starts without delay; @arrived is called when input becomes available. */
DelayedInput *delayed_input_new (TALLOC_CTX *parent, struct tevent_context *events,
                                 void (*arrived) (void *data), void *data);

/** delayed_input_set_delay() - Sets the delay of later input, in microseconds. */
void delayed_input_set_delay (DelayedInput *input, int64_t delay_us);

/** delayed_input_delay_us() - Current delay in microseconds. */
int64_t delayed_input_delay_us (const DelayedInput *input);

/** delayed_input_received() - Reports that the buffer now holds @length bytes. */
void delayed_input_received (DelayedInput *input, uint64_t length);

/** delayed_input_available() - Bytes at the front of the buffer whose delay has passed. */
uint64_t delayed_input_available (const DelayedInput *input);

/** delayed_input_consume() - Reports that @count bytes left the front of the buffer. */
void delayed_input_consume (DelayedInput *input, uint64_t count);
