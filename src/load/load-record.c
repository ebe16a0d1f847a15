#include "load/load-record.h"

#include <stdlib.h>
#include <string.h>

/* Successes over time are counted in steps of this length. */
#define STEP_MS 100

typedef struct
{
  uint64_t sent;
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  GArray *latencies; /* int32 microseconds, answered only */
  GArray *steps;     /* uint32 answered per step */
  int64_t last_success_ms;
  int64_t longest_gap_ms;
} ClassRecord;

typedef struct
{
  LoadOutcome outcome;
  uint64_t found;
} WriteFate;

struct LoadResults
{
  const LoadOptions *options;
  ClassRecord classes[LOAD_CLASSES_MAX];
  GHashTable *writes; /* id -> WriteFate */
  GHashTable *errors; /* text -> count */
  uint64_t stale_reads;
  uint64_t missing;
  uint64_t twice;
  uint64_t ran_after_all;
  uint64_t unknown_rows;
  GString *examples;
};

LoadResults *
load_results_new (const LoadOptions *options)
{
  LoadResults *record = g_new0 (LoadResults, 1);

  record->options = options;
  record->writes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  record->errors = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  record->examples = g_string_new ("");
  for (int i = 0; i < LOAD_CLASSES_MAX; i++)
    {
      record->classes[i].latencies = g_array_new (false, false, sizeof (int32_t));
      record->classes[i].steps = g_array_new (false, true, sizeof (uint32_t));
    }
  return record;
}

void
load_results_free (LoadResults *record)
{
  for (int i = 0; i < LOAD_CLASSES_MAX; i++)
    {
      g_array_free (record->classes[i].latencies, true);
      g_array_free (record->classes[i].steps, true);
    }
  g_hash_table_destroy (record->writes);
  g_hash_table_destroy (record->errors);
  g_string_free (record->examples, true);
  g_free (record);
}

void
load_results_sent (LoadResults *record, uint32_t index)
{
  record->classes[index].sent++;
}

static void
note_success (ClassRecord *entry, int64_t latency_us, int64_t at_ms)
{
  int32_t latency = (int32_t) MIN (latency_us, INT32_MAX);
  guint step = (guint) (at_ms / STEP_MS);

  g_array_append_val (entry->latencies, latency);
  if (step >= entry->steps->len)
    g_array_set_size (entry->steps, step + 1);
  g_array_index (entry->steps, uint32_t, step)++;
  entry->longest_gap_ms = MAX (entry->longest_gap_ms, at_ms - entry->last_success_ms);
  entry->last_success_ms = at_ms;
}

void
load_results_finished (LoadResults *record, uint32_t index, LoadOutcome outcome, int64_t latency_us,
                       int64_t at_ms)
{
  record->classes[index].outcomes[outcome]++;
  if (outcome == LOAD_ANSWERED)
    note_success (&record->classes[index], latency_us, at_ms);
}

void
load_results_error (LoadResults *record, const char *sqlstate, const char *message)
{
  char *text = g_strdup_printf ("%s %s", sqlstate, message);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (record->errors, text));

  g_hash_table_replace (record->errors, text, GUINT_TO_POINTER (count + 1));
}

void
load_results_write (LoadResults *record, const char *id, LoadOutcome outcome)
{
  WriteFate *fate = g_new0 (WriteFate, 1);

  fate->outcome = outcome;
  g_hash_table_replace (record->writes, g_strdup (id), fate);
}

static void
add_example (LoadResults *record, const char *what, const char *id)
{
  if (record->examples->len < 1000)
    g_string_append_printf (record->examples, "  %s: %s\n", what, id);
}

void
load_results_stale_read (LoadResults *record, const char *id)
{
  record->stale_reads++;
  add_example (record, "read-your-writes breach", id);
}

void
load_results_found (LoadResults *record, const char *id, uint64_t count)
{
  WriteFate *fate = g_hash_table_lookup (record->writes, id);

  if (fate == NULL)
    record->unknown_rows++;
  else
    fate->found = count;
}

/* A class that was never answered again has its gap up to the end. */
static void
close_gaps (LoadResults *record)
{
  for (uint32_t i = 0; i < record->options->class_count; i++)
    {
      ClassRecord *entry = &record->classes[i];

      if (entry->sent > 0)
        entry->longest_gap_ms
            = MAX (entry->longest_gap_ms, record->options->duration_ms - entry->last_success_ms);
    }
}

