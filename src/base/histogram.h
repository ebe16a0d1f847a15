/**
 * DOC: Latency histogram with fixed buckets, for /metrics.
 */
#pragma once

#include <stdint.h>

#include <glib.h>

/** Number of buckets with an upper bound; one more counts all larger values. */
#define HISTOGRAM_BUCKETS 14

/** struct Histogram - Count per bucket, and the sum of values; zero-initialised is empty. */
typedef struct
{
  uint64_t counts[HISTOGRAM_BUCKETS + 1];
  uint64_t sum_ms;
} Histogram;

/** histogram_add() - Records the value @value_ms. */
void histogram_add (Histogram *histogram, int64_t value_ms);

/**
 * histogram_print() - Appends metric @name to @out in the Prometheus text format. @labels is "" or
 * `key="value"`.
 */
void histogram_print (const Histogram *histogram, const char *name, const char *labels,
                      GString *out);
