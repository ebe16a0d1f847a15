#include "policy/membership.h"

#include <string.h>

#include <glib.h>

/* An update is sent this many times the logarithm of the number of hosts. */
#define TRANSMIT_FACTOR 3
/* Hosts that are dead or have left are forgotten after this time. */
#define FORGET_MS 1200000
/* One probe in this many may go to a host considered dead, to notice the end of a partition. */
#define DEAD_PROBE_PERIOD 5

typedef struct
{
  MemberUpdate record;
  int64_t since_ms;
  uint64_t config_version;
  uint32_t transmits_left;
} Member;

typedef struct
{
  GossipMessage message;
  Host to;
} Outgoing;

/* A probe sent on behalf of another host. */
typedef struct
{
  uint64_t own_sequence;
  uint64_t their_sequence;
  Host requester;
  int64_t expires_ms;
} IndirectProbe;

struct Membership
{
  MembershipOptions options;
  Member self;
  GPtrArray *members; /* Member*, others only */
  GHashTable *by_id;
  GQueue disseminating; /* Member*, updates that still have to be sent */
  GQueue outgoing;
  GArray *indirect_probes;
  GRand *random;
  uint64_t version;
  uint64_t sequence;
  uint32_t probe_cursor;
  uint32_t peer_cursor;
  uint32_t alive;
  uint32_t max_alive;
  int64_t next_probe_ms;
  Member *probed;
  uint64_t probed_sequence;
  int64_t probe_sent_ms;
  bool probe_acked;
  bool indirect_sent;
  bool has_recovered;
  Host recovered;
};

Membership *
membership_new (const MembershipOptions *options)
{
  Membership *membership = g_new0 (Membership, 1);

  membership->options = *options;
  membership->self.record.host = options->self;
  membership->self.record.host.id_hash = host_hash (options->self.id);
  membership->self.record.incarnation = options->incarnation;
  membership->self.record.state = MEMBER_ALIVE;
  membership->members = g_ptr_array_new_with_free_func (g_free);
  membership->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  membership->indirect_probes = g_array_new (false, false, sizeof (IndirectProbe));
  membership->random = g_rand_new_with_seed ((guint32) options->seed);
  g_queue_init (&membership->disseminating);
  g_queue_init (&membership->outgoing);
  membership->version = 1;
  return membership;
}

void
membership_free (Membership *membership)
{
  g_queue_clear (&membership->disseminating);
  g_queue_clear_full (&membership->outgoing, g_free);
  g_hash_table_destroy (membership->by_id);
  g_ptr_array_free (membership->members, true);
  g_array_free (membership->indirect_probes, true);
  g_rand_free (membership->random);
  g_free (membership);
}

static bool
state_is_live (MemberState state)
{
  return state == MEMBER_ALIVE || state == MEMBER_SUSPECT;
}

static uint32_t
transmit_count (const Membership *membership)
{
  return TRANSMIT_FACTOR * (uint32_t) g_bit_storage (membership->members->len + 1);
}

static void
disseminate (Membership *membership, Member *member)
{
  if (member->transmits_left == 0)
    g_queue_push_head (&membership->disseminating, member);
  member->transmits_left = transmit_count (membership);
}

static Member *
member_add (Membership *membership, const Host *host)
{
  Member *member = g_new0 (Member, 1);
  guint at;

  member->record.host = *host;
  member->record.host.id_hash = host_hash (host->id);
  member->record.state = MEMBER_CANDIDATE;
  g_ptr_array_add (membership->members, member);
  g_hash_table_insert (membership->by_id, member->record.host.id, member);
  // A random position prevents the hosts from probing in the same order.
  at = (guint) g_rand_int_range (membership->random, 0, (gint32) membership->members->len);
  membership->members->pdata[membership->members->len - 1] = membership->members->pdata[at];
  membership->members->pdata[at] = member;
  return member;
}

static void
member_set_state (Membership *membership, Member *member, MemberState state, int64_t now_ms)
{
  bool was_live = state_is_live (member->record.state);
  bool is_live = state_is_live (state);

  if (member->record.state != state)
    member->since_ms = now_ms;
  member->record.state = state;
  if (was_live != is_live)
    {
      membership->version++;
      membership->alive += is_live ? 1 : 0;
      membership->alive -= was_live ? 1 : 0;
    }
  if (is_live && membership->alive > membership->max_alive)
    membership->max_alive = membership->alive;
  // A host that announced its departure no longer counts towards the majority.
  if (state == MEMBER_LEFT && membership->max_alive > membership->alive)
    membership->max_alive--;
  disseminate (membership, member);
}

