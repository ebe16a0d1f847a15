#include "pool/peer-mesh.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/verdict.h"
#include "policy/reader-order.h"

/* Interval of heartbeats; each goes to the next HOSTS_PER_HEARTBEAT hosts in turn, which bounds the
 * traffic of a host for any size of the fleet. */
#define HEARTBEAT_INTERVAL_MS 250
#define HOSTS_PER_HEARTBEAT 8
/* Minimum interval between heartbeats sent after a change. */
#define HEARTBEAT_MIN_INTERVAL_MS 4
/* In a fleet with owners: hosts of this failure domain, and of the others, per heartbeat. */
#define NEAR_HOSTS_PER_HEARTBEAT 4
#define FAR_HOSTS_PER_HEARTBEAT 1
/* A host not heard from for this time is removed. */
#define REMOVE_TIMEOUT_MS 30000
/* A host not heard from for this time plus two rounds is logged as lost. */
#define LOST_TIMEOUT_MS 700
#define DATAGRAM_BYTES 8192
/* Maximum number of host addresses sent to a new host. */
#define KNOWN_HOSTS_MAX 64

typedef struct
{
  PeerState state;
  struct sockaddr_in address;
  uint64_t packed_address;
  uint64_t boot;
  uint64_t sent;                   /* "sent" of its last heartbeat */
  int64_t received_ms;             /* when that heartbeat came */
  uint64_t listed_id;              /* by the host list, before it was heard from */
  char failure_domain[NAME_BYTES]; /* empty while unknown */
  bool near;                       /* in this host's failure domain */
  bool draining;
  bool lost;
  bool store_lost; /* it said so in its last heartbeat */
} Peer;

struct PeerMesh
{
  PeerMeshOptions options;
  int fd;
  struct tevent_fd *fde;
  GPtrArray *peers;
  GHashTable *by_address; /* packed address to Peer */
  GPtrArray *near_peers;  /* built with the view: call peer_mesh_view() before use */
  GPtrArray *far_peers;
  HostView *view; /* %NULL when it has to be built again */
  guint next_near;
  guint next_far;
  struct sockaddr_in self_address;
  uint64_t self_id;
  uint64_t boot;
  int64_t last_sent_ms;
  int64_t periodic_ms; /* last heartbeats sent at the regular interval */
  guint next_peer;
  bool broadcast_due; /* something changed: the next heartbeat goes to all hosts */
  bool services_due;  /* a service changed: its view goes to the owners at once */
  bool draining;
  bool leaving;
  Timer timer;
};

static uint64_t
host_id (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

uint32_t
peer_mesh_name_hash (const char *name)
{
  return XXH32 (name, strlen (name), 0);
}

static int
mesh_destroy (PeerMesh *mesh)
{
  timer_clear (&mesh->timer);
  TALLOC_FREE (mesh->fde);
  close (mesh->fd);
  g_hash_table_destroy (mesh->by_address);
  g_ptr_array_free (mesh->near_peers, true);
  g_ptr_array_free (mesh->far_peers, true);
  g_free (mesh->view);
  g_ptr_array_set_free_func (mesh->peers, g_free);
  g_ptr_array_free (mesh->peers, true);
  return 0;
}

static uint64_t
pack_address (const struct sockaddr_in *address)
{
  return (uint64_t) ntohl (address->sin_addr.s_addr) << 32 | ntohs (address->sin_port);
}

static struct sockaddr_in
unpack_address (uint64_t packed)
{
  return (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t) packed),
    .sin_addr.s_addr = htonl ((uint32_t) (packed >> 32)),
  };
}

static Peer *
find_peer (const PeerMesh *mesh, const struct sockaddr_in *address)
{
  const uint64_t packed = pack_address (address);

  return g_hash_table_lookup (mesh->by_address, &packed);
}

static void
invalidate_view (PeerMesh *mesh)
{
  g_free (mesh->view);
  mesh->view = NULL;
}

