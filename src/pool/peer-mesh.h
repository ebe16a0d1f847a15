/**
 * DOC: Heartbeats between pooling daemons: small datagrams at a fixed interval, to a few hosts at a
 * time in turn, and to all hosts at once after a change. A host passes on what it has received, and
 * sends a new host the addresses of the others.
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
#include "pool/directory.h"

typedef struct PeerMesh PeerMesh;

/**
 * struct PeerMeshOptions - Where to listen, and callbacks.
 * @host: unique name of this host.
 * @fill_heartbeat: adds the services to a heartbeat that is about to be sent.
 * @heartbeat_received: the host at @from reported its view of the store.
 * @service_received: @peer reported its view of one service. In both callbacks @sent_ms is the
 *   earliest time on this host's clock at which the heartbeat may have been sent; 0 while that is
 *   unknown.
 * @peer_gone: no more heartbeats will come from this incarnation of @peer.
 */
typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  Counters *counters;
  const char *host;
  const char *address;
  uint16_t port;
  void (*fill_heartbeat) (void *data, Pool__Beat *heartbeat);
  void (*heartbeat_received) (void *data, const struct sockaddr_in *from,
                              const Pool__Beat *heartbeat, int64_t sent_ms);
  void (*service_received) (void *data, uint64_t peer, const Pool__ServiceBeat *heartbeat,
                            int64_t sent_ms);
  void (*peer_gone) (void *data, uint64_t peer);
  void *data;
} PeerMeshOptions;

/** peer_mesh_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
PeerMesh *peer_mesh_new (TALLOC_CTX *parent, const PeerMeshOptions *options, GError **error);

/** peer_mesh_add_hosts() - Adds hosts to send to; @hosts holds &struct HostEntry. */
void peer_mesh_add_hosts (PeerMesh *mesh, const GArray *hosts);

/** peer_mesh_list_hosts() - Appends this host and all hosts not removed, as &struct HostEntry. */
void peer_mesh_list_hosts (const PeerMesh *mesh, GArray *hosts);

/** peer_mesh_send_now() - Sends a heartbeat to all hosts now, because something changed. */
void peer_mesh_send_now (PeerMesh *mesh);

/** peer_mesh_round_ms() - Time in which a heartbeat reaches every host while nothing changes. */
int64_t peer_mesh_round_ms (const PeerMesh *mesh);

/** peer_mesh_leave() - Notifies all hosts that this host is stopping. */
void peer_mesh_leave (PeerMesh *mesh);

/** peer_mesh_self_id() - Id of this host in heartbeats. */
uint64_t peer_mesh_self_id (const PeerMesh *mesh);

/** peer_mesh_rank() - Number of live hosts whose id is lower than this host's. */
uint32_t peer_mesh_rank (const PeerMesh *mesh);

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
