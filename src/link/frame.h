/**
 * DOC: Frames exchanged by daemons: heap-allocated protobuf-c messages, sent with a
 * length prefix, and membership datagrams.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "link/peer.pb-c.h"
#include "policy/membership.h"
#include "policy/session-token.h"

/** Size limit of a received frame, in bytes. */
#define FRAME_LIMIT_BYTES (20u * 1024 * 1024)

typedef Peridotstep__Frame Frame;

/** enum FrameLane - Send queues of a link, in order of priority. */
typedef enum
{
  FRAME_LANE_CONTROL,
  FRAME_LANE_URGENT,
  FRAME_LANE_NORMAL,
  FRAME_LANE_BACKGROUND,
  FRAME_LANE_COUNT
} FrameLane;

/** frame_new() - New frame with an initialised, empty message of the type @body. */
Frame *frame_new (Peridotstep__Frame__BodyCase body);

/** frame_free() - Frees a frame and its message; %NULL is allowed. */
void frame_free (Frame *frame);

/** frame_clone() - Deep copy. */
Frame *frame_clone (const Frame *frame);

/** frame_service() - Service name of a frame sent to an instance owner; %NULL for other frames. */
const char *frame_service (const Frame *frame);

/** frame_pack() - Serialises a frame, with its length prefix. */
GBytes *frame_pack (const Frame *frame);

/** enum FrameReadResult - Result of reading a frame from a buffer. */
typedef enum
{
  FRAME_INCOMPLETE,
  FRAME_COMPLETE,
  FRAME_MALFORMED
} FrameReadResult;

/** frame_read() - Decodes a frame from the start of the input; @used is set to its size. */
FrameReadResult frame_read (const uint8_t *input, size_t length, Frame **frame, size_t *used);

/** frame_token_new() - Encodes a token; the frame that it is put into owns it. */
Peridotstep__Token *frame_token_new (SessionToken token);

/** frame_token() - Decodes a token; %NULL decodes to the empty token. */
SessionToken frame_token (const Peridotstep__Token *message);

/** frame_member_update_new() - Encodes a member state; the frame that it is put into owns it. */
Peridotstep__MemberBelief *frame_member_update_new (const MemberUpdate *update);

/** frame_member_update() - Decodes a member state; false if it is malformed. */
bool frame_member_update (const Peridotstep__MemberBelief *message, MemberUpdate *update);

/** frame_host_new() - Encodes a host; the frame that it is put into owns it. */
Peridotstep__HostInfo *frame_host_new (const Host *host);

/** gossip_pack() - Serialises a membership datagram. */
GBytes *gossip_pack (const GossipMessage *message);

/** gossip_unpack() - Decodes a membership datagram; false if it is malformed. */
bool gossip_unpack (const uint8_t *bytes, size_t length, GossipMessage *message);
