#include "pool/pool-server.h"

#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log-rate-limit.h"
#include "base/log.h"
#include "base/stream.h"
#include "base/verdict.h"
#include "policy/owner-set.h"
#include "policy/service-owners.h"
#include "pool/primary-change-manager.h"
#include "pool/pool-session.h"

/* Interval at which time limits are checked. */
#define TICK_MS 50
/* New callers still arrive for this long after a draining host reports that it is not ready. */
#define LEAVE_NOTICE_MS 2300
/* Idle transactions are closed after the drain limit divided by this. */
#define DRAIN_TRANSACTION_DIVISOR 2
/* All remaining sessions are closed this long before the drain limit. */
#define DRAIN_MARGIN_MS 700
/* Log lines per second for statements that ran, and for statements that did not. */
#define RAN_LINES_PER_S 10
#define NOT_RUN_LINES_PER_S 30
/* This host stops acting as an owner of a service that no session has used for this time. */
#define OWNER_IDLE_MS 10000
/* An owner that was not heard of for this time no longer gets the views of its service. */
#define OWNER_KNOWN_MS 5000
/* Other owners named in each view of a service. */
#define OWNERS_PER_HEARTBEAT 4
/* Owners per failure domain that would take over from one. They get a view now and then, in case
 * that they act already. */
#define STANDBY_OWNERS 1
/* One in this many views goes to them, and names other owners. */
#define EXTENDED_VIEW_INTERVAL 4
/* No session is forwarded to an owner for this time after it was lost. */
#define OWNER_AVOID_MS 2000
/* Interval at which forwarded sessions are checked for draining owners and changed routes. */
#define FORWARD_CHECK_MS 250

typedef struct
{
  ServiceGroup *group;
  PrimaryChangeManager *change_manager;
  uint32_t owners; /* per failure domain, in a fleet with owners */
  bool active;     /* this host acts as an owner */
  int64_t used_ms;
  OwnerSet owner_set; /* other owners, from heartbeats */
  uint32_t next_owner;
  uint32_t views_sent;
} Service;

struct PoolServer
{
  struct tevent_context *events;
  PoolServerOptions options;
  int listen_fd;
  struct tevent_fd *listen_fde;
  int link_fd; /* for sessions that other hosts forward */
  struct tevent_fd *link_fde;
  GHashTable *avoided; /* id of an owner to the end of the time, in ms */
  int64_t forwards_checked_ms;
  GHashTable *sessions;
  Catalog *catalog;
  GHashTable *groups; /* service name to Service */
  bool hosts_known;
  GArray *instances; /* InstanceInfo */
  Timer tick;
  uint64_t next_id;
  LogRateLimit log_limits[VERDICT_COUNT];
  int64_t drain_started_ms;
  int64_t drain_limit_ms;
};

static int
server_destroy (PoolServer *server)
{
  GHashTableIter iter;
  void *session;

  timer_clear (&server->tick);
  TALLOC_FREE (server->listen_fde);
  TALLOC_FREE (server->link_fde);
  g_hash_table_iter_init (&iter, server->sessions);
  while (g_hash_table_iter_next (&iter, &session, NULL))
    {
      g_hash_table_iter_steal (&iter);
      pool_session_close (session);
    }
  g_hash_table_destroy (server->sessions);
  g_hash_table_destroy (server->groups);
  g_array_free (server->instances, true);
  if (server->catalog != NULL)
    catalog_unref (server->catalog);
  g_hash_table_destroy (server->avoided);
  close (server->listen_fd);
  close (server->link_fd);
  return 0;
}

static void
on_accept (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  PoolServer *server = data;
  int fd;

  while (g_hash_table_size (server->sessions) < server->options.session_limit
         && (fd = stream_accept (server->listen_fd)) >= 0)
    pool_session_new (server, fd, false);
  // Further callers wait in the kernel's accept queue until a session ends.
  if (g_hash_table_size (server->sessions) >= server->options.session_limit)
    tevent_fd_set_flags (server->listen_fde, 0);
}

/* Sessions of other hosts are accepted beyond the limit on callers, whose hosts bound them. */
static void
on_accept_forwarded (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags,
                     void *data)
{
  PoolServer *server = data;
  int fd;

  while ((fd = stream_accept (server->link_fd)) >= 0)
    pool_session_new (server, fd, true);
}

