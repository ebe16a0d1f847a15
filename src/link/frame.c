#include "link/frame.h"

#include <stdlib.h>
#include <string.h>

#define PREFIX_BYTES 4

/* protobuf-c frees messages with free(), so they are allocated with malloc(). */
#define MESSAGE_NEW(type, init, pointer)                                                           \
  G_STMT_START                                                                                     \
  {                                                                                                \
    (pointer) = malloc (sizeof (type));                                                            \
    init (pointer);                                                                                \
  }                                                                                                \
  G_STMT_END

Frame *
frame_new (Peridotstep__Frame__BodyCase body)
{
  Frame *frame;

  MESSAGE_NEW (Frame, peridotstep__frame__init, frame);
  frame->body_case = body;
  switch (body)
    {
    case PERIDOTSTEP__FRAME__BODY_EXECUTE:
      MESSAGE_NEW (Peridotstep__Execute, peridotstep__execute__init, frame->execute);
      break;
    case PERIDOTSTEP__FRAME__BODY_CREDIT:
      MESSAGE_NEW (Peridotstep__Credit, peridotstep__credit__init, frame->credit);
      break;
    case PERIDOTSTEP__FRAME__BODY_CANCEL:
      MESSAGE_NEW (Peridotstep__Cancel, peridotstep__cancel__init, frame->cancel);
      break;
    case PERIDOTSTEP__FRAME__BODY_DATA:
      MESSAGE_NEW (Peridotstep__Data, peridotstep__data__init, frame->data);
      break;
    case PERIDOTSTEP__FRAME__BODY_DONE:
      MESSAGE_NEW (Peridotstep__Done, peridotstep__done__init, frame->done);
      break;
    case PERIDOTSTEP__FRAME__BODY_SESSION_END:
      MESSAGE_NEW (Peridotstep__SessionEnd, peridotstep__session_end__init, frame->session_end);
      break;
    case PERIDOTSTEP__FRAME__BODY_CALLER_CANCEL:
      MESSAGE_NEW (Peridotstep__CallerCancel, peridotstep__caller_cancel__init,
                   frame->caller_cancel);
      break;
    case PERIDOTSTEP__FRAME__BODY_CONFIG_REQUEST:
      MESSAGE_NEW (Peridotstep__ConfigRequest, peridotstep__config_request__init,
                   frame->config_request);
      break;
    case PERIDOTSTEP__FRAME__BODY_CONFIG_PART:
      MESSAGE_NEW (Peridotstep__ConfigPart, peridotstep__config_part__init, frame->config_part);
      break;
    case PERIDOTSTEP__FRAME__BODY_MEMBER_EXCHANGE:
      MESSAGE_NEW (Peridotstep__MemberExchange, peridotstep__member_exchange__init,
                   frame->member_exchange);
      break;
    case PERIDOTSTEP__FRAME__BODY_HEARTBEAT:
      MESSAGE_NEW (Peridotstep__Heartbeat, peridotstep__heartbeat__init, frame->heartbeat);
      break;
    default:
      g_assert_not_reached ();
    }
  return frame;
}

void
frame_free (Frame *frame)
{
  if (frame != NULL)
    peridotstep__frame__free_unpacked (frame, NULL);
}

Frame *
frame_clone (const Frame *frame)
{
  size_t size = peridotstep__frame__get_packed_size (frame);
  uint8_t *packed = g_malloc (size + 1);
  Frame *copy;

  peridotstep__frame__pack (frame, packed);
  copy = peridotstep__frame__unpack (NULL, size, packed);
  g_free (packed);
  return copy;
}

const char *
frame_service (const Frame *frame)
{
  switch (frame->body_case)
    {
    case PERIDOTSTEP__FRAME__BODY_EXECUTE:
      return frame->execute->service;
    case PERIDOTSTEP__FRAME__BODY_CREDIT:
      return frame->credit->service;
    case PERIDOTSTEP__FRAME__BODY_CANCEL:
      return frame->cancel->service;
    case PERIDOTSTEP__FRAME__BODY_SESSION_END:
      return frame->session_end->service;
    default:
      return NULL;
    }
}

GBytes *
frame_pack (const Frame *frame)
{
  size_t size = peridotstep__frame__get_packed_size (frame);
  uint8_t *bytes = g_malloc (size + PREFIX_BYTES);
  uint32_t prefix = g_htonl ((uint32_t) size);

  memcpy (bytes, &prefix, PREFIX_BYTES);
  peridotstep__frame__pack (frame, bytes + PREFIX_BYTES);
  return g_bytes_new_take (bytes, size + PREFIX_BYTES);
}

FrameReadResult
frame_read (const uint8_t *input, size_t length, Frame **frame, size_t *used)
{
  uint32_t size;

  if (length < PREFIX_BYTES)
    return FRAME_INCOMPLETE;
  memcpy (&size, input, PREFIX_BYTES);
  size = g_ntohl (size);
  if (size > FRAME_LIMIT_BYTES)
    return FRAME_MALFORMED;
  if (length < (size_t) size + PREFIX_BYTES)
    return FRAME_INCOMPLETE;
  *frame = peridotstep__frame__unpack (NULL, size, input + PREFIX_BYTES);
  if (*frame == NULL)
    return FRAME_MALFORMED;
  *used = (size_t) size + PREFIX_BYTES;
  return FRAME_COMPLETE;
}

