/**
 * DOC: Synchronization of the configuration of one daemon.
 */
#include <string.h>

#include "policy/config-sync.h"
#include "script.h"

static void *
start (void)
{
  const ConfigSyncOptions options = { 400, 200, 10000 };
  ConfigSync *sync = g_new0 (ConfigSync, 1);

  config_sync_init (sync, &options, 0);
  return sync;
}

static void
command (void *data, char **words, GString *out)
{
  static const char *const actions[] = { "idle", "poll-store", "pull-peer" };
  ConfigSync *sync = data;
  const char *verb = words[0];
  gint64 number = script_number (words, 1);

  if (strcmp (verb, "polling") == 0)
    config_sync_set_polling (sync, number != 0, 0);
  else if (strcmp (verb, "rank") == 0)
    config_sync_set_polling (sync, false, (guint) number);
  else if (strcmp (verb, "read-age") == 0)
    g_string_append_printf (out, "%" G_GINT64_FORMAT " ms\n",
                            config_sync_read_age_ms (sync, number));
  else if (strcmp (verb, "heard") == 0)
    config_sync_read_heard (sync, number);
  else if (strcmp (verb, "next") == 0)
    g_string_append_printf (out, "%s\n", actions[config_sync_next_action (sync, number)]);
  else if (strcmp (verb, "version-seen") == 0)
    config_sync_version_seen (sync, (guint64) number);
  else if (strcmp (verb, "store") == 0)
    config_sync_poll_finished (sync, strcmp (script_word (words, 2), "answered") == 0, number);
  else if (strcmp (verb, "peers") == 0)
    config_sync_peers_reached (sync, number);
  else if (strcmp (verb, "accept") == 0)
    g_string_append_printf (out, "%s\n",
                            config_sync_accept (sync, (guint64) number) ? "accepted" : "refused");
  else if (strcmp (verb, "admits") == 0)
    g_string_append_printf (out, "%s\n", config_sync_admits_work (sync, number) ? "yes" : "no");
  else
    g_string_append (out, "unknown command\n");
}

const ScriptKind script_sync = { "sync", start, command, g_free };