static void
close_idle_sessions (PoolServer *server, int64_t now_ms)
{
  const int64_t since_ms = now_ms - server->drain_started_ms;
  const bool close_all = since_ms >= server->drain_limit_ms - DRAIN_MARGIN_MS;
  const bool close_transactions = since_ms >= server->drain_limit_ms / DRAIN_TRANSACTION_DIVISOR;
  GList *sessions = g_hash_table_get_keys (server->sessions);

  for (GList *node = sessions; node != NULL; node = node->next)
    {
      PoolSession *session = node->data;
      const bool waits_for_caller
          = close_transactions && pool_session_idle_ms (session, now_ms) > 0;

      // The host that forwards a session closes it between two statements.
      if (pool_session_is_forwarded (session) && !close_transactions)
        continue;
      if (close_all || pool_session_is_idle (session) || waits_for_caller)
        pool_session_close (session);
    }
  g_list_free (sessions);
}

static void
check_forwarded_sessions (PoolServer *server, int64_t now_ms)
{
  GList *sessions;

  if (!pool_server_has_owners (server) || now_ms - server->forwards_checked_ms < FORWARD_CHECK_MS)
    return;
  server->forwards_checked_ms = now_ms;
  sessions = g_hash_table_get_keys (server->sessions);
  for (GList *node = sessions; node != NULL; node = node->next)
    pool_session_check_forward (node->data);
  g_list_free (sessions);
}

static void send_view (PoolServer *server, Service *service, bool released);

/* In a fleet with owners, this host acts for a service while sessions use it. */
static void
update_activity (PoolServer *server, Service *service, int64_t now_ms)
{
  if (!pool_server_has_owners (server) || service_group_is_used (service->group))
    service->used_ms = now_ms;
  if (service->used_ms > 0 && now_ms - service->used_ms < OWNER_IDLE_MS)
    {
      if (service->active)
        return;
      service->active = true;
      log_event (LOG_LEVEL_NOTICE, "owner", "service=%s value=1",
                 service_group_name (service->group));
      primary_change_manager_activate (service->change_manager);
      service->views_sent = 0;
      send_view (server, service, false);
      return;
    }
  if (!service->active || !primary_change_manager_is_idle (service->change_manager))
    return;
  service->active = false;
  log_event (LOG_LEVEL_NOTICE, "owner", "service=%s value=0", service_group_name (service->group));
  service_group_close_idle (service->group);
  send_view (server, service, true);
}

static void
on_tick (void *data)
{
  PoolServer *server = data;
  const int64_t now_ms = clock_now_ms ();
  GHashTableIter iter;
  void *value;

  timer_set (server->options.timers, &server->tick, TICK_MS);
  g_hash_table_iter_init (&iter, server->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Service *service = value;

      update_activity (server, service, now_ms);
      if (!service->active)
        continue;
      service_group_tick (service->group, now_ms);
      primary_change_manager_tick (service->change_manager, now_ms);
    }
  check_forwarded_sessions (server, now_ms);
  if (server->drain_started_ms > 0 && now_ms - server->drain_started_ms >= LEAVE_NOTICE_MS)
    close_idle_sessions (server, now_ms);
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
  server->sessions = g_hash_table_new (NULL, NULL);
  server->groups = g_hash_table_new (g_str_hash, g_str_equal);
  server->instances = g_array_new (false, true, sizeof (InstanceInfo));
  server->listen_fde = tevent_add_fd (events, server, fd, TEVENT_FD_READ, on_accept, server);
  server->link_fde
      = tevent_add_fd (events, server, link_fd, TEVENT_FD_READ, on_accept_forwarded, server);
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

static Service *
add_service (PoolServer *server, const char *name)
{
  const PoolServerOptions *options = &server->options;
  const ServiceGroupOptions group_options = {
    .events = server->events,
    .timers = options->timers,
    .codec = options->codec,
    .failure_domain = options->failure_domain,
    .region = options->region,
    .domain_region = options->domain_region,
    .refresh_instances = options->refresh_instances,
    .data = options->data,
  };
  PrimaryChangeManagerOptions manager_options = {
    .directory = options->directory,
    .mesh = options->mesh,
    .counters = options->counters,
    .metrics = options->metrics,
    .host = options->host,
  };
  Service *service = talloc_zero (server, Service);

  service->group = service_group_new (service, &group_options, name);
  manager_options.group = service->group;
  service->change_manager = primary_change_manager_new (service, &manager_options);
  g_hash_table_insert (server->groups, (void *) service_group_name (service->group), service);
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
      Service *service = g_hash_table_lookup (server->groups, entry->name);

      if (service == NULL)
        {
          service = add_service (server, entry->name);
          assign_instances (server, service->group);
        }
      primary_change_manager_configure (service->change_manager, entry);
      service->owners = service_owners_per_domain (
          entry->connection_limit, g_hash_table_size (server->options.domain_region));
    }
}

