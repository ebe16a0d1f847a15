/**
 * DOC: apply, show, history: change and inspect the versions of the configuration.
 */
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/verdict.h"
#include "cli/command.h"
#include "config/config-store.h"

#define TIMEOUT_MS 5000
#define WAIT_POLL_US 50000
#define PATHS_PRINTED 6
#define MISSING_TERMS_MAX 20
#define PLATFORM_URL_HELP "base address of the platform's service"

static const SettingInfo apply_settings[] = {
  { "platform-url", SETTING_TEXT, NULL, 0, 0, PLATFORM_URL_HELP },
  { "base", SETTING_NUMBER, NULL, 0, INT64_MAX, "version that the patch was written against" },
  { "author", SETTING_TEXT, NULL, 0, 0, "who makes the change" },
  { "reason", SETTING_TEXT, NULL, 0, 0, "why it is made" },
  { "change-id", SETTING_TEXT, "", 0, 0, "id of the change; the same id is never applied twice" },
  { "wait", SETTING_FLAG, NULL, 0, 0, "wait until the version is in force on every listed host" },
  { "wait-ms", SETTING_NUMBER, "10000", 100, 600000, "longest wait, in milliseconds" },
  { "FILE", SETTING_ARGUMENT, NULL, 0, 0, "JSON merge patch (RFC 7396); - for standard input" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static const SettingInfo show_settings[] = {
  { "platform-url", SETTING_TEXT, NULL, 0, 0, PLATFORM_URL_HELP },
  { "version", SETTING_NUMBER, "0", 0, INT64_MAX, "version to show; 0 for the latest" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static const SettingInfo history_settings[] = {
  { "platform-url", SETTING_TEXT, NULL, 0, 0, PLATFORM_URL_HELP },
  { "last", SETTING_NUMBER, "20", 1, 100000, "number of versions to list" },
  { "service", SETTING_TEXT, "", 0, 0, "list the promotions of this service instead" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static PlatformClient *
open_client (const Settings *settings)
{
  return platform_client_new (settings_text (settings, "platform-url"), TIMEOUT_MS);
}

static int
report_error (GError *error)
{
  int code = error->code == PERIDOTSTEP_ERROR_CONFLICT ? EXIT_CONFLICT : EXIT_FAILED;

  fprintf (stderr, "peridotstep: %s\n", g_strchomp (error->message));
  g_error_free (error);
  return code;
}

static json_t *
read_patch (const char *file)
{
  json_error_t json_error;
  json_t *patch = strcmp (file, "-") == 0
                      ? json_loadf (stdin, JSON_REJECT_DUPLICATES, &json_error)
                      : json_load_file (file, JSON_REJECT_DUPLICATES, &json_error);

  if (patch == NULL)
    fprintf (stderr, "peridotstep: %s: line %d: %s\n", file, json_error.line, json_error.text);
  return patch;
}

static bool
change_id_is_valid (const char *id)
{
  return id[strspn (id, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ._-")]
             == '\0'
         && strlen (id) <= 100;
}

/* Queries the host itself, as the host list of the platform is updated only at intervals. */
static bool
host_has_version (const json_t *host, uint64_t version)
{
  const char *address = json_string_value (json_object_get (host, "address"));
  int port = (int) json_integer_value (json_object_get (host, "admin_port"));
  char *url = g_strdup_printf ("http://%s:%d", address, port);
  PlatformClient *client = platform_client_new (url, 500);
  json_t *status = platform_client_get_json (client, "/status", NULL);
  bool has = (uint64_t) json_integer_value (json_object_get (status, "config_version")) >= version;

  json_decref (status);
  platform_client_free (client);
  g_free (url);
  return has;
}

static int
wait_until_in_force (PlatformClient *client, uint64_t version, int64_t limit_ms)
{
  int64_t began_ms = clock_now_ms ();
  json_t *hosts = platform_client_get_hosts (client, NULL);
  json_t *list = json_object_get (hosts, "hosts");
  size_t index;
  json_t *host;

  json_array_foreach (list, index, host)
    {
      if (json_is_true (json_object_get (host, "leaving")))
        continue;
      while (!host_has_version (host, version))
        {
          if (clock_now_ms () - began_ms > limit_ms)
            {
              fprintf (stderr, "peridotstep: %s does not have version %" G_GUINT64_FORMAT " yet\n",
                       json_string_value (json_object_get (host, "id")), version);
              json_decref (hosts);
              return EXIT_FAILED;
            }
          g_usleep (WAIT_POLL_US);
        }
    }
  printf ("in force on %zu hosts after %" G_GINT64_FORMAT " ms\n", json_array_size (list),
          clock_now_ms () - began_ms);
  json_decref (hosts);
  return EXIT_DONE;
}

static int
submit (const Settings *settings, const ConfigChange *change)
{
  PlatformClient *client = open_client (settings);
  GError *error = NULL;
  uint64_t version = config_store_apply (client, change, &error);
  int code = EXIT_DONE;

  if (version == 0)
    {
      platform_client_free (client);
      return report_error (error);
    }
  printf ("version %" G_GUINT64_FORMAT " accepted, change %s\n", version, change->id);
  if (settings_flag (settings, "wait"))
    code = wait_until_in_force (client, version, settings_number (settings, "wait-ms"));
  platform_client_free (client);
  return code;
}

static int
run_apply (const Settings *settings)
{
  json_t *patch = read_patch (settings_text (settings, "FILE"));
  const char *given_id = settings_text (settings, "change-id");
  char *uuid = g_uuid_string_random ();
  const ConfigChange change = {
    .base = (uint64_t) settings_number (settings, "base"),
    .id = given_id[0] == '\0' ? uuid : given_id,
    .author = settings_text (settings, "author"),
    .reason = settings_text (settings, "reason"),
    .patch = patch,
  };
  int code = EXIT_FAILED;

  if (!change_id_is_valid (change.id))
    {
      fprintf (stderr,
               "peridotstep: --change-id may hold up to 100 letters, digits, '.', '_' and '-'\n");
      code = EXIT_INVALID_SETTINGS;
    }
  else if (patch != NULL)
    code = submit (settings, &change);
  json_decref (patch);
  g_free (uuid);
  return code;
}

static int
run_show (const Settings *settings)
{
  PlatformClient *client = open_client (settings);
  uint64_t version = (uint64_t) settings_number (settings, "version");
  ConfigDocument *document = NULL;
  GError *error = NULL;
  json_t *json;

  if (version == 0)
    config_store_head (client, &version, &error);
  if (error == NULL)
    document = config_store_load (client, version, &error);
  platform_client_free (client);
  if (document == NULL)
    return report_error (error);
  json = config_document_json (document);
  fprintf (stderr, "version %" G_GUINT64_FORMAT "\n", version);
  json_dumpf (json, stdout, JSON_INDENT (2) | JSON_SORT_KEYS);
  printf ("\n");
  json_decref (json);
  config_document_unref (document);
  return EXIT_DONE;
}

static void
print_record (const json_t *record)
{
  size_t index;
  json_t *path;

  printf ("version=%" JSON_INTEGER_FORMAT
          " time=%s author=\"%s\" reason=\"%s\" id=%s base=%" JSON_INTEGER_FORMAT " paths=",
          json_integer_value (json_object_get (record, "version")),
          json_string_value (json_object_get (record, "time")),
          json_string_value (json_object_get (record, "author")),
          json_string_value (json_object_get (record, "reason")),
          json_string_value (json_object_get (record, "id")),
          json_integer_value (json_object_get (record, "base")));
  json_array_foreach (json_object_get (record, "paths"), index, path)
    if (index < PATHS_PRINTED)
      printf ("%s%s", index == 0 ? "" : ",", json_string_value (path));
  if (index > PATHS_PRINTED)
    printf (" and %zu more", index - PATHS_PRINTED);
  printf ("\n");
}

/* Skips terms without a recorded promotion; stops after MISSING_TERMS_MAX of them in a row. */
static int
list_promotions (PlatformClient *client, const char *service)
{
  GError *error = NULL;
  uint64_t missing = 0;

  for (uint64_t term = 2; error == NULL && missing < MISSING_TERMS_MAX; term++)
    {
      char *key = g_strdup_printf ("audit-promotion-%s-%" G_GUINT64_FORMAT, service, term);
      uint64_t version;
      json_t *value = NULL;

      platform_client_get_row (client, key, &version, &value, &error);
      missing = value == NULL ? missing + 1 : 0;
      if (value != NULL)
        printf ("service=%s term=%" G_GUINT64_FORMAT " time=%s instance=%s host=%s planned=%d\n",
                service, term, json_string_value (json_object_get (value, "time")),
                json_string_value (json_object_get (value, "instance")),
                json_string_value (json_object_get (value, "host")),
                json_is_true (json_object_get (value, "planned")));
      json_decref (value);
      g_free (key);
    }
  return error == NULL ? EXIT_DONE : report_error (error);
}

static int
run_history (const Settings *settings)
{
  PlatformClient *client = open_client (settings);
  const char *service = settings_text (settings, "service");
  uint64_t last = (uint64_t) settings_number (settings, "last");
  uint64_t head = 0;
  GError *error = NULL;

  if (service[0] != '\0')
    {
      int code = list_promotions (client, service);

      platform_client_free (client);
      return code;
    }
  config_store_head (client, &head, &error);
  for (uint64_t version = head > last ? head - last + 1 : 1; error == NULL && version <= head;
       version++)
    {
      json_t *record = config_store_record (client, version, &error);

      if (record != NULL)
        print_record (record);
      json_decref (record);
    }
  platform_client_free (client);
  return error == NULL ? EXIT_DONE : report_error (error);
}

const Command command_apply
    = { "apply", "submit a patch against a configuration version", apply_settings, run_apply };
const Command command_show = { "show", "print a configuration version", show_settings, run_show };
const Command command_history
    = { "history", "list configuration versions, the audit trail", history_settings, run_history };
