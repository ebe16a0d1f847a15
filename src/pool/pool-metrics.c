#include "pool/pool-metrics.h"

#include <inttypes.h>

static const char *const latency_names[POOL_LATENCY_COUNT] = {
  [POOL_LATENCY_CONNECTION] = "peridotstep_connection_wait_ms",
  [POOL_LATENCY_SERVICE] = "peridotstep_service_ms",
  [POOL_LATENCY_STORE] = "peridotstep_store_call_ms",
  [POOL_LATENCY_CHANGE] = "peridotstep_primary_change_ms",
};

static const char *const count_names[POOL_COUNT_COUNT] = {
  [POOL_COUNT_STORE_RESTORED] = "peridotstep_store_restored_total",
  [POOL_COUNT_FEED_GONE] = "peridotstep_feed_gone_total",
  [POOL_COUNT_ANSWERS_CUT] = "peridotstep_answers_cut_total",
  [POOL_COUNT_PAUSES_LIFTED] = "peridotstep_pauses_lifted_total",
  [POOL_COUNT_ABSENCE_UNPROVED] = "peridotstep_absence_unproved_total",
  [POOL_COUNT_KEYS_REFUSED] = "peridotstep_keys_refused_total",
  [POOL_COUNT_ENDED_MEMORY] = "peridotstep_sessions_ended_memory_total",
  [POOL_COUNT_ENDED_SLOW] = "peridotstep_sessions_ended_slow_total",
  [POOL_COUNT_ENDED_ROOM] = "peridotstep_sessions_ended_room_total",
};

void
pool_metrics_add_statement (PoolMetrics *metrics, Priority priority, Verdict verdict,
                            int64_t took_ms)
{
  histogram_add (&metrics->statements[priority], took_ms);
  metrics->outcomes[priority][verdict]++;
}

void
pool_metrics_add (PoolMetrics *metrics, PoolLatency latency, int64_t took_ms)
{
  histogram_add (&metrics->latencies[latency], took_ms);
}

void
pool_metrics_count (PoolMetrics *metrics, PoolCount count)
{
  metrics->counts[count]++;
}

static void
print_outcomes (const PoolMetrics *metrics, GString *out)
{
  g_string_append (out, "# TYPE peridotstep_outcomes_total counter\n");
  for (int priority = 0; priority < PRIORITY_COUNT; priority++)
    for (int verdict = 0; verdict < VERDICT_COUNT; verdict++)
      g_string_append_printf (
          out, "peridotstep_outcomes_total{priority=\"%s\",verdict=\"%s\"} %" PRIu64 "\n",
          priority_name ((Priority) priority), verdict_name ((Verdict) verdict),
          metrics->outcomes[priority][verdict]);
}

void
pool_metrics_print (const PoolMetrics *metrics, GString *out)
{
  char labels[32];

  print_outcomes (metrics, out);
  g_string_append (out, "# TYPE peridotstep_statement_ms histogram\n");
  for (int priority = 0; priority < PRIORITY_COUNT; priority++)
    {
      g_snprintf (labels, sizeof labels, "priority=\"%s\"", priority_name ((Priority) priority));
      histogram_print (&metrics->statements[priority], "peridotstep_statement_ms", labels, out);
    }
  for (int count = 0; count < POOL_COUNT_COUNT; count++)
    g_string_append_printf (out, "# TYPE %s counter\n%s %" PRIu64 "\n", count_names[count],
                            count_names[count], metrics->counts[count]);
  for (int latency = 0; latency < POOL_LATENCY_COUNT; latency++)
    {
      g_string_append_printf (out, "# TYPE %s histogram\n", latency_names[latency]);
      histogram_print (&metrics->latencies[latency], latency_names[latency], "", out);
    }
}