Catalog *
pool_server_catalog (const PoolServer *server)
{
  return server->catalog;
}

void
pool_server_set_instances (PoolServer *server, const GArray *infos)
{
  GHashTableIter iter;
  void *service;

  g_array_set_size (server->instances, 0);
  g_array_append_vals (server->instances, infos->data, infos->len);
  g_hash_table_iter_init (&iter, server->groups);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    assign_instances (server, ((const Service *) service)->group);
}

ServiceGroup *
pool_server_group (PoolServer *server, const char *service)
{
  Service *found = g_hash_table_lookup (server->groups, service);

  if (found == NULL)
    return NULL;
  // Using the group makes this host an owner of the service.
  found->used_ms = clock_now_ms ();
  if (!found->active)
    update_activity (server, found, found->used_ms);
  return found->group;
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

static OwnerRequest
owner_request (const PoolServer *server, const Service *service)
{
  return (OwnerRequest){
    .service = service_group_name (service->group),
    .failure_domain = server->options.failure_domain,
    .region = server->options.region,
    .owners = service->owners,
  };
}

OwnerChoice
pool_server_find_owner (PoolServer *server, const char *service, uint64_t session, uint32_t attempt,
                        Host *owner)
{
  const HostView *view = peer_mesh_view (server->options.mesh);
  const Service *found = g_hash_table_lookup (server->groups, service);
  OwnerRequest request;
  int index;

  if (found == NULL)
    return OWNER_NONE;
  request = owner_request (server, found);
  request.session = session;
  index = service_owners_pick (view, &request, attempt);
  if (index < 0)
    return OWNER_NONE;
  if (view->hosts[index].id_hash == peer_mesh_self_id (server->options.mesh))
    return OWNER_SELF;
  if (is_avoided (server, view->hosts[index].id_hash))
    return OWNER_AVOIDED;
  *owner = view->hosts[index];
  return OWNER_OTHER;
}

/* Adds the hosts whose rank in their failure domain is from @from to below @to to @set. */
static void
add_expected_owners (PoolServer *server, const Service *service, uint32_t from, uint32_t to,
                     int64_t expires_ms, OwnerSet *set)
{
  const HostView *view = peer_mesh_view (server->options.mesh);
  OwnerRequest request = owner_request (server, service);
  GHashTableIter iter;
  void *domain, *region;

  g_hash_table_iter_init (&iter, server->options.domain_region);
  while (g_hash_table_iter_next (&iter, &domain, &region))
    {
      request.failure_domain = domain;
      request.region = region;
      if (!host_view_has_domain (view, domain))
        continue;
      for (uint32_t i = from; i < to; i++)
        {
          const int index = service_owners_pick (view, &request, i);

          if (index >= 0 && view->hosts[index].id_hash != peer_mesh_self_id (server->options.mesh))
            owner_set_add (set, peer_mesh_pack_address (&view->hosts[index]), expires_ms);
        }
    }
}

static void
send_view (PoolServer *server, Service *service, bool released)
{
  const int64_t now_ms = clock_now_ms ();
  const bool extended = released || service->views_sent++ % EXTENDED_VIEW_INTERVAL == 0;
  OwnerSet *set = &service->owner_set;
  OwnerSet targets;
  uint64_t owners[OWNERS_PER_HEARTBEAT];
  Pool__ServiceBeat entry = POOL__SERVICE_BEAT__INIT;

  if (!pool_server_has_owners (server))
    return;
  owner_set_expire (set, now_ms);
  add_expected_owners (server, service, 0, service->owners, now_ms + OWNER_KNOWN_MS, set);
  primary_change_manager_fill_heartbeat (service->change_manager, &entry);
  entry.released = released;
  entry.owners = owners;
  if (extended)
    for (uint32_t i = 0; i < MIN (set->count, OWNERS_PER_HEARTBEAT); i++)
      owners[entry.n_owners++] = set->addresses[service->next_owner++ % set->count];
  targets = *set;
  if (extended)
    add_expected_owners (server, service, service->owners, service->owners + STANDBY_OWNERS, now_ms,
                         &targets);
  peer_mesh_send_service (server->options.mesh, &entry, targets.addresses, targets.count);
  g_free (entry.instances);
  g_free (entry.wanted);
}

void
pool_server_send_services (PoolServer *server)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, server->groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((const Service *) value)->active)
      send_view (server, value, false);
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
  heartbeat->services = g_new0 (Pool__ServiceBeat *, g_hash_table_size (server->groups));
  g_hash_table_iter_init (&iter, server->groups);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    {
      Pool__ServiceBeat *entry = g_new (Pool__ServiceBeat, 1);

      pool__service_beat__init (entry);
      primary_change_manager_fill_heartbeat (((const Service *) service)->change_manager, entry);
      heartbeat->services[heartbeat->n_services++] = entry;
    }
}