/* At equal incarnation the worse state wins, so that only the suspect can refute a suspicion. */
static bool
update_is_newer (const Member *member, const MemberUpdate *update)
{
  if (member->record.state == MEMBER_CANDIDATE)
    return true;
  if (update->incarnation != member->record.incarnation)
    return update->incarnation > member->record.incarnation;
  return update->state > member->record.state;
}

static void
refute (Membership *membership, const MemberUpdate *update)
{
  if (membership->self.record.state == MEMBER_LEFT)
    return;
  if (update->state == MEMBER_ALIVE || update->incarnation < membership->self.record.incarnation)
    return;
  membership->self.record.incarnation = update->incarnation + 1;
  disseminate (membership, &membership->self);
}

void
membership_apply (Membership *membership, const MemberUpdate *update, int64_t now_ms)
{
  Member *member;

  if (update->state == MEMBER_CANDIDATE || update->host.id[0] == '\0')
    return;
  if (strcmp (update->host.id, membership->options.self.id) == 0)
    {
      refute (membership, update);
      return;
    }
  member = g_hash_table_lookup (membership->by_id, update->host.id);
  if (member == NULL)
    {
      if (!state_is_live (update->state))
        return;
      member = member_add (membership, &update->host);
    }
  if (!update_is_newer (member, update))
    return;
  if (strcmp (member->record.host.address, update->host.address) != 0
      || member->record.host.link_port != update->host.link_port)
    membership->version++;
  member->record.host = update->host;
  member->record.host.id_hash = host_hash (update->host.id);
  member->record.incarnation = update->incarnation;
  member_set_state (membership, member, update->state, now_ms);
}

void
membership_seed (Membership *membership, const Host *host)
{
  if (strcmp (host->id, membership->options.self.id) == 0)
    return;
  if (g_hash_table_contains (membership->by_id, host->id))
    return;
  member_add (membership, host);
}

void
membership_set_config_version (Membership *membership, uint64_t version)
{
  membership->self.config_version = version;
}

static void
add_updates (Membership *membership, GossipMessage *message)
{
  guint available = g_queue_get_length (&membership->disseminating);

  while (message->update_count < MEMBERSHIP_UPDATES_MAX && available-- > 0)
    {
      Member *member = g_queue_pop_head (&membership->disseminating);

      message->updates[message->update_count++] = member->record;
      if (--member->transmits_left > 0)
        g_queue_push_tail (&membership->disseminating, member);
    }
}

static Outgoing *
send_message (Membership *membership, GossipKind kind, uint64_t sequence, const Host *to)
{
  Outgoing *outgoing = g_new0 (Outgoing, 1);

  outgoing->to = *to;
  outgoing->message.kind = kind;
  outgoing->message.sequence = sequence;
  outgoing->message.sender = membership->self.record;
  outgoing->message.config_version = membership->self.config_version;
  add_updates (membership, &outgoing->message);
  g_queue_push_tail (&membership->outgoing, outgoing);
  return outgoing;
}

bool
membership_next_message (Membership *membership, GossipMessage *message, Host *to)
{
  Outgoing *outgoing = g_queue_pop_head (&membership->outgoing);

  if (outgoing == NULL)
    return false;
  *message = outgoing->message;
  *to = outgoing->to;
  g_free (outgoing);
  return true;
}

void
membership_leave (Membership *membership)
{
  membership->self.record.state = MEMBER_LEFT;
  membership->self.record.incarnation++;
  membership->version++;
  disseminate (membership, &membership->self);
  // Announced to several hosts at once, not one per probe interval; they disseminate it further.
  for (guint i = 0; i < MIN (membership->members->len, 2 * MEMBERSHIP_UPDATES_MAX); i++)
    {
      Member *member = membership->members->pdata[i];

      if (state_is_live (member->record.state))
        send_message (membership, GOSSIP_PING, ++membership->sequence, &member->record.host);
    }
}

static bool
wants_probe (const Membership *membership, const Member *member, bool include_dead)
{
  switch (member->record.state)
    {
    case MEMBER_ALIVE:
    case MEMBER_SUSPECT:
    case MEMBER_CANDIDATE:
      return true;
    case MEMBER_DEAD:
      return include_dead;
    case MEMBER_LEFT:
      break;
    }
  return false;
}

static Member *
pick_probe_target (Membership *membership)
{
  guint count = membership->members->len;
  bool include_dead = membership->sequence % DEAD_PROBE_PERIOD == 0;

  for (guint i = 0; i < count; i++)
    {
      Member *member = membership->members->pdata[membership->probe_cursor++ % count];

      if (wants_probe (membership, member, include_dead))
        return member;
    }
  return NULL;
}