static Peer *
add_peer (PeerMesh *mesh, const struct sockaddr_in *address)
{
  Peer *peer = g_new0 (Peer, 1);

  peer->address = *address;
  peer->state.known_ms = clock_now_ms ();
  g_ptr_array_add (mesh->peers, peer);
  peer->packed_address = pack_address (address);
  g_hash_table_insert (mesh->by_address, &peer->packed_address, peer);
  invalidate_view (mesh);
  return peer;
}

const char *
peer_end_name (PeerEnd end)
{
  static const char *const names[]
      = { [PEER_LEFT] = "leaving", [PEER_RESTARTED] = "restarted", [PEER_SILENT] = "silent" };

  return names[end];
}

static void
remove_peer (PeerMesh *mesh, Peer *peer, PeerEnd end)
{
  const uint64_t id = peer->state.id != 0 ? peer->state.id : peer->listed_id;

  log_event (LOG_LEVEL_NOTICE, "peer_ended", "peer=%016" G_GINT64_MODIFIER "x reason=%s", id,
             peer_end_name (end));
  g_ptr_array_remove_fast (mesh->peers, peer);
  g_hash_table_remove (mesh->by_address, &peer->packed_address);
  invalidate_view (mesh);
  if (id != 0)
    mesh->options.peer_gone (mesh->options.data, id, end);
}

static void
send_heartbeat (PeerMesh *mesh, const Peer *peer, Pool__Beat *heartbeat)
{
  uint8_t bytes[DATAGRAM_BYTES];
  size_t size;

  heartbeat->echo = peer->sent;
  heartbeat->echo_age
      = (uint32_t) (peer->sent == 0 ? 0 : (int64_t) heartbeat->sent - peer->received_ms);
  if (pool__beat__get_packed_size (heartbeat) > sizeof bytes)
    {
      log_event (LOG_LEVEL_ERROR, "beat_too_large", "services=%zu limit_bytes=%zu",
                 heartbeat->n_services, sizeof bytes);
      return;
    }
  size = pool__beat__pack (heartbeat, bytes);
  // A datagram that can't be sent counts as lost.
  if (sendto (mesh->fd, bytes, size, MSG_NOSIGNAL, (const struct sockaddr *) &peer->address,
              sizeof peer->address)
      < 0)
    return;
  counter_add (mesh->options.counters, COUNTER_GOSSIP_SENT, 1);
  counter_add (mesh->options.counters, COUNTER_GOSSIP_BYTES_SENT, (int64_t) size);
}

static void
init_heartbeat (PeerMesh *mesh, Pool__Beat *heartbeat, bool services)
{
  pool__beat__init (heartbeat);
  heartbeat->sender = mesh->self_id;
  heartbeat->boot = mesh->boot;
  heartbeat->leaving = mesh->leaving;
  heartbeat->draining = mesh->draining;
  heartbeat->failure_domain = peer_mesh_name_hash (mesh->options.failure_domain);
  // The ages that follow are of this time or later, also if this process stands still meanwhile.
  heartbeat->sent = (uint64_t) clock_now_ms ();
  mesh->options.fill_heartbeat (mesh->options.data, heartbeat, services);
  for (size_t i = 0; i < heartbeat->n_services; i++)
    heartbeat->services[i]->released = mesh->leaving;
}

static void
clear_heartbeat (Pool__Beat *heartbeat)
{
  for (size_t i = 0; i < heartbeat->n_services; i++)
    {
      g_free (heartbeat->services[i]->instances);
      g_free (heartbeat->services[i]->wanted);
      g_free (heartbeat->services[i]);
    }
  g_free (heartbeat->services);
}

bool
peer_mesh_has_owners (const PeerMesh *mesh)
{
  return mesh->peers->len + 1 >= mesh->options.owners_from;
}

static void
send_in_turn (PeerMesh *mesh, const GPtrArray *peers, guint *next, guint count,
              Pool__Beat *heartbeat)
{
  for (guint i = 0; i < MIN (count, peers->len); i++)
    send_heartbeat (mesh, peers->pdata[(*next)++ % peers->len], heartbeat);
}

