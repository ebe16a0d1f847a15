/**
 * DOC: Whether this host may rely on the primary of a group, and what it knows of terms. A host
 * that changes the primary pauses the replicas, lets the leases of the others run out, promotes one
 * replica and resumes the rest. A resumed replica reports the old term until it hears from the new
 * primary, so that its word alone gives no lease. Without I/O and clock.
 *
 * A lease promises that no other instance leads in a greater term before it ends. Times are
 * milliseconds on this host's clock; 0 is never.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/instance-command.h"

/** Maximum number of instances of a group. */
#define LEASE_MEMBERS_MAX 16

/**
 * struct LeaseMember - An instance and what it said last.
 * @asked_ms: when the latest answer was asked for; 0 for none.
 * @leads: it led its group in @term. @paused: it was paused for a greater term.
 */
typedef struct
{
  uint32_t key;
  int64_t asked_ms;
  bool leads;
  bool paused;
  uint64_t term;
} LeaseMember;

/**
 * struct PrimaryLease - Initialize with primary_lease_init().
 * @lease_ms: how long a lease lasts after the time at which its evidence was asked for.
 * @primary: key of the primary; 0 if none is known. @term: its term.
 * @newest_term: greatest term heard of, whoever leads in it.
 * @confirmed_ms: when the evidence of the lease was asked for; 0 for no lease.
 * @void_ms: evidence asked for until then does not count.
 * @fenced: the primary is being replaced. @fenced_term: the term that it had when this host last
 *   acknowledged that.
 * @observed_since_ms: since when the instances that answer agree that the primary leads; 0 if they
 *   do not.
 * @observed_ms: when they were last asked.
 */
typedef struct
{
  int64_t lease_ms;
  uint32_t primary;
  uint64_t term;
  uint64_t newest_term;
  int64_t confirmed_ms;
  int64_t void_ms;
  uint64_t fenced_term;
  bool fenced;
  int64_t observed_since_ms;
  int64_t observed_ms;
  LeaseMember members[LEASE_MEMBERS_MAX];
  uint32_t member_count;
} PrimaryLease;

/** primary_lease_init() - No primary is known. */
void primary_lease_init (PrimaryLease *lease, int64_t lease_ms);

/** primary_lease_add_member() - Instance @key is listed. */
void primary_lease_add_member (PrimaryLease *lease, uint32_t key);

/** primary_lease_remove_member() - It is no longer listed. */
void primary_lease_remove_member (PrimaryLease *lease, uint32_t key);

/** primary_lease_set_primary() - @key is taken for the primary of @term. */
void primary_lease_set_primary (PrimaryLease *lease, uint32_t key, uint64_t term);

/** primary_lease_hear_term() - An instance leads or has led in @term. */
void primary_lease_hear_term (PrimaryLease *lease, uint64_t term);

/** primary_lease_set_fenced() - Whether the primary is being replaced. */
void primary_lease_set_fenced (PrimaryLease *lease, bool fenced, int64_t now_ms);

/** primary_lease_record_report() - Instance @key answered a command sent at @asked_ms. */
void primary_lease_record_report (PrimaryLease *lease, uint32_t key, const InstanceReport *report,
                                  int64_t asked_ms, int64_t now_ms);

/** primary_lease_record_commit() - The primary confirmed a commit that was sent at @asked_ms. */
void primary_lease_record_commit (PrimaryLease *lease, int64_t asked_ms, int64_t now_ms);

/** primary_lease_record_read_only() - The primary said that it does not lead its group. */
void primary_lease_record_read_only (PrimaryLease *lease, int64_t now_ms);

/**
 * primary_lease_record_proof() - A host with a lease on the primary of @term, or the host that made
 * it the primary, passes on when its evidence was asked for.
 */
void primary_lease_record_proof (PrimaryLease *lease, uint64_t term, int64_t asked_ms);

/** primary_lease_is_superseded() - Whether a term greater than that of the primary was heard of. */
bool primary_lease_is_superseded (const PrimaryLease *lease);

/** primary_lease_is_valid() - Whether the primary may be relied on at @at_ms. */
bool primary_lease_is_valid (const PrimaryLease *lease, int64_t at_ms);