static Service *
find_by_hash (const PoolServer *server, uint32_t hash)
{
  GHashTableIter iter;
  void *name, *service;

  g_hash_table_iter_init (&iter, server->groups);
  while (g_hash_table_iter_next (&iter, &name, &service))
    if (peer_mesh_name_hash (name) == hash)
      return service;
  return NULL;
}

static void
record_owners (PoolServer *server, Service *service, uint64_t address,
               const Pool__ServiceBeat *heartbeat)
{
  const int64_t expires_ms = clock_now_ms () + OWNER_KNOWN_MS;

  if (heartbeat->released)
    owner_set_remove (&service->owner_set, address);
  else
    owner_set_add (&service->owner_set, address, expires_ms);
  for (size_t i = 0; i < heartbeat->n_owners; i++)
    owner_set_add (&service->owner_set, heartbeat->owners[i], expires_ms);
}

void
pool_server_receive_heartbeat (PoolServer *server, uint64_t peer, uint64_t address,
                               const Pool__ServiceBeat *heartbeat, int64_t sent_ms)
{
  Service *service = find_by_hash (server, heartbeat->service);

  if (service == NULL)
    return;
  if (pool_server_has_owners (server))
    record_owners (server, service, address, heartbeat);
  if (heartbeat->released)
    primary_change_manager_forget_peer (service->change_manager, peer);
  else if (service->active || !pool_server_has_owners (server))
    primary_change_manager_receive_heartbeat (service->change_manager, peer, heartbeat, sent_ms);
}

void
pool_server_forget_peer (PoolServer *server, uint64_t peer)
{
  GHashTableIter iter;
  void *service;

  g_hash_table_iter_init (&iter, server->groups);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    primary_change_manager_forget_peer (((const Service *) service)->change_manager, peer);
}

bool
pool_server_may_log (PoolServer *server, Verdict verdict, int64_t now_ms, uint32_t *dropped)
{
  *dropped = 0;
  return verdict == VERDICT_MAY_HAVE_RUN
         || log_rate_limit_allow (&server->log_limits[verdict], now_ms, dropped);
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
         && server->drain_started_ms == 0;
}

void
pool_server_drain (PoolServer *server, int64_t limit_ms)
{
  if (server->drain_started_ms > 0)
    return;
  server->drain_started_ms = clock_now_ms ();
  server->drain_limit_ms = limit_ms;
  peer_mesh_drain (server->options.mesh);
  log_event (LOG_LEVEL_NOTICE, "draining", "sessions=%u limit_ms=%" G_GINT64_FORMAT,
             g_hash_table_size (server->sessions), limit_ms);
}

bool
pool_server_is_drained (const PoolServer *server)
{
  const int64_t since_ms = clock_now_ms () - server->drain_started_ms;

  if (server->drain_started_ms == 0 || since_ms < LEAVE_NOTICE_MS)
    return false;
  return g_hash_table_size (server->sessions) == 0 || since_ms >= server->drain_limit_ms;
}
