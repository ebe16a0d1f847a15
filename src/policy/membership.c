#include "policy/membership.h"

#include <string.h>

#include <glib.h>

/* An update is sent this many times the logarithm of the fleet's size. */
#define SPREAD_FACTOR 3
/* Dead hosts are forgotten after this time, left ones too. */
#define FORGET_MS 1200000
/* Every so many probes go to a host believed dead, so that a healed partition is noticed. */
#define DEAD_PROBE_EVERY 5

typedef struct
{
  MemberUpdate belief;
  int64_t since_ms;
  uint64_t config_version;
  uint32_t spread_left;
} Member;

typedef struct
{
  GossipMessage message;
  Host to;
} Outgoing;

/* A probe that this host makes for another. */
typedef struct
{
  uint64_t own_sequence;
  uint64_t their_sequence;
  Host asker;
  int64_t expires_ms;
} RelayedProbe;

struct Membership
{
  MembershipOptions options;
  Member self;
  GPtrArray *members; /* Member*, others only */
  GHashTable *by_id;
  GQueue spreading; /* Member*, updates that still have to be sent */
  GQueue outgoing;
  GArray *relayed;
  GRand *random;
  uint64_t version;
  uint64_t sequence;
  uint32_t probe_cursor;
  uint32_t peer_cursor;
  uint32_t alive;
  uint32_t once_alive;
  int64_t next_probe_ms;
  Member *probed;
  uint64_t probed_sequence;
  int64_t probe_sent_ms;
  bool probe_acked;
  bool indirect_sent;
  bool has_returned;
  Host returned;
};

Membership *
membership_new (const MembershipOptions *options)
{
  Membership *membership = g_new0 (Membership, 1);

  membership->options = *options;
  membership->self.belief.host = options->self;
  membership->self.belief.host.id_hash = host_hash (options->self.id);
  membership->self.belief.incarnation = options->incarnation;
  membership->self.belief.state = MEMBER_ALIVE;
  membership->members = g_ptr_array_new_with_free_func (g_free);
  membership->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  membership->relayed = g_array_new (false, false, sizeof (RelayedProbe));
  membership->random = g_rand_new_with_seed ((guint32) options->seed);
  g_queue_init (&membership->spreading);
  g_queue_init (&membership->outgoing);
  membership->version = 1;
  return membership;
}

void
membership_free (Membership *membership)
{
  g_queue_clear (&membership->spreading);
  g_queue_clear_full (&membership->outgoing, g_free);
  g_hash_table_destroy (membership->by_id);
  g_ptr_array_free (membership->members, true);
  g_array_free (membership->relayed, true);
  g_rand_free (membership->random);
  g_free (membership);
}

static bool
state_is_live (MemberState state)
{
  return state == MEMBER_ALIVE || state == MEMBER_SUSPECT;
}

static uint32_t
spread_count (const Membership *membership)
{
  return SPREAD_FACTOR * (uint32_t) g_bit_storage (membership->members->len + 1);
}

static void
spread (Membership *membership, Member *member)
{
  if (member->spread_left == 0)
    g_queue_push_head (&membership->spreading, member);
  member->spread_left = spread_count (membership);
}

static Member *
member_add (Membership *membership, const Host *host)
{
  Member *member = g_new0 (Member, 1);
  guint at;

  member->belief.host = *host;
  member->belief.host.id_hash = host_hash (host->id);
  member->belief.state = MEMBER_CANDIDATE;
  g_ptr_array_add (membership->members, member);
  g_hash_table_insert (membership->by_id, member->belief.host.id, member);
  // A random place keeps the hosts from probing in step with each other.
  at = (guint) g_rand_int_range (membership->random, 0, (gint32) membership->members->len);
  membership->members->pdata[membership->members->len - 1] = membership->members->pdata[at];
  membership->members->pdata[at] = member;
  return member;
}

static void
member_set_state (Membership *membership, Member *member, MemberState state, int64_t now_ms)
{
  bool was_live = state_is_live (member->belief.state);
  bool is_live = state_is_live (state);

  if (member->belief.state != state)
    member->since_ms = now_ms;
  member->belief.state = state;
  if (was_live != is_live)
    {
      membership->version++;
      membership->alive += is_live ? 1 : 0;
      membership->alive -= was_live ? 1 : 0;
    }
  if (is_live && membership->alive > membership->once_alive)
    membership->once_alive = membership->alive;
  // A host that said good-bye no longer counts among those to be reached.
  if (state == MEMBER_LEFT && membership->once_alive > membership->alive)
    membership->once_alive--;
  spread (membership, member);
}

/* At equal incarnation the worse belief wins, so that a suspicion can only be refuted. */
static bool
update_is_newer (const Member *member, const MemberUpdate *update)
{
  if (member->belief.state == MEMBER_CANDIDATE)
    return true;
  if (update->incarnation != member->belief.incarnation)
    return update->incarnation > member->belief.incarnation;
  return update->state > member->belief.state;
}

