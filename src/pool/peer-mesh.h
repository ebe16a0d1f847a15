/**
 * DOC: Heartbeats between pooling daemons: small datagrams at a fixed interval, to a few hosts at a
 * time in turn, and to all hosts at once after a change. A host passes on what it has received, and
 * sends a new host the addresses of the others.
 *
 * In a fleet with owners (see service-owners.h) heartbeats carry no services: a host sends
 * them to hosts of its failure domain in turn, rarely to others, and the view of a service goes to
 * the owners of that service only.
 */
#pragma once

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/counters.h"
#include "base/timer-queue.h"
#include "pool/beat.pb-c.h"
#include "policy/ownership.h"
#include "pool/directory.h"

typedef struct PeerMesh PeerMesh;

/** enum PeerEnd - Why a peer is no longer tracked. */
typedef enum
{
  PEER_LEFT,      /* its process announced its end; its last views of services were delivered */
  PEER_RESTARTED, /* another process took its place */
  PEER_SILENT     /* not heard from for long: its process may have ended or be cut off */
} PeerEnd;

/** peer_end_name() - Name for logs. */
const char *peer_end_name (PeerEnd end);

/**
 * struct PeerMeshOptions - Where to listen, and callbacks.
 * @host: unique name of this host.
 * @failure_domain, @region: location of this host. @domain_region: failure domain to region.
 * @owners_from: services have owners in a fleet of this many hosts or more.
 * @fill_heartbeat: fills a heartbeat that is about to be sent, with the services if @services.
 * @send_services: time to send the views of services, see peer_mesh_send_service().
 * @heartbeat_received: the host at @from reported its view of the store.
 * @service_received: @peer, at @address, reported its view of one service. In both callbacks
 * @sent_ms is the earliest time on this host's clock at which the heartbeat may have been sent; 0
 * while that is unknown.
 * @peer_gone: this incarnation of @peer is no longer tracked.
 */
typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  Counters *counters;
  const char *host;
  const char *address;
  uint16_t port;
  const char *failure_domain;
  const char *region;
  GHashTable *domain_region;
  uint32_t owners_from;
  void (*fill_heartbeat) (void *data, Pool__Beat *heartbeat, bool services);
  void (*send_services) (void *data);
  void (*heartbeat_received) (void *data, const struct sockaddr_in *from,
                              const Pool__Beat *heartbeat, int64_t sent_ms);
  void (*service_received) (void *data, uint64_t peer, uint64_t address,
                            const Pool__ServiceBeat *heartbeat, int64_t sent_ms);
  void (*peer_gone) (void *data, uint64_t peer, PeerEnd end);
  void *data;
} PeerMeshOptions;

/** peer_mesh_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
PeerMesh *peer_mesh_new (TALLOC_CTX *parent, const PeerMeshOptions *options, GError **error);

/** peer_mesh_add_hosts() - Adds hosts to send to; @hosts holds &struct HostEntry. */
void peer_mesh_add_hosts (PeerMesh *mesh, const GArray *hosts);

/** peer_mesh_list_hosts() - Appends this host and all hosts not removed, as &struct HostEntry. */
void peer_mesh_list_hosts (const PeerMesh *mesh, GArray *hosts);

/** peer_mesh_host_count() - Number of hosts not removed, including this one. */
uint32_t peer_mesh_host_count (const PeerMesh *mesh);

/** peer_mesh_send_now() - Sends a heartbeat to all hosts now, because something changed. */
void peer_mesh_send_now (PeerMesh *mesh);

/** peer_mesh_round_ms() - Time in which a heartbeat reaches every host while nothing changes. */
int64_t peer_mesh_round_ms (const PeerMesh *mesh);

/** peer_mesh_has_owners() - Whether the fleet is so large that services have owners. */
bool peer_mesh_has_owners (const PeerMesh *mesh);

/** peer_mesh_send_services_now() - Sends the views of services now, because one changed. */
void peer_mesh_send_services_now (PeerMesh *mesh);

/** peer_mesh_send_service() - Sends the view of one service to the hosts at @addresses. */
void peer_mesh_send_service (PeerMesh *mesh, Pool__ServiceBeat *service, const uint64_t *addresses,
                             uint32_t count);

/**
 * peer_mesh_service_round_ms() - Time in which the view of a service reaches every host that needs
 * it, while nothing changes.
 */
int64_t peer_mesh_service_round_ms (const PeerMesh *mesh);

/**
 * peer_mesh_view() - Live hosts that take sessions, including this one; valid until the next
 * heartbeat. The link port of a host is the one after its heartbeat port.
 */
const HostView *peer_mesh_view (PeerMesh *mesh);

/** peer_mesh_is_draining() - Whether the host with @id is shutting down. */
bool peer_mesh_is_draining (const PeerMesh *mesh, uint64_t id);

/** peer_mesh_pack_address() - Address and heartbeat port of @host in one number. */
uint64_t peer_mesh_pack_address (const Host *host);

/** peer_mesh_drain() - Notifies the hosts that this host is shutting down and takes no sessions. */
void peer_mesh_drain (PeerMesh *mesh);

/** peer_mesh_leave() - Notifies all hosts that this host is stopping. */
void peer_mesh_leave (PeerMesh *mesh);

/** peer_mesh_self_id() - Id of this host in heartbeats. */
uint64_t peer_mesh_self_id (const PeerMesh *mesh);

/**
 * peer_mesh_reader_rank() - Number of live hosts that read the store before this host, see
 * reader-order.h: of its failure domain in a fleet with owners, else of all. @store_lost is of
 * this host.
 */
uint32_t peer_mesh_reader_rank (PeerMesh *mesh, bool store_lost);

/**
 * struct PeerState - Another host.
 * @heard_ms: when its last heartbeat came; 0 for never.
 * @known_ms: when this host learned of it.
 */
typedef struct
{
  uint64_t id; /* 0 until its first heartbeat */
  int64_t heard_ms;
  int64_t known_ms;
} PeerState;

/** peer_mesh_foreach() - Calls @callback for every host that has not been removed. */
void peer_mesh_foreach (const PeerMesh *mesh, void (*callback) (void *data, const PeerState *peer),
                        void *data);

/** peer_mesh_name_hash() - Hash of a name, as used in heartbeats. */
uint32_t peer_mesh_name_hash (const char *name);