/* Heartbeats of a fleet with owners: to this host's failure domain, and to few other hosts. */
static void
send_sparse_heartbeats (PeerMesh *mesh, bool to_domain)
{
  Pool__Beat heartbeat;

  peer_mesh_view (mesh);
  init_heartbeat (mesh, &heartbeat, false);
  send_in_turn (mesh, mesh->near_peers, &mesh->next_near,
                to_domain ? mesh->near_peers->len : NEAR_HOSTS_PER_HEARTBEAT, &heartbeat);
  send_in_turn (mesh, mesh->far_peers, &mesh->next_far, FAR_HOSTS_PER_HEARTBEAT, &heartbeat);
  clear_heartbeat (&heartbeat);
}

static void
send_heartbeats (PeerMesh *mesh, bool to_all)
{
  const guint count = to_all ? mesh->peers->len : MIN (mesh->peers->len, HOSTS_PER_HEARTBEAT);
  Pool__Beat heartbeat;

  mesh->last_sent_ms = clock_now_ms ();
  if (peer_mesh_has_owners (mesh))
    {
      send_sparse_heartbeats (mesh, to_all);
      return;
    }
  init_heartbeat (mesh, &heartbeat, true);
  for (guint i = 0; i < count; i++)
    send_heartbeat (mesh, mesh->peers->pdata[mesh->next_peer++ % mesh->peers->len], &heartbeat);
  clear_heartbeat (&heartbeat);
}

/* Sends a new host the addresses of the known hosts: those that could not reach the store when they
 * started may be missing from the host list. */
static void
send_known_hosts (PeerMesh *mesh, const Peer *receiver)
{
  uint64_t known[KNOWN_HOSTS_MAX];
  Pool__Beat heartbeat;

  init_heartbeat (mesh, &heartbeat, !peer_mesh_has_owners (mesh));
  heartbeat.known = known;
  for (guint i = 0; i < mesh->peers->len && heartbeat.n_known < KNOWN_HOSTS_MAX; i++)
    {
      const Peer *peer = mesh->peers->pdata[(mesh->next_peer + i) % mesh->peers->len];

      if (peer != receiver)
        known[heartbeat.n_known++] = pack_address (&peer->address);
    }
  send_heartbeat (mesh, receiver, &heartbeat);
  clear_heartbeat (&heartbeat);
}

/* Time in which heartbeats reach every host of the other failure domains. */
static int64_t
far_round_ms (const PeerMesh *mesh)
{
  return (int64_t) mesh->peers->len / FAR_HOSTS_PER_HEARTBEAT * HEARTBEAT_INTERVAL_MS;
}

static void
remove_silent_peers (PeerMesh *mesh, int64_t now_ms)
{
  const bool sparse = peer_mesh_has_owners (mesh);

  for (guint i = mesh->peers->len; i > 0; i--)
    {
      Peer *peer = mesh->peers->pdata[i - 1];
      const int64_t silent_ms = now_ms - MAX (peer->state.heard_ms, peer->state.known_ms);

      if (!peer->lost && peer->state.heard_ms > 0 && (peer->near || !sparse)
          && silent_ms > LOST_TIMEOUT_MS + 2 * peer_mesh_round_ms (mesh))
        {
          peer->lost = true;
          invalidate_view (mesh);
          log_event (LOG_LEVEL_NOTICE, "peer_lost", "peer=%016" G_GINT64_MODIFIER "x",
                     peer->state.id);
        }
      if (silent_ms <= REMOVE_TIMEOUT_MS + (peer->near || !sparse ? 0 : far_round_ms (mesh)))
        continue;
      remove_peer (mesh, peer, PEER_SILENT);
      g_free (peer);
    }
}

