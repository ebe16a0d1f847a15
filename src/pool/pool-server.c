#include "pool/pool-server.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log-rate-limit.h"
#include "base/log.h"
#include "base/stream.h"
#include "base/verdict.h"
#include "pool/hosted-service.h"
#include "pool/pool-session.h"

/* Interval at which time limits are checked. */
#define TICK_MS 50
/* Log lines per second for statements that ran, and for statements that did not. */
#define RAN_LINES_PER_S 10
#define NOT_RUN_LINES_PER_S 30
/* The same for sessions that end with an answer owed, or during a drain. */
#define END_LINES_PER_S 50
/* The same for sessions that end for want of memory. */
#define RELIEF_LINES_PER_S 2
/* No session is forwarded to an owner for this time after it was lost. */
#define OWNER_AVOID_MS 2000
/* Interval at which sessions are checked for keys that are gone, draining owners and changed
 * routes. */
#define SESSION_CHECK_MS 250
/* An idle session may lose its place to a new one after this time. */
#define PLACE_MS 500

struct PoolServer
{
  struct tevent_context *events;
  PoolServerOptions options;
  int listen_fd;
  struct tevent_fd *listen_fde;
  int link_fd; /* for sessions that other hosts forward */
  struct tevent_fd *link_fde;
  GHashTable *avoided; /* id of an owner to the end of the time, in ms */
  int64_t sessions_checked_ms;
  bool outdated; /* callers with keys are refused, see pool_server_config_is_current() */
  GHashTable *sessions;
  MemoryBudget memory;
  WaitQueue config_waiters;
  Timer relief; /* ends sessions that hold too much memory */
  Catalog *catalog;
  GHashTable *services; /* name to HostedService */
  bool hosts_known;
  GArray *instances; /* InstanceInfo */
  Timer tick;
  uint64_t next_id;
  LogRateLimit log_limits[VERDICT_COUNT];
  LogRateLimit end_log_limit;
  LogRateLimit relief_log;
  Drain drain;
};

static int
server_destroy (PoolServer *server)
{
  GHashTableIter iter;
  void *session;

  timer_clear (&server->tick);
  timer_clear (&server->relief);
  TALLOC_FREE (server->listen_fde);
  TALLOC_FREE (server->link_fde);
  g_hash_table_iter_init (&iter, server->sessions);
  while (g_hash_table_iter_next (&iter, &session, NULL))
    {
      g_hash_table_iter_steal (&iter);
      pool_session_close (session, SESSION_END_PROCESS);
    }
  wait_queue_done (&server->config_waiters);
  g_hash_table_destroy (server->sessions);
  g_hash_table_destroy (server->services);
  g_array_free (server->instances, true);
  if (server->catalog != NULL)
    catalog_unref (server->catalog);
  g_hash_table_destroy (server->avoided);
  close (server->listen_fd);
  close (server->link_fd);
  return 0;
}

static bool
is_full (const PoolServer *server)
{
  return g_hash_table_size (server->sessions) >= server->options.session_limit;
}

/* The session that has been idle for longest; one that was never opened goes before all others. */
static PoolSession *
find_idle_session (const PoolServer *server)
{
  PoolSession *found = NULL;
  int64_t found_ms = clock_now_ms () - PLACE_MS;
  bool found_open = true;
  GHashTableIter iter;
  void *session;

  g_hash_table_iter_init (&iter, server->sessions);
  while (g_hash_table_iter_next (&iter, &session, NULL))
    {
      const int64_t since_ms = pool_session_idle_since_ms (session);
      const bool open = pool_session_is_open (session);

      if (since_ms > clock_now_ms () - PLACE_MS || (open && !found_open)
          || (open == found_open && since_ms > found_ms))
        continue;
      found = session;
      found_ms = since_ms;
      found_open = open;
    }
  return found;
}

/* An idle session can be opened again, at this host or another one, but a caller that is not even
 * accepted can do nothing. Returns whether there is a place now. */
static bool
make_room (PoolServer *server)
{
  PoolSession *idle;

  if (!is_full (server))
    return true;
  idle = find_idle_session (server);
  if (idle == NULL)
    return false;
  pool_metrics_count (server->options.metrics, POOL_COUNT_ENDED_ROOM);
  pool_session_close (idle, SESSION_END_ROOM);
  return !is_full (server);
}

