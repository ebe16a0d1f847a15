/**
 * DOC: Maps the store's steady clock to this host's, so that a late answer of a long poll shows how
 * old it is. Both clocks run at the same rate.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** struct StoreClock - Zeroed before use. */
typedef struct
{
  bool known;
  int64_t offset_ms; /* the host's clock is ahead of the store's by this, or more */
} StoreClock;

/**
 * store_clock_record() - An answer to a call that was sent at @sent_ms came at @received_ms with
 * the store's time @store_ms, negative if it has none. Returns the earliest time on the host's
 * clock at which the answer can have been made.
 */
int64_t store_clock_record (StoreClock *clock, int64_t store_ms, int64_t sent_ms,
                            int64_t received_ms);
