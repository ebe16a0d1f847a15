/**
 * DOC: In which order the hosts of a group, a failure domain or a small fleet, read the platform's
 * store. A few read it often. If nothing is heard of their reads, others read in their place, in
 * waves that double, so that a host that reaches the store is found soon and a large fleet does not
 * call all at once.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ReaderCandidate - A host in that order.
 * @store_lost: its last call to the store failed; such hosts come after all others.
 */
typedef struct
{
  bool store_lost;
  uint64_t id;
} ReaderCandidate;

/** reader_order_precedes() - Whether @candidate comes before @other. */
bool reader_order_precedes (const ReaderCandidate *candidate, const ReaderCandidate *other);

/**
 * reader_order_takeover_ms() - Age of the latest known read at which the host of @rank, counting
 * from 0, reads by itself: from @first_ms for the first host up to @last_ms.
 */
int64_t reader_order_takeover_ms (int64_t first_ms, int64_t last_ms, uint32_t rank);

/** reader_order_retry_ms() - Up to @longest_ms, different for hosts that called at the same time.
 */
int64_t reader_order_retry_ms (int64_t longest_ms, uint32_t rank);
