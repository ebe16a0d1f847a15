/**
 * DOC: Entry point: dispatches to the subcommands.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "cli/command.h"

#define VERSION "0.1.0"

static const Command *const commands[] = {
  &command_serve, &command_explain, &command_pool,    &command_demo,   &command_standin,
  &command_apply, &command_show,    &command_history, &command_status, &command_fault,
  &command_load,  &command_replay,  &command_bench,
};

static void
print_usage (FILE *out)
{
  fprintf (out,
           "peridotstep %s - database proxy with session consistency\n\n"
           "Usage: peridotstep COMMAND [SETTINGS]\n\nCommands:\n",
           VERSION);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-8s  %s\n", commands[i]->name, commands[i]->summary);
  fprintf (out, "\nSee 'peridotstep COMMAND --help' for the settings of each.\n");
}

static bool
variable_is_known (const char *variable, size_t length)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    for (const SettingInfo *info = commands[i]->settings; info->name != NULL; info++)
      {
        char *known = settings_variable (info->name);
        bool same = strlen (known) == length && strncmp (known, variable, length) == 0;

        g_free (known);
        if (same)
          return true;
      }
  return false;
}

/* Rejects unknown variables, as a misspelt one would otherwise be ignored silently. */
static bool
check_environment (void)
{
  for (char **entry = environ; *entry != NULL; entry++)
    {
      size_t length = strcspn (*entry, "=");

      if (strncmp (*entry, "PERIDOTSTEP_", strlen ("PERIDOTSTEP_")) != 0)
        continue;
      if (variable_is_known (*entry, length))
        continue;
      fprintf (stderr, "peridotstep: unknown setting in the environment: %.*s\n", (int) length,
               *entry);
      return false;
    }
  return true;
}

static int
run_command (const Command *command, int argc, char **argv)
{
  Settings *settings;
  int code;

  switch (
      settings_parse (command->name, command->summary, command->settings, argc, argv, &settings))
    {
    case SETTINGS_HELP:
      return EXIT_DONE;
    case SETTINGS_INVALID:
      return EXIT_INVALID_SETTINGS;
    case SETTINGS_OK:
      break;
    }
  code = command->run (settings);
  settings_free (settings);
  return code;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc < 2)
    {
      print_usage (stderr);
      return EXIT_INVALID_SETTINGS;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("peridotstep %s\n", VERSION);
      return EXIT_DONE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_usage (stdout);
      return EXIT_DONE;
    }
  if (!check_environment ())
    return EXIT_INVALID_SETTINGS;
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i]->name, argv[1]) == 0)
      return run_command (commands[i], argc - 1, argv + 1);
  fprintf (stderr, "peridotstep: unknown command '%s'\n", argv[1]);
  return EXIT_INVALID_SETTINGS;
}
