#include "policy/limit-lease.h"

/* Interval of renewals: two may fail before the lease ends. */
#define RENEW_MS 500
/* Interval of announcements, and silence after which the holder is taken for lost. */
#define ANNOUNCE_MS 250
#define SILENCE_MS 700
/* Part of the usual delay before the first write of a process. */
#define FIRST_DELAY_DIVISOR 4
/* Delay after a write that failed. */
#define RETRY_MS 100
/* A host that has acknowledged a holder acknowledges no other one for this time. */
#define ACKNOWLEDGED_MS 600
/* Interval of announcements until most hosts have acknowledged a new holder. */
#define CONFIRM_MS 100
/* A holder whose renewals fail for this time while others reach the store releases the lease. */
#define CUT_OFF_MS 400

uint64_t
limit_lease_process (uint64_t host, uint32_t start)
{
  return host << 32 | start;
}

static bool
is_same_host (uint64_t process, uint64_t other)
{
  return process >> 32 == other >> 32;
}

void
limit_lease_init (LimitLease *lease, uint64_t self, int64_t now_ms)
{
  *lease = (LimitLease){
    .self = self,
    .seen_ms = now_ms,
    .started_ms = now_ms,
    .retry_at_ms = now_ms,
    .acknowledged = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free),
  };
}

void
limit_lease_done (LimitLease *lease)
{
  g_hash_table_destroy (lease->acknowledged);
}

static void
set_version (LimitLease *lease, uint64_t version, uint64_t holder, int64_t now_ms)
{
  if (lease->version != version || lease->holder != holder)
    lease->seen_ms = now_ms;
  lease->version = version;
  lease->holder = holder;
  lease->released = false;
}

static void
lose (LimitLease *lease)
{
  lease->held = false;
  lease->failing_since_ms = 0;
}

/* Whether the lease may be taken: nobody has it, or its holder must have stopped. */
static bool
is_free (const LimitLease *lease, int64_t now_ms)
{
  if (lease->version == 0 || lease->released)
    return true;
  return now_ms - lease->seen_ms >= LIMIT_LEASE_MS && now_ms - lease->heard_ms >= SILENCE_MS;
}

static bool
wants_claim (const LimitLease *lease, const LimitLeaseView *view, int64_t now_ms)
{
  int64_t free_since_ms = lease->seen_ms;

  if (lease->leaving || !is_free (lease, now_ms) || now_ms < lease->acknowledged_until_ms)
    return false;
  if (lease->version != 0 && !lease->released)
    free_since_ms = MAX (lease->seen_ms + LIMIT_LEASE_MS, lease->heard_ms + SILENCE_MS);
  if (is_same_host (lease->holder, lease->self))
    return true;
  // A first write mostly tells who has the lease.
  return now_ms - free_since_ms
         >= (lease->version == 0 ? view->delay_ms / FIRST_DELAY_DIVISOR : view->delay_ms);
}

static void
start_write (LimitLease *lease, LimitLeaseActions *actions, int64_t now_ms)
{
  lease->writing = true;
  lease->write_sent_ms = now_ms;
  actions->write = true;
  actions->version = lease->version;
}

static void
announce (LimitLease *lease, LimitLeaseActions *actions, int64_t now_ms)
{
  lease->announced_ms = now_ms;
  actions->announce = true;
  actions->version = lease->version;
  actions->released = lease->released;
  actions->acknowledge
      = lease->held && (!lease->confirmed || now_ms - lease->renewed_ms >= LIMIT_LEASE_MS / 2);
}

/* Others reach the store, and this host does not. */
static bool
is_cut_off (const LimitLease *lease, int64_t now_ms)
{
  return lease->failing_since_ms != 0 && now_ms - lease->failing_since_ms >= CUT_OFF_MS
         && lease->proof_ms >= lease->failing_since_ms + CUT_OFF_MS;
}

/* After the lease ended this host may still go on, but only until others could have taken over. */
static bool
others_reach_store (const LimitLease *lease)
{
  return lease->proof_ms >= lease->renewed_ms + LIMIT_LEASE_MS;
}

LimitLeaseActions
limit_lease_tick (LimitLease *lease, const LimitLeaseView *view, int64_t now_ms)
{
  LimitLeaseActions actions = { 0 };

  lease->proof_ms = MAX (lease->proof_ms, view->proof_ms);
  if (!lease->held)
    {
      if (!lease->writing && now_ms >= lease->retry_at_ms && wants_claim (lease, view, now_ms))
        start_write (lease, &actions, now_ms);
      return actions;
    }
  if (lease->leaving || is_cut_off (lease, now_ms))
    {
      lose (lease);
      lease->released = true;
      announce (lease, &actions, now_ms);
      return actions;
    }
  if (now_ms - lease->renewed_ms >= LIMIT_LEASE_MS && others_reach_store (lease))
    {
      lose (lease);
      return actions;
    }
  // A renewal that succeeds late may follow one of another host, which the condition detects.
  if (!lease->writing && now_ms >= lease->retry_at_ms && now_ms - lease->renewed_ms >= RENEW_MS)
    start_write (lease, &actions, now_ms);
  else if (now_ms - lease->announced_ms >= (lease->confirmed ? ANNOUNCE_MS : CONFIRM_MS))
    announce (lease, &actions, now_ms);
  return actions;
}

