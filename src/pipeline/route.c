#include "pipeline/route.h"

#include <string.h>

#include "base/clock.h"
#include "pipeline/request.h"
#include "pipeline/sampler.h"

/* While no primary is known, one waiting request per interval is sent out to find it. */
#define WAIT_INTERVAL_US 25000

struct RouteTable
{
  Worker *worker;
  GHashTable *by_name;
  GHashTable *avoided; /* host id -> int64_t *until_ms */
};

struct ServiceRoute
{
  RouteTable *table;
  char *name;
  ServiceConfig *config;
  uint64_t config_version;
  uint64_t view_version;
  InstanceView views[GROUP_INSTANCES_MAX];
  Host owners[GROUP_INSTANCES_MAX];
  GQueue waiting;
  struct tevent_timer *wait_timer;
  Sampler *sampler;
};

static int
route_destroy (ServiceRoute *route)
{
  service_config_unref (route->config);
  g_queue_clear (&route->waiting);
  return 0;
}

static int
table_destroy (RouteTable *table)
{
  g_hash_table_destroy (table->by_name);
  g_hash_table_destroy (table->avoided);
  return 0;
}

RouteTable *
route_table_new (TALLOC_CTX *parent, Worker *worker)
{
  RouteTable *table = talloc_zero (parent, RouteTable);

  table->worker = worker;
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  table->avoided = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  talloc_set_destructor (table, table_destroy);
  return table;
}

static Distance
distance_to (Worker *worker, const InstanceConfig *instance)
{
  const Host *self = &daemon_options (worker->daemon)->self;

  if (strcmp (self->failure_domain, instance->failure_domain) == 0)
    return DISTANCE_DOMAIN;
  if (strcmp (self->region, instance->region) == 0)
    return DISTANCE_REGION;
  return DISTANCE_REMOTE;
}

static void
refresh_owners (ServiceRoute *route, Worker *worker)
{
  route->view_version = daemon_view_version (worker->daemon);
  for (uint32_t i = 0; i < route->config->instance_count; i++)
    {
      const InstanceConfig *instance = &route->config->instances[i];

      route->views[i].owned
          = daemon_owner (worker->daemon, instance_hash (route->name, instance->name),
                          instance->failure_domain, instance->region, 0, &route->owners[i]);
    }
}

/* Keeps the state of the instances that remain. */
static void
refresh_config (ServiceRoute *route, Worker *worker, ServiceConfig *config)
{
  InstanceView views[GROUP_INSTANCES_MAX] = { 0 };

  for (uint32_t i = 0; i < config->instance_count; i++)
    {
      for (uint32_t j = 0; route->config != NULL && j < route->config->instance_count; j++)
        if (strcmp (route->config->instances[j].name, config->instances[i].name) == 0)
          views[i] = route->views[j];
      views[i].distance = distance_to (worker, &config->instances[i]);
      views[i].leaving = config->instances[i].leaving;
    }
  memcpy (route->views, views, sizeof views);
  if (route->config != NULL)
    service_config_unref (route->config);
  route->config = config;
  refresh_owners (route, worker);
}

static ServiceRoute *
route_new (RouteTable *table, const char *name)
{
  ServiceRoute *route = talloc_zero (table, ServiceRoute);

  route->table = table;
  route->name = talloc_strdup (route, name);
  g_queue_init (&route->waiting);
  route->sampler = sampler_new (route, table->worker, name);
  g_hash_table_insert (table->by_name, route->name, route);
  return route;
}

ServiceRoute *
route_find (Worker *worker, const char *service)
{
  ServiceRoute *route = g_hash_table_lookup (worker->routes->by_name, service);
  uint64_t version = daemon_config_version (worker->daemon);

  if (route == NULL || route->config_version != version)
    {
      ServiceConfig *config = daemon_service (worker->daemon, service);

      if (config == NULL)
        return NULL;
      if (route == NULL)
        {
          route = route_new (worker->routes, service);
          talloc_set_destructor (route, route_destroy);
        }
      route->config_version = version;
      refresh_config (route, worker, config);
    }
  if (route->view_version != daemon_view_version (worker->daemon))
    refresh_owners (route, worker);
  return route;
}

ServiceConfig *
route_config (const ServiceRoute *route)
{
  return route->config;
}

