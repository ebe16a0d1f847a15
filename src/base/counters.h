/**
 * DOC: Counters and gauges of one daemon: relaxed atomics, updated from any thread.
 */
#pragma once

#include <stdatomic.h>
#include <stdint.h>

#include <glib.h>

/** enum CounterId - Counters and gauges; each is one metric in /metrics. */
typedef enum
{
  COUNTER_CALLERS_ACCEPTED,
  COUNTER_CALLERS_OPEN,
  COUNTER_PROTOCOL_ERRORS,
  COUNTER_STATEMENTS,
  COUNTER_STATEMENTS_FORWARDED,
  COUNTER_STATEMENTS_RAN,
  COUNTER_STATEMENTS_NOT_RUN,
  COUNTER_STATEMENTS_IN_DOUBT,
  COUNTER_RETRIES,
  COUNTER_RETRIES_DENIED,
  COUNTER_READS_REPLICA,
  COUNTER_READS_PRIMARY,
  COUNTER_READS_REMOTE,
  COUNTER_POSITION_SAMPLES,
  COUNTER_QUEUE_REFUSED,
  COUNTER_QUEUE_DEADLINE,
  COUNTER_COMMITS_GATED,
  COUNTER_COMMITS_RESOLVED,
  COUNTER_BACKEND_OPENED,
  COUNTER_BACKEND_LOST,
  COUNTER_BACKEND_OPEN,
  COUNTER_FAILOVERS,
  COUNTER_SWITCHOVERS,
  COUNTER_LINKS_OPEN,
  COUNTER_LINK_FRAMES_SENT,
  COUNTER_LINK_BYTES_SENT,
  COUNTER_GOSSIP_SENT,
  COUNTER_GOSSIP_BYTES_SENT,
  COUNTER_CONFIG_VERSION,
  COUNTER_CONFIG_POLLS,
  COUNTER_CONFIG_FETCHED,
  COUNTER_MEMBERS_ALIVE,
  COUNTER_COUNT
} CounterId;

/** struct Counters - Current values, indexed by &enum CounterId. */
typedef struct
{
  _Atomic uint64_t value[COUNTER_COUNT];
} Counters;

/** counter_add() - Adds @delta, which may be negative for gauges. */
static inline void
counter_add (Counters *counters, CounterId id, int64_t delta)
{
  atomic_fetch_add_explicit (&counters->value[id], (uint64_t) delta, memory_order_relaxed);
}

/** counter_set() - Sets a gauge. */
static inline void
counter_set (Counters *counters, CounterId id, uint64_t value)
{
  atomic_store_explicit (&counters->value[id], value, memory_order_relaxed);
}

/** counter_get() - Reads one value. */
static inline uint64_t
counter_get (Counters *counters, CounterId id)
{
  return atomic_load_explicit (&counters->value[id], memory_order_relaxed);
}

/** counter_name() - Metric name without the "peridotstep_" prefix. */
const char *counter_name (CounterId id);

/** counters_print() - Appends all counters to @out in the Prometheus text format. */
void counters_print (Counters *counters, GString *out);
