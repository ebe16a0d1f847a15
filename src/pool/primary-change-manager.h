/**
 * DOC: Monitors the primary of one service: whether it serves this host, what other hosts report
 * about it, and the change of primary that this host carries out.
 */
#pragma once

#include <stdint.h>

#include "pool/beat.pb-c.h"
#include "pool/directory.h"
#include "pool/peer-mesh.h"
#include "pool/pool-metrics.h"
#include "pool/service-group.h"

typedef struct PrimaryChangeManager PrimaryChangeManager;

/**
 * struct PrimaryChangeManagerOptions - Parts of the daemon that the manager uses.
 * @host: name of this host, also the lease holder in promote calls.
 * @store_era: era of the store as this host knows it; %NULL if it is not followed.
 */
typedef struct
{
  ServiceGroup *group;
  const Directory *directory;
  PeerMesh *mesh;
  Counters *counters;
  PoolMetrics *metrics;
  const char *host;
  const uint64_t *store_era;
} PrimaryChangeManagerOptions;

/** primary_change_manager_new() - Starts monitoring. */
PrimaryChangeManager *primary_change_manager_new (TALLOC_CTX *parent,
                                                  const PrimaryChangeManagerOptions *options);

/** primary_change_manager_configure() - Applies the service's configuration. */
void primary_change_manager_configure (PrimaryChangeManager *manager, const ServiceEntry *entry);

/**
 * primary_change_manager_fill_heartbeat() - Writes this host's view of the service to @heartbeat.
 */
void primary_change_manager_fill_heartbeat (PrimaryChangeManager *manager,
                                            Pool__ServiceBeat *heartbeat);

/**
 * primary_change_manager_receive_heartbeat() - Records @peer's view of the service, sent at
 * @sent_ms or later; 0 if unknown.
 */
void primary_change_manager_receive_heartbeat (PrimaryChangeManager *manager, uint64_t peer,
                                               const Pool__ServiceBeat *heartbeat, int64_t sent_ms);

/** primary_change_manager_forget_peer() - Drops the view of @peer, which is no longer tracked. */
void primary_change_manager_forget_peer (PrimaryChangeManager *manager, uint64_t peer, PeerEnd end);

/** primary_change_manager_is_idle() - Whether no change of primary is in progress on this host. */
bool primary_change_manager_is_idle (const PrimaryChangeManager *manager);

/**
 * primary_change_manager_activate() - This host starts to act as an owner of the service, after a
 * time in which it did not follow it.
 */
void primary_change_manager_activate (PrimaryChangeManager *manager);

/** primary_change_manager_tick() - Applies time limits. */
void primary_change_manager_tick (PrimaryChangeManager *manager, int64_t now_ms);
