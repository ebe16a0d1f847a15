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

typedef struct LeadDriver LeadDriver;

/** struct LeadDriverOptions - @host: name of this host, also towards the platform. */
typedef struct
{
  ServiceGroup *group;
  const Directory *directory;
  PeerMesh *mesh;
  Counters *counters;
  PoolMetrics *metrics;
  const char *host;
} LeadDriverOptions;

/** lead_driver_new() - Starts watching. */
LeadDriver *lead_driver_new (TALLOC_CTX *parent, const LeadDriverOptions *options);

/** lead_driver_configure() - Takes the service's configuration. */
void lead_driver_configure (LeadDriver *driver, const ServiceEntry *entry);

/** lead_driver_fill() - What this host says of the service. */
void lead_driver_fill (LeadDriver *driver, Pool__ServiceBeat *beat);

/** lead_driver_take() - What @peer said of the service, at @sent_ms or later; 0 if unknown. */
void lead_driver_take (LeadDriver *driver, uint64_t peer, const Pool__ServiceBeat *beat,
                       int64_t sent_ms);

/** lead_driver_forget() - @peer has ended. */
void lead_driver_forget (LeadDriver *driver, uint64_t peer);

/** lead_driver_tick() - Time limits. */
void lead_driver_tick (LeadDriver *driver, int64_t now_ms);
