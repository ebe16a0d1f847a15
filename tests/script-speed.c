/**
 * DOC: Estimates of how fast an instance does its work, over a load with known times.
 */
#include <string.h>

#include "policy/instance-speed.h"
#include "script.h"

typedef struct
{
  InstanceSpeed speed;
  gint64 now_ms;
  guint32 random;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->random = 1;
  return state;
}

/* A factor from 0.4 to 2.2 around 1, many below it. */
static double
vary (State *state)
{
  state->random = state->random * 1664525 + 1013904223;
  return 0.4 + 1.8 * (double) (state->random >> 8) / (1 << 24) * (state->random >> 8) / (1 << 24);
}

/* run MS PER_S URGENT NORMAL BACKGROUND [even]: statements of each class in turn, which take about
 * so many ms; 0 for none of that class. Prints the estimate four times, and the expected times at
 * the end. */
static void
run (State *state, char **words, GString *out)
{
  const gint64 until_ms = state->now_ms + script_number (words, 1);
  const gint64 interval_ms = 1000 / script_number (words, 2);
  const gint64 print_ms = script_number (words, 1) / 4;
  const bool even = strcmp (script_word (words, 6), "even") == 0;
  gint64 printed_ms = state->now_ms;
  int priority = 0;

  for (; state->now_ms < until_ms; state->now_ms += interval_ms)
    {
      double took_ms = 0;

      while (took_ms == 0)
        {
          priority = (priority + 1) % PRIORITY_COUNT;
          took_ms = (double) script_number (words, 3 + (guint) priority);
        }
      instance_speed_record (&state->speed, (Priority) priority,
                             (gint64) (took_ms * (even ? 1 : vary (state))), state->now_ms);
      if (state->now_ms - printed_ms < print_ms - interval_ms)
        continue;
      printed_ms = state->now_ms + interval_ms;
      g_string_append_printf (out, "%" G_GINT64_FORMAT " ms: slowness %.1f, %u %% of statements\n",
                              printed_ms, state->speed.slowness,
                              instance_speed_statements_percent (&state->speed));
    }
  g_string_append (out, "expected:");
  for (int i = 0; i < PRIORITY_COUNT; i++)
    g_string_append_printf (
        out, " %" G_GINT64_FORMAT,
        instance_speed_expected_ms (&state->speed, (Priority) i, state->now_ms));
  g_string_append (out, " ms\n");
}

static void
command (void *data, char **words, GString *out)
{
  if (strcmp (words[0], "run") == 0)
    run (data, words, out);
  else
    g_error ("no such command: %s", words[0]);
}

const ScriptKind script_speed = { "speed", start, command, g_free };
