/**
 * DOC: A daemon's place in the chain of configuration versions: which version it holds,
 * where it looks for newer ones, and whether it may still admit work.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConfigSyncOptions - Limits.
 * @poll_interval_ms: store poll interval of a polling daemon.
 * @pull_retry_ms: wait before another peer is asked.
 * @isolated_after_ms: time out of reach of both the store and most peers after which no
 *   work is admitted.
 */
typedef struct
{
  int64_t poll_interval_ms;
  int64_t pull_retry_ms;
  int64_t isolated_after_ms;
} ConfigSyncOptions;

/** struct ConfigSync - State; times in milliseconds. */
typedef struct
{
  ConfigSyncOptions options;
  uint64_t version;
  uint64_t known_version;
  bool polling;
  bool poll_outstanding;
  int64_t poll_next_ms;
  int64_t pull_next_ms;
  int64_t store_reached_ms;
  int64_t peers_reached_ms;
} ConfigSync;

/** enum ConfigAction - What to do next. */
typedef enum
{
  CONFIG_IDLE,
  CONFIG_POLL_STORE, /* ask the store for its greatest version */
  CONFIG_PULL_PEER   /* ask a peer that knows a greater version for it */
} ConfigAction;

/** config_sync_init() - Nothing held; isolation counts from @now_ms. */
void config_sync_init (ConfigSync *chain, const ConfigSyncOptions *options, int64_t now_ms);

/** config_sync_set_polling() - Whether this daemon is one of its domain's few pollers. */
void config_sync_set_polling (ConfigSync *chain, bool polling);

/** config_sync_version_seen() - A peer or the store named @version. */
void config_sync_version_seen (ConfigSync *chain, uint64_t version);

/** config_sync_poll_finished() - A store poll ended; @answered is false for errors. */
void config_sync_poll_finished (ConfigSync *chain, bool answered, int64_t now_ms);

/** config_sync_peers_reached() - Most peers are reachable at @now_ms. */
void config_sync_peers_reached (ConfigSync *chain, int64_t now_ms);

/** config_sync_accept() - Takes @version in force; false when it would go back. */
bool config_sync_accept (ConfigSync *chain, uint64_t version);

/** config_sync_next_action() - What to do at @now_ms. */
ConfigAction config_sync_next_action (ConfigSync *chain, int64_t now_ms);

/** config_sync_admits_work() - Whether work may be admitted at @now_ms. */
bool config_sync_admits_work (const ConfigSync *chain, int64_t now_ms);