static void
on_timer (void *data)
{
  PeerMesh *mesh = data;

  const int64_t now_ms = clock_now_ms ();
  const bool periodic = now_ms - mesh->periodic_ms >= HEARTBEAT_INTERVAL_MS;

  timer_set (mesh->options.timers, &mesh->timer, HEARTBEAT_INTERVAL_MS);
  if (periodic)
    {
      mesh->periodic_ms = now_ms;
      remove_silent_peers (mesh, now_ms);
    }
  if (periodic || mesh->broadcast_due)
    send_heartbeats (mesh, mesh->broadcast_due || mesh->draining);
  if (peer_mesh_has_owners (mesh) && (periodic || mesh->services_due))
    mesh->options.send_services (mesh->options.data);
  mesh->broadcast_due = mesh->services_due = false;
}

/* Returns whether the host was new. */
static bool
add_host (PeerMesh *mesh, const struct sockaddr_in *address)
{
  if (address->sin_addr.s_addr == mesh->self_address.sin_addr.s_addr
      && address->sin_port == mesh->self_address.sin_port)
    return false;
  if (find_peer (mesh, address) != NULL)
    return false;
  add_peer (mesh, address);
  return true;
}

static void
add_known_hosts (PeerMesh *mesh, const Pool__Beat *heartbeat)
{
  bool added = false;

  for (size_t i = 0; i < heartbeat->n_known; i++)
    {
      const struct sockaddr_in address = unpack_address (heartbeat->known[i]);

      added |= add_host (mesh, &address);
    }
  if (added && !peer_mesh_has_owners (mesh))
    peer_mesh_send_now (mesh);
}

static void
set_failure_domain (PeerMesh *mesh, Peer *peer, const char *failure_domain)
{
  if (strcmp (peer->failure_domain, failure_domain) == 0)
    return;
  g_strlcpy (peer->failure_domain, failure_domain, sizeof peer->failure_domain);
  peer->near = strcmp (failure_domain, mesh->options.failure_domain) == 0;
  invalidate_view (mesh);
}

/* Heartbeats carry the hash of the failure domain's name. */
static void
record_failure_domain (PeerMesh *mesh, Peer *peer, uint32_t hash)
{
  GHashTableIter iter;
  void *name;

  if (*peer->failure_domain != '\0' && peer_mesh_name_hash (peer->failure_domain) == hash)
    return;
  g_hash_table_iter_init (&iter, mesh->options.domain_region);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (peer_mesh_name_hash (name) == hash)
      set_failure_domain (mesh, peer, name);
}

static void
deliver_services (PeerMesh *mesh, const Peer *peer, const Pool__Beat *heartbeat, int64_t sent_ms)
{
  for (size_t i = 0; i < heartbeat->n_services; i++)
    mesh->options.service_received (mesh->options.data, heartbeat->sender, peer->packed_address,
                                    heartbeat->services[i], sent_ms);
}

