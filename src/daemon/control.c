#include "daemon/control.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <urcu.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/thread-pause.h"
#include "daemon/config-replica.h"
#include "daemon/store-thread.h"
#include "policy/config-sync.h"
#include "policy/drain.h"
#include "policy/membership.h"
#include "runtime/link-table.h"
#include "runtime/worker.h"

#define TICK_MS 20
#define PROBE_INTERVAL_MS 250
#define PROBE_TIMEOUT_MS 100
#define SUSPECT_MS 1200
#define INDIRECT_PROBES 2
/* Shortest interval between full exchanges of the member list; it grows with the fleet size. */
#define EXCHANGE_INTERVAL_MS 10000
#define EXCHANGE_MS_PER_MEMBER 200
/* Retry interval while this host has no peers. */
#define ALONE_RETRY_MS 200
#define HOSTS_INTERVAL_MS 3000
/* Interval at which a daemon registers itself in the platform's host list. */
#define REGISTER_INTERVAL_MS 60000
#define STATUS_INTERVAL_MS 500
#define PULL_RETRY_MS 200
#define DRAIN_ANNOUNCE_MS 1500
/* A new version is pushed to this many peers; the others pull it. */
#define PUSH_FANOUT 4
#define DATAGRAM_BYTES 8192

struct Control
{
  Daemon *daemon;
  struct tevent_context *events;
  Mailbox *mailbox;
  pthread_t thread;
  bool running;
  bool started;
  ThreadPause *pause;
  int gossip_fd;
  Membership *membership;
  uint64_t published_view_version;
  LinkTable *links;
  ConfigReplica *replica;
  ConfigSync config_sync;
  StoreThread *store;
  Drain drain;
  atomic_bool drained;
  int64_t exchange_next_ms;
  int64_t hosts_next_ms;
  int64_t register_next_ms;
  int64_t status_next_ms;
  pthread_mutex_t status_lock;
  char *status;
};

typedef struct
{
  MailboxMessage head;
  Origin origin;
  Frame *frame;
} ControlFrame;

static const Host *
self (const Control *control)
{
  return &daemon_options (control->daemon)->self;
}

static void
send_datagram (Control *control, const GossipMessage *message, const Host *to)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (to->gossip_port) };
  GBytes *bytes = gossip_pack (message);
  Counters *counters = daemon_counters (control->daemon);
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);

  if (inet_pton (AF_INET, to->address, &address.sin_addr) == 1
      && sendto (control->gossip_fd, data, size, MSG_DONTWAIT, (struct sockaddr *) &address,
                 sizeof address)
             > 0)
    {
      counter_add (counters, COUNTER_GOSSIP_SENT, 1);
      counter_add (counters, COUNTER_GOSSIP_BYTES_SENT, (int64_t) size);
    }
  g_bytes_unref (bytes);
}

static void
flush_gossip (Control *control)
{
  GossipMessage message;
  Host to;

  while (membership_next_message (control->membership, &message, &to))
    {
      const int64_t age_ms = config_sync_read_age_ms (&control->config_sync, clock_now_ms ());

      message.config_read_age = (uint32_t) (MIN (age_ms, INT32_MAX) + 1);
      send_datagram (control, &message, &to);
    }
}

