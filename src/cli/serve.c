/**
 * DOC: serve: runs one daemon of a production fleet.
 */
#include <string.h>

#include "base/log.h"
#include "base/verdict.h"
#include "cli/command.h"
#include "cli/shutdown.h"
#include "daemon/daemon.h"

#define POLL_MS 100

static const SettingInfo serve_settings[] = {
  { "id", SETTING_TEXT, NULL, 0, 0, "unique name of this host" },
  { "failure-domain", SETTING_TEXT, NULL, 0, 0, "failure domain of this host" },
  { "region", SETTING_TEXT, NULL, 0, 0, "region of that failure domain" },
  { "address", SETTING_TEXT, "127.0.0.1", 0, 0, "IPv4 address to listen on, as others reach it" },
  { "port", SETTING_NUMBER, "6432", 0, 65535, "TCP port for callers; 0 picks a free one" },
  { "link-port", SETTING_NUMBER, "6532", 0, 65535, "TCP port for other hosts; 0 picks a free one" },
  { "gossip-port", SETTING_NUMBER, "6532", 0, 65535,
    "UDP port for membership; 0 picks a free one" },
  { "admin-port", SETTING_NUMBER, "6632", 0, 65535, "TCP port of /metrics, /status, /healthz" },
  { "platform-url", SETTING_TEXT, NULL, 0, 0, "base address of the platform's service" },
  { "workers", SETTING_NUMBER, "2", 1, 16, "threads that serve callers" },
  { "log-level", SETTING_NUMBER, "6", 3, 7, "syslog severity up to which lines are written" },
  { "trace", SETTING_TEXT, "", 0, 0, "file to write a trace of decisions to; empty for none" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static void
copy_name (char *into, const Settings *settings, const char *name)
{
  g_strlcpy (into, settings_text (settings, name), NAME_BYTES);
}

static DaemonOptions
daemon_settings (const Settings *settings)
{
  const char *trace = settings_text (settings, "trace");
  DaemonOptions options = {
    .caller_port = (uint16_t) settings_number (settings, "port"),
    .admin_port = (uint16_t) settings_number (settings, "admin-port"),
    .platform_url = settings_text (settings, "platform-url"),
    .workers = (uint32_t) settings_number (settings, "workers"),
    .trace_path = trace[0] == '\0' ? NULL : trace,
  };

  copy_name (options.self.id, settings, "id");
  copy_name (options.self.failure_domain, settings, "failure-domain");
  copy_name (options.self.region, settings, "region");
  copy_name (options.self.address, settings, "address");
  options.self.link_port = (uint16_t) settings_number (settings, "link-port");
  options.self.gossip_port = (uint16_t) settings_number (settings, "gossip-port");
  return options;
}

static int
run_serve (const Settings *settings)
{
  const DaemonOptions options = daemon_settings (settings);
  GError *error = NULL;
  Daemon *daemon;

  log_set_level ((LogLevel) settings_number (settings, "log-level"));
  shutdown_block_signals ();
  daemon = daemon_start (&options, &error);
  if (daemon == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "start_failed", "reason=\"%s\"", error->message);
      g_error_free (error);
      return EXIT_FAILED;
    }
  while (!shutdown_wait (POLL_MS))
    ;
  daemon_drain (daemon);
  // A second signal ends the drain at once.
  while (!daemon_is_drained (daemon))
    if (shutdown_wait (POLL_MS))
      break;
  daemon_stop (daemon);
  return EXIT_DONE;
}

const Command command_serve = { "serve", "run one daemon of a fleet", serve_settings, run_serve };