static void
on_accept (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  PoolServer *server = data;
  int fd;

  while (make_room (server) && (fd = stream_accept (server->listen_fd)) >= 0)
    pool_session_new (server, fd, false);
  // Further callers wait in the kernel's accept queue until a session ends or is idle.
  if (is_full (server))
    tevent_fd_set_flags (server->listen_fde, 0);
}

/* At the limit the other host has to be told at once, so that it serves the session otherwise. */
static void
on_accept_forwarded (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
                     void *data)
{
  PoolServer *server = data;
  int fd;

  while ((fd = stream_accept (server->link_fd)) >= 0)
    if (make_room (server))
      pool_session_new (server, fd, true);
    else
      close (fd);
}

static void
advance_drain (PoolServer *server, int64_t now_ms)
{
  const DrainLoad load = { .callers = g_hash_table_size (server->sessions) };
  const DrainPhase previous = server->drain.phase;
  GList *sessions;

  if (drain_tick (&server->drain, load, now_ms) == previous)
    return;
  log_event (LOG_LEVEL_NOTICE, "drain", "phase=%s sessions=%u age_ms=%" G_GINT64_FORMAT,
             drain_phase_name (server->drain.phase), g_hash_table_size (server->sessions),
             now_ms - server->drain.began_ms);
  sessions = g_hash_table_get_keys (server->sessions);
  for (GList *node = sessions; node != NULL; node = node->next)
    pool_session_drain (node->data);
  g_list_free (sessions);
}

static PoolSession *
find_largest_session (const PoolServer *server)
{
  PoolSession *found = NULL;
  gsize found_bytes = MEMORY_KEEP_BYTES;
  GHashTableIter iter;
  void *session;

  g_hash_table_iter_init (&iter, server->sessions);
  while (g_hash_table_iter_next (&iter, &session, NULL))
    {
      const gsize bytes = pool_session_memory (session);

      if (bytes <= found_bytes)
        continue;
      found = session;
      found_bytes = bytes;
    }
  return found;
}

/* Ends the sessions that hold the most memory. */
static void
on_relief (void *data)
{
  PoolServer *server = data;
  const uint64_t before = server->memory.used_bytes;
  PoolSession *largest;
  uint32_t ended = 0;
  uint32_t dropped;

  if (!memory_budget_is_exceeded (&server->memory))
    return;
  while (!memory_budget_is_relieved (&server->memory)
         && (largest = find_largest_session (server)) != NULL)
    {
      pool_session_close (largest, SESSION_END_MEMORY);
      pool_metrics_count (server->options.metrics, POOL_COUNT_ENDED_MEMORY);
      ended++;
    }
  if (log_rate_limit_allow (&server->relief_log, clock_now_ms (), &dropped))
    log_event (LOG_LEVEL_WARNING, "memory_relieved",
               "ended=%u held_bytes=%" PRIu64 " left_bytes=%" PRIu64 " limit_bytes=%" PRIu64
               " sessions=%u suppressed=%u",
               ended, before, server->memory.used_bytes, server->memory.limit_bytes,
               g_hash_table_size (server->sessions), dropped);
}

void
pool_server_charge (PoolServer *server, uint64_t before, uint64_t after)
{
  memory_budget_charge (&server->memory, before, after);
  // Not at once: the session that is being charged may be among those that end.
  if (memory_budget_is_exceeded (&server->memory))
    timer_set (server->options.timers, &server->relief, 0);
}

const MemoryBudget *
pool_server_memory (const PoolServer *server)
{
  return &server->memory;
}

static void
check_sessions (PoolServer *server, int64_t now_ms)
{
  GList *sessions;

  if (now_ms - server->sessions_checked_ms < SESSION_CHECK_MS)
    return;
  server->sessions_checked_ms = now_ms;
  sessions = g_hash_table_get_keys (server->sessions);
  for (GList *node = sessions; node != NULL; node = node->next)
    pool_session_check (node->data);
  g_list_free (sessions);
}

/* Logs when callers with keys begin to be refused, or are served again. */
static void
check_configuration_age (PoolServer *server, int64_t now_ms)
{
  const bool outdated = server->catalog != NULL && !pool_server_config_is_current (server);
  const ConfigProof *proof = server->options.proof;

  if (outdated == server->outdated)
    return;
  server->outdated = outdated;
  log_event (LOG_LEVEL_WARNING, "configuration_unproved",
             "value=%d version=%" PRIu64 " proof_age_ms=%" PRId64 " newest_version=%" PRIu64
             " limit_ms=%" PRId64,
             outdated, proof->own_version, config_proof_age_ms (proof, now_ms), proof->version,
             server->options.revoke_limit_ms);
}