static void
handle_heartbeat (PeerMesh *mesh, const struct sockaddr_in *from, const Pool__Beat *heartbeat)
{
  Peer *peer = find_peer (mesh, from);
  const int64_t now_ms = clock_now_ms ();
  int64_t sent_ms = 0;
  bool is_new;

  if (heartbeat->leaving)
    {
      if (peer != NULL)
        {
          if (peer->state.id == heartbeat->sender && peer->boot == heartbeat->boot)
            deliver_services (mesh, peer, heartbeat, 0);
          remove_peer (mesh, peer, PEER_LEFT);
          g_free (peer);
        }
      return;
    }
  if (peer == NULL)
    peer = add_peer (mesh, from);
  if (peer->state.id != 0 && peer->boot != heartbeat->boot)
    {
      log_event (LOG_LEVEL_NOTICE, "peer_ended", "peer=%016" G_GINT64_MODIFIER "x reason=%s",
                 peer->state.id, peer_end_name (PEER_RESTARTED));
      mesh->options.peer_gone (mesh->options.data, peer->state.id, PEER_RESTARTED);
      peer->sent = 0;
    }
  is_new = peer->state.id == 0 || peer->boot != heartbeat->boot;
  // Datagrams may be reordered; an older one contains nothing new.
  if (peer->sent != 0 && heartbeat->sent < peer->sent)
    return;
  if (peer->state.id == 0 || peer->lost)
    log_event (LOG_LEVEL_NOTICE, "peer_heard", "peer=%016" G_GINT64_MODIFIER "x",
               heartbeat->sender);
  if (peer->lost || peer->state.id != heartbeat->sender || peer->draining != heartbeat->draining)
    invalidate_view (mesh);
  peer->lost = false;
  peer->draining = heartbeat->draining;
  peer->store_lost = heartbeat->store_lost;
  peer->state.id = heartbeat->sender;
  record_failure_domain (mesh, peer, heartbeat->failure_domain);
  peer->boot = heartbeat->boot;
  peer->sent = heartbeat->sent;
  peer->received_ms = peer->state.heard_ms = now_ms;
  // The heartbeat was sent after the one that it echoes, so this is not later than its sending.
  if (heartbeat->echo != 0)
    sent_ms = (int64_t) heartbeat->echo + heartbeat->echo_age;
  if (sent_ms > now_ms)
    sent_ms = 0;
  mesh->options.heartbeat_received (mesh->options.data, &peer->address, heartbeat, sent_ms);
  add_known_hosts (mesh, heartbeat);
  if (is_new && (peer->near || !peer_mesh_has_owners (mesh)))
    send_known_hosts (mesh, peer);
  deliver_services (mesh, peer, heartbeat, sent_ms);
}

static void
on_datagram (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  PeerMesh *mesh = data;
  uint8_t bytes[DATAGRAM_BYTES];
  struct sockaddr_in from = { 0 };
  socklen_t length = sizeof from;
  ssize_t size;

  while ((size = recvfrom (mesh->fd, bytes, sizeof bytes, 0, (struct sockaddr *) &from, &length))
         >= 0)
    {
      Pool__Beat *heartbeat = pool__beat__unpack (NULL, (size_t) size, bytes);

      if (heartbeat == NULL)
        log_event (LOG_LEVEL_WARNING, "beat_malformed", "bytes=%zd", size);
      else
        handle_heartbeat (mesh, &from, heartbeat);
      pool__beat__free_unpacked (heartbeat, NULL);
      length = sizeof from;
    }
}

PeerMesh *
peer_mesh_new (TALLOC_CTX *parent, const PeerMeshOptions *options, GError **error)
{
  PeerMesh *mesh = talloc_zero (parent, PeerMesh);

  mesh->options = *options;
  mesh->self_id = host_id (options->host);
  mesh->boot = (uint64_t) g_get_real_time () ^ ((uint64_t) clock_now_us () << 20);
  mesh->peers = g_ptr_array_new ();
  mesh->near_peers = g_ptr_array_new ();
  mesh->far_peers = g_ptr_array_new ();
  mesh->by_address = g_hash_table_new (g_int64_hash, g_int64_equal);
  mesh->self_address
      = (struct sockaddr_in){ .sin_family = AF_INET, .sin_port = htons (options->port) };
  mesh->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  talloc_set_destructor (mesh, mesh_destroy);
  if (inet_pton (AF_INET, options->address, &mesh->self_address.sin_addr) != 1
      || bind (mesh->fd, (struct sockaddr *) &mesh->self_address, sizeof mesh->self_address) != 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot open UDP %s port %u",
                   options->address, options->port);
      talloc_free (mesh);
      return NULL;
    }
  mesh->fde = tevent_add_fd (options->events, mesh, mesh->fd, TEVENT_FD_READ, on_datagram, mesh);
  mesh->timer.fired = on_timer;
  mesh->timer.data = mesh;
  timer_set (options->timers, &mesh->timer, HEARTBEAT_INTERVAL_MS);
  return mesh;
}