static void
start_probe (Membership *membership, int64_t now_ms)
{
  membership->next_probe_ms = now_ms + membership->options.probe_interval_ms;
  membership->probed = pick_probe_target (membership);
  if (membership->probed == NULL)
    return;
  membership->probed_sequence = ++membership->sequence;
  membership->probe_sent_ms = now_ms;
  membership->probe_acked = false;
  membership->indirect_sent = false;
  send_message (membership, GOSSIP_PING, membership->probed_sequence,
                &membership->probed->record.host);
}

bool
membership_random_peer (Membership *membership, Host *peer)
{
  guint count = membership->members->len;
  guint start = count == 0 ? 0 : (guint) g_rand_int_range (membership->random, 0, (gint32) count);

  for (guint i = 0; i < count; i++)
    {
      const Member *member = membership->members->pdata[(start + i) % count];

      if (member->record.state != MEMBER_ALIVE)
        continue;
      *peer = member->record.host;
      return true;
    }
  return false;
}

static void
send_indirect_probes (Membership *membership)
{
  membership->indirect_sent = true;
  for (uint32_t i = 0; i < membership->options.indirect_probes; i++)
    {
      Host helper;
      Outgoing *outgoing;

      if (!membership_random_peer (membership, &helper))
        return;
      if (strcmp (helper.id, membership->probed->record.host.id) == 0)
        continue;
      outgoing
          = send_message (membership, GOSSIP_PING_REQUEST, membership->probed_sequence, &helper);
      outgoing->message.target = membership->probed->record.host;
    }
}

static void
check_probe (Membership *membership, int64_t now_ms)
{
  Member *probed = membership->probed;

  if (probed == NULL || membership->probe_acked)
    return;
  if (!membership->indirect_sent
      && now_ms - membership->probe_sent_ms >= membership->options.probe_timeout_ms)
    send_indirect_probes (membership);
  if (now_ms < membership->next_probe_ms)
    return;
  if (probed->record.state == MEMBER_ALIVE)
    member_set_state (membership, probed, MEMBER_SUSPECT, now_ms);
}

static void
member_forget (Membership *membership, guint index)
{
  Member *member = membership->members->pdata[index];

  if (member->record.state == MEMBER_DEAD && membership->max_alive > membership->alive)
    membership->max_alive--;
  if (member->transmits_left > 0)
    g_queue_remove (&membership->disseminating, member);
  if (membership->probed == member)
    membership->probed = NULL;
  g_hash_table_remove (membership->by_id, member->record.host.id);
  g_ptr_array_remove_index_fast (membership->members, index);
}

static void
time_out_members (Membership *membership, int64_t now_ms)
{
  for (guint i = membership->members->len; i-- > 0;)
    {
      Member *member = membership->members->pdata[i];
      int64_t in_state_ms = now_ms - member->since_ms;
      MemberState state = member->record.state;

      if (state == MEMBER_SUSPECT && in_state_ms >= membership->options.suspect_ms)
        member_set_state (membership, member, MEMBER_DEAD, now_ms);
      else if ((state == MEMBER_DEAD || state == MEMBER_LEFT) && in_state_ms >= FORGET_MS)
        member_forget (membership, i);
    }
}

static void
expire_indirect_probes (Membership *membership, int64_t now_ms)
{
  for (guint i = membership->indirect_probes->len; i-- > 0;)
    if (g_array_index (membership->indirect_probes, IndirectProbe, i).expires_ms <= now_ms)
      g_array_remove_index_fast (membership->indirect_probes, i);
}

void
membership_tick (Membership *membership, int64_t now_ms)
{
  check_probe (membership, now_ms);
  if (now_ms < membership->next_probe_ms)
    return;
  time_out_members (membership, now_ms);
  expire_indirect_probes (membership, now_ms);
  start_probe (membership, now_ms);
}

static void
receive_ack (Membership *membership, const GossipMessage *message)
{
  if (message->sequence == membership->probed_sequence)
    membership->probe_acked = true;
  for (guint i = 0; i < membership->indirect_probes->len; i++)
    {
      const IndirectProbe *probe = &g_array_index (membership->indirect_probes, IndirectProbe, i);

      if (probe->own_sequence != message->sequence)
        continue;
      send_message (membership, GOSSIP_ACK, probe->their_sequence, &probe->requester);
      g_array_remove_index_fast (membership->indirect_probes, i);
      return;
    }
}