static void
on_gossip (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Control *control = data;
  uint8_t bytes[DATAGRAM_BYTES];
  GossipMessage message;
  gssize length;

  while ((length = recv (control->gossip_fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    {
      if (!gossip_unpack (bytes, (size_t) length, &message))
        continue;
      membership_receive (control->membership, &message, clock_now_ms ());
      config_sync_version_seen (&control->config_sync, message.config_version);
      // The datagram's own delay is small against the seconds in question.
      if (message.config_read_age > 0)
        config_sync_read_heard (&control->config_sync,
                                clock_now_ms () - (message.config_read_age - 1));
    }
  flush_gossip (control);
}

static bool
is_poller (Control *control, const HostView *view)
{
  char *name = g_strdup_printf ("poller/%s", self (control)->failure_domain);
  uint64_t hash = host_hash (name);
  ConfigDocument *document = config_replica_document (control->replica);
  uint32_t pollers = config_document_fleet (document)->pollers_per_failure_domain;
  bool found = false;

  config_document_unref (document);
  g_free (name);
  for (uint32_t rank = 0; rank < pollers && !found; rank++)
    {
      int owner = ownership_pick (view, hash, self (control)->failure_domain,
                                  self (control)->region, rank);

      found = owner >= 0 && strcmp (view->hosts[owner].id, self (control)->id) == 0;
    }
  return found;
}

/* Number of hosts of this host's failure domain that poll the store before it if the pollers fail.
 */
static uint32_t
poll_rank (const Control *control, const HostView *view)
{
  const uint64_t hash = host_hash (self (control)->id);
  uint32_t rank = 0;

  for (uint32_t i = 0; i < view->count; i++)
    rank += strcmp (view->hosts[i].failure_domain, self (control)->failure_domain) == 0
            && view->hosts[i].id_hash < hash;
  return rank;
}

static void
publish_view (Control *control)
{
  HostView *view;

  if (membership_version (control->membership) == control->published_view_version)
    return;
  control->published_view_version = membership_version (control->membership);
  view = membership_view (control->membership);
  config_sync_set_polling (&control->config_sync, is_poller (control, view),
                           poll_rank (control, view));
  counter_set (daemon_counters (control->daemon), COUNTER_MEMBERS_ALIVE, view->count);
  log_event (LOG_LEVEL_INFO, "members", "host=%s version=%" G_GUINT64_FORMAT " alive=%u",
             self (control)->id, view->version, view->count);
  daemon_publish_view (control->daemon, view);
}

static void
push_to_peers (Control *control, uint64_t from)
{
  GPtrArray *frames = config_replica_frames (control->replica, from);

  // The first version is not pushed: it may be a complete document, which peers request if needed.
  for (int i = 0; i < PUSH_FANOUT && from > 0; i++)
    {
      Host peer;

      if (!membership_random_peer (control->membership, &peer))
        break;
      for (guint j = 0; j < frames->len; j++)
        link_table_send (control->links, &peer, frame_clone (frames->pdata[j]), FRAME_LANE_CONTROL);
    }
  for (guint j = 0; j < frames->len; j++)
    frame_free (frames->pdata[j]);
  g_ptr_array_free (frames, true);
}

/* Transactions may last until the end: their callers are disconnected between two of them. */
static DrainOptions
drain_options (const FleetConfig *fleet)
{
  DrainOptions options = drain_options_for_limit (fleet->drain_limit_ms);

  options.announce_ms = DRAIN_ANNOUNCE_MS;
  options.abort_ms = 0;
  return options;
}

static void
config_changed (Control *control, uint64_t before)
{
  ConfigDocument *document = config_replica_document (control->replica);
  uint64_t version = config_document_version (document);
  const FleetConfig *fleet = config_document_fleet (document);

  config_sync_accept (&control->config_sync, version);
  control->config_sync.options.poll_interval_ms = fleet->poll_interval_ms;
  control->config_sync.options.isolated_after_ms = fleet->isolated_after_ms;
  control->drain.options = drain_options (fleet);
  membership_set_config_version (control->membership, version);
  counter_set (daemon_counters (control->daemon), COUNTER_CONFIG_VERSION, version);
  log_event (LOG_LEVEL_NOTICE, "config_in_force", "host=%s version=%" G_GUINT64_FORMAT,
             self (control)->id, version);
  daemon_publish_config (control->daemon, document);
  push_to_peers (control, before);
}

static void
apply_config_parts (Control *control, GPtrArray *parts)
{
  uint64_t before = config_replica_version (control->replica);

  for (guint i = 0; i < parts->len; i++)
    config_replica_apply (control->replica, parts->pdata[i]);
  if (config_replica_version (control->replica) != before)
    config_changed (control, before);
}

static bool
parse_host (const json_t *json, Host *host)
{
  const char *id, *failure_domain, *region, *address;
  int link_port, gossip_port, leaving = 0;

  memset (host, 0, sizeof *host);
  if (json_unpack ((json_t *) json, "{s:s, s:s, s:s, s:s, s:i, s:i, s?b}", "id", &id,
                   "failure_domain", &failure_domain, "region", &region, "address", &address,
                   "link_port", &link_port, "gossip_port", &gossip_port, "leaving", &leaving)
          != 0
      || leaving)
    return false;
  g_strlcpy (host->id, id, sizeof host->id);
  g_strlcpy (host->failure_domain, failure_domain, sizeof host->failure_domain);
  g_strlcpy (host->region, region, sizeof host->region);
  g_strlcpy (host->address, address, sizeof host->address);
  host->link_port = (uint16_t) link_port;
  host->gossip_port = (uint16_t) gossip_port;
  return true;
}

static void
add_hosts (Control *control, const json_t *hosts)
{
  size_t index;
  json_t *value;
  Host host;

  json_array_foreach (json_object_get (hosts, "hosts"), index, value)
    if (parse_host (value, &host))
      membership_seed (control->membership, &host);
}

static void
deliver_store_result (void *receiver, MailboxMessage *message)
{
  Control *control = receiver;
  StoreResult *result = (StoreResult *) message;

  if (result->kind == STORE_RESULT_CONFIG)
    {
      config_sync_poll_finished (&control->config_sync, result->answered, clock_now_ms ());
      config_sync_version_seen (&control->config_sync, result->latest_version);
      if (result->parts != NULL)
        {
          counter_add (daemon_counters (control->daemon), COUNTER_CONFIG_FETCHED, 1);
          apply_config_parts (control, result->parts);
        }
    }
  else if (result->hosts != NULL)
    add_hosts (control, result->hosts);
  store_result_free (result);
}

static Frame *
member_exchange_frame (Control *control, bool answer_wanted)
{
  Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_MEMBER_EXCHANGE);
  uint32_t count = membership_count (control->membership);

  frame->member_exchange->answer_wanted = answer_wanted;
  frame->member_exchange->beliefs = calloc (count, sizeof (Peridotstep__MemberBelief *));
  for (uint32_t i = 0; i < count; i++)
    {
      const MemberUpdate update = membership_get (control->membership, i);

      if (update.state != MEMBER_CANDIDATE)
        frame->member_exchange->beliefs[frame->member_exchange->n_beliefs++]
            = frame_member_update_new (&update);
    }
  return frame;
}

static void
send_reply (Control *control, Origin origin, Frame *frame)
{
  worker_post_reply (daemon_worker (control->daemon, origin.worker), origin, frame,
                     FRAME_LANE_CONTROL);
}

static void
handle_member_exchange (Control *control, const Origin *origin,
                        const Peridotstep__MemberExchange *exchange)
{
  for (size_t i = 0; i < exchange->n_beliefs; i++)
    {
      MemberUpdate update;

      if (frame_member_update (exchange->beliefs[i], &update))
        membership_apply (control->membership, &update, clock_now_ms ());
    }
  if (exchange->answer_wanted && origin != NULL)
    send_reply (control, *origin, member_exchange_frame (control, false));
}

static void
handle_config_part (Control *control, const Frame *frame)
{
  uint64_t before = config_replica_version (control->replica);
  ConfigPart *part;

  config_sync_version_seen (&control->config_sync, frame->config_part->version);
  if (frame->config_part->version <= before)
    return;
  part = config_part_from_frame (frame);
  if (part == NULL)
    return;
  if (config_replica_apply (control->replica, part))
    config_changed (control, before);
  config_part_free (part);
}

static void
serve_config (Control *control, Origin origin, uint64_t have)
{
  GPtrArray *frames = config_replica_frames (control->replica, have);

  for (guint i = 0; i < frames->len; i++)
    send_reply (control, origin, frames->pdata[i]);
  g_ptr_array_free (frames, true);
}

/* @origin is where to send a reply; %NULL for a frame that arrived on a link of this thread. */
static void
handle_frame (Control *control, const Origin *origin, Frame *frame)
{
  switch (frame->body_case)
    {
    case PERIDOTSTEP__FRAME__BODY_CONFIG_REQUEST:
      if (origin != NULL)
        serve_config (control, *origin, frame->config_request->have_version);
      break;
    case PERIDOTSTEP__FRAME__BODY_CONFIG_PART:
      handle_config_part (control, frame);
      break;
    case PERIDOTSTEP__FRAME__BODY_MEMBER_EXCHANGE:
      handle_member_exchange (control, origin, frame->member_exchange);
      break;
    default:
      break;
    }
  frame_free (frame);
}

static void
deliver_frame (void *receiver, MailboxMessage *message)
{
  ControlFrame *control_frame = (ControlFrame *) message;

  handle_frame (receiver, &control_frame->origin, control_frame->frame);
  g_free (control_frame);
}

void
control_post_frame (Control *control, Origin origin, Frame *frame)
{
  ControlFrame *message = g_new0 (ControlFrame, 1);

  message->head.deliver = deliver_frame;
  message->origin = origin;
  message->frame = frame;
  mailbox_post (control->mailbox, &message->head);
}

static void
on_link_frame (void *data, uint64_t link, Frame *frame)
{
  handle_frame (data, NULL, frame);
}

static void
on_link_closed (void *data, uint64_t link, const char *host_id)
{
}

static void
pull_config (Control *control)
{
  uint64_t version = config_replica_version (control->replica);
  Frame *frame;
  Host peer;

  if (!membership_peer_with_newer_config (control->membership, version, &peer))
    return;
  frame = frame_new (PERIDOTSTEP__FRAME__BODY_CONFIG_REQUEST);
  frame->config_request->have_version = version;
  link_table_send (control->links, &peer, frame, FRAME_LANE_CONTROL);
}

static void
run_config_sync (Control *control, int64_t now_ms)
{
  if (membership_reaches_majority (control->membership)
      && membership_count (control->membership) > 1)
    config_sync_peers_reached (&control->config_sync, now_ms);
  switch (config_sync_next_action (&control->config_sync, now_ms))
    {
    case CONFIG_POLL_STORE:
      counter_add (daemon_counters (control->daemon), COUNTER_CONFIG_POLLS, 1);
      store_thread_poll (control->store, config_replica_version (control->replica));
      break;
    case CONFIG_PULL_PEER:
      pull_config (control);
      break;
    case CONFIG_IDLE:
      break;
    }
  daemon_set_admitting (control->daemon, config_sync_admits_work (&control->config_sync, now_ms));
}

static json_t *
self_json (Control *control)
{
  const Host *host = self (control);

  return json_pack ("{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:b}", "id", host->id, "failure_domain",
                    host->failure_domain, "region", host->region, "address", host->address,
                    "link_port", host->link_port, "gossip_port", host->gossip_port, "admin_port",
                    (int) daemon_options (control->daemon)->admin_port, "leaving",
                    control->drain.phase != DRAIN_SERVING);
}

static void
run_member_exchange (Control *control, int64_t now_ms)
{
  Host peer;

  if (membership_take_recovered_peer (control->membership, &peer))
    link_table_send (control->links, &peer, member_exchange_frame (control, true),
                     FRAME_LANE_CONTROL);
  if (now_ms < control->exchange_next_ms)
    return;
  if (!membership_random_peer (control->membership, &peer))
    {
      control->exchange_next_ms = now_ms + ALONE_RETRY_MS;
      return;
    }
  control->exchange_next_ms
      = now_ms
        + MAX (EXCHANGE_INTERVAL_MS,
               (int64_t) membership_count (control->membership) * EXCHANGE_MS_PER_MEMBER);
  link_table_send (control->links, &peer, member_exchange_frame (control, true),
                   FRAME_LANE_CONTROL);
}

static void
sync_hosts (Control *control, int64_t now_ms)
{
  bool alone = membership_count (control->membership) == 1;
  bool register_self = alone || now_ms >= control->register_next_ms;

  if (now_ms < control->hosts_next_ms && now_ms < control->register_next_ms)
    return;
  control->hosts_next_ms = now_ms + (alone ? ALONE_RETRY_MS : HOSTS_INTERVAL_MS);
  if (register_self)
    control->register_next_ms = now_ms + REGISTER_INTERVAL_MS;
  // Only pollers, and a host without peers, read the list: this limits the load on the platform.
  if (register_self || alone || control->config_sync.polling)
    store_thread_sync_hosts (control->store, self (control)->id,
                             register_self ? self_json (control) : NULL,
                             alone || control->config_sync.polling);
}

static void
run_drain (Control *control, int64_t now_ms)
{
  Counters *counters = daemon_counters (control->daemon);
  const DrainLoad load
      = { counter_get (counters, COUNTER_CALLERS_OPEN), daemon_jobs (control->daemon) };
  DrainPhase before = control->drain.phase;
  DrainPhase phase = drain_tick (&control->drain, load, now_ms);

  if (phase == DRAIN_SERVING || phase == before)
    return;
  if (phase == DRAIN_CLOSING)
    daemon_set_closing (control->daemon);
  if (phase == DRAIN_ANSWERING)
    daemon_set_ending (control->daemon);
  if (phase == DRAIN_ENDED)
    atomic_store (&control->drained, true);
  log_event (LOG_LEVEL_NOTICE, "drain",
             "host=%s phase=%s callers=%" G_GUINT64_FORMAT " jobs=%" G_GUINT64_FORMAT,
             self (control)->id, drain_phase_name (phase), load.callers, load.jobs);
}

static void
write_status (Control *control, int64_t now_ms)
{
  json_t *members, *json;
  char *text;

  if (now_ms < control->status_next_ms)
    return;
  members = json_array ();
  control->status_next_ms = now_ms + STATUS_INTERVAL_MS;
  for (uint32_t i = 0; i < membership_count (control->membership); i++)
    {
      const MemberUpdate update = membership_get (control->membership, i);

      json_array_append_new (members, json_pack ("{s:s, s:s, s:s, s:I}", "id", update.host.id,
                                                 "failure_domain", update.host.failure_domain,
                                                 "state", membership_state_name (update.state),
                                                 "incarnation", (json_int_t) update.incarnation));
    }
  json = json_pack ("{s:s, s:s, s:s, s:I, s:b, s:b, s:b, s:o}", "id", self (control)->id,
                    "failure_domain", self (control)->failure_domain, "region",
                    self (control)->region, "config_version",
                    (json_int_t) config_replica_version (control->replica), "admitting",
                    daemon_admits (control->daemon), "polling", control->config_sync.polling,
                    "leaving", control->drain.phase != DRAIN_SERVING, "members", members);
  text = json_dumps (json, JSON_INDENT (2));
  json_decref (json);
  pthread_mutex_lock (&control->status_lock);
  g_free (control->status);
  control->status = text;
  pthread_mutex_unlock (&control->status_lock);
}

char *
control_status (Control *control)
{
  char *text;

  pthread_mutex_lock (&control->status_lock);
  text = g_strdup (control->status);
  pthread_mutex_unlock (&control->status_lock);
  return text;
}

static void on_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
                     void *data);

static void
schedule_tick (Control *control)
{
  tevent_add_timer (control->events, control, tevent_timeval_current_ofs (0, TICK_MS * 1000),
                    on_tick, control);
}

static void
on_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now, void *data)
{
  Control *control = data;
  int64_t now_ms = clock_now_ms ();

  schedule_tick (control);
  membership_tick (control->membership, now_ms);
  flush_gossip (control);
  publish_view (control);
  run_config_sync (control, now_ms);
  run_member_exchange (control, now_ms);
  sync_hosts (control, now_ms);
  run_drain (control, now_ms);
  write_status (control, now_ms);
}