static void
record_conflict (LimitLease *lease, uint64_t version, uint64_t holder, int64_t now_ms)
{
  // An earlier write of this process had its effect: the row is this host's, under another version.
  if (holder == lease->self && version != 0)
    {
      lease->retry_at_ms = now_ms;
      if (lease->held)
        lease->version = version;
      else
        set_version (lease, version, holder, now_ms);
      lease->released = !lease->held;
      return;
    }
  lose (lease);
  set_version (lease, version, holder, now_ms);
  lease->heard_ms = now_ms;
  // The earlier process of this host has ended, so nobody hands out.
  lease->released = is_same_host (holder, lease->self);
  if (lease->released)
    lease->retry_at_ms = now_ms;
}

/* The lease is this host's, after it was another process's. */
static void
begin (LimitLease *lease, int64_t sent_ms)
{
  const bool restarted = lease->holder != lease->self && is_same_host (lease->holder, lease->self);

  // After the end of this host's earlier process, nobody handed out.
  lease->idle_ms = restarted ? sent_ms - lease->started_ms : 0;
  lease->confirmed = restarted || lease->released || (lease->version == 0 && lease->heard_ms == 0);
  g_hash_table_remove_all (lease->acknowledged);
}

void
limit_lease_written (LimitLease *lease, LimitWriteResult result, uint64_t version, uint64_t holder,
                     int64_t now_ms)
{
  const int64_t sent_ms = lease->write_sent_ms;
  const bool given_up = !lease->held && lease->released && lease->holder == lease->self;

  lease->writing = false;
  lease->retry_at_ms = now_ms + RETRY_MS;
  switch (result)
    {
    case LIMIT_WRITE_OK:
      if (!lease->held)
        begin (lease, sent_ms);
      set_version (lease, version, lease->self, now_ms);
      lease->renewed_ms = sent_ms;
      lease->failing_since_ms = 0;
      // It told the others that they may take over, so it must not go on without asking again.
      lease->released = given_up && lease->leaving;
      lease->held = !lease->leaving && now_ms - sent_ms < LIMIT_LEASE_MS;
      lease->announced_ms = 0;
      return;
    case LIMIT_WRITE_CONFLICT:
      record_conflict (lease, version, holder, now_ms);
      return;
    case LIMIT_WRITE_REFUSED:
    case LIMIT_WRITE_UNKNOWN:
      if (lease->failing_since_ms == 0)
        lease->failing_since_ms = sent_ms;
      return;
    }
}

bool
limit_lease_announced (LimitLease *lease, uint64_t sender, uint64_t version, bool released,
                       int64_t now_ms)
{
  if (version < lease->version || (version == lease->version && lease->released && !released))
    return version == lease->version;
  if (version > lease->version || sender != lease->holder)
    {
      lose (lease);
      set_version (lease, version, sender, now_ms);
    }
  if (released && !lease->released)
    {
      lease->released = true;
      lease->seen_ms = now_ms;
    }
  lease->heard_ms = now_ms;
  return true;
}

bool
limit_lease_acknowledge (LimitLease *lease, uint64_t sender, int64_t now_ms)
{
  if (sender != lease->acknowledged_to && now_ms < lease->acknowledged_until_ms)
    return false;
  lease->acknowledged_to = sender;
  lease->acknowledged_until_ms = now_ms + ACKNOWLEDGED_MS;
  return true;
}

static bool
most_hosts_acknowledge (const LimitLease *lease, uint32_t hosts, int64_t now_ms)
{
  uint32_t count = 1;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, lease->acknowledged);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += now_ms - *(const int64_t *) value < ACKNOWLEDGED_MS;
  return count * 2 > hosts;
}

void
limit_lease_acknowledged (LimitLease *lease, uint64_t sender, uint64_t version, int64_t proof_ms,
                          int64_t announced_ms, uint32_t hosts, int64_t now_ms)
{
  lease->proof_ms = MAX (lease->proof_ms, proof_ms);
  if (version > lease->version)
    {
      lose (lease);
      set_version (lease, version, 0, now_ms);
      lease->heard_ms = now_ms;
      return;
    }
  g_hash_table_replace (lease->acknowledged, g_memdup2 (&sender, sizeof sender),
                        g_memdup2 (&announced_ms, sizeof announced_ms));
  lease->confirmed |= lease->held && most_hosts_acknowledge (lease, hosts, now_ms);
}

bool
limit_lease_may_grant (const LimitLease *lease, uint32_t hosts, int64_t now_ms)
{
  if (!lease->held || !lease->confirmed || lease->leaving)
    return false;
  if (now_ms - lease->renewed_ms < LIMIT_LEASE_MS)
    return true;
  return !others_reach_store (lease) && most_hosts_acknowledge (lease, hosts, now_ms);
}

void
limit_lease_leave (LimitLease *lease)
{
  lease->leaving = true;
}

void
limit_lease_store_restored (LimitLease *lease, int64_t now_ms)
{
  lose (lease);
  set_version (lease, 0, 0, now_ms);
  // Another holder may not know yet, so the lease is not free before its end.
  lease->retry_at_ms = now_ms + LIMIT_LEASE_MS;
}
