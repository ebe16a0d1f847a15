/**
 * DOC: Which host hands out the operations that customers may run under their limits: the holder of
 * a lease. The lease is a row of the store that is written only under the condition that it has not
 * changed, and that its holder renews. Answers the load of customers over their limits, also while
 * hosts are killed, frozen or cut off: at no time do two hosts hand out.
 *
 * A holder counts its lease from the sending of the last renewal that succeeded; another host takes
 * the lease only after it has known the row's version unchanged for the whole of the lease. So the
 * one has stopped before the other begins, without comparing clocks.
 *
 * Nobody can take the lease while nobody reaches the store, so the holder goes on during an outage
 * of the store as long as most hosts acknowledge it, and no host is known to have reached the store
 * since the lease ended. A host that acknowledges one holder acknowledges no other for a while, and
 * a new holder waits for most hosts, unless the old one has released the lease or has ended. If
 * others reach the store and the holder does not, it releases the lease by telling the other hosts.
 *
 * Times are milliseconds on the host's own clock, which also advances while it is suspended.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** Lease: longer than several renewals, as short as a crash of the holder may be felt. */
#define LIMIT_LEASE_MS 1500

/** enum LimitWriteResult - Outcome of writing the row. */
typedef enum
{
  LIMIT_WRITE_OK,
  LIMIT_WRITE_CONFLICT, /* the row has another version */
  LIMIT_WRITE_REFUSED,  /* nothing was done */
  LIMIT_WRITE_UNKNOWN   /* no answer: it may be done later */
} LimitWriteResult;

/**
 * struct LimitLease - Only @version, @holder and the times may be read from outside.
 * @self: number of this process: its host in the high half, the low half is different after each
 *   start.
 * @version: newest version of the row that is known; 0 for no row.
 * @holder: process that wrote it; 0 while unknown.
 * @idle_ms: time without any holder before this host took over, as far as is known.
 */
typedef struct
{
  uint64_t self;
  uint64_t version;
  uint64_t holder;
  int64_t seen_ms; /* when @version was first known */
  int64_t heard_ms;
  bool released; /* the holder of @version has given it up, or its process has ended */
  bool held;
  bool confirmed;                /* no other host hands out any more */
  uint64_t acknowledged_to;      /* process that this host has acknowledged ... */
  int64_t acknowledged_until_ms; /* ... and until when no other one */
  int64_t renewed_ms;            /* when the last successful write was sent */
  int64_t started_ms;            /* of this process */
  int64_t idle_ms;
  bool writing;
  int64_t write_sent_ms;
  int64_t failing_since_ms; /* renewals fail since; 0 for not */
  int64_t retry_at_ms;
  int64_t announced_ms;
  int64_t proof_ms; /* when any host last reached the store, as far as is known */
  bool leaving;
  GHashTable *acknowledged; /* process to the sending of the last announcement that it answered */
} LimitLease;

/** limit_lease_process() - Number of this process on @host. */
uint64_t limit_lease_process (uint64_t host, uint32_t start);

/** limit_lease_init() - @self must not be 0. */
void limit_lease_init (LimitLease *lease, uint64_t self, int64_t now_ms);

/** limit_lease_done() - Frees what it holds. */
void limit_lease_done (LimitLease *lease);

/**
 * struct LimitLeaseView - What else is known.
 * @delay_ms: hosts take over one after the other, this one after such a time.
 * @proof_ms: when any host last reached the store.
 */
typedef struct
{
  int64_t delay_ms;
  int64_t proof_ms;
} LimitLeaseView;

/**
 * struct LimitLeaseActions - What to do now.
 * @write: write the row if its version is @version.
 * @announce: tell all hosts of the version, and whether it is released.
 * @acknowledge: they have to answer.
 */
typedef struct
{
  bool write;
  uint64_t version;
  bool announce;
  bool released;
  bool acknowledge;
} LimitLeaseActions;

/** limit_lease_tick() - To be called several times a second. */
LimitLeaseActions limit_lease_tick (LimitLease *lease, const LimitLeaseView *view, int64_t now_ms);

/**
 * limit_lease_written() - The write ended. @version is the row's version after a success or a
 * conflict, and @holder is in it after a conflict; 0 for no row.
 */
void limit_lease_written (LimitLease *lease, LimitWriteResult result, uint64_t version,
                          uint64_t holder, int64_t now_ms);

/** limit_lease_announced() - @sender announced @version. Returns false if a newer one is known. */
bool limit_lease_announced (LimitLease *lease, uint64_t sender, uint64_t version, bool released,
                            int64_t now_ms);

/**
 * limit_lease_acknowledge() - Whether this host answers @sender, which asks for it. It then answers
 * no other process for a while.
 */
bool limit_lease_acknowledge (LimitLease *lease, uint64_t sender, int64_t now_ms);

/**
 * limit_lease_acknowledged() - @sender answered the announcement of @announced_ms; it knows
 * @version, and that a host reached the store at @proof_ms.
 */
void limit_lease_acknowledged (LimitLease *lease, uint64_t sender, uint64_t version,
                               int64_t proof_ms, int64_t announced_ms, uint32_t hosts,
                               int64_t now_ms);

/** limit_lease_may_grant() - Whether this host hands out now, in a fleet of @hosts hosts. */
bool limit_lease_may_grant (const LimitLease *lease, uint32_t hosts, int64_t now_ms);

/** limit_lease_leave() - This host shuts down: another one should take over at once. */
void limit_lease_leave (LimitLease *lease);

/** limit_lease_store_restored() - The store lost its latest changes: versions are issued again. */
void limit_lease_store_restored (LimitLease *lease, int64_t now_ms);