static void
on_tick (void *data)
{
  PoolServer *server = data;
  const int64_t now_ms = clock_now_ms ();
  GHashTableIter iter;
  void *value;

  timer_set (server->options.timers, &server->tick, TICK_MS);
  g_hash_table_iter_init (&iter, server->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    hosted_service_tick (value, now_ms);
  check_sessions (server, now_ms);
  // A proof may have been heard.
  pool_server_config_checked (server);
  // A session may have become idle, whose place a waiting caller can take.
  if (is_full (server) && server->listen_fde != NULL)
    tevent_fd_set_flags (server->listen_fde, TEVENT_FD_READ);
  check_configuration_age (server, now_ms);
  if (server->drain.phase != DRAIN_SERVING)
    advance_drain (server, now_ms);
}

PoolServer *
pool_server_new (TALLOC_CTX *parent, struct tevent_context *events,
                 const PoolServerOptions *options, GError **error)
{
  int fd = stream_listen (options->address, options->port, false);
  int link_fd = stream_listen (options->address, options->link_port, false);
  PoolServer *server;

  if (fd < 0 || link_fd < 0)
    {
      close (fd);
      close (link_fd);
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO,
                   "cannot listen on %s ports %u and %u", options->address, options->port,
                   options->link_port);
      return NULL;
    }
  server = talloc_zero (parent, PoolServer);
  server->events = events;
  server->options = *options;
  server->listen_fd = fd;
  server->link_fd = link_fd;
  server->avoided = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  server->log_limits[VERDICT_RAN].lines_per_s = RAN_LINES_PER_S;
  server->log_limits[VERDICT_NOT_RUN].lines_per_s = NOT_RUN_LINES_PER_S;
  server->end_log_limit.lines_per_s = END_LINES_PER_S;
  server->sessions = g_hash_table_new (NULL, NULL);
  wait_queue_init (&server->config_waiters);
  server->services = g_hash_table_new (g_str_hash, g_str_equal);
  server->instances = g_array_new (false, true, sizeof (InstanceInfo));
  server->listen_fde = tevent_add_fd (events, server, fd, TEVENT_FD_READ, on_accept, server);
  server->link_fde
      = tevent_add_fd (events, server, link_fd, TEVENT_FD_READ, on_accept_forwarded, server);
  server->memory.limit_bytes = options->memory_limit_bytes;
  server->relief_log.lines_per_s = RELIEF_LINES_PER_S;
  server->relief.fired = on_relief;
  server->relief.data = server;
  server->tick.fired = on_tick;
  server->tick.data = server;
  timer_set (options->timers, &server->tick, TICK_MS);
  talloc_set_destructor (server, server_destroy);
  return server;
}

const PoolServerOptions *
pool_server_options (const PoolServer *server)
{
  return &server->options;
}

struct tevent_context *
pool_server_events (const PoolServer *server)
{
  return server->events;
}

static void
assign_instances (PoolServer *server, ServiceGroup *group)
{
  GArray *group_infos = g_array_new (false, true, sizeof (InstanceInfo));

  for (guint i = 0; i < server->instances->len; i++)
    {
      const InstanceInfo *info = &g_array_index (server->instances, InstanceInfo, i);

      if (strcmp (info->service, service_group_name (group)) == 0)
        g_array_append_vals (group_infos, info, 1);
    }
  service_group_set_instances (group, (const InstanceInfo *) group_infos->data, group_infos->len);
  g_array_free (group_infos, true);
}

static HostedService *
add_service (PoolServer *server, const char *name)
{
  const PoolServerOptions *options = &server->options;
  const HostedServiceOptions service_options = {
    .group = {
      .events = server->events,
      .timers = options->timers,
      .codec = options->codec,
      .failure_domain = options->failure_domain,
      .region = options->region,
      .domain_region = options->domain_region,
      .refresh_instances = options->refresh_instances,
      .data = options->data,
    },
    .manager = {
      .directory = options->directory,
      .mesh = options->mesh,
      .counters = options->counters,
      .metrics = options->metrics,
      .host = options->host,
      .store_era = options->store_era,
    },
  };
  HostedService *service = hosted_service_new (server, &service_options, name);

  g_hash_table_insert (server->services,
                       (void *) service_group_name (hosted_service_group (service)), service);
  return service;
}