static void
refute (Membership *membership, const MemberUpdate *update)
{
  if (membership->self.belief.state == MEMBER_LEFT)
    return;
  if (update->state == MEMBER_ALIVE || update->incarnation < membership->self.belief.incarnation)
    return;
  membership->self.belief.incarnation = update->incarnation + 1;
  spread (membership, &membership->self);
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
  if (strcmp (member->belief.host.address, update->host.address) != 0
      || member->belief.host.link_port != update->host.link_port)
    membership->version++;
  member->belief.host = update->host;
  member->belief.host.id_hash = host_hash (update->host.id);
  member->belief.incarnation = update->incarnation;
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
take_updates (Membership *membership, GossipMessage *message)
{
  guint available = g_queue_get_length (&membership->spreading);

  while (message->update_count < MEMBERSHIP_UPDATES_MAX && available-- > 0)
    {
      Member *member = g_queue_pop_head (&membership->spreading);

      message->updates[message->update_count++] = member->belief;
      if (--member->spread_left > 0)
        g_queue_push_tail (&membership->spreading, member);
    }
}

static Outgoing *
send_message (Membership *membership, GossipKind kind, uint64_t sequence, const Host *to)
{
  Outgoing *outgoing = g_new0 (Outgoing, 1);

  outgoing->to = *to;
  outgoing->message.kind = kind;
  outgoing->message.sequence = sequence;
  outgoing->message.sender = membership->self.belief;
  outgoing->message.config_version = membership->self.config_version;
  take_updates (membership, &outgoing->message);
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
  membership->self.belief.state = MEMBER_LEFT;
  membership->self.belief.incarnation++;
  membership->version++;
  spread (membership, &membership->self);
  // Told at once to as many as one would probe in a while; they spread it on.
  for (guint i = 0; i < MIN (membership->members->len, 2 * MEMBERSHIP_UPDATES_MAX); i++)
    {
      Member *member = membership->members->pdata[i];

      if (state_is_live (member->belief.state))
        send_message (membership, GOSSIP_PING, ++membership->sequence, &member->belief.host);
    }
}

static bool
wants_probe (const Membership *membership, const Member *member, bool dead_turn)
{
  switch (member->belief.state)
    {
    case MEMBER_ALIVE:
    case MEMBER_SUSPECT:
    case MEMBER_CANDIDATE:
      return true;
    case MEMBER_DEAD:
      return dead_turn;
    case MEMBER_LEFT:
      break;
    }
  return false;
}

static Member *
pick_probe_target (Membership *membership)
{
  guint count = membership->members->len;
  bool dead_turn = membership->sequence % DEAD_PROBE_EVERY == 0;

  for (guint i = 0; i < count; i++)
    {
      Member *member = membership->members->pdata[membership->probe_cursor++ % count];

      if (wants_probe (membership, member, dead_turn))
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
                &membership->probed->belief.host);
}

bool
membership_random_peer (Membership *membership, Host *peer)
{
  guint count = membership->members->len;
  guint start = count == 0 ? 0 : (guint) g_rand_int_range (membership->random, 0, (gint32) count);

  for (guint i = 0; i < count; i++)
    {
      const Member *member = membership->members->pdata[(start + i) % count];

      if (member->belief.state != MEMBER_ALIVE)
        continue;
      *peer = member->belief.host;
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
      if (strcmp (helper.id, membership->probed->belief.host.id) == 0)
        continue;
      outgoing
          = send_message (membership, GOSSIP_PING_REQUEST, membership->probed_sequence, &helper);
      outgoing->message.target = membership->probed->belief.host;
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
  if (probed->belief.state == MEMBER_ALIVE)
    member_set_state (membership, probed, MEMBER_SUSPECT, now_ms);
}

static void
member_forget (Membership *membership, guint index)
{
  Member *member = membership->members->pdata[index];

  if (member->belief.state == MEMBER_DEAD && membership->once_alive > membership->alive)
    membership->once_alive--;
  if (member->spread_left > 0)
    g_queue_remove (&membership->spreading, member);
  if (membership->probed == member)
    membership->probed = NULL;
  g_hash_table_remove (membership->by_id, member->belief.host.id);
  g_ptr_array_remove_index_fast (membership->members, index);
}

static void
time_out_members (Membership *membership, int64_t now_ms)
{
  for (guint i = membership->members->len; i-- > 0;)
    {
      Member *member = membership->members->pdata[i];
      int64_t held_ms = now_ms - member->since_ms;
      MemberState state = member->belief.state;

      if (state == MEMBER_SUSPECT && held_ms >= membership->options.suspect_ms)
        member_set_state (membership, member, MEMBER_DEAD, now_ms);
      else if ((state == MEMBER_DEAD || state == MEMBER_LEFT) && held_ms >= FORGET_MS)
        member_forget (membership, i);
    }
}

static void
drop_old_relays (Membership *membership, int64_t now_ms)
{
  for (guint i = membership->relayed->len; i-- > 0;)
    if (g_array_index (membership->relayed, RelayedProbe, i).expires_ms <= now_ms)
      g_array_remove_index_fast (membership->relayed, i);
}

void
membership_tick (Membership *membership, int64_t now_ms)
{
  check_probe (membership, now_ms);
  if (now_ms < membership->next_probe_ms)
    return;
  time_out_members (membership, now_ms);
  drop_old_relays (membership, now_ms);
  start_probe (membership, now_ms);
}

static void
receive_ack (Membership *membership, const GossipMessage *message)
{
  if (message->sequence == membership->probed_sequence)
    membership->probe_acked = true;
  for (guint i = 0; i < membership->relayed->len; i++)
    {
      const RelayedProbe *relay = &g_array_index (membership->relayed, RelayedProbe, i);

      if (relay->own_sequence != message->sequence)
        continue;
      send_message (membership, GOSSIP_ACK, relay->their_sequence, &relay->asker);
      g_array_remove_index_fast (membership->relayed, i);
      return;
    }
}

static void
relay_probe (Membership *membership, const GossipMessage *message, int64_t now_ms)
{
  RelayedProbe relay = {
    .own_sequence = ++membership->sequence,
    .their_sequence = message->sequence,
    .asker = message->sender.host,
    .expires_ms = now_ms + membership->options.probe_interval_ms,
  };

  g_array_append_val (membership->relayed, relay);
  send_message (membership, GOSSIP_PING, relay.own_sequence, &message->target);
}

/* A suspected or dead host must hear of it to refute it. */
static void
tell_its_state (Membership *membership, const Member *member, Outgoing *outgoing)
{
  GossipMessage *message = &outgoing->message;

  if (member->belief.state != MEMBER_SUSPECT && member->belief.state != MEMBER_DEAD)
    return;
  if (message->update_count == MEMBERSHIP_UPDATES_MAX)
    message->update_count--;
  message->updates[message->update_count++] = member->belief;
}

void
membership_receive (Membership *membership, const GossipMessage *message, int64_t now_ms)
{
  Member *sender = g_hash_table_lookup (membership->by_id, message->sender.host.id);
  bool was_dead = sender != NULL && sender->belief.state == MEMBER_DEAD;
  Outgoing *ack;

  membership_apply (membership, &message->sender, now_ms);
  for (uint32_t i = 0; i < message->update_count; i++)
    membership_apply (membership, &message->updates[i], now_ms);
  sender = g_hash_table_lookup (membership->by_id, message->sender.host.id);
  if (was_dead && state_is_live (sender->belief.state))
    {
      membership->has_returned = true;
      membership->returned = sender->belief.host;
    }
  if (sender != NULL)
    sender->config_version = MAX (sender->config_version, message->config_version);

  switch (message->kind)
    {
    case GOSSIP_PING:
      ack = send_message (membership, GOSSIP_ACK, message->sequence, &message->sender.host);
      if (sender != NULL)
        tell_its_state (membership, sender, ack);
      return;
    case GOSSIP_ACK:
      receive_ack (membership, message);
      return;
    case GOSSIP_PING_REQUEST:
      relay_probe (membership, message, now_ms);
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
  if (membership->self.belief.state == MEMBER_ALIVE)
    view->hosts[view->count++] = membership->self.belief.host;
  for (guint i = 0; i < membership->members->len; i++)
    {
      const Member *member = membership->members->pdata[i];

      if (state_is_live (member->belief.state))
        view->hosts[view->count++] = member->belief.host;
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
    return membership->self.belief;
  member = membership->members->pdata[index - 1];
  return member->belief;
}

MemberState
membership_state_of (const Membership *membership, const char *id)
{
  const Member *member = g_hash_table_lookup (membership->by_id, id);

  if (strcmp (id, membership->options.self.id) == 0)
    return membership->self.belief.state;
  return member == NULL ? MEMBER_DEAD : member->belief.state;
}

bool
membership_peer_with_newer_config (Membership *membership, uint64_t version, Host *peer)
{
  guint count = membership->members->len;

  for (guint i = 0; i < count; i++)
    {
      const Member *member = membership->members->pdata[membership->peer_cursor++ % count];

      if (member->config_version <= version || !state_is_live (member->belief.state))
        continue;
      *peer = member->belief.host;
      return true;
    }
  return false;
}

bool
membership_take_recovered_peer (Membership *membership, Host *peer)
{
  if (!membership->has_returned)
    return false;
  membership->has_returned = false;
  *peer = membership->returned;
  return true;
}

bool
membership_reaches_majority (const Membership *membership)
{
  return (membership->alive + 1) * 2 > membership->once_alive + 1;
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
