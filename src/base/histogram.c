#include "base/histogram.h"

#include <inttypes.h>

static const int64_t bounds_ms[HISTOGRAM_BUCKETS]
    = { 1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000 };

void
histogram_add (Histogram *histogram, int64_t value_ms)
{
  int bucket = 0;

  value_ms = MAX (value_ms, 0);
  while (bucket < HISTOGRAM_BUCKETS && value_ms > bounds_ms[bucket])
    bucket++;
  histogram->counts[bucket]++;
  histogram->sum_ms += (uint64_t) value_ms;
}

void
histogram_print (const Histogram *histogram, const char *name, const char *labels, GString *out)
{
  const char *comma = *labels == '\0' ? "" : ",";
  uint64_t total = 0;

  for (int i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      total += histogram->counts[i];
      g_string_append_printf (out, "%s_bucket{%s%sle=\"%" PRId64 "\"} %" PRIu64 "\n", name, labels,
                              comma, bounds_ms[i], total);
    }
  total += histogram->counts[HISTOGRAM_BUCKETS];
  g_string_append_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %" PRIu64 "\n", name, labels, comma,
                          total);
  g_string_append_printf (out, "%s_sum{%s} %" PRIu64 "\n%s_count{%s} %" PRIu64 "\n", name, labels,
                          histogram->sum_ms, name, labels, total);
}
