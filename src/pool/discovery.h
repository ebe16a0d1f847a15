/**
 * DOC: Keeps the configuration and the instance list of a daemon up to date from the store, or from
 * another host while the store can't be read.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/timer-queue.h"
#include "policy/config-proof.h"
#include "pool/directory.h"
#include "pool/pool-metrics.h"
#include "pool/snapshot.h"

typedef struct Discovery Discovery;

/**
 * struct DiscoveryOptions - Source and callbacks.
 * @catalog: a configuration was read; it may be an old one.
 * @instances: the instance list was read; holds &struct InstanceInfo.
 * @store_restored: the store came back from a backup, and is in @era now.
 * @request_snapshot: the store can't be read, and another host may have newer data.
 * @proof: records what the store's answers prove of the configuration.
 * @proof_limit_ms: within which a change has to be in force; 0 for no limit.
 * @announce: peers should hear from this host at once.
 * @config_checked: a call for the configuration has ended; more or less may be proved of it now.
 */
typedef struct
{
  const Directory *directory;
  TimerQueue *timers;
  PoolMetrics *metrics;
  void (*catalog) (void *data, Catalog *catalog);
  void (*instances) (void *data, const GArray *infos);
  void (*store_restored) (void *data, uint64_t era);
  void (*request_snapshot) (void *data);
  ConfigProof *proof;
  int64_t proof_limit_ms;
  void (*announce) (void *data);
  void (*config_checked) (void *data);
  void *data;
} DiscoveryOptions;

/** discovery_new() - Starts reading at once. */
Discovery *discovery_new (TALLOC_CTX *parent, const DiscoveryOptions *options);

/**
 * struct ReaderRole - How often this host reads the store.
 * @rank: of this host, see reader-order.h.
 * @readers: the first hosts, which poll the store often. The others read it when a peer reports a
 *   change, and the list of instances when no host is known to have read it recently.
 * @follower: unless it is one of these, it takes changes from peers rather than from the store.
 * @round_ms: time in which a heartbeat reaches every host that depends on it.
 */
typedef struct
{
  uint32_t rank;
  uint32_t readers;
  bool follower;
  int64_t round_ms;
} ReaderRole;

/** discovery_set_role() - Sets the role that applies from now on. */
void discovery_set_role (Discovery *discovery, const ReaderRole *role);

/** discovery_apply_snapshot() - Applies another host's data; older data is ignored. */
void discovery_apply_snapshot (Discovery *discovery, const Snapshot *snapshot);

/** discovery_fill_snapshot() - Adds this host's instance list. */
void discovery_fill_snapshot (const Discovery *discovery, Snapshot *snapshot);

/**
 * discovery_record_peer() - A peer has configuration @version and read an instance list with @hash
 * at
 * @read_ms or later; @hash is 0 if it has not read one lately.
 */
void discovery_record_peer (Discovery *discovery, uint64_t version, uint32_t hash, int64_t read_ms);

/** discovery_store_lost() - Whether the last call to the store failed. */
bool discovery_store_lost (const Discovery *discovery);

/**
 * discovery_request_proof() - Asks the store for a proof of the configuration if the last one has
 * become old, unless the store has just failed to give one. Returns whether an answer is awaited.
 */
bool discovery_request_proof (Discovery *discovery);

/** discovery_era() - Era of the store; 0 while unknown. */
uint64_t discovery_era (const Discovery *discovery);

/** discovery_instances_hash() - Hash of the instance list if it was read lately, else 0. */
uint32_t discovery_instances_hash (const Discovery *discovery);

/** discovery_instances_age_ms() - Time since the instance list was read. */
int64_t discovery_instances_age_ms (const Discovery *discovery);

/** discovery_refresh_instances() - Schedules a read of the list, which may be out of date. */
void discovery_refresh_instances (Discovery *discovery);