void
peer_mesh_add_hosts (PeerMesh *mesh, const GArray *hosts)
{
  for (guint i = 0; i < hosts->len; i++)
    {
      const HostEntry *host = &g_array_index (hosts, HostEntry, i);
      struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (host->port) };
      Peer *peer;

      if (inet_pton (AF_INET, host->address, &address.sin_addr) != 1)
        continue;
      add_host (mesh, &address);
      peer = find_peer (mesh, &address);
      if (peer == NULL)
        continue;
      peer->listed_id = *host->id == '\0' ? 0 : host_id (host->id);
      if (*host->failure_domain != '\0')
        set_failure_domain (mesh, peer, host->failure_domain);
    }
  peer_mesh_send_now (mesh);
}

void
peer_mesh_send_now (PeerMesh *mesh)
{
  const int64_t since_ms = clock_now_ms () - mesh->last_sent_ms;

  if (since_ms >= HEARTBEAT_MIN_INTERVAL_MS)
    {
      timer_set (mesh->options.timers, &mesh->timer, HEARTBEAT_INTERVAL_MS);
      mesh->broadcast_due = false;
      send_heartbeats (mesh, true);
      return;
    }
  mesh->broadcast_due = true;
  timer_set (mesh->options.timers, &mesh->timer, HEARTBEAT_MIN_INTERVAL_MS - since_ms);
}

void
peer_mesh_list_hosts (const PeerMesh *mesh, GArray *hosts)
{
  HostEntry host = { .port = ntohs (mesh->self_address.sin_port) };

  inet_ntop (AF_INET, &mesh->self_address.sin_addr, host.address, sizeof host.address);
  g_strlcpy (host.failure_domain, mesh->options.failure_domain, sizeof host.failure_domain);
  g_array_append_val (hosts, host);
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const Peer *peer = mesh->peers->pdata[i];

      host.port = ntohs (peer->address.sin_port);
      inet_ntop (AF_INET, &peer->address.sin_addr, host.address, sizeof host.address);
      g_strlcpy (host.failure_domain, peer->failure_domain, sizeof host.failure_domain);
      g_array_append_val (hosts, host);
    }
}

uint32_t
peer_mesh_host_count (const PeerMesh *mesh)
{
  return mesh->peers->len + 1;
}

int64_t
peer_mesh_round_ms (const PeerMesh *mesh)
{
  const bool sparse = peer_mesh_has_owners (mesh);
  const guint hosts = sparse ? mesh->near_peers->len : mesh->peers->len;
  const guint per_heartbeat = sparse ? NEAR_HOSTS_PER_HEARTBEAT : HOSTS_PER_HEARTBEAT;

  return MAX ((hosts + per_heartbeat - 1) / per_heartbeat, 1) * HEARTBEAT_INTERVAL_MS;
}

int64_t
peer_mesh_service_round_ms (const PeerMesh *mesh)
{
  return peer_mesh_has_owners (mesh) ? HEARTBEAT_INTERVAL_MS : peer_mesh_round_ms (mesh);
}

void
peer_mesh_send_services_now (PeerMesh *mesh)
{
  if (!peer_mesh_has_owners (mesh))
    {
      peer_mesh_send_now (mesh);
      return;
    }
  if (mesh->services_due)
    return;
  mesh->services_due = true;
  timer_set (mesh->options.timers, &mesh->timer, 0);
}

void
peer_mesh_send_service (PeerMesh *mesh, Pool__ServiceBeat *service, const uint64_t *addresses,
                        uint32_t count)
{
  Pool__Beat heartbeat;

  init_heartbeat (mesh, &heartbeat, false);
  heartbeat.services = &service;
  heartbeat.n_services = 1;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct sockaddr_in address = unpack_address (addresses[i]);

      add_host (mesh, &address);
      if (addresses[i] != pack_address (&mesh->self_address))
        send_heartbeat (mesh, find_peer (mesh, &address), &heartbeat);
    }
}