Peridotstep__Token *
frame_token_new (SessionToken token)
{
  Peridotstep__Token *message;

  MESSAGE_NEW (Peridotstep__Token, peridotstep__token__init, message);
  message->term = token.term;
  message->position = token.position;
  return message;
}

SessionToken
frame_token (const Peridotstep__Token *message)
{
  SessionToken token = { 0, 0 };

  if (message == NULL)
    return token;
  token.term = message->term;
  token.position = message->position;
  return token;
}

Peridotstep__HostInfo *
frame_host_new (const Host *host)
{
  Peridotstep__HostInfo *message;

  MESSAGE_NEW (Peridotstep__HostInfo, peridotstep__host_info__init, message);
  message->id = strdup (host->id);
  message->failure_domain = strdup (host->failure_domain);
  message->region = strdup (host->region);
  message->address = strdup (host->address);
  message->link_port = host->link_port;
  message->gossip_port = host->gossip_port;
  return message;
}

static bool
copy_name (char *into, const char *from)
{
  return g_strlcpy (into, from, NAME_BYTES) < NAME_BYTES;
}

static bool
decode_host_info (const Peridotstep__HostInfo *message, Host *host)
{
  memset (host, 0, sizeof *host);
  if (message == NULL || message->id[0] == '\0')
    return false;
  host->link_port = (uint16_t) message->link_port;
  host->gossip_port = (uint16_t) message->gossip_port;
  host->id_hash = host_hash (message->id);
  return copy_name (host->id, message->id)
         && copy_name (host->failure_domain, message->failure_domain)
         && copy_name (host->region, message->region)
         && copy_name (host->address, message->address);
}

Peridotstep__MemberBelief *
frame_member_update_new (const MemberUpdate *update)
{
  Peridotstep__MemberBelief *message;

  MESSAGE_NEW (Peridotstep__MemberBelief, peridotstep__member_belief__init, message);
  message->host = frame_host_new (&update->host);
  message->incarnation = update->incarnation;
  message->state = update->state;
  return message;
}

bool
frame_member_update (const Peridotstep__MemberBelief *message, MemberUpdate *update)
{
  if (message == NULL || message->state > MEMBER_LEFT)
    return false;
  update->incarnation = message->incarnation;
  update->state = (MemberState) message->state;
  return decode_host_info (message->host, &update->host);
}

GBytes *
gossip_pack (const GossipMessage *message)
{
  Peridotstep__Gossip packet = PERIDOTSTEP__GOSSIP__INIT;
  Peridotstep__MemberBelief *updates[MEMBERSHIP_UPDATES_MAX];
  size_t size;
  uint8_t *bytes;

  packet.kind = message->kind;
  packet.sequence = message->sequence;
  packet.config_version = message->config_version;
  packet.config_read_age = message->config_read_age;
  packet.sender = frame_member_update_new (&message->sender);
  if (message->kind == GOSSIP_PING_REQUEST)
    packet.target = frame_host_new (&message->target);
  for (uint32_t i = 0; i < message->update_count; i++)
    updates[i] = frame_member_update_new (&message->updates[i]);
  packet.n_updates = message->update_count;
  packet.updates = updates;

  size = peridotstep__gossip__get_packed_size (&packet);
  bytes = g_malloc (size);
  peridotstep__gossip__pack (&packet, bytes);

  peridotstep__member_belief__free_unpacked (packet.sender, NULL);
  if (packet.target != NULL)
    peridotstep__host_info__free_unpacked (packet.target, NULL);
  for (uint32_t i = 0; i < message->update_count; i++)
    peridotstep__member_belief__free_unpacked (updates[i], NULL);
  return g_bytes_new_take (bytes, size);
}

static bool
decode_gossip (const Peridotstep__Gossip *packet, GossipMessage *message)
{
  memset (message, 0, sizeof *message);
  if (packet->kind > GOSSIP_PING_REQUEST || packet->n_updates > MEMBERSHIP_UPDATES_MAX)
    return false;
  message->kind = (GossipKind) packet->kind;
  message->sequence = packet->sequence;
  message->config_version = packet->config_version;
  message->config_read_age = packet->config_read_age;
  if (!frame_member_update (packet->sender, &message->sender))
    return false;
  if (message->kind == GOSSIP_PING_REQUEST && !decode_host_info (packet->target, &message->target))
    return false;
  message->update_count = (uint32_t) packet->n_updates;
  for (size_t i = 0; i < packet->n_updates; i++)
    if (!frame_member_update (packet->updates[i], &message->updates[i]))
      return false;
  return true;
}

bool
gossip_unpack (const uint8_t *bytes, size_t length, GossipMessage *message)
{
  Peridotstep__Gossip *packet = peridotstep__gossip__unpack (NULL, length, bytes);
  bool valid;

  if (packet == NULL)
    return false;
  valid = decode_gossip (packet, message);
  peridotstep__gossip__free_unpacked (packet, NULL);
  return valid;
}
