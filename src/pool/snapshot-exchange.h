/**
 * DOC: Snapshots between pooling daemons over TCP: a host that connects is sent this host's data. A
 * host that can't read the store asks one other host at a time.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"
#include "pool/snapshot.h"

typedef struct SnapshotExchange SnapshotExchange;

/**
 * struct SnapshotExchangeOptions - Where to listen, and callbacks.
 * @address, @port: of this host; the others listen on the same port.
 * @fill: adds this host's data and nothing else; snapshot_done() frees it.
 * @received: another host sent @snapshot.
 */
typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  const char *address;
  uint16_t port;
  void (*fill) (void *data, Snapshot *snapshot);
  void (*received) (void *data, const Snapshot *snapshot);
  void *data;
} SnapshotExchangeOptions;

/** snapshot_exchange_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
SnapshotExchange *snapshot_exchange_new (TALLOC_CTX *parent, const SnapshotExchangeOptions *options,
                                         GError **error);

/** snapshot_exchange_prefer() - The host at @address has newer data; it is asked next. */
void snapshot_exchange_prefer (SnapshotExchange *exchange, const char *address);

/** snapshot_exchange_request() - Asks that host, unless none is set or a request is under way. */
void snapshot_exchange_request (SnapshotExchange *exchange);