static void
fill_host (const PeerMesh *mesh, uint64_t id, const struct sockaddr_in *address,
           const char *failure_domain, Host *host)
{
  const char *region = g_hash_table_lookup (mesh->options.domain_region, failure_domain);

  memset (host, 0, sizeof *host);
  g_snprintf (host->id, sizeof host->id, "%016" G_GINT64_MODIFIER "x", id);
  g_strlcpy (host->failure_domain, failure_domain, sizeof host->failure_domain);
  g_strlcpy (host->region, region == NULL ? "" : region, sizeof host->region);
  inet_ntop (AF_INET, &address->sin_addr, host->address, sizeof host->address);
  host->gossip_port = ntohs (address->sin_port);
  host->link_port = (uint16_t) (host->gossip_port + 1);
  host->id_hash = id;
}

const HostView *
peer_mesh_view (PeerMesh *mesh)
{
  if (mesh->view != NULL)
    return mesh->view;
  mesh->view = g_malloc (sizeof (HostView) + (mesh->peers->len + 1) * sizeof (Host));
  *mesh->view = (HostView){ .count = 1 };
  g_ptr_array_set_size (mesh->near_peers, 0);
  g_ptr_array_set_size (mesh->far_peers, 0);
  fill_host (mesh, mesh->self_id, &mesh->self_address, mesh->options.failure_domain,
             &mesh->view->hosts[0]);
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      Peer *peer = mesh->peers->pdata[i];
      uint64_t id;

      g_ptr_array_add (peer->near ? mesh->near_peers : mesh->far_peers, peer);
      id = peer->state.id != 0 || peer->near ? peer->state.id : peer->listed_id;
      if (id != 0 && !peer->lost && !peer->draining && *peer->failure_domain != '\0')
        fill_host (mesh, id, &peer->address, peer->failure_domain,
                   &mesh->view->hosts[mesh->view->count++]);
    }
  host_view_sort (mesh->view);
  return mesh->view;
}

bool
peer_mesh_is_draining (const PeerMesh *mesh, uint64_t id)
{
  for (guint i = 0; i < mesh->peers->len; i++)
    {
      const Peer *peer = mesh->peers->pdata[i];

      if (peer->state.id == id)
        return peer->draining;
    }
  return true;
}

uint64_t
peer_mesh_pack_address (const Host *host)
{
  struct in_addr address = { 0 };

  inet_pton (AF_INET, host->address, &address);
  return (uint64_t) ntohl (address.s_addr) << 32 | host->gossip_port;
}

void
peer_mesh_drain (PeerMesh *mesh)
{
  mesh->draining = true;
  peer_mesh_send_now (mesh);
}

uint32_t
peer_mesh_reader_rank (PeerMesh *mesh, bool store_lost)
{
  const ReaderCandidate self = { store_lost, mesh->self_id };
  const bool sparse = peer_mesh_has_owners (mesh);
  const GPtrArray *peers = sparse ? mesh->near_peers : mesh->peers;
  uint32_t rank = 0;

  // Peers may have been removed since the lists were built.
  if (sparse)
    peer_mesh_view (mesh);
  for (guint i = 0; i < peers->len; i++)
    {
      const Peer *peer = peers->pdata[i];
      const ReaderCandidate candidate = { peer->store_lost, peer->state.id };

      rank += candidate.id != 0 && !peer->lost && reader_order_precedes (&candidate, &self);
    }
  return rank;
}

void
peer_mesh_leave (PeerMesh *mesh)
{
  mesh->leaving = true;
  send_heartbeats (mesh, true);
}

uint64_t
peer_mesh_self_id (const PeerMesh *mesh)
{
  return mesh->self_id;
}

void
peer_mesh_foreach (const PeerMesh *mesh, void (*callback) (void *data, const PeerState *peer),
                   void *data)
{
  for (guint i = 0; i < mesh->peers->len; i++)
    callback (data, &((const Peer *) mesh->peers->pdata[i])->state);
}
