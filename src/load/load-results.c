#include "load/load-results.h"

#include <stdlib.h>
#include <string.h>

/* Successes over time are counted per interval of this length. */
#define STEP_MS 100

typedef struct
{
  uint64_t sent;
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  GArray *latencies; /* int32 microseconds of the answered statements */
  GArray *steps;     /* uint32 answered statements per interval */
  int64_t last_success_ms;
  int64_t longest_gap_ms;
} ClassResults;

typedef struct
{
  LoadOutcome outcome;
  uint64_t found;
} WriteResult;

struct LoadResults
{
  const LoadOptions *options;
  ClassResults classes[LOAD_CLASSES_MAX];
  GHashTable *writes; /* id -> WriteResult */
  GHashTable *errors; /* SQLSTATE and message -> count */
  uint64_t stale_reads;
  uint64_t missing;
  uint64_t duplicated;
  uint64_t ran_after_not_run;
  uint64_t unknown_rows;
  GString *examples;
};

LoadResults *
load_results_new (const LoadOptions *options)
{
  LoadResults *results = g_new0 (LoadResults, 1);

  results->options = options;
  results->writes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  results->errors = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  results->examples = g_string_new ("");
  for (int i = 0; i < LOAD_CLASSES_MAX; i++)
    {
      results->classes[i].latencies = g_array_new (false, false, sizeof (int32_t));
      results->classes[i].steps = g_array_new (false, true, sizeof (uint32_t));
    }
  return results;
}

void
load_results_free (LoadResults *results)
{
  for (int i = 0; i < LOAD_CLASSES_MAX; i++)
    {
      g_array_free (results->classes[i].latencies, true);
      g_array_free (results->classes[i].steps, true);
    }
  g_hash_table_destroy (results->writes);
  g_hash_table_destroy (results->errors);
  g_string_free (results->examples, true);
  g_free (results);
}

void
load_results_sent (LoadResults *results, uint32_t index)
{
  results->classes[index].sent++;
}

static void
record_success (ClassResults *class_results, int64_t latency_us, int64_t at_ms)
{
  int32_t latency = (int32_t) MIN (latency_us, INT32_MAX);
  guint step = (guint) (at_ms / STEP_MS);

  g_array_append_val (class_results->latencies, latency);
  if (step >= class_results->steps->len)
    g_array_set_size (class_results->steps, step + 1);
  g_array_index (class_results->steps, uint32_t, step)++;
  class_results->longest_gap_ms
      = MAX (class_results->longest_gap_ms, at_ms - class_results->last_success_ms);
  class_results->last_success_ms = at_ms;
}

void
load_results_finished (LoadResults *results, uint32_t index, LoadOutcome outcome,
                       int64_t latency_us, int64_t at_ms)
{
  results->classes[index].outcomes[outcome]++;
  if (outcome == LOAD_ANSWERED)
    record_success (&results->classes[index], latency_us, at_ms);
}

void
load_results_error (LoadResults *results, const char *sqlstate, const char *message)
{
  char *text = g_strdup_printf ("%s %s", sqlstate, message);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (results->errors, text));

  g_hash_table_replace (results->errors, text, GUINT_TO_POINTER (count + 1));
}

void
load_results_write (LoadResults *results, const char *id, LoadOutcome outcome)
{
  WriteResult *write = g_new0 (WriteResult, 1);

  write->outcome = outcome;
  g_hash_table_replace (results->writes, g_strdup (id), write);
}

static void
add_example (LoadResults *results, const char *violation, const char *description)
{
  if (results->examples->len < 1000)
    g_string_append_printf (results->examples, "  %s: %s\n", violation, description);
}

void
load_results_stale_read (LoadResults *results, const char *description)
{
  results->stale_reads++;
  add_example (results, "read-your-writes violation", description);
}

void
load_results_found (LoadResults *results, const char *id, uint64_t count)
{
  WriteResult *write = g_hash_table_lookup (results->writes, id);

  if (write == NULL)
    results->unknown_rows++;
  else
    write->found = count;
}

/* Counts the time from a class's last success to the end of the run as a gap. */
static void
extend_last_gaps (LoadResults *results)
{
  for (uint32_t i = 0; i < results->options->class_count; i++)
    {
      ClassResults *class_results = &results->classes[i];

      if (class_results->sent > 0)
        class_results->longest_gap_ms
            = MAX (class_results->longest_gap_ms,
                   results->options->duration_ms - class_results->last_success_ms);
    }
}

