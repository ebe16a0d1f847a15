/**
 * DOC: How a daemon keeps up with the versions of the configuration: which version it has, where
 * it fetches newer ones, and whether it may still admit work.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConfigSyncOptions - Limits.
 * @poll_interval_ms: interval at which a polling daemon polls the store. Another one polls it if no
 *   poll by any daemon is known for some intervals, see reader-order.h.
 * @pull_retry_ms: delay before the version is requested from another peer.
 * @isolated_after_ms: no work is admitted once both the store and most peers have been out of
 *   reach for this time.
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
  uint32_t rank; /* among the daemons of the failure domain */
  bool poll_outstanding;
  int64_t poll_sent_ms;
  int64_t started_ms;
  int64_t read_ms; /* latest known poll by any daemon that the store answered; 0 for none */
  int64_t poll_next_ms;
  int64_t pull_next_ms;
  int64_t store_reached_ms;
  int64_t peers_reached_ms;
} ConfigSync;

/** enum ConfigAction - What to do next. */
typedef enum
{
  CONFIG_IDLE,
  CONFIG_POLL_STORE, /* query the store for its latest version */
  CONFIG_PULL_PEER   /* fetch a newer version from a peer that has it */
} ConfigAction;

/** config_sync_init() - Starts without a version; isolation counts from @now_ms. */
void config_sync_init (ConfigSync *sync, const ConfigSyncOptions *options, int64_t now_ms);

/**
 * config_sync_set_polling() - Whether this daemon is one of the few pollers of its failure
 * domain, and its rank there, counting from 0, if these fail.
 */
void config_sync_set_polling (ConfigSync *sync, bool polling, uint32_t rank);

/** config_sync_read_heard() - Another daemon polled the store at @at_ms and was answered. */
void config_sync_read_heard (ConfigSync *sync, int64_t at_ms);

/** config_sync_version_seen() - A peer or the store reported @version. */
void config_sync_version_seen (ConfigSync *sync, uint64_t version);

/** config_sync_read_age_ms() - Time since the latest known answered poll; -1 for none. */
int64_t config_sync_read_age_ms (const ConfigSync *sync, int64_t now_ms);

/** config_sync_poll_finished() - A poll of the store ended; @answered is false for errors. */
void config_sync_poll_finished (ConfigSync *sync, bool answered, int64_t now_ms);

/** config_sync_peers_reached() - Most peers are reachable at @now_ms. */
void config_sync_peers_reached (ConfigSync *sync, int64_t now_ms);

/** config_sync_accept() - Makes @version the current one; false if it is not newer. */
bool config_sync_accept (ConfigSync *sync, uint64_t version);

/** config_sync_next_action() - What to do at @now_ms. */
ConfigAction config_sync_next_action (ConfigSync *sync, int64_t now_ms);

/** config_sync_admits_work() - Whether work may be admitted at @now_ms. */
bool config_sync_admits_work (const ConfigSync *sync, int64_t now_ms);