static void
init_policies (Control *control)
{
  const Host *host = self (control);
  const MembershipOptions membership = {
    .self = *host,
    .incarnation = (uint64_t) (g_get_real_time () / 1000),
    .probe_interval_ms = PROBE_INTERVAL_MS,
    .probe_timeout_ms = PROBE_TIMEOUT_MS,
    .suspect_ms = SUSPECT_MS,
    .indirect_probes = INDIRECT_PROBES,
    .seed = host->id_hash ^ (uint64_t) g_get_real_time (),
  };
  ConfigDocument *empty = config_document_empty ();
  const FleetConfig *fleet = config_document_fleet (empty);
  const ConfigSyncOptions config_sync = {
    .poll_interval_ms = fleet->poll_interval_ms,
    .pull_retry_ms = PULL_RETRY_MS,
    .isolated_after_ms = fleet->isolated_after_ms,
  };

  control->membership = membership_new (&membership);
  control->drain.options = drain_options (fleet);
  config_sync_init (&control->config_sync, &config_sync, clock_now_ms ());
  control->replica = config_replica_new ();
  config_document_unref (empty);
}

Control *
control_new (Daemon *daemon, int gossip_fd)
{
  Control *control = talloc_zero (NULL, Control);
  LinkTableOptions links = {
    .counters = daemon_counters (daemon),
    .self = &daemon_options (daemon)->self,
    .network = daemon_options (daemon)->network,
    .frame = on_link_frame,
    .closed = on_link_closed,
    .data = control,
  };
  StoreThreadOptions store
      = { .url = daemon_options (daemon)->platform_url, .deliver = deliver_store_result };

  control->daemon = daemon;
  pthread_mutex_init (&control->status_lock, NULL);
  control->status = g_strdup ("{}");
  control->events = tevent_context_init (control);
  control->mailbox = mailbox_new (control, control->events, control);
  control->pause = thread_pause_new (control->mailbox);
  links.events = control->events;
  control->links = link_table_new (control, &links);
  control->gossip_fd = gossip_fd;
  init_policies (control);
  tevent_add_fd (control->events, control, gossip_fd, TEVENT_FD_READ, on_gossip, control);
  store.mailbox = control->mailbox;
  control->store = store_thread_new (&store);
  schedule_tick (control);
  return control;
}

