/**
 * DOC: Counts and latencies of a pooling daemon, by priority and verdict.
 */
#pragma once

#include <stdint.h>

#include <glib.h>

#include "base/histogram.h"
#include "base/verdict.h"
#include "policy/admission-queue.h"

/** Verdicts that outcomes are counted by. */
#define VERDICT_COUNT (VERDICT_MAY_HAVE_RUN + 1)

/** enum PoolLatency - What is timed, besides statements. */
typedef enum
{
  POOL_LATENCY_CONNECTION, /* from asking for a connection to having it */
  POOL_LATENCY_SERVICE,    /* from sending a statement to its end */
  POOL_LATENCY_STORE,      /* a call to the platform, long polls left out */
  POOL_LATENCY_CHANGE,     /* a change of primary made by this host, from its start */
  POOL_LATENCY_COUNT
} PoolLatency;

/**
 * struct PoolMetrics - Written and read by the daemon's one thread.
 * @statements: time of statements, as the caller sees it, by priority.
 * @outcomes: statements by priority and verdict.
 * @latencies: see &enum PoolLatency.
 */
typedef struct
{
  Histogram statements[PRIORITY_COUNT];
  uint64_t outcomes[PRIORITY_COUNT][VERDICT_COUNT];
  Histogram latencies[POOL_LATENCY_COUNT];
} PoolMetrics;

/** pool_metrics_add_statement() - A statement was answered after @took_ms. */
void pool_metrics_add_statement (PoolMetrics *metrics, Priority priority, Verdict verdict,
                                 int64_t took_ms);

/** pool_metrics_add() - Something took @took_ms. */
void pool_metrics_add (PoolMetrics *metrics, PoolLatency latency, int64_t took_ms);

/** pool_metrics_print() - Appends the text exposition to @out. */
void pool_metrics_print (const PoolMetrics *metrics, GString *out);
