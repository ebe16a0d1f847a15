/**
 * DOC: status and fault: print the status of a daemon, inject faults through the stand-ins.
 */
#include <stdio.h>
#include <string.h>

#include "adapter/platform-client.h"
#include "cli/command.h"

#define TIMEOUT_MS 5000

static const SettingInfo status_settings[] = {
  { "admin-url", SETTING_TEXT, "http://127.0.0.1:6632", 0, 0,
    "base address of a daemon's admin port" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static const SettingInfo fault_settings[] = {
  { "platform-url", SETTING_TEXT, NULL, 0, 0, "base address of the platform stand-in" },
  { "service", SETTING_TEXT, "", 0, 0, "service, for faults of an instance" },
  { "instance", SETTING_TEXT, "", 0, 0, "instance, or primary for the current primary" },
  { "host", SETTING_TEXT, "", 0, 0, "host id, for faults of a host of the demo" },
  { "value", SETTING_NUMBER, "1", 0, INT64_MAX,
    "1 starts, 0 ends; or the value of lag (ms), slow (us)" },
  { "KIND", SETTING_ARGUMENT, NULL, 0, 0,
    "down, cut, silent, pause, lag, slow; store-down, store-slow, store-lose-answers; host-kill, "
    "host-pause, host-drain; or stats, hosts" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static int
print_response (json_t *json, GError *error)
{
  if (json == NULL)
    {
      fprintf (stderr, "peridotstep: %s\n", error == NULL ? "no answer" : error->message);
      g_clear_error (&error);
      return EXIT_FAILED;
    }
  json_dumpf (json, stdout, JSON_INDENT (2));
  printf ("\n");
  json_decref (json);
  return EXIT_DONE;
}

static int
run_status (const Settings *settings)
{
  PlatformClient *client = platform_client_new (settings_text (settings, "admin-url"), TIMEOUT_MS);
  GError *error = NULL;
  json_t *json = platform_client_get_json (client, "/status", &error);

  platform_client_free (client);
  return print_response (json, error);
}

static json_t *
make_command (const Settings *settings)
{
  const char *kind = settings_text (settings, "KIND");

  if (strcmp (kind, "stats") == 0 || strcmp (kind, "hosts") == 0)
    return json_pack ("{s:b}", kind, 1);
  return json_pack ("{s:s, s:s, s:s, s:s, s:I}", "fault", kind, "service",
                    settings_text (settings, "service"), "instance",
                    settings_text (settings, "instance"), "host", settings_text (settings, "host"),
                    "value", (json_int_t) settings_number (settings, "value"));
}

static int
run_fault (const Settings *settings)
{
  PlatformClient *client
      = platform_client_new (settings_text (settings, "platform-url"), TIMEOUT_MS);
  json_t *command = make_command (settings);
  GError *error = NULL;
  json_t *json = platform_client_standin (client, command, &error);

  json_decref (command);
  platform_client_free (client);
  return print_response (json, error);
}

const Command command_status = { "status", "print a daemon's status", status_settings, run_status };
const Command command_fault
    = { "fault", "make a stand-in or a host of the demo fail", fault_settings, run_fault };
