#include "policy/config-chain.h"

/* A daemon that holds nothing, or sees peers fail it, asks the store this much less often. */
#define FALLBACK_POLL_FACTOR 4

void
config_sync_init (ConfigSync *chain, const ConfigSyncOptions *options, int64_t now_ms)
{
  *chain = (ConfigSync){ .options = *options };
  chain->poll_next_ms = now_ms;
  chain->store_reached_ms = now_ms;
  chain->peers_reached_ms = now_ms;
}

void
config_sync_set_polling (ConfigSync *chain, bool polling)
{
  // A new poller does not wait out the longer interval of the others.
  if (polling && !chain->polling)
    chain->poll_next_ms = 0;
  chain->polling = polling;
}

void
config_sync_version_seen (ConfigSync *chain, uint64_t version)
{
  if (version > chain->known_version)
    chain->known_version = version;
}

void
config_sync_poll_finished (ConfigSync *chain, bool answered, int64_t now_ms)
{
  chain->poll_outstanding = false;
  if (answered)
    chain->store_reached_ms = now_ms;
}

void
config_sync_peers_reached (ConfigSync *chain, int64_t now_ms)
{
  chain->peers_reached_ms = now_ms;
}

bool
config_sync_accept (ConfigSync *chain, uint64_t version)
{
  if (version <= chain->version)
    return false;
  chain->version = version;
  config_sync_version_seen (chain, version);
  return true;
}

static bool
poll_due (const ConfigSync *chain, int64_t now_ms)
{
  if (chain->poll_outstanding || now_ms < chain->poll_next_ms)
    return false;
  return chain->polling || chain->version == 0
         || now_ms - chain->peers_reached_ms >= chain->options.isolated_after_ms / 2;
}

ConfigAction
config_sync_next_action (ConfigSync *chain, int64_t now_ms)
{
  if (chain->known_version > chain->version && now_ms >= chain->pull_next_ms)
    {
      chain->pull_next_ms = now_ms + chain->options.pull_retry_ms;
      return CONFIG_PULL_PEER;
    }
  if (!poll_due (chain, now_ms))
    return CONFIG_IDLE;
  chain->poll_outstanding = true;
  chain->poll_next_ms = now_ms + chain->options.poll_interval_ms;
  if (!chain->polling)
    chain->poll_next_ms += (FALLBACK_POLL_FACTOR - 1) * chain->options.poll_interval_ms;
  return CONFIG_POLL_STORE;
}

bool
config_sync_admits_work (const ConfigSync *chain, int64_t now_ms)
{
  int64_t limit_ms = chain->options.isolated_after_ms;

  if (chain->version == 0)
    return false;
  return now_ms - chain->store_reached_ms < limit_ms || now_ms - chain->peers_reached_ms < limit_ms;
}
