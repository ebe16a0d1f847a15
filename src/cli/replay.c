/**
 * DOC: replay: runs the policies on a recorded trace.
 */
#include <inttypes.h>
#include <stdio.h>

#include "cli/command.h"
#include "load/replay.h"

static const SettingInfo replay_settings[] = {
  { "TRACE", SETTING_ARGUMENT, NULL, 0, 0, "trace written by serve --trace or demo --trace" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static int
run_replay (const Settings *settings)
{
  FILE *in = fopen (settings_text (settings, "TRACE"), "re");
  ReplayResult result;

  if (in == NULL)
    {
      fprintf (stderr, "peridotstep: cannot read %s\n", settings_text (settings, "TRACE"));
      return EXIT_FAILED;
    }
  result = replay_run (in, stdout);
  fclose (in);
  printf ("choices=%" PRIu64 " fates=%" PRIu64 " queue_events=%" PRIu64 " malformed=%" PRIu64
          " differing=%" PRIu64 "\n",
          result.choices, result.failure_actions, result.queue_events, result.malformed,
          result.differing);
  return result.malformed + result.differing == 0 ? EXIT_DONE : EXIT_FAILED;
}

const Command command_replay
    = { "replay", "run the policies on a recorded trace and compare", replay_settings, run_replay };