void
pool_server_set_catalog (PoolServer *server, Catalog *catalog)
{
  Catalog *old = server->catalog;
  GHashTableIter iter;
  void *value;

  if (old != NULL && catalog->version <= old->version)
    return;
  server->catalog = catalog_ref (catalog);
  counter_set (server->options.counters, COUNTER_CONFIG_VERSION, catalog->version);
  log_event (LOG_LEVEL_NOTICE, "configuration",
             "version=%" G_GUINT64_FORMAT " previous=%" G_GUINT64_FORMAT
             " databases=%u services=%u",
             catalog->version, old == NULL ? 0 : old->version,
             g_hash_table_size (catalog->databases), g_hash_table_size (catalog->services));
  if (old != NULL)
    catalog_unref (old);
  g_hash_table_iter_init (&iter, catalog->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ServiceEntry *entry = value;
      HostedService *service = g_hash_table_lookup (server->services, entry->name);

      if (service == NULL)
        {
          service = add_service (server, entry->name);
          assign_instances (server, hosted_service_group (service));
        }
      hosted_service_configure (service, entry);
    }
}

Catalog *
pool_server_catalog (const PoolServer *server)
{
  return server->catalog;
}

uint64_t
pool_server_config_version (const PoolServer *server)
{
  return server->catalog == NULL ? 0 : server->catalog->version;
}

int64_t
pool_server_config_proof_age_ms (const PoolServer *server)
{
  const int64_t age_ms = config_proof_age_ms (server->options.proof, clock_now_ms ());

  return age_ms == INT64_MAX ? -1 : age_ms;
}

bool
pool_server_config_is_current (const PoolServer *server)
{
  const PoolServerOptions *options = &server->options;

  return options->revoke_limit_ms == 0 || server->catalog == NULL
         || server->catalog->customers == NULL
         || config_proof_is_current (options->proof, options->revoke_limit_ms, clock_now_ms ());
}

bool
pool_server_awaits_config (PoolServer *server)
{
  const PoolServerOptions *options = &server->options;

  // A host that hears of a newer configuration is getting it already.
  return config_proof_is_superseded (options->proof)
         || (options->request_proof != NULL && options->request_proof (options->data));
}

bool
pool_server_knows_absence (PoolServer *server)
{
  const PoolServerOptions *options = &server->options;

  if (config_proof_covers_absence (options->proof, options->config_limit_ms, clock_now_ms ()))
    return true;
  pool_server_awaits_config (server);
  return false;
}

void
pool_server_wait_for_config (PoolServer *server, Waiter *waiter)
{
  wait_queue_add (&server->config_waiters, waiter);
}

void
pool_server_config_checked (PoolServer *server)
{
  wait_queue_wake (&server->config_waiters);
}

