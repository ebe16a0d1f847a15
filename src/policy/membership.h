/**
 * DOC: Membership of the hosts: SWIM-style probing with piggybacked updates, incarnation
 * numbers and suspicion before death. Cost per host does not grow with the fleet.
 *
 * Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process
 * Group Membership Protocol", DSN 2002.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/ownership.h"

/** Updates carried by one message. */
#define MEMBERSHIP_UPDATES_MAX 6

/** enum MemberState - Belief about a host. */
typedef enum
{
  MEMBER_CANDIDATE, /* named by the platform's list, not heard of yet */
  MEMBER_ALIVE,
  MEMBER_SUSPECT,
  MEMBER_DEAD,
  MEMBER_LEFT
} MemberState;

/** struct MemberUpdate - One belief, as spread. */
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
  GOSSIP_PING_REQUEST /* ask another host to probe @target */
} GossipKind;

/**
 * struct GossipMessage - One datagram.
 * @sequence: matches an acknowledgement to its probe.
 * @sender: belief of the sender about itself.
 * @target: for %GOSSIP_PING_REQUEST, whom to probe.
 * @config_version: greatest configuration version the sender holds.
 */
typedef struct
{
  GossipKind kind;
  uint64_t sequence;
  MemberUpdate sender;
  Host target;
  uint64_t config_version;
  uint32_t update_count;
  MemberUpdate updates[MEMBERSHIP_UPDATES_MAX];
} GossipMessage;

/**
 * struct MembershipOptions - Limits.
 * @self: this host.
 * @incarnation: greater than that of any earlier run under the same id.
 * @probe_interval_ms: one host is probed per interval.
 * @probe_timeout_ms: wait for the direct answer before indirect probes.
 * @suspect_ms: time a suspect has to refute.
 * @indirect_probes: hosts asked to probe in this host's place.
 * @seed: seed of the choices.
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

/** membership_new() - Knows only itself; free with membership_free(). */
Membership *membership_new (const MembershipOptions *options);

/** membership_free() - Frees it. */
void membership_free (Membership *membership);

/** membership_seed() - The platform's list names @host. */
void membership_seed (Membership *membership, const Host *host);

/** membership_set_config_version() - Version to announce. */
void membership_set_config_version (Membership *membership, uint64_t version);

/** membership_leave() - Announces that this host is leaving. */
void membership_leave (Membership *membership);

/** membership_tick() - Probes and times out. */
void membership_tick (Membership *membership, int64_t now_ms);

/** membership_receive() - A datagram came in. */
void membership_receive (Membership *membership, const GossipMessage *message, int64_t now_ms);

/** membership_apply() - Takes one belief from a full exchange. */
void membership_apply (Membership *membership, const MemberUpdate *update, int64_t now_ms);

/** membership_next_message() - Takes one datagram to send; false when there is none. */
bool membership_next_message (Membership *membership, GossipMessage *message, Host *to);

/** membership_version() - Changes whenever the set of live hosts does. */
uint64_t membership_version (const Membership *membership);

/** membership_view() - Live hosts, this one included unless leaving; g_free() it. */
HostView *membership_view (const Membership *membership);

/** membership_count() - Hosts in any state. */
uint32_t membership_count (const Membership *membership);

/** membership_get() - Belief number @index below membership_count(). */
MemberUpdate membership_get (const Membership *membership, uint32_t index);

/** membership_state_of() - State of the host called @id; %MEMBER_DEAD when unknown. */
MemberState membership_state_of (const Membership *membership, const char *id);

/**
 * membership_peer_with_newer_config() - A host heard to hold a configuration version above
 * @version, another at each call; false when there is none.
 */
bool membership_peer_with_newer_config (Membership *membership, uint64_t version, Host *peer);

/** membership_random_peer() - Any live host but this one; false when alone. */
bool membership_random_peer (Membership *membership, Host *peer);

/**
 * membership_take_recovered_peer() - A host believed dead that has just answered, once each: the
 * end of a partition, after which beliefs should be exchanged in full. False if there is none.
 */
bool membership_take_recovered_peer (Membership *membership, Host *peer);

/** membership_reaches_majority() - Whether most hosts once alive still are; true when alone. */
bool membership_reaches_majority (const Membership *membership);

/** membership_state_name() - Name for logs. */
const char *membership_state_name (MemberState state);
