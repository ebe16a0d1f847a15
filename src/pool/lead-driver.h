/**
 * DOC: Watches over the primary of one service: tells whether it serves this host, hears what
 * the other hosts say of it, and carries out a change of primary.
 */
#pragma once

#include <stdint.h>

#include "pool/beat.pb-c.h"
#include "pool/directory.h"
#include "pool/peer-mesh.h"
#include "pool/pool-metrics.h"
#include "pool/service-group.h"

typedef struct PrimaryChangeManager PrimaryChangeManager;

/** struct PrimaryChangeManagerOptions - @host: name of this host, also towards the platform. */
typedef struct
{
  ServiceGroup *group;
  const Directory *directory;
  PeerMesh *mesh;
  Counters *counters;
  PoolMetrics *metrics;
  const char *host;
} PrimaryChangeManagerOptions;

/** primary_change_manager_new() - Starts watching. */
PrimaryChangeManager *primary_change_manager_new (TALLOC_CTX *parent,
                                                  const PrimaryChangeManagerOptions *options);

/** primary_change_manager_configure() - Takes the service's configuration. */
void primary_change_manager_configure (PrimaryChangeManager *driver, const ServiceEntry *entry);

/** primary_change_manager_fill_heartbeat() - What this host says of the service. */
void primary_change_manager_fill_heartbeat (PrimaryChangeManager *driver, Pool__ServiceBeat *beat);

/** primary_change_manager_receive_heartbeat() - What @peer said of the service, at @sent_ms or
 * later; 0 if unknown. */
void primary_change_manager_receive_heartbeat (PrimaryChangeManager *driver, uint64_t peer,
                                               const Pool__ServiceBeat *beat, int64_t sent_ms);

/** primary_change_manager_forget_peer() - @peer has ended. */
void primary_change_manager_forget_peer (PrimaryChangeManager *driver, uint64_t peer);

/** primary_change_manager_tick() - Time limits. */
void primary_change_manager_tick (PrimaryChangeManager *driver, int64_t now_ms);
