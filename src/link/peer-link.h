/**
 * DOC: A link between two daemons: frames over TCP, one send queue per priority lane so that a
 * large response never delays an urgent one, heartbeats, and an emulated network for demos.
 */
#pragma once

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/counters.h"
#include "link/frame.h"

typedef struct PeerLink PeerLink;

/** struct RegionLink - Emulated bandwidth between two regions, shared by all links between them. */
typedef struct
{
  _Atomic int64_t idle_at_us;  /* when all data accepted so far will be sent */
  _Atomic uint64_t sent_bytes; /* total bytes sent */
  uint32_t bytes_per_s;        /* 0 for no limit */
} RegionLink;

/**
 * struct PeerLinkOptions - Options of a link. The callbacks may free the link.
 * @frame: called for each received frame, which the callee owns.
 * @closed: the peer closed the connection, sent a malformed frame or stopped responding.
 * @hello: the peer sent its failure domain and region after it opened the link; may be %NULL.
 */
typedef struct
{
  int fd;
  Counters *counters;
  void (*frame) (void *data, PeerLink *link, Frame *frame);
  void (*closed) (void *data, PeerLink *link);
  void (*hello) (void *data, PeerLink *link, const char *failure_domain, const char *region);
  void *data;
} PeerLinkOptions;

/**
 * peer_link_new() - Creates a link; takes ownership of the connected or connecting socket
 * @options->fd.
 */
PeerLink *peer_link_new (TALLOC_CTX *parent, struct tevent_context *events,
                         const PeerLinkOptions *options);

/**
 * peer_link_emulate() - Emulates a network: delays sent frames by @delay_us and limits them to the
 * bandwidth of @region_link, unless %NULL.
 */
void peer_link_emulate (PeerLink *link, int64_t delay_us, RegionLink *region_link);

/** peer_link_send_hello() - Sends the identity of this host to the peer. */
void peer_link_send_hello (PeerLink *link, const Host *self);

/** peer_link_send() - Queues @frame on @lane; takes ownership of it. */
void peer_link_send (PeerLink *link, Frame *frame, FrameLane lane);

/** peer_link_queued_bytes() - Bytes queued on @lane. */
uint64_t peer_link_queued_bytes (const PeerLink *link, FrameLane lane);