uint64_t
load_results_verify (LoadResults *record)
{
  GHashTableIter iter;
  void *key, *value;

  close_gaps (record);
  g_hash_table_iter_init (&iter, record->writes);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const WriteFate *fate = value;
      bool must_be = fate->outcome == LOAD_ANSWERED || fate->outcome == LOAD_RAN_UNANSWERED;
      bool must_not_be = fate->outcome == LOAD_NOT_RUN || fate->outcome == LOAD_FAILED;

      if (must_be && fate->found == 0)
        {
          record->missing++;
          add_example (record, "acknowledged but missing", key);
        }
      if (fate->found > 1)
        {
          record->twice++;
          add_example (record, "ran twice", key);
        }
      if (must_not_be && fate->found > 0)
        {
          record->ran_after_all++;
          add_example (record, "said not run but ran", key);
        }
    }
  return record->missing + record->twice + record->ran_after_all + record->stale_reads;
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
load_results_print (LoadResults *record, FILE *out)
{
  GHashTableIter iter;
  void *key, *value;

  fprintf (out, "%-14s %8s %8s %8s %8s %8s %8s %9s %9s %9s %8s\n", "class", "sent", "answered",
           "not_run", "in_doubt", "ran_lost", "failed", "p50_ms", "p99_ms", "p999_ms", "gap_ms");
  for (uint32_t i = 0; i < record->options->class_count; i++)
    {
      ClassRecord *entry = &record->classes[i];

      g_array_sort (entry->latencies, compare_latency);
      fprintf (out, "%-14s %8" G_GUINT64_FORMAT, record->options->classes[i].name, entry->sent);
      for (int j = 0; j < LOAD_OUTCOME_COUNT; j++)
        fprintf (out, " %8" G_GUINT64_FORMAT, entry->outcomes[j]);
      fprintf (out, " %9.2f %9.2f %9.2f %8" G_GINT64_FORMAT "\n",
               percentile_ms (entry->latencies, 0.5), percentile_ms (entry->latencies, 0.99),
               percentile_ms (entry->latencies, 0.999), entry->longest_gap_ms);
    }
  fprintf (out,
           "breaches: missing=%" G_GUINT64_FORMAT " twice=%" G_GUINT64_FORMAT
           " ran_after_not_run=%" G_GUINT64_FORMAT " stale_reads=%" G_GUINT64_FORMAT
           " (writes checked: %u)\n",
           record->missing, record->twice, record->ran_after_all, record->stale_reads,
           g_hash_table_size (record->writes));
  fputs (record->examples->str, out);
  g_hash_table_iter_init (&iter, record->errors);
  while (g_hash_table_iter_next (&iter, &key, &value))
    fprintf (out, "  error: %u x %s\n", GPOINTER_TO_UINT (value), (const char *) key);
}

static json_t *
class_json (const LoadClass *options, ClassRecord *entry)
{
  json_t *steps = json_array ();
  json_t *json;

  g_array_sort (entry->latencies, compare_latency);
  for (guint i = 0; i < entry->steps->len; i++)
    json_array_append_new (steps, json_integer (g_array_index (entry->steps, uint32_t, i)));
  json = json_pack ("{s:s, s:I, s:f, s:f, s:f, s:I, s:i, s:o}", "class", options->name, "sent",
                    (json_int_t) entry->sent, "p50_ms", percentile_ms (entry->latencies, 0.5),
                    "p99_ms", percentile_ms (entry->latencies, 0.99), "p999_ms",
                    percentile_ms (entry->latencies, 0.999), "longest_gap_ms",
                    (json_int_t) entry->longest_gap_ms, "step_ms", STEP_MS, "answered_per_step",
                    steps);
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    json_object_set_new (json, outcome_names[i], json_integer ((json_int_t) entry->outcomes[i]));
  return json;
}

json_t *
load_results_json (LoadResults *record)
{
  json_t *classes = json_array ();

  for (uint32_t i = 0; i < record->options->class_count; i++)
    json_array_append_new (classes, class_json (&record->options->classes[i], &record->classes[i]));
  return json_pack ("{s:I, s:o, s:{s:I, s:I, s:I, s:I}}", "seed",
                    (json_int_t) record->options->seed, "classes", classes, "breaches", "missing",
                    (json_int_t) record->missing, "twice", (json_int_t) record->twice,
                    "ran_after_not_run", (json_int_t) record->ran_after_all, "stale_reads",
                    (json_int_t) record->stale_reads);
}
