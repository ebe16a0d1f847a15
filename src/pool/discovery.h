/**
 * DOC: Keeps a daemon's configuration and list of instances up to date from the directory.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "base/timer-queue.h"
#include "pool/directory.h"
#include "pool/pool-metrics.h"
#include "pool/snapshot.h"

typedef struct Discovery Discovery;

/**
 * struct DiscoveryOptions - Where to look, and whom to tell.
 * @catalog: a configuration was read; it may be an old one.
 * @instances: the list was read; holds &struct InstanceInfo.
 * @request_snapshot: the store can't be read, and another host may know what this one lacks.
 */
typedef struct
{
  const Directory *directory;
  TimerQueue *timers;
  PoolMetrics *metrics;
  void (*catalog) (void *data, Catalog *catalog);
  void (*instances) (void *data, const GArray *infos);
  void (*request_snapshot) (void *data);
  void *data;
} DiscoveryOptions;

/** discovery_new() - Starts reading at once. */
Discovery *discovery_new (TALLOC_CTX *parent, const DiscoveryOptions *options);

/**
 * discovery_set_reader() - Whether this host is one of the few that read often; the others read
 * when they hear of news, or know of no recent reading. @turn_ms: time in which each host is told.
 */
void discovery_set_reader (Discovery *discovery, bool reader, int64_t turn_ms);

/** discovery_apply_snapshot() - What another host knows; older news are passed over. */
void discovery_apply_snapshot (Discovery *discovery, const Snapshot *snapshot);

/** discovery_fill_snapshot() - Puts in the list of instances as this host knows it. */
void discovery_fill_snapshot (const Discovery *discovery, Snapshot *snapshot);

/**
 * discovery_note_peer() - Another host has configuration @version, and read a list with @hash at
 * @read_ms or later; @hash is 0 if it read none lately.
 */
void discovery_note_peer (Discovery *discovery, uint64_t version, uint32_t hash, int64_t read_ms);

/** discovery_instances_hash() - Of the list, if it was read lately; 0 else. */
uint32_t discovery_instances_hash (const Discovery *discovery);

/** discovery_instances_age_ms() - Time since it was read. */
int64_t discovery_instances_age_ms (const Discovery *discovery);

/** discovery_refresh_instances() - The list of instances may be out of date: read it soon. */
void discovery_refresh_instances (Discovery *discovery);
