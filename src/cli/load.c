/**
 * DOC: load: generates open-loop load over real connections and verifies every outcome.
 */
#include <stdio.h>
#include <string.h>

#include "adapter/platform-client.h"
#include "cli/command.h"
#include "load/load-run.h"

#define TIMEOUT_MS 5000

static const SettingInfo load_settings[] = {
  { "hosts", SETTING_TEXT,
    "127.0.0.1:6432,127.0.0.1:6433,127.0.0.1:6434,127.0.0.1:6435,127.0.0.1:6436,127.0.0.1:6437", 0,
    0, "entry hosts, a comma-separated list of IP:PORT" },
  { "service", SETTING_TEXT, "ordering1", 0, 0, "service to connect to" },
  { "mix", SETTING_TEXT, "order:write:30,stock_page:read:100,stock_change:txn:10,report:read:20", 0,
    0, "classes, a comma-separated list of CLASS:read|write|idem|txn:RATE with RATE per second" },
  { "flood", SETTING_TEXT, "", 0, 0,
    "extra rates, a comma-separated list of CLASS:RATE:FROM_S:TO_S" },
  { "write-class", SETTING_TEXT, "order", 0, 0,
    "statement class of the set-up and of the final check" },
  { "seed", SETTING_NUMBER, "1", 0, INT64_MAX,
    "seed of the arrivals; also part of the ids of the rows written" },
  { "duration-ms", SETTING_NUMBER, "10000", 100, 600000, "length of the run" },
  { "sessions", SETTING_NUMBER, "120", 1, 5000,
    "most connections to open, for the flood and for the other classes each" },
  { "open-all", SETTING_FLAG, NULL, 0, 0, "open all connections before the first statement" },
  { "roam-percent", SETTING_NUMBER, "5", 0, 100,
    "percentage of writes after which the session moves to another host" },
  { "platform-url", SETTING_TEXT, "", 0, 0,
    "platform stand-in of the demo, to read the counters of its hosts" },
  { "json", SETTING_TEXT, "", 0, 0, "file to write all figures to" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static char *
read_options (const Settings *settings, LoadOptions *options)
{
  char *error = load_options_hosts (options, settings_text (settings, "hosts"));

  if (error == NULL)
    error = load_options_mix (options, settings_text (settings, "mix"));
  if (error == NULL)
    error = load_options_flood (options, settings_text (settings, "flood"));
  if (error == NULL && options->host_count == 0)
    error = g_strdup ("hosts must name at least one");
  g_strlcpy (options->service, settings_text (settings, "service"), sizeof options->service);
  g_strlcpy (options->write_class, settings_text (settings, "write-class"),
             sizeof options->write_class);
  options->seed = (uint64_t) settings_number (settings, "seed");
  options->duration_ms = settings_number (settings, "duration-ms");
  options->sessions_max = (uint32_t) settings_number (settings, "sessions");
  options->open_all = settings_flag (settings, "open-all");
  options->roam_percent = (uint32_t) settings_number (settings, "roam-percent");
  return error;
}

/* Sum of a counter over the hosts of the demo. */
static json_int_t
sum_counter (const json_t *hosts, const char *name)
{
  json_int_t sum = 0;
  size_t index;
  json_t *host;

  json_array_foreach (json_object_get (hosts, "hosts"), index, host)
    sum += json_integer_value (json_object_get (host, name));
  return sum;
}

static json_t *
read_hosts (const Settings *settings)
{
  const char *url = settings_text (settings, "platform-url");
  PlatformClient *client;
  json_t *command, *hosts;

  if (url[0] == '\0')
    return NULL;
  client = platform_client_new (url, TIMEOUT_MS);
  command = json_pack ("{s:b}", "hosts", 1);
  hosts = platform_client_standin (client, command, NULL);
  json_decref (command);
  platform_client_free (client);
  return hosts;
}

static json_t *
host_figures (const json_t *before, const json_t *after)
{
  json_int_t replica
      = sum_counter (after, "reads_replica_total") - sum_counter (before, "reads_replica_total");
  json_int_t primary
      = sum_counter (after, "reads_primary_total") - sum_counter (before, "reads_primary_total");
  json_int_t remote
      = sum_counter (after, "reads_remote_total") - sum_counter (before, "reads_remote_total");
  json_int_t bytes = json_integer_value (json_object_get (after, "region_bytes_out"))
                     + json_integer_value (json_object_get (after, "region_bytes_back"))
                     - json_integer_value (json_object_get (before, "region_bytes_out"))
                     - json_integer_value (json_object_get (before, "region_bytes_back"));
  double share
      = replica + primary == 0 ? 0 : 100.0 * (double) replica / (double) (replica + primary);

  printf ("reads: replica=%" JSON_INTEGER_FORMAT " primary=%" JSON_INTEGER_FORMAT
          " replica_share=%.1f%% remote=%" JSON_INTEGER_FORMAT
          " region_link_bytes=%" JSON_INTEGER_FORMAT " retries=%" JSON_INTEGER_FORMAT
          " resolved=%" JSON_INTEGER_FORMAT "\n",
          replica, primary, share, remote, bytes,
          sum_counter (after, "retries_total") - sum_counter (before, "retries_total"),
          sum_counter (after, "commits_resolved_total")
              - sum_counter (before, "commits_resolved_total"));
  return json_pack ("{s:I, s:I, s:f, s:I, s:I}", "reads_replica", replica, "reads_primary", primary,
                    "replica_share_percent", share, "reads_remote", remote, "region_link_bytes",
                    bytes);
}

static void
write_json (const Settings *settings, LoadResults *results, json_t *hosts)
{
  const char *file = settings_text (settings, "json");
  json_t *json;

  if (file[0] == '\0')
    return;
  json = load_results_json (results);
  if (hosts != NULL)
    json_object_set (json, "hosts", hosts);
  json_object_set_new (json, "mix", json_string (settings_text (settings, "mix")));
  json_object_set_new (json, "flood", json_string (settings_text (settings, "flood")));
  if (json_dump_file (json, file, JSON_INDENT (1)) != 0)
    fprintf (stderr, "peridotstep: cannot write %s\n", file);
  json_decref (json);
}

static int
run_load (const Settings *settings)
{
  LoadOptions options = { 0 };
  char *error = read_options (settings, &options);
  LoadResults *results;
  json_t *before, *after, *figures = NULL;
  uint64_t violations = 1;

  if (error != NULL)
    {
      fprintf (stderr, "peridotstep: %s\n", error);
      g_free (error);
      return EXIT_INVALID_SETTINGS;
    }
  results = load_results_new (&options);
  before = read_hosts (settings);
  if (load_run (&options, results) && load_read_back (&options, results))
    {
      violations = load_results_verify (results);
      load_results_print (results, stdout);
      after = read_hosts (settings);
      if (before != NULL && after != NULL)
        figures = host_figures (before, after);
      json_decref (after);
      write_json (settings, results, figures);
      json_decref (figures);
    }
  json_decref (before);
  load_results_free (results);
  return violations == 0 ? EXIT_DONE : EXIT_FAILED;
}

const Command command_load
    = { "load", "run load and check every outcome", load_settings, run_load };
