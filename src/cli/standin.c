/**
 * DOC: standin: runs the stand-ins of a deployment in a process of their own.
 */
#include <stdio.h>

#include "base/log.h"
#include "cli/command.h"
#include "cli/shutdown.h"
#include "standin/standin.h"

#define POLL_MS 200

static const SettingInfo standin_settings[] = {
  { "deployment", SETTING_TEXT, "shops", 0, 0, "shops or funiculars" },
  { "platform-port", SETTING_NUMBER, "6700", 0, 65535,
    "port of the platform's service; 0 picks a free one" },
  { "database-port", SETTING_NUMBER, "6710", 0, 65000,
    "first port of the instances; 0 picks free ones" },
  { "connect-ms", SETTING_NUMBER, "12", 0, 1000, "time a new connection takes" },
  { "service-us", SETTING_NUMBER, "2000", 0, 1000000, "time a statement takes" },
  { "lag-ms", SETTING_NUMBER, "20", 0, 60000, "replication lag between receiving and applying" },
  { "flat-network", SETTING_FLAG, NULL, 0, 0, "no emulated delays between failure domains" },
  { "print-config", SETTING_FLAG, NULL, 0, 0, "first print a configuration for these instances" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static int
run_standin (const Settings *settings)
{
  const StandinOptions options = {
    .deployment = deployment_find (settings_text (settings, "deployment")),
    .address = "127.0.0.1",
    .platform_port = (uint16_t) settings_number (settings, "platform-port"),
    .database_port = (uint16_t) settings_number (settings, "database-port"),
    .connect_delay_ms = (uint32_t) settings_number (settings, "connect-ms"),
    .service_us = (uint32_t) settings_number (settings, "service-us"),
    .lag_ms = (uint32_t) settings_number (settings, "lag-ms"),
    .emulate_network = !settings_flag (settings, "flat-network"),
  };
  GError *error = NULL;
  Standin *standin;

  if (options.deployment == NULL)
    {
      fprintf (stderr, "peridotstep: --deployment is '%s', but must be shops or funiculars\n",
               settings_text (settings, "deployment"));
      return EXIT_INVALID_SETTINGS;
    }
  shutdown_block_signals ();
  standin = standin_start (&options, &error);
  if (standin == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "start_failed", "reason=\"%s\"", error->message);
      g_error_free (error);
      return EXIT_FAILED;
    }
  if (settings_flag (settings, "print-config"))
    {
      json_t *config = standin_config (standin);

      json_dumpf (config, stdout, JSON_INDENT (2));
      printf ("\n");
      json_decref (config);
    }
  printf ("platform %s\nready\n", standin_platform_url (standin));
  fflush (stdout);
  while (!shutdown_wait (POLL_MS))
    ;
  standin_stop (standin);
  return EXIT_DONE;
}

const Command command_standin
    = { "standin", "run database and platform stand-ins", standin_settings, run_standin };