uint64_t
load_results_verify (LoadResults *results)
{
  GHashTableIter iter;
  void *key, *value;

  extend_last_gaps (results);
  g_hash_table_iter_init (&iter, results->writes);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const WriteResult *write = value;
      bool must_exist = write->outcome == LOAD_ANSWERED || write->outcome == LOAD_RAN_UNANSWERED;
      bool must_not_exist = write->outcome == LOAD_NOT_RUN || write->outcome == LOAD_FAILED;

      if (must_exist && write->found == 0)
        {
          results->missing++;
          add_example (results, "acknowledged but missing", key);
        }
      if (write->found > 1)
        {
          results->duplicated++;
          add_example (results, "ran twice", key);
        }
      if (must_not_exist && write->found > 0)
        {
          results->ran_after_not_run++;
          add_example (results, "reported as not run but ran", key);
        }
    }
  return results->missing + results->duplicated + results->ran_after_not_run + results->stale_reads;
}

static int
compare_latency (const void *a, const void *b)
{
  int32_t x = *(const int32_t *) a;
  int32_t y = *(const int32_t *) b;

  return (x > y) - (x < y);
}

static double
percentile_ms (const GArray *latencies, double share)
{
  guint at;

  if (latencies->len == 0)
    return 0;
  at = (guint) (share * (latencies->len - 1) + 0.5);
  return g_array_index (latencies, int32_t, at) / 1000.0;
}

static const char *const outcome_names[LOAD_OUTCOME_COUNT] = {
  [LOAD_ANSWERED] = "answered", [LOAD_NOT_RUN] = "not_run",
  [LOAD_IN_DOUBT] = "in_doubt", [LOAD_RAN_UNANSWERED] = "ran_unanswered",
  [LOAD_FAILED] = "failed",
};

void
load_results_print (LoadResults *results, FILE *out)
{
  GHashTableIter iter;
  void *key, *value;

  fprintf (out, "%-14s %8s %8s %8s %8s %8s %8s %9s %9s %9s %8s\n", "class", "sent", "answered",
           "not_run", "in_doubt", "ran_lost", "failed", "p50_ms", "p99_ms", "p999_ms", "gap_ms");
  for (uint32_t i = 0; i < results->options->class_count; i++)
    {
      ClassResults *class_results = &results->classes[i];

      g_array_sort (class_results->latencies, compare_latency);
      fprintf (out, "%-14s %8" G_GUINT64_FORMAT, results->options->classes[i].name,
               class_results->sent);
      for (int j = 0; j < LOAD_OUTCOME_COUNT; j++)
        fprintf (out, " %8" G_GUINT64_FORMAT, class_results->outcomes[j]);
      fprintf (out, " %9.2f %9.2f %9.2f %8" G_GINT64_FORMAT "\n",
               percentile_ms (class_results->latencies, 0.5),
               percentile_ms (class_results->latencies, 0.99),
               percentile_ms (class_results->latencies, 0.999), class_results->longest_gap_ms);
    }
  fprintf (out,
           "breaches: missing=%" G_GUINT64_FORMAT " twice=%" G_GUINT64_FORMAT
           " ran_after_not_run=%" G_GUINT64_FORMAT " stale_reads=%" G_GUINT64_FORMAT
           " (writes checked: %u)\n",
           results->missing, results->duplicated, results->ran_after_not_run, results->stale_reads,
           g_hash_table_size (results->writes));
  fputs (results->examples->str, out);
  g_hash_table_iter_init (&iter, results->errors);
  while (g_hash_table_iter_next (&iter, &key, &value))
    fprintf (out, "  error: %u x %s\n", GPOINTER_TO_UINT (value), (const char *) key);
}

static json_t *
class_json (const LoadClass *options, ClassResults *class_results)
{
  json_t *steps = json_array ();
  json_t *json;

  g_array_sort (class_results->latencies, compare_latency);
  for (guint i = 0; i < class_results->steps->len; i++)
    json_array_append_new (steps, json_integer (g_array_index (class_results->steps, uint32_t, i)));
  json = json_pack (
      "{s:s, s:I, s:f, s:f, s:f, s:I, s:i, s:o}", "class", options->name, "sent",
      (json_int_t) class_results->sent, "p50_ms", percentile_ms (class_results->latencies, 0.5),
      "p99_ms", percentile_ms (class_results->latencies, 0.99), "p999_ms",
      percentile_ms (class_results->latencies, 0.999), "longest_gap_ms",
      (json_int_t) class_results->longest_gap_ms, "step_ms", STEP_MS, "answered_per_step", steps);
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    json_object_set_new (json, outcome_names[i],
                         json_integer ((json_int_t) class_results->outcomes[i]));
  return json;
}

json_t *
load_results_json (LoadResults *results)
{
  json_t *classes = json_array ();

  for (uint32_t i = 0; i < results->options->class_count; i++)
    json_array_append_new (classes,
                           class_json (&results->options->classes[i], &results->classes[i]));
  return json_pack ("{s:I, s:o, s:{s:I, s:I, s:I, s:I}}", "seed",
                    (json_int_t) results->options->seed, "classes", classes, "breaches", "missing",
                    (json_int_t) results->missing, "twice", (json_int_t) results->duplicated,
                    "ran_after_not_run", (json_int_t) results->ran_after_not_run, "stale_reads",
                    (json_int_t) results->stale_reads);
}
