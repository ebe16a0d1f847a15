/**
 * DOC: Frames between daemons: heap-allocated protobuf-c messages with a length prefix.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "link/peer.pb-c.h"
#include "policy/membership.h"
#include "policy/session-token.h"

/** Largest frame accepted, in bytes. */
#define FRAME_LIMIT_BYTES (20u * 1024 * 1024)

typedef Peridotstep__Frame Frame;

/** enum FrameLane - Send queues of a link, first served first. */
typedef enum
{
  FRAME_LANE_CONTROL,
  FRAME_LANE_URGENT,
  FRAME_LANE_NORMAL,
  FRAME_LANE_BACKGROUND,
  FRAME_LANE_COUNT
} FrameLane;

/** frame_new() - Empty frame of @body; its message is there and initialised. */
Frame *frame_new (Peridotstep__Frame__BodyCase body);

/** frame_free() - Frees a frame with all that it holds. */
void frame_free (Frame *frame);

/** frame_clone() - Deep copy. */
Frame *frame_clone (const Frame *frame);

/** frame_service() - Service of a frame for an owner; %NULL for other frames. */
const char *frame_service (const Frame *frame);

/** frame_pack() - The frame with its length prefix. */
GBytes *frame_pack (const Frame *frame);

/** enum FrameReadResult - Result of looking for a frame. */
typedef enum
{
  FRAME_INCOMPLETE,
  FRAME_COMPLETE,
  FRAME_MALFORMED
} FrameReadResult;

/** frame_read() - Reads a frame from the start of the input; @used is what to consume. */
FrameReadResult frame_read (const uint8_t *input, size_t length, Frame **frame, size_t *used);

/** frame_token_new() - Token message; owned by the frame it is put into. */
Peridotstep__Token *frame_token_new (SessionToken token);

/** frame_token() - Token of a message; the empty token for %NULL. */
SessionToken frame_token (const Peridotstep__Token *message);

/** frame_member_update_new() - Belief message; owned by the frame it is put into. */
Peridotstep__MemberBelief *frame_member_update_new (const MemberUpdate *update);

/** frame_member_update() - Reads a belief; false when it is malformed. */
bool frame_member_update (const Peridotstep__MemberBelief *message, MemberUpdate *update);

/** frame_host_new() - Host message; owned by the frame it is put into. */
Peridotstep__HostInfo *frame_host_new (const Host *host);

/** gossip_pack() - A membership datagram. */
GBytes *gossip_pack (const GossipMessage *message);

/** gossip_unpack() - Reads a datagram; false when it is malformed. */
bool gossip_unpack (const uint8_t *bytes, size_t length, GossipMessage *message);