void
pool_server_set_instances (PoolServer *server, const GArray *infos)
{
  GHashTableIter iter;
  void *service;

  g_array_set_size (server->instances, 0);
  g_array_append_vals (server->instances, infos->data, infos->len);
  g_hash_table_iter_init (&iter, server->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    assign_instances (server, hosted_service_group (service));
}

ServiceGroup *
pool_server_group (PoolServer *server, const char *service)
{
  HostedService *found = g_hash_table_lookup (server->services, service);

  if (found == NULL)
    return NULL;
  hosted_service_use (found);
  return hosted_service_group (found);
}

bool
pool_server_has_owners (const PoolServer *server)
{
  return peer_mesh_has_owners (server->options.mesh);
}

static bool
is_avoided (PoolServer *server, uint64_t id)
{
  const int64_t *until_ms = g_hash_table_lookup (server->avoided, &id);

  if (until_ms == NULL)
    return false;
  if (clock_now_ms () < *until_ms)
    return true;
  g_hash_table_remove (server->avoided, &id);
  return false;
}

void
pool_server_avoid_owner (PoolServer *server, uint64_t id)
{
  const int64_t until_ms = clock_now_ms () + OWNER_AVOID_MS;

  g_hash_table_replace (server->avoided, g_memdup2 (&id, sizeof id),
                        g_memdup2 (&until_ms, sizeof until_ms));
}

bool
pool_server_is_draining_owner (const PoolServer *server, uint64_t id)
{
  return peer_mesh_is_draining (server->options.mesh, id);
}

OwnerChoice
pool_server_find_owner (PoolServer *server, const char *service, uint64_t session, uint32_t attempt,
                        Host *owner)
{
  const HostedService *found = g_hash_table_lookup (server->services, service);

  if (found == NULL || !hosted_service_pick_owner (found, session, attempt, owner))
    return OWNER_NONE;
  if (owner->id_hash == peer_mesh_self_id (server->options.mesh))
    return OWNER_SELF;
  return is_avoided (server, owner->id_hash) ? OWNER_AVOIDED : OWNER_OTHER;
}

void
pool_server_send_services (PoolServer *server)
{
  GHashTableIter iter;
  void *service;

  g_hash_table_iter_init (&iter, server->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    hosted_service_send_view (service);
}

void
pool_server_set_hosts_known (PoolServer *server)
{
  server->hosts_known = true;
}

bool
pool_server_knows_hosts (const PoolServer *server)
{
  return server->hosts_known;
}

void
pool_server_fill_heartbeat (PoolServer *server, Pool__Beat *heartbeat, bool services)
{
  GHashTableIter iter;
  void *service;

  heartbeat->config_version = server->catalog == NULL ? 0 : server->catalog->version;
  if (!services)
    return;
  heartbeat->services = g_new0 (Pool__ServiceBeat *, g_hash_table_size (server->services));
  g_hash_table_iter_init (&iter, server->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    {
      Pool__ServiceBeat *entry = g_new (Pool__ServiceBeat, 1);

      pool__service_beat__init (entry);
      hosted_service_fill_heartbeat (service, entry);
      heartbeat->services[heartbeat->n_services++] = entry;
    }
}

void
pool_server_receive_heartbeat (PoolServer *server, uint64_t peer, uint64_t address,
                               const Pool__ServiceBeat *heartbeat, int64_t sent_ms)
{
  GHashTableIter iter;
  void *name, *service;

  g_hash_table_iter_init (&iter, server->services);
  while (g_hash_table_iter_next (&iter, &name, &service))
    if (peer_mesh_name_hash (name) == heartbeat->service)
      {
        hosted_service_receive (service, peer, address, heartbeat, sent_ms);
        return;
      }
}

void
pool_server_forget_peer (PoolServer *server, uint64_t peer, PeerEnd end)
{
  GHashTableIter iter;
  void *service;

  g_hash_table_iter_init (&iter, server->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    hosted_service_forget_peer (service, peer, end);
}

bool
pool_server_may_log (PoolServer *server, Verdict verdict, int64_t now_ms, uint32_t *dropped)
{
  *dropped = 0;
  return verdict == VERDICT_MAY_HAVE_RUN
         || log_rate_limit_allow (&server->log_limits[verdict], now_ms, dropped);
}

bool
pool_server_may_log_end (PoolServer *server, int64_t now_ms, uint32_t *dropped)
{
  return log_rate_limit_allow (&server->end_log_limit, now_ms, dropped);
}

uint64_t
pool_server_next_id (PoolServer *server)
{
  return ++server->next_id;
}

void
pool_server_add_session (PoolServer *server, void *session)
{
  g_hash_table_add (server->sessions, session);
}

void
pool_server_remove_session (PoolServer *server, void *session)
{
  g_hash_table_remove (server->sessions, session);
  if (server->listen_fde != NULL)
    tevent_fd_set_flags (server->listen_fde, TEVENT_FD_READ);
}

bool
pool_server_is_ready (const PoolServer *server)
{
  return server->catalog != NULL && server->instances->len > 0 && server->hosts_known
         && server->drain.phase == DRAIN_SERVING && pool_server_config_is_current (server);
}

void
pool_server_drain (PoolServer *server, int64_t limit_ms)
{
  if (server->drain.phase != DRAIN_SERVING)
    return;
  server->drain.options = drain_options_for_limit (limit_ms);
  drain_begin (&server->drain, clock_now_ms ());
  peer_mesh_drain (server->options.mesh);
  log_event (LOG_LEVEL_NOTICE, "draining", "sessions=%u limit_ms=%" G_GINT64_FORMAT,
             g_hash_table_size (server->sessions), limit_ms);
}

DrainPhase
pool_server_drain_phase (const PoolServer *server)
{
  return server->drain.phase;
}

int64_t
pool_server_drain_age_ms (const PoolServer *server)
{
  return server->drain.phase == DRAIN_SERVING ? -1 : clock_now_ms () - server->drain.began_ms;
}

bool
pool_server_is_drained (const PoolServer *server)
{
  return server->drain.phase == DRAIN_ENDED;
}