static void
start_indirect_probe (Membership *membership, const GossipMessage *message, int64_t now_ms)
{
  IndirectProbe probe = {
    .own_sequence = ++membership->sequence,
    .their_sequence = message->sequence,
    .requester = message->sender.host,
    .expires_ms = now_ms + membership->options.probe_interval_ms,
  };

  g_array_append_val (membership->indirect_probes, probe);
  send_message (membership, GOSSIP_PING, probe.own_sequence, &message->target);
}

/* A host that is suspect or considered dead must learn of it to refute it. */
static void
add_state_update (Membership *membership, const Member *member, Outgoing *outgoing)
{
  GossipMessage *message = &outgoing->message;

  if (member->record.state != MEMBER_SUSPECT && member->record.state != MEMBER_DEAD)
    return;
  if (message->update_count == MEMBERSHIP_UPDATES_MAX)
    message->update_count--;
  message->updates[message->update_count++] = member->record;
}

void
membership_receive (Membership *membership, const GossipMessage *message, int64_t now_ms)
{
  Member *sender = g_hash_table_lookup (membership->by_id, message->sender.host.id);
  bool was_dead = sender != NULL && sender->record.state == MEMBER_DEAD;
  Outgoing *ack;

  membership_apply (membership, &message->sender, now_ms);
  for (uint32_t i = 0; i < message->update_count; i++)
    membership_apply (membership, &message->updates[i], now_ms);
  sender = g_hash_table_lookup (membership->by_id, message->sender.host.id);
  if (was_dead && state_is_live (sender->record.state))
    {
      membership->has_recovered = true;
      membership->recovered = sender->record.host;
    }
  if (sender != NULL)
    sender->config_version = MAX (sender->config_version, message->config_version);

  switch (message->kind)
    {
    case GOSSIP_PING:
      ack = send_message (membership, GOSSIP_ACK, message->sequence, &message->sender.host);
      if (sender != NULL)
        add_state_update (membership, sender, ack);
      return;
    case GOSSIP_ACK:
      receive_ack (membership, message);
      return;
    case GOSSIP_PING_REQUEST:
      start_indirect_probe (membership, message, now_ms);
      return;
    }
}

uint64_t
membership_version (const Membership *membership)
{
  return membership->version;
}

HostView *
membership_view (const Membership *membership)
{
  HostView *view = g_malloc0 (sizeof (HostView) + (membership->alive + 1) * sizeof (Host));

  view->version = membership->version;
  if (membership->self.record.state == MEMBER_ALIVE)
    view->hosts[view->count++] = membership->self.record.host;
  for (guint i = 0; i < membership->members->len; i++)
    {
      const Member *member = membership->members->pdata[i];

      if (state_is_live (member->record.state))
        view->hosts[view->count++] = member->record.host;
    }
  host_view_sort (view);
  return view;
}

uint32_t
membership_count (const Membership *membership)
{
  return membership->members->len + 1;
}

MemberUpdate
membership_get (const Membership *membership, uint32_t index)
{
  const Member *member;

  if (index == 0)
    return membership->self.record;
  member = membership->members->pdata[index - 1];
  return member->record;
}

MemberState
membership_state_of (const Membership *membership, const char *id)
{
  const Member *member = g_hash_table_lookup (membership->by_id, id);

  if (strcmp (id, membership->options.self.id) == 0)
    return membership->self.record.state;
  return member == NULL ? MEMBER_DEAD : member->record.state;
}

bool
membership_peer_with_newer_config (Membership *membership, uint64_t version, Host *peer)
{
  guint count = membership->members->len;

  for (guint i = 0; i < count; i++)
    {
      const Member *member = membership->members->pdata[membership->peer_cursor++ % count];

      if (member->config_version <= version || !state_is_live (member->record.state))
        continue;
      *peer = member->record.host;
      return true;
    }
  return false;
}

bool
membership_take_recovered_peer (Membership *membership, Host *peer)
{
  if (!membership->has_recovered)
    return false;
  membership->has_recovered = false;
  *peer = membership->recovered;
  return true;
}

bool
membership_reaches_majority (const Membership *membership)
{
  return (membership->alive + 1) * 2 > membership->max_alive + 1;
}

const char *
membership_state_name (MemberState state)
{
  static const char *const names[] = {
    [MEMBER_CANDIDATE] = "candidate", [MEMBER_ALIVE] = "alive", [MEMBER_SUSPECT] = "suspect",
    [MEMBER_DEAD] = "dead",           [MEMBER_LEFT] = "left",
  };

  return names[state];
}
