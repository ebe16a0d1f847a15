/**
 * DOC: Counters and latency histograms of a pooling daemon, by priority and verdict.
 */
#pragma once

#include <stdint.h>

#include <glib.h>

#include "base/histogram.h"
#include "base/verdict.h"
#include "policy/admission-queue.h"

/** Number of verdicts. */
#define VERDICT_COUNT (VERDICT_MAY_HAVE_RUN + 1)

/** enum PoolLatency - Measured latencies, besides those of statements. */
typedef enum
{
  POOL_LATENCY_CONNECTION, /* from requesting a connection to having it */
  POOL_LATENCY_SERVICE,    /* from sending a statement to its end */
  POOL_LATENCY_STORE,      /* a call to the platform, except long polls */
  POOL_LATENCY_CHANGE,     /* a change of primary made by this host, from start to end */
  POOL_LATENCY_COUNT
} PoolLatency;

/** enum PoolCount - Counted events. */
typedef enum
{
  POOL_COUNT_STORE_RESTORED,   /* the store came back from a backup */
  POOL_COUNT_FEED_GONE,        /* the store no longer has the revision to watch from */
  POOL_COUNT_ANSWERS_CUT,      /* this host ended a session with an answer owed */
  POOL_COUNT_PAUSES_LIFTED,    /* this host set out to end pauses that another one left behind */
  POOL_COUNT_ABSENCE_UNPROVED, /* databases that may have been added, for which callers have to
                                * ask again */
  POOL_COUNT_KEYS_REFUSED,     /* sessions not opened because no customer holds the key */
  POOL_COUNT_ENDED_MEMORY,     /* sessions ended because they held too much memory */
  POOL_COUNT_ENDED_SLOW,       /* sessions ended because their callers sent or read too slowly */
  POOL_COUNT_ENDED_ROOM,       /* idle sessions ended to make room for others */
  POOL_COUNT_COUNT
} PoolCount;

/**
 * struct PoolMetrics - Written and read only by the daemon's single thread.
 * @statements: statement latency as the caller sees it, by priority.
 * @outcomes: statements by priority and verdict.
 * @latencies: see &enum PoolLatency. @counts: see &enum PoolCount.
 */
typedef struct
{
  Histogram statements[PRIORITY_COUNT];
  uint64_t outcomes[PRIORITY_COUNT][VERDICT_COUNT];
  Histogram latencies[POOL_LATENCY_COUNT];
  uint64_t counts[POOL_COUNT_COUNT];
} PoolMetrics;

/** pool_metrics_add_statement() - Counts a statement answered after @took_ms. */
void pool_metrics_add_statement (PoolMetrics *metrics, Priority priority, Verdict verdict,
                                 int64_t took_ms);

/** pool_metrics_add() - Adds a sample of @took_ms. */
void pool_metrics_add (PoolMetrics *metrics, PoolLatency latency, int64_t took_ms);

/** pool_metrics_count() - Counts one event. */
void pool_metrics_count (PoolMetrics *metrics, PoolCount count);

/** pool_metrics_print() - Appends the metrics in Prometheus text format to @out. */
void pool_metrics_print (const PoolMetrics *metrics, GString *out);
