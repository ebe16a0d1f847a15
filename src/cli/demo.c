/**
 * DOC: demo: runs a complete deployment in one process: entry hosts, stand-ins for the databases
 * and the platform, emulated network.
 */
#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/verdict.h"
#include "cli/command.h"
#include "cli/shutdown.h"
#include "config/config-store.h"
#include "daemon/daemon.h"
#include "standin/standin.h"

#define HOSTS 6
#define POLL_MS 100
#define START_LIMIT_MS 15000
#define REGION_LINKS 2

static const SettingInfo demo_settings[] = {
  { "port", SETTING_NUMBER, "6432", 0, 65000,
    "caller port of the first host; the other hosts take the next ones; 0 picks free ones" },
  { "platform-port", SETTING_NUMBER, "0", 0, 65535,
    "port of the platform stand-in; 0 picks a free one" },
  { "deployment", SETTING_TEXT, "shops", 0, 0, "shops or funiculars" },
  { "workers", SETTING_NUMBER, "1", 1, 16, "worker threads of each host" },
  { "connect-ms", SETTING_NUMBER, "12", 0, 1000, "time a new backend connection takes" },
  { "service-us", SETTING_NUMBER, "2000", 0, 1000000, "time a statement takes at the backend" },
  { "lag-ms", SETTING_NUMBER, "20", 0, 60000, "replication lag between receiving and applying" },
  { "flat-network", SETTING_FLAG, NULL, 0, 0, "no emulated delays between failure domains" },
  { "log-level", SETTING_NUMBER, "5", 3, 7, "syslog severity up to which lines are written" },
  { "trace", SETTING_TEXT, "", 0, 0, "file to write the first host's trace of decisions to" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

/* State of the demo. @lock guards @hosts, which commands to the stand-in stop and start. */
typedef struct
{
  const Deployment *deployment;
  Standin *standin;
  Daemon *hosts[HOSTS];
  DaemonOptions options[HOSTS];
  NetworkEmulation network;
  RegionLink region_links[REGION_LINKS];
  pthread_mutex_t lock;
} Demo;

static RegionLink *
find_region_link (const char *from_region, const char *to_region, void *data)
{
  Demo *demo = data;

  if (strcmp (from_region, to_region) == 0)
    return NULL;
  // A deployment has two regions, so one link per direction is enough.
  return &demo->region_links[strcmp (from_region, demo->deployment->regions[0]) == 0 ? 0 : 1];
}

static int64_t
host_delay_us (const char *from_domain, const char *to_domain, void *data)
{
  return deployment_delay_us (from_domain, to_domain, (void *) ((Demo *) data)->deployment);
}

static void
fill_host (Demo *demo, int index, const Settings *settings)
{
  DaemonOptions *options = &demo->options[index];
  int64_t port = settings_number (settings, "port");
  const char *trace = settings_text (settings, "trace");
  int domain = index / (HOSTS / DEPLOYMENT_DOMAINS);

  g_snprintf (options->self.id, NAME_BYTES, "host-%d", index + 1);
  g_strlcpy (options->self.failure_domain, demo->deployment->domains[domain], NAME_BYTES);
  g_strlcpy (options->self.region, demo->deployment->regions[domain], NAME_BYTES);
  g_strlcpy (options->self.address, "127.0.0.1", NAME_BYTES);
  options->caller_port = (uint16_t) (port == 0 ? 0 : port + index);
  options->platform_url = standin_platform_url (demo->standin);
  options->workers = (uint32_t) settings_number (settings, "workers");
  if (index == 0 && trace[0] != '\0')
    options->trace_path = trace;
  if (!settings_flag (settings, "flat-network"))
    options->network = &demo->network;
}

static bool
start_host (Demo *demo, int index)
{
  GError *error = NULL;

  demo->hosts[index] = daemon_start (&demo->options[index], &error);
  if (demo->hosts[index] != NULL)
    {
      // A restarted host listens on the same caller port.
      demo->options[index].caller_port = daemon_options (demo->hosts[index])->caller_port;
      return true;
    }
  log_event (LOG_LEVEL_ERROR, "start_failed", "reason=\"%s\"", error->message);
  g_error_free (error);
  return false;
}

static void
stop_host (Demo *demo, int index)
{
  if (demo->hosts[index] == NULL)
    return;
  daemon_set_paused (demo->hosts[index], false);
  daemon_stop (demo->hosts[index]);
  demo->hosts[index] = NULL;
}

/* Injects a host fault: kill and restart, pause and resume, drain. */
static bool
run_host_fault (Demo *demo, int index, const char *fault, int64_t value)
{
  if (strcmp (fault, "host-kill") == 0)
    {
      if (value > 0)
        stop_host (demo, index);
      else if (demo->hosts[index] == NULL)
        return start_host (demo, index);
      return true;
    }
  if (demo->hosts[index] == NULL)
    return false;
  if (strcmp (fault, "host-pause") == 0)
    daemon_set_paused (demo->hosts[index], value > 0);
  else if (strcmp (fault, "host-drain") == 0)
    daemon_drain (demo->hosts[index]);
  else
    return false;
  return true;
}

static json_t *
host_list (Demo *demo)
{
  json_t *list = json_array ();

  for (int i = 0; i < HOSTS; i++)
    {
      const DaemonOptions *options = &demo->options[i];
      Daemon *host = demo->hosts[i];
      json_t *json = json_pack ("{s:s, s:s, s:i, s:b}", "id", options->self.id, "failure_domain",
                                options->self.failure_domain, "port", (int) options->caller_port,
                                "running", host != NULL && !daemon_is_drained (host));

      if (host != NULL)
        {
          json_object_set_new (json, "admin_port",
                               json_integer (daemon_options (host)->admin_port));
          for (int c = 0; c < COUNTER_COUNT; c++)
            json_object_set_new (
                json, counter_name ((CounterId) c),
                json_integer ((json_int_t) counter_get (daemon_counters (host), (CounterId) c)));
        }
      json_array_append_new (list, json);
    }
  return json_pack ("{s:o, s:I, s:I}", "hosts", list, "region_bytes_out",
                    (json_int_t) atomic_load (&demo->region_links[0].sent_bytes),
                    "region_bytes_back",
                    (json_int_t) atomic_load (&demo->region_links[1].sent_bytes));
}

static json_t *
on_command (const json_t *request, void *data)
{
  Demo *demo = data;
  const char *fault = json_string_value (json_object_get (request, "fault"));
  const char *id = json_string_value (json_object_get (request, "host"));
  json_t *result = NULL;

  pthread_mutex_lock (&demo->lock);
  if (json_is_true (json_object_get (request, "hosts")))
    result = host_list (demo);
  for (int i = 0; fault != NULL && id != NULL && i < HOSTS; i++)
    if (strcmp (demo->options[i].self.id, id) == 0
        && run_host_fault (demo, i, fault, json_integer_value (json_object_get (request, "value"))))
      result = json_pack ("{s:s}", "host", id);
  pthread_mutex_unlock (&demo->lock);
  return result;
}

static bool
apply_first_config (Demo *demo)
{
  PlatformClient *client = platform_client_new (standin_platform_url (demo->standin), 5000);
  json_t *patch = standin_config (demo->standin);
  const ConfigChange change = {
    .id = "demo-first",
    .author = "demo",
    .reason = "first configuration",
    .patch = patch,
  };
  GError *error = NULL;
  uint64_t version = config_store_apply (client, &change, &error);

  if (version == 0)
    {
      log_event (LOG_LEVEL_ERROR, "config_refused", "reason=\"%s\"", error->message);
      g_error_free (error);
    }
  json_decref (patch);
  platform_client_free (client);
  return version != 0;
}

static bool
is_ready (Demo *demo)
{
  for (int i = 0; i < HOSTS; i++)
    if (counter_get (daemon_counters (demo->hosts[i]), COUNTER_MEMBERS_ALIVE) != HOSTS
        || daemon_config_version (demo->hosts[i]) == 0)
      return false;
  return true;
}

static bool
start_demo (Demo *demo, const Settings *settings)
{
  const StandinOptions standin = {
    .deployment = demo->deployment,
    .address = "127.0.0.1",
    .platform_port = (uint16_t) settings_number (settings, "platform-port"),
    .connect_delay_ms = (uint32_t) settings_number (settings, "connect-ms"),
    .service_us = (uint32_t) settings_number (settings, "service-us"),
    .lag_ms = (uint32_t) settings_number (settings, "lag-ms"),
    .emulate_network = !settings_flag (settings, "flat-network"),
    .command = on_command,
    .command_data = demo,
  };
  GError *error = NULL;
  int64_t limit_ms = clock_now_ms () + START_LIMIT_MS;

  demo->standin = standin_start (&standin, &error);
  if (demo->standin == NULL)
    {
      log_event (LOG_LEVEL_ERROR, "start_failed", "reason=\"%s\"", error->message);
      g_error_free (error);
      return false;
    }
  if (!apply_first_config (demo))
    return false;
  for (int i = 0; i < HOSTS; i++)
    {
      fill_host (demo, i, settings);
      if (!start_host (demo, i))
        return false;
    }
  while (!is_ready (demo))
    if (clock_now_ms () > limit_ms || shutdown_wait (POLL_MS))
      return false;
  return true;
}

static void
print_addresses (Demo *demo)
{
  printf ("platform %s\n", standin_platform_url (demo->standin));
  for (int i = 0; i < HOSTS; i++)
    printf ("%s %s 127.0.0.1:%u admin 127.0.0.1:%u\n", demo->options[i].self.id,
            demo->options[i].self.failure_domain, daemon_options (demo->hosts[i])->caller_port,
            daemon_options (demo->hosts[i])->admin_port);
  printf ("ready\n");
  fflush (stdout);
}

static void
drain_demo (Demo *demo)
{
  bool drained = false;

  pthread_mutex_lock (&demo->lock);
  for (int i = 0; i < HOSTS; i++)
    if (demo->hosts[i] != NULL)
      daemon_drain (demo->hosts[i]);
  pthread_mutex_unlock (&demo->lock);
  while (!drained && !shutdown_wait (POLL_MS))
    {
      drained = true;
      for (int i = 0; i < HOSTS; i++)
        if (demo->hosts[i] != NULL && !daemon_is_drained (demo->hosts[i]))
          drained = false;
    }
}

static void
stop_demo (Demo *demo)
{
  for (int i = 0; i < HOSTS; i++)
    stop_host (demo, i);
  if (demo->standin != NULL)
    standin_stop (demo->standin);
  pthread_mutex_destroy (&demo->lock);
}

static int
run_demo (const Settings *settings)
{
  Demo demo = { .deployment = deployment_find (settings_text (settings, "deployment")) };
  bool started;

  if (demo.deployment == NULL)
    {
      fprintf (stderr, "peridotstep: --deployment is '%s', but must be shops or funiculars\n",
               settings_text (settings, "deployment"));
      return EXIT_INVALID_SETTINGS;
    }
  log_set_level ((LogLevel) settings_number (settings, "log-level"));
  shutdown_block_signals ();
  pthread_mutex_init (&demo.lock, NULL);
  demo.network = (NetworkEmulation){ host_delay_us, find_region_link, &demo };
  for (int i = 0; i < REGION_LINKS; i++)
    demo.region_links[i].bytes_per_s = demo.deployment->region_bytes_per_s;
  started = start_demo (&demo, settings);
  if (started)
    {
      print_addresses (&demo);
      while (!shutdown_wait (POLL_MS))
        ;
      drain_demo (&demo);
    }
  stop_demo (&demo);
  return started ? EXIT_DONE : EXIT_FAILED;
}

const Command command_demo
    = { "demo", "run a whole deployment in one process", demo_settings, run_demo };
