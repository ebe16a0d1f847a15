#include "policy/config-sync.h"

#include "policy/reader-order.h"

/* A daemon that is not a poller, and polls only because it has no version or has lost most peers,
 * does so this many times less often. */
#define FALLBACK_POLL_FACTOR 4
/* The same for one that polls because no poll is known, which may concern the whole fleet. */
#define TAKEOVER_POLL_FACTOR 10
/* Poll intervals without a known poll after which the first and the last daemon poll. */
#define TAKEOVER_FIRST_INTERVALS 8
#define TAKEOVER_LAST_INTERVALS 12

void
config_sync_init (ConfigSync *sync, const ConfigSyncOptions *options, int64_t now_ms)
{
  *sync = (ConfigSync){ .options = *options };
  sync->poll_next_ms = now_ms;
  sync->store_reached_ms = now_ms;
  sync->peers_reached_ms = now_ms;
  sync->started_ms = now_ms;
}

int64_t
config_sync_read_age_ms (const ConfigSync *sync, int64_t now_ms)
{
  return sync->read_ms == 0 ? -1 : now_ms - sync->read_ms;
}

void
config_sync_read_heard (ConfigSync *sync, int64_t at_ms)
{
  if (at_ms > sync->read_ms)
    sync->read_ms = at_ms;
}

void
config_sync_set_polling (ConfigSync *sync, bool polling, uint32_t rank)
{
  // A new poller need not wait for the longer interval of the others to end.
  if (polling && !sync->polling)
    sync->poll_next_ms = 0;
  sync->polling = polling;
  sync->rank = rank;
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
  if (!answered)
    return;
  sync->store_reached_ms = now_ms;
  config_sync_read_heard (sync, sync->poll_sent_ms);
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

/* Whether the pollers that this daemon hears of don't reach the store. */
static bool
polls_missing (const ConfigSync *sync, int64_t now_ms)
{
  const int64_t interval_ms = sync->options.poll_interval_ms;
  const int64_t known_ms = sync->read_ms > sync->started_ms ? sync->read_ms : sync->started_ms;

  return now_ms - known_ms >= reader_order_takeover_ms (interval_ms * TAKEOVER_FIRST_INTERVALS,
                                                        interval_ms * TAKEOVER_LAST_INTERVALS,
                                                        sync->rank);
}

/* Intervals from a poll that is due now to the next one; 0 if none is due. */
static int64_t
due_poll_factor (const ConfigSync *sync, int64_t now_ms)
{
  if (sync->poll_outstanding || now_ms < sync->poll_next_ms)
    return 0;
  if (sync->polling)
    return 1;
  if (sync->version == 0 || now_ms - sync->peers_reached_ms >= sync->options.isolated_after_ms / 2)
    return FALLBACK_POLL_FACTOR;
  return polls_missing (sync, now_ms) ? TAKEOVER_POLL_FACTOR : 0;
}

ConfigAction
config_sync_next_action (ConfigSync *sync, int64_t now_ms)
{
  int64_t factor;

  if (sync->known_version > sync->version && now_ms >= sync->pull_next_ms)
    {
      sync->pull_next_ms = now_ms + sync->options.pull_retry_ms;
      return CONFIG_PULL_PEER;
    }
  factor = due_poll_factor (sync, now_ms);
  if (factor == 0)
    return CONFIG_IDLE;
  sync->poll_outstanding = true;
  sync->poll_sent_ms = now_ms;
  sync->poll_next_ms = now_ms + factor * sync->options.poll_interval_ms;
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
