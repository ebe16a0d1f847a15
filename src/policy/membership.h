/**
 * DOC: Membership of the hosts: SWIM-style probing with piggybacked updates, incarnation numbers
 * and a suspicion phase before a host is declared dead. The cost per host does not grow with the
 * number of hosts.
 *
 * Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
 * Membership Protocol", DSN 2002.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/ownership.h"

/** Maximum number of updates in one message. */
#define MEMBERSHIP_UPDATES_MAX 6

/** enum MemberState - State of a host as known to this one. */
typedef enum
{
  MEMBER_CANDIDATE, /* named by the platform's list, no message received yet */
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
  MEMBER_LEFT
} MemberState;

/** struct MemberUpdate - State of one host, as disseminated. */
typedef struct
{
  Host host;
  uint64_t incarnation;
  MemberState state;
} MemberUpdate;

/** enum GossipKind - Messages of the protocol. */
typedef enum
{
  GOSSIP_PING,
  GOSSIP_ACK,
  GOSSIP_PING_REQUEST /* requests another host to probe @target */
} GossipKind;

/**
 * struct GossipMessage - One datagram.
 * @sequence: matches an acknowledgement to its probe.
 * @sender: state of the sender as reported by itself.
 * @target: for %GOSSIP_PING_REQUEST, the host to probe.
 * @config_version: greatest configuration version that the sender has.
 * @config_read_age: milliseconds since a host is known to have read the configuration's version
 *   from the store, plus 1; 0 for unknown.
 */
typedef struct
{
  GossipKind kind;
  uint64_t sequence;
  MemberUpdate sender;
  Host target;
  uint64_t config_version;
  uint32_t config_read_age;
  uint32_t update_count;
  MemberUpdate updates[MEMBERSHIP_UPDATES_MAX];
} GossipMessage;

/**
 * struct MembershipOptions - Limits.
 * @self: this host.
 * @incarnation: greater than that of any earlier run under the same id.
 * @probe_interval_ms: one host is probed per interval.
 * @probe_timeout_ms: time without an acknowledgement before indirect probes are sent.
 * @suspect_ms: time that a suspect host has to refute the suspicion.
 * @indirect_probes: number of hosts that probe on behalf of this one.
 * @seed: seed of the random choices.
 */
typedef struct
{
  Host self;
  uint64_t incarnation;
  int64_t probe_interval_ms;
  int64_t probe_timeout_ms;
  int64_t suspect_ms;
  uint32_t indirect_probes;
  uint64_t seed;
} MembershipOptions;

typedef struct Membership Membership;

/** membership_new() - Starts with this host only; free it with membership_free(). */
Membership *membership_new (const MembershipOptions *options);

/** membership_free() - Frees it. */
void membership_free (Membership *membership);

/** membership_seed() - Adds @host from the platform's list as a candidate. */
void membership_seed (Membership *membership, const Host *host);

/** membership_set_config_version() - Sets the configuration version to announce. */
void membership_set_config_version (Membership *membership, uint64_t version);

/** membership_leave() - Announces that this host is leaving. */
void membership_leave (Membership *membership);

/** membership_tick() - Sends probes and handles timeouts. */
void membership_tick (Membership *membership, int64_t now_ms);

/** membership_receive() - Handles a received datagram. */
void membership_receive (Membership *membership, const GossipMessage *message, int64_t now_ms);

/** membership_apply() - Merges one state received in a full exchange. */
void membership_apply (Membership *membership, const MemberUpdate *update, int64_t now_ms);

/** membership_next_message() - Removes a datagram to send; false if there is none. */
bool membership_next_message (Membership *membership, GossipMessage *message, Host *to);

/** membership_version() - Version of the set of live hosts; changes whenever the set does. */
uint64_t membership_version (const Membership *membership);

/**
 * membership_view() - Live hosts, including this one unless it is leaving; free it with
 * g_free().
 */
HostView *membership_view (const Membership *membership);

/** membership_count() - Number of hosts in any state. */
uint32_t membership_count (const Membership *membership);

/** membership_get() - State of the host with @index, which is below membership_count(). */
MemberUpdate membership_get (const Membership *membership, uint32_t index);

/** membership_state_of() - State of the host with @id; %MEMBER_DEAD if unknown. */
MemberState membership_state_of (const Membership *membership, const char *id);

/**
 * membership_peer_with_newer_config() - A live host that announced a configuration version above
 * @version, a different one at each call; false if there is none.
 */
bool membership_peer_with_newer_config (Membership *membership, uint64_t version, Host *peer);

/** membership_random_peer() - A random live host other than this one; false if there is none. */
bool membership_random_peer (Membership *membership, Host *peer);

/**
 * membership_take_recovered_peer() - Returns, only once, a host that was considered dead and has
 * just answered: a partition has ended, and both sides should exchange all states. False if there
 * is none.
 */
bool membership_take_recovered_peer (Membership *membership, Host *peer);

/**
 * membership_reaches_majority() - Whether the live hosts are a majority of the greatest number
 * known to be alive at once, less those that have left or were forgotten; true when alone.
 */
bool membership_reaches_majority (const Membership *membership);

/** membership_state_name() - Name for logs. */
const char *membership_state_name (MemberState state);
