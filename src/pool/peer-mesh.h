/**
 * DOC: What pooling daemons tell each other: small datagrams at a steady pace, to a few hosts at
 * a time in turn, and to all at once when something changed. What a host has heard it tells on,
 * and a host that appears is told of the others.
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
 * struct PeerMeshOptions - Where to listen and what to say.
 * @host: unique name of this host.
 * @fill_heartbeat: adds the services to a beat that is about to be sent.
 * @heartbeat_received: what the host at @from said of the store.
 * @service_received: what @peer said of one service. @sent_ms is, here and there, the earliest time
 * on this host's clock at which it may have said so; 0 while that is not known.
 * @peer_gone: nothing more will be heard of @peer in this life.
 */
typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  Counters *counters;
  const char *host;
  const char *address;
  uint16_t port;
  void (*fill_heartbeat) (void *data, Pool__Beat *beat);
  void (*heartbeat_received) (void *data, const struct sockaddr_in *from, const Pool__Beat *beat,
                              int64_t sent_ms);
  void (*service_received) (void *data, uint64_t peer, const Pool__ServiceBeat *beat,
                            int64_t sent_ms);
  void (*peer_gone) (void *data, uint64_t peer);
  void *data;
} PeerMeshOptions;

/** peer_mesh_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
PeerMesh *peer_mesh_new (TALLOC_CTX *parent, const PeerMeshOptions *options, GError **error);

/** peer_mesh_add_hosts() - Hosts to talk to; holds &struct HostEntry. */
void peer_mesh_add_hosts (PeerMesh *mesh, const GArray *hosts);

/** peer_mesh_list_hosts() - Appends this host and those not given up, as &struct HostEntry. */
void peer_mesh_list_hosts (const PeerMesh *mesh, GArray *hosts);

/** peer_mesh_send_now() - Says now what is new. */
void peer_mesh_send_now (PeerMesh *mesh);

/** peer_mesh_round_ms() - Time in which each host is told, while nothing happens. */
int64_t peer_mesh_round_ms (const PeerMesh *mesh);

/** peer_mesh_leave() - Tells the others that this host ends. */
void peer_mesh_leave (PeerMesh *mesh);

/** peer_mesh_self_id() - How this host is named in beats. */
uint64_t peer_mesh_self_id (const PeerMesh *mesh);

/** peer_mesh_rank() - Hosts heard lately whose names come before this one's in beats. */
uint32_t peer_mesh_rank (const PeerMesh *mesh);

/** struct PeerState - Another host. @heard_ms: when it was last heard; 0 for never. */
typedef struct
{
  uint64_t id; /* 0 while it was never heard */
  int64_t heard_ms;
  int64_t known_ms;
} PeerState;

/** peer_mesh_foreach() - Calls @each for every host that has not been given up. */
void peer_mesh_foreach (const PeerMesh *mesh, void (*each) (void *data, const PeerState *peer),
                        void *data);

/** peer_mesh_name_hash() - Hash of a name in beats. */
uint32_t peer_mesh_name_hash (const char *name);
