/**
 * DOC: Latency histogram with fixed buckets, for the metrics page.
 */
#pragma once

#include <stdint.h>

#include <glib.h>

/** Buckets with an upper bound; one more takes what is longer. */
#define HISTOGRAM_BUCKETS 14

/** struct Histogram - Counts by bucket, and the sum; zeroed is empty. */
typedef struct
{
  uint64_t counts[HISTOGRAM_BUCKETS + 1];
  uint64_t sum_ms;
} Histogram;

/** histogram_add() - Counts one value of @value_ms. */
void histogram_add (Histogram *histogram, int64_t value_ms);

/**
 * histogram_print() - Appends the text exposition of metric @name to @out. @labels is "" or
 * `key="value"`.
 */
void histogram_print (const Histogram *histogram, const char *name, const char *labels,
                      GString *out);
