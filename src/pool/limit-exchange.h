/**
 * DOC: Asks for the operations that customers may run under their limits, and hands them out while
 * this host holds the lease for that. See limit-lease.h, limit-ledger.h and limit-stock.h for the
 * decisions; this file has the datagrams, the calls to the store and the operations that wait.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"
#include "policy/config-proof.h"
#include "pool/directory.h"
#include "pool/peer-mesh.h"

typedef struct LimitExchange LimitExchange;
typedef struct LimitAccount LimitAccount;

/**
 * struct LimitExchangeOptions - Settings and parts of the daemon.
 * @address, @port: UDP, the same port on all hosts.
 * @peer_offset: @port less the port of heartbeats.
 * @initial: operations that a new holder hands out to each customer at once, if it does not know
 *   how many are left.
 * @claim_delay_ms: hosts take over one after the other, this one after such a time.
 */
typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  const char *address;
  uint16_t port;
  uint16_t peer_offset;
  PeerMesh *mesh;
  const Directory *directory;
  const ConfigProof *proof;
  double initial;
  int64_t claim_delay_ms;
} LimitExchangeOptions;

/**
 * struct LimitWaiter - An operation that waits, embedded in its user.
 * @granted: it may start. @refused: it is over the customer's limit.
 */
typedef struct
{
  void (*granted) (void *data);
  void (*refused) (void *data);
  void *data;
  /* private */
  LimitAccount *account;
} LimitWaiter;

/** limit_exchange_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
LimitExchange *limit_exchange_new (TALLOC_CTX *parent, const LimitExchangeOptions *options,
                                   GError **error);

/** limit_exchange_set_catalog() - The limits of @catalog are in force from now on. */
void limit_exchange_set_catalog (LimitExchange *exchange, const Catalog *catalog);

/**
 * limit_exchange_start() - An operation of @customer is to start. Returns whether it may at once;
 * otherwise @waiter waits, or was refused.
 */
bool limit_exchange_start (LimitExchange *exchange, const char *customer, LimitWaiter *waiter);

/** limit_exchange_cancel() - The operation no longer waits. */
void limit_exchange_cancel (LimitWaiter *waiter);

/** limit_exchange_leave() - This host shuts down, and no longer hands out. */
void limit_exchange_leave (LimitExchange *exchange);

/** limit_exchange_store_restored() - The store came back from a backup. */
void limit_exchange_store_restored (LimitExchange *exchange);

/** limit_exchange_print() - Appends counters by customer in Prometheus text format to @out. */
void limit_exchange_print (const LimitExchange *exchange, GString *out);
