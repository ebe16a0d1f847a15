/**
 * DOC: Instances of a group that fail or lose part of their work.
 */
#include <string.h>

#include "policy/outlier.h"
#include "script.h"

#define MEMBERS 3

typedef struct
{
  Outlier outliers[MEMBERS];
} State;

static void *
start (void)
{
  return g_new0 (State, 1);
}

/* load FROM TO FAIL...: from one time to another, every 20 ms, a read goes to the first instance
 * that may be used, in turn; FAIL is the share of reads in percent that each instance fails,
 * evenly. Prints the reads and failures of each instance, and what changed. */
static void
run_load (State *state, char **words, GString *out)
{
  static const char *const changes[] = { NULL, "left out", "returned" };
  Outlier *members[MEMBERS];
  guint reads[MEMBERS] = { 0 }, failures[MEMBERS] = { 0 }, owed[MEMBERS] = { 0 };
  guint next = 0;

  for (guint i = 0; i < MEMBERS; i++)
    members[i] = &state->outliers[i];
  for (gint64 now = script_number (words, 1); now < script_number (words, 2); now += 20)
    {
      guint index = next++ % MEMBERS;
      OutlierChange change;
      bool failed;

      for (guint i = 0; i < MEMBERS && !outlier_may_use (members[index], now); i++)
        index = (index + 1) % MEMBERS;
      outlier_chosen (members[index], now);
      owed[index] += (guint) script_number (words, 3 + index);
      failed = owed[index] >= 100;
      if (failed)
        owed[index] -= 100;
      reads[index]++;
      failures[index] += failed;
      change = outlier_record (members, MEMBERS, index, failed, now);
      if (change != OUTLIER_SAME)
        g_string_append_printf (out, "%" G_GINT64_FORMAT " ms: instance %u %s\n", now, index,
                                changes[change]);
    }
  for (guint i = 0; i < MEMBERS; i++)
    g_string_append_printf (out, "instance %u: %u reads, %u failed%s\n", i, reads[i], failures[i],
                            outlier_is_suspect (members, MEMBERS, i) ? ", suspect" : "");
}

static void
command (void *data, char **words, GString *out)
{
  if (strcmp (words[0], "load") == 0)
    run_load (data, words, out);
  else
    g_error ("no such command: %s", words[0]);
}

const ScriptKind script_outlier = { "outlier", start, command, g_free };