static void *
control_main (void *data)
{
  Control *control = data;

  rcu_register_thread ();
  while (control->running)
    if (tevent_loop_once (control->events) != 0)
      break;
  TALLOC_FREE (control->links);
  rcu_unregister_thread ();
  return NULL;
}

void
control_start (Control *control)
{
  control->running = true;
  control->started = true;
  if (pthread_create (&control->thread, NULL, control_main, control) != 0)
    g_error ("cannot start a thread");
}

static void
deliver_stop (void *receiver, MailboxMessage *message)
{
  Control *control = receiver;

  control->running = false;
  g_free (message);
}

static void
post_empty_message (Control *control, void (*deliver) (void *, MailboxMessage *))
{
  MailboxMessage *message = g_new0 (MailboxMessage, 1);

  message->deliver = deliver;
  mailbox_post (control->mailbox, message);
}

void
control_stop (Control *control)
{
  if (control->started)
    {
      post_empty_message (control, deliver_stop);
      pthread_join (control->thread, NULL);
    }
  store_thread_free (control->store);
  membership_free (control->membership);
  config_replica_free (control->replica);
  close (control->gossip_fd);
  g_free (control->status);
  pthread_mutex_destroy (&control->status_lock);
  thread_pause_free (control->pause);
  talloc_free (control);
}

static void
deliver_drain (void *receiver, MailboxMessage *message)
{
  Control *control = receiver;

  g_free (message);
  if (control->drain.phase != DRAIN_SERVING)
    return;
  log_event (LOG_LEVEL_NOTICE, "drain_started", "host=%s", self (control)->id);
  drain_begin (&control->drain, clock_now_ms ());
  membership_leave (control->membership);
  flush_gossip (control);
  control->register_next_ms = 0;
}

void
control_drain (Control *control)
{
  post_empty_message (control, deliver_drain);
}

bool
control_is_drained (Control *control)
{
  return atomic_load (&control->drained);
}

void
control_set_paused (Control *control, bool paused)
{
  thread_pause_set (control->pause, paused);
}

void
control_audit (Control *control, const char *key, json_t *value)
{
  store_thread_audit (control->store, key, value);
}
