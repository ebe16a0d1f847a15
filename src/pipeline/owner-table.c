#include "pipeline/owner-table.h"

#include <string.h>

#include "base/clock.h"
#include "base/verdict.h"
#include "pipeline/group-owner.h"

#define TICK_MS 100
/* Number of ranks of the ownership order that are checked for this host. Its rank there is also its
 * rank among the hosts that decide on a failover. */
#define RANKS_CHECKED 3

struct OwnerTable
{
  Worker *worker;
  GHashTable *by_name; /* GroupOwner */
  GPtrArray *retired;  /* owners of an earlier set of instances */
  uint64_t config_version;
  uint64_t view_version;
};

static bool
is_assigned_service (const OwnerTable *table, const char *service)
{
  return host_hash (service) % daemon_worker_count (table->worker->daemon) == table->worker->index;
}

static bool
is_self (const OwnerTable *table, const Host *host)
{
  return strcmp (host->id, daemon_options (table->worker->daemon)->self.id) == 0;
}

static bool
owns (const OwnerTable *table, const ServiceConfig *service, uint32_t index, uint32_t rank)
{
  const InstanceConfig *instance = &service->instances[index];
  const Host *self = &daemon_options (table->worker->daemon)->self;
  Host host;

  // Most instances of a large fleet are in other failure domains, whose own hosts own them.
  if (rank == 0 && strcmp (instance->failure_domain, self->failure_domain) != 0
      && daemon_domain_has_hosts (table->worker->daemon, instance->failure_domain))
    return false;
  return daemon_owner (table->worker->daemon, instance_hash (service->name, instance->name),
                       instance->failure_domain, instance->region, rank, &host)
         && is_self (table, &host);
}

static GroupOwner *
add_group (OwnerTable *table, ServiceConfig *service)
{
  GroupOwner *group = group_owner_new (table, table->worker, service);

  g_hash_table_replace (table->by_name, g_strdup (service->name), group);
  return group;
}

/* Finds or creates the owner of the service, with the current configuration. It is freed once
 * unused. */
static GroupOwner *
ensure_group (OwnerTable *table, ServiceConfig *service)
{
  GroupOwner *group = g_hash_table_lookup (table->by_name, service->name);

  if (group == NULL)
    return add_group (table, service);
  if (group_owner_same_instances (group, service))
    {
      group_owner_configure (group, service);
      return group;
    }
  for (uint32_t i = 0; i < group->service->instance_count; i++)
    group_owner_set_owned (group, i, false);
  g_ptr_array_add (table->retired, group);
  return add_group (table, service);
}

static uint32_t
failover_rank (OwnerTable *table, GroupOwner *group)
{
  int32_t primary = group_monitor_primary (group->monitor);
  uint32_t index = primary < 0 ? 0 : (uint32_t) primary;

  for (uint32_t rank = 0; rank < RANKS_CHECKED; rank++)
    if (owns (table, group->service, index, rank))
      return rank;
  return RANKS_CHECKED;
}

static void
update_service (ServiceConfig *service, void *data)
{
  OwnerTable *table = data;
  GroupOwner *group = g_hash_table_lookup (table->by_name, service->name);
  bool owned[GROUP_INSTANCES_MAX] = { false };
  bool any = false;

  if (!is_assigned_service (table, service->name))
    return;
  for (uint32_t i = 0; i < service->instance_count; i++)
    {
      owned[i] = owns (table, service, i, 0);
      any = any || owned[i];
    }
  if (group == NULL && !any)
    return;
  group = ensure_group (table, service);
  for (uint32_t i = 0; i < service->instance_count; i++)
    group_owner_set_owned (group, i, owned[i]);
}

static void
update_ownership (OwnerTable *table)
{
  Daemon *daemon = table->worker->daemon;
  uint64_t config_version = daemon_config_version (daemon);
  uint64_t view_version = daemon_view_version (daemon);
  ConfigDocument *document;

  if (table->config_version == config_version && table->view_version == view_version)
    return;
  table->config_version = config_version;
  table->view_version = view_version;
  document = daemon_config (daemon);
  if (document == NULL)
    return;
  config_document_foreach (document, update_service, table);
  config_document_unref (document);
}

