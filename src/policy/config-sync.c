#include "policy/config-sync.h"

/* A daemon that is not a poller, and polls only because it has no version or has lost most peers,
 * does so this many times less often. */
#define FALLBACK_POLL_FACTOR 4

void
config_sync_init (ConfigSync *sync, const ConfigSyncOptions *options, int64_t now_ms)
{
  *sync = (ConfigSync){ .options = *options };
  sync->poll_next_ms = now_ms;
  sync->store_reached_ms = now_ms;
  sync->peers_reached_ms = now_ms;
}

void
config_sync_set_polling (ConfigSync *sync, bool polling)
{
  // A new poller need not wait for the longer interval of the others to end.
  if (polling && !sync->polling)
    sync->poll_next_ms = 0;
  sync->polling = polling;
}

void
config_sync_version_seen (ConfigSync *sync, uint64_t version)
{
  if (version > sync->known_version)
    sync->known_version = version;
}

void
config_sync_poll_finished (ConfigSync *sync, bool answered, int64_t now_ms)
{
  sync->poll_outstanding = false;
  if (answered)
    sync->store_reached_ms = now_ms;
}

void
config_sync_peers_reached (ConfigSync *sync, int64_t now_ms)
{
  sync->peers_reached_ms = now_ms;
}

bool
config_sync_accept (ConfigSync *sync, uint64_t version)
{
  if (version <= sync->version)
    return false;
  sync->version = version;
  config_sync_version_seen (sync, version);
  return true;
}

static bool
poll_due (const ConfigSync *sync, int64_t now_ms)
{
  if (sync->poll_outstanding || now_ms < sync->poll_next_ms)
    return false;
  return sync->polling || sync->version == 0
         || now_ms - sync->peers_reached_ms >= sync->options.isolated_after_ms / 2;
}

ConfigAction
config_sync_next_action (ConfigSync *sync, int64_t now_ms)
{
  if (sync->known_version > sync->version && now_ms >= sync->pull_next_ms)
    {
      sync->pull_next_ms = now_ms + sync->options.pull_retry_ms;
      return CONFIG_PULL_PEER;
    }
  if (!poll_due (sync, now_ms))
    return CONFIG_IDLE;
  sync->poll_outstanding = true;
  sync->poll_next_ms = now_ms + sync->options.poll_interval_ms;
  if (!sync->polling)
    sync->poll_next_ms += (FALLBACK_POLL_FACTOR - 1) * sync->options.poll_interval_ms;
  return CONFIG_POLL_STORE;
}

bool
config_sync_admits_work (const ConfigSync *sync, int64_t now_ms)
{
  int64_t limit_ms = sync->options.isolated_after_ms;

  if (sync->version == 0)
    return false;
  return now_ms - sync->store_reached_ms < limit_ms || now_ms - sync->peers_reached_ms < limit_ms;
}