const InstanceView *
route_views (const ServiceRoute *route)
{
  return route->views;
}

void
route_avoid_host (Worker *worker, const char *host_id, int64_t until_ms)
{
  g_hash_table_replace (worker->routes->avoided, g_strdup (host_id),
                        g_memdup2 (&until_ms, sizeof until_ms));
}

static bool
is_avoided (RouteTable *table, const char *host_id)
{
  const int64_t *until_ms = g_hash_table_lookup (table->avoided, host_id);

  if (until_ms == NULL)
    return false;
  if (clock_now_ms () < *until_ms)
    return true;
  g_hash_table_remove (table->avoided, host_id);
  return false;
}

bool
route_owner (ServiceRoute *route, uint32_t instance, uint32_t rank, Host *host)
{
  const InstanceConfig *config = &route->config->instances[instance];

  if (rank == 0 && !route->views[instance].owned)
    return false;
  if (rank == 0 && !is_avoided (route->table, route->owners[instance].id))
    {
      *host = route->owners[instance];
      return true;
    }
  rank = MAX (rank, 1);
  return daemon_owner (route->table->worker->daemon, instance_hash (route->name, config->name),
                       config->failure_domain, config->region, rank, host);
}

static void
dispatch_waiting (ServiceRoute *route)
{
  guint count = g_queue_get_length (&route->waiting);

  while (count-- > 0 && !g_queue_is_empty (&route->waiting))
    request_dispatch (g_queue_pop_head (&route->waiting));
}

static void
update_primary (ServiceRoute *route, uint32_t instance, uint64_t term)
{
  InstanceView *view = &route->views[instance];
  bool is_new = !view->primary || view->term != term;

  if (term < view->term)
    return;
  view->primary = true;
  view->term = term;
  if (!is_new || replica_choice_primary (route->views, route->config->instance_count) < 0)
    return;
  view->refused_until_ms = 0;
  dispatch_waiting (route);
}

void
route_update_instance (ServiceRoute *route, uint32_t instance,
                       const Peridotstep__InstanceNews *report)
{
  InstanceView *view;

  if (report == NULL || !report->known || instance >= route->config->instance_count)
    return;
  view = &route->views[instance];
  view->seen_ms = clock_now_ms ();
  view->applied = frame_token (report->applied);
  view->age_ms = report->age_ms;
  view->wait_us = report->wait_us;
  if (report->term >= view->term)
    {
      view->term = report->term;
      view->primary = false;
    }
  if (report->primary)
    update_primary (route, instance, report->term);
  if (report->primary_hint > 0 && report->primary_hint <= route->config->instance_count)
    update_primary (route, report->primary_hint - 1, report->primary_hint_term);
}

void
route_refused (ServiceRoute *route, uint32_t instance, int64_t until_ms)
{
  if (instance < route->config->instance_count)
    route->views[instance].refused_until_ms = until_ms;
}

static void schedule_wait_timer (ServiceRoute *route);

static void
on_wait_timer (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
               void *data)
{
  ServiceRoute *route = data;
  Request *request = g_queue_pop_head (&route->waiting);

  route->wait_timer = NULL;
  if (request != NULL)
    request_dispatch (request);
  if (!g_queue_is_empty (&route->waiting))
    schedule_wait_timer (route);
}

static void
schedule_wait_timer (ServiceRoute *route)
{
  if (route->wait_timer != NULL)
    return;
  route->wait_timer
      = tevent_add_timer (route->table->worker->events, route,
                          tevent_timeval_current_ofs (0, WAIT_INTERVAL_US), on_wait_timer, route);
}

void
route_wake_waiters (ServiceRoute *route)
{
  if (!g_queue_is_empty (&route->waiting))
    dispatch_waiting (route);
}

void
route_wait_primary (ServiceRoute *route, Request *request)
{
  g_queue_push_tail (&route->waiting, request);
  schedule_wait_timer (route);
}

void
route_wait_sample (ServiceRoute *route, Request *request)
{
  sampler_wait (route->sampler, request);
}

void
route_remove_waiter (ServiceRoute *route, Request *request)
{
  g_queue_remove (&route->waiting, request);
  sampler_remove_waiter (route->sampler, request);
}