static void
tick_retired (OwnerTable *table, int64_t now_ms)
{
  for (guint i = table->retired->len; i-- > 0;)
    {
      GroupOwner *group = table->retired->pdata[i];

      group_owner_tick (group, now_ms);
      if (!group_owner_is_unused (group, now_ms))
        continue;
      g_ptr_array_remove_index_fast (table->retired, i);
      talloc_free (group);
    }
}

static void
tick_groups (OwnerTable *table, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GroupOwner *group = value;

      group_monitor_set_rank (group->monitor, failover_rank (table, group));
      group_owner_tick (group, now_ms);
      if (!group_owner_is_unused (group, now_ms))
        continue;
      g_hash_table_iter_remove (&iter);
      talloc_free (group);
    }
}

static void on_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
                     void *data);

static void
schedule_tick (OwnerTable *table)
{
  tevent_add_timer (table->worker->events, table, tevent_timeval_current_ofs (0, TICK_MS * 1000),
                    on_tick, table);
}

static void
on_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now, void *data)
{
  OwnerTable *table = data;
  int64_t now_ms = clock_now_ms ();

  schedule_tick (table);
  update_ownership (table);
  tick_groups (table, now_ms);
  tick_retired (table, now_ms);
}

static int
table_destroy (OwnerTable *table)
{
  GList *groups = g_hash_table_get_values (table->by_name);

  for (GList *l = groups; l != NULL; l = l->next)
    talloc_free (l->data);
  g_list_free (groups);
  for (guint i = 0; i < table->retired->len; i++)
    talloc_free (table->retired->pdata[i]);
  g_ptr_array_free (table->retired, true);
  g_hash_table_destroy (table->by_name);
  return 0;
}

OwnerTable *
owner_table_new (TALLOC_CTX *parent, Worker *worker)
{
  OwnerTable *table = talloc_zero (parent, OwnerTable);

  table->worker = worker;
  table->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table->retired = g_ptr_array_new ();
  talloc_set_destructor (table, table_destroy);
  schedule_tick (table);
  return table;
}

static void
refuse_unknown (OwnerTable *table, Origin origin, Frame *frame)
{
  Frame *done;

  if (frame->body_case == PERIDOTSTEP__FRAME__BODY_EXECUTE)
    {
      done = frame_new (PERIDOTSTEP__FRAME__BODY_DONE);
      done->done->request = frame->execute->request;
      done->done->instance = frame->execute->instance;
      done->done->refusal = REFUSAL_UNKNOWN_SERVICE;
      worker_reply (table->worker, origin, done, worker_lane (frame->execute->priority));
    }
  frame_free (frame);
}

static GroupOwner *
group_for (OwnerTable *table, const char *name)
{
  GroupOwner *group = g_hash_table_lookup (table->by_name, name);
  ServiceConfig *service;

  if (group != NULL)
    return group;
  service = daemon_service (table->worker->daemon, name);
  if (service == NULL)
    return NULL;
  group = ensure_group (table, service);
  service_config_unref (service);
  return group;
}

/* Transactions that began with an earlier set of instances stay with the owner of that set. */
static GroupOwner *
retired_group_of (OwnerTable *table, const Frame *frame)
{
  uint64_t session = 0;

  if (frame->body_case == PERIDOTSTEP__FRAME__BODY_EXECUTE)
    session = frame->execute->session;
  else if (frame->body_case == PERIDOTSTEP__FRAME__BODY_SESSION_END)
    session = frame->session_end->session;
  for (guint i = 0; i < table->retired->len; i++)
    {
      GroupOwner *group = table->retired->pdata[i];

      if (session != 0 && group_owner_transaction (group, session) != NULL)
        return group;
    }
  return NULL;
}

void
owner_table_receive (OwnerTable *table, Origin origin, Frame *frame)
{
  GroupOwner *group = retired_group_of (table, frame);

  if (group == NULL)
    group = group_for (table, frame_service (frame));
  if (group == NULL)
    refuse_unknown (table, origin, frame);
  else
    group_owner_receive (group, origin, frame);
}

void
owner_table_origin_lost (OwnerTable *table, Origin origin)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    group_owner_origin_lost (value, origin);
  for (guint i = 0; i < table->retired->len; i++)
    group_owner_origin_lost (table->retired->pdata[i], origin);
}
