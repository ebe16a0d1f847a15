/**
 * DOC: A link between two daemons: frames over TCP, one send queue per lane so that a bulky
 * answer never delays an urgent one, heartbeats, and an emulated network for demos.
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

/** struct RegionLink - Emulated capacity between two regions, shared by all links across. */
typedef struct
{
  _Atomic int64_t free_us;     /* when the pipe has sent all that was put in */
  _Atomic uint64_t sent_bytes; /* total carried */
  uint32_t bytes_per_s;        /* 0 for no limit */
} RegionLink;

/**
 * struct PeerLinkOptions - A new link. The callbacks may free the link.
 * @frame: a frame came in; the callee owns it.
 * @closed: the other end is gone or silent.
 * @hello: the opener said where it stands; %NULL if that is of no interest.
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

/** peer_link_new() - Takes over the connected or connecting socket @options->fd. */
PeerLink *peer_link_new (TALLOC_CTX *parent, struct tevent_context *events,
                         const PeerLinkOptions *options);

/** peer_link_emulate() - Delays what this end sends, and sends it through @pipe or %NULL. */
void peer_link_emulate (PeerLink *link, int64_t delay_us, RegionLink *pipe);

/** peer_link_send_hello() - Tells the other end who opened the link. */
void peer_link_send_hello (PeerLink *link, const Host *self);

/** peer_link_send() - Queues @frame on @lane and owns it. */
void peer_link_send (PeerLink *link, Frame *frame, FrameLane lane);

/** peer_link_queued_bytes() - Bytes waiting on @lane. */
uint64_t peer_link_queued_bytes (const PeerLink *link, FrameLane lane);
