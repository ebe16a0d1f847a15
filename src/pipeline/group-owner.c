#include "pipeline/group-owner.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "pipeline/owner-job.h"

/* An owner without instances is freed this long after its last use. */
#define UNUSED_TIMEOUT_MS 10000
/* Connections kept open while idle: one for each slot, and this many for urgent work. */
#define EXTRA_IDLE_CONNECTIONS 1

static void
retry_waiting_connections (InstanceOwner *instance)
{
  guint count = g_queue_get_length (&instance->waiting_connection);

  while (count-- > 0)
    {
      OwnerJob *job = g_queue_pop_head (&instance->waiting_connection);

      if (job == NULL)
        return;
      if (!owner_job_acquire_connection (job))
        g_queue_push_tail (&instance->waiting_connection, job);
    }
}

static void
recheck_waiting_catchup (InstanceOwner *instance)
{
  guint count = g_queue_get_length (&instance->waiting_catchup);

  for (guint i = 0; i < count; i++)
    {
      OwnerJob *job = g_queue_peek_head (&instance->waiting_catchup);

      if (job == NULL)
        return;
      // A job that need not wait any longer removes itself from the list.
      owner_job_recheck (job);
      if (g_queue_peek_head (&instance->waiting_catchup) == job)
        g_queue_push_tail (&instance->waiting_catchup,
                           g_queue_pop_head (&instance->waiting_catchup));
    }
}

static bool
is_changing_primary (const InstanceOwner *instance)
{
  GroupMonitor *monitor = instance->group->monitor;

  return !group_monitor_is_stable (monitor)
         && group_monitor_primary (monitor) == (int32_t) instance->index;
}

static void
dispatch_instance (InstanceOwner *instance)
{
  int64_t now_ms = clock_now_ms ();
  AdmissionItem *item;

  retry_waiting_connections (instance);
  while ((item = traced_queue_expire (instance->queue, now_ms)) != NULL)
    owner_job_expire (item->data);
  // While a planned change of primary is pending, only open transactions may continue.
  if (is_changing_primary (instance))
    {
      while ((item = traced_queue_next_front (instance->queue)) != NULL)
        owner_job_run (item->data);
      return;
    }
  for (;;)
    {
      bool non_urgent_capacity = backend_pool_has_capacity (instance->pool, false);

      item = NULL;
      if (non_urgent_capacity || backend_pool_has_capacity (instance->pool, true))
        item = traced_queue_next (instance->queue, !non_urgent_capacity, now_ms);
      if (item == NULL)
        item = traced_queue_next_front (instance->queue);
      if (item == NULL)
        return;
      owner_job_run (item->data);
    }
}

void
group_owner_dispatch (GroupOwner *group)
{
  if (group->dispatching)
    {
      group->dispatch_again = true;
      return;
    }
  group->dispatching = true;
  do
    {
      group->dispatch_again = false;
      for (uint32_t i = 0; i < group->service->instance_count; i++)
        dispatch_instance (&group->instances[i]);
    }
  while (group->dispatch_again);
  group->dispatching = false;
}

/* Queues all waiting jobs again. Those that can't run on the instance any more are refused, and
 * the entry host routes them to another instance. */
static void
requeue_waiting_jobs (InstanceOwner *instance)
{
  GPtrArray *jobs = g_ptr_array_new ();
  AdmissionItem *item;
  OwnerJob *job;

  while ((job = g_queue_pop_head (&instance->waiting_connection)) != NULL)
    g_ptr_array_add (jobs, job);
  while ((item = traced_queue_drain (instance->queue)) != NULL)
    g_ptr_array_add (jobs, item->data);
  for (guint i = 0; i < jobs->len; i++)
    owner_job_requeue (jobs->pdata[i]);
  g_ptr_array_free (jobs, true);
}

static void
update_role (InstanceOwner *instance)
{
  GroupMonitor *monitor = instance->group->monitor;
  bool serving = group_monitor_is_responding (monitor, instance->index);
  bool primary = group_monitor_primary (monitor) == (int32_t) instance->index;
  bool lost = (instance->serving && !serving) || (instance->primary && !primary);

  instance->serving = serving;
  instance->primary = primary;
  if (lost)
    requeue_waiting_jobs (instance);
}

static bool
is_busy (const GroupOwner *group)
{
  int32_t primary = group_monitor_primary (group->monitor);

  if (g_hash_table_size (group->transactions) > 0)
    return true;
  return primary >= 0
         && admission_queue_running (traced_queue_inner (group->instances[primary].queue)) > 0;
}

static void
on_changed (void *data)
{
  GroupOwner *group = data;

  group_monitor_set_busy (group->monitor, is_busy (group));
  for (uint32_t i = 0; i < group->service->instance_count; i++)
    {
      update_role (&group->instances[i]);
      recheck_waiting_catchup (&group->instances[i]);
    }
  group_owner_dispatch (group);
}

static void
on_released (void *data, void *response, GateResult result)
{
  owner_job_released (response, result);
}

static void
on_sampled (void *data, void *waiter, SessionToken position)
{
  owner_job_sampled (waiter, position);
}

static void
on_resolved (void *data, void *waiter, bool known, bool committed, SessionToken position)
{
  owner_job_resolved (waiter, known, committed, position);
}

static void
on_available (void *data)
{
  InstanceOwner *instance = data;

  group_owner_dispatch (instance->group);
}

static int
group_destroy (GroupOwner *group)
{
  // The destructors of jobs and transactions use these tables.
  for (uint32_t i = 0; i < group->service->instance_count; i++)
    TALLOC_FREE (group->instances[i].pool);
  TALLOC_FREE (group->monitor);
  talloc_free_children (group);
  for (uint32_t i = 0; i < group->service->instance_count; i++)
    {
      g_queue_clear (&group->instances[i].waiting_catchup);
      g_queue_clear (&group->instances[i].waiting_connection);
      traced_queue_free (group->instances[i].queue);
    }
  g_hash_table_destroy (group->jobs);
  g_hash_table_destroy (group->transactions);
  service_config_unref (group->service);
  return 0;
}

static void
add_instance (GroupOwner *group, uint32_t index)
{
  InstanceOwner *instance = &group->instances[index];
  const AdmissionOptions admission = service_config_admission (group->service);
  const BackendPoolOptions pool = {
    .worker = group->worker,
    .service = group->service,
    .instance = &group->service->instances[index],
    .available = on_available,
    .data = instance,
  };

  instance->group = group;
  instance->index = index;
  instance->queue = traced_queue_new (&admission, daemon_trace (group->worker->daemon),
                                      worker_next_id (group->worker) & INT64_MAX);
  instance->pool = backend_pool_new (group, &pool);
  g_queue_init (&instance->waiting_catchup);
  g_queue_init (&instance->waiting_connection);
}

GroupOwner *
group_owner_new (TALLOC_CTX *parent, Worker *worker, ServiceConfig *service)
{
  GroupOwner *group = talloc_zero (parent, GroupOwner);
  GroupMonitorOptions monitor = {
    .worker = worker,
    .changed = on_changed,
    .released = on_released,
    .sampled = on_sampled,
    .resolved = on_resolved,
    .data = group,
  };

  group->worker = worker;
  group->service = service_config_ref (service);
  group->created_ms = clock_now_ms ();
  group->used_ms = group->created_ms;
  group->jobs = g_hash_table_new (g_int64_hash, g_int64_equal);
  group->transactions = g_hash_table_new (g_int64_hash, g_int64_equal);
  monitor.service = group->service;
  group->monitor = group_monitor_new (group, &monitor);
  for (uint32_t i = 0; i < service->instance_count; i++)
    add_instance (group, i);
  talloc_set_destructor (group, group_destroy);
  return group;
}

bool
group_owner_same_instances (const GroupOwner *group, const ServiceConfig *service)
{
  if (service->instance_count != group->service->instance_count)
    return false;
  for (uint32_t i = 0; i < service->instance_count; i++)
    {
      const InstanceConfig *a = &group->service->instances[i];
      const InstanceConfig *b = &service->instances[i];

      if (strcmp (a->name, b->name) != 0 || strcmp (a->address, b->address) != 0
          || a->port != b->port)
        return false;
    }
  return true;
}

void
group_owner_configure (GroupOwner *group, ServiceConfig *service)
{
  const AdmissionOptions admission = service_config_admission (service);
  ServiceConfig *old = group->service;

  if (old == service)
    return;
  group->service = service_config_ref (service);
  group_monitor_configure (group->monitor, group->service);
  for (uint32_t i = 0; i < service->instance_count; i++)
    {
      traced_queue_configure (group->instances[i].queue, &admission);
      backend_pool_configure (group->instances[i].pool, group->service,
                              &group->service->instances[i]);
    }
  service_config_unref (old);
  group_owner_dispatch (group);
}

void
group_owner_set_owned (GroupOwner *group, uint32_t instance, bool owned)
{
  InstanceOwner *owner = &group->instances[instance];

  if (owner->owned == owned)
    return;
  owner->owned = owned;
  log_event (LOG_LEVEL_INFO, "ownership", "service=%s instance=%s owned=%d", group->service->name,
             group->service->instances[instance].name, owned);
}

OwnerTransaction *
group_owner_transaction (GroupOwner *group, uint64_t session)
{
  return g_hash_table_lookup (group->transactions, &session);
}

OwnerTransaction *
group_owner_open_transaction (InstanceOwner *instance, uint64_t session, Origin origin,
                              PooledConnection *connection)
{
  GroupOwner *group = instance->group;
  OwnerTransaction *stale = group_owner_transaction (group, session);
  OwnerTransaction *transaction;
  PooledCallbacks callbacks;

  if (stale != NULL)
    group_owner_drop_transaction (group, stale);
  transaction = talloc_zero (group, OwnerTransaction);
  transaction->session = session;
  transaction->origin = origin;
  transaction->instance = instance;
  transaction->connection = connection;
  transaction->used_ms = clock_now_ms ();
  backend_pool_set_callbacks (connection,
                              owner_job_transaction_callbacks (transaction, &callbacks));
  g_hash_table_insert (group->transactions, &transaction->session, transaction);
  daemon_add_jobs (group->worker->daemon, 1);
  return transaction;
}

PooledConnection *
group_owner_close_transaction (GroupOwner *group, OwnerTransaction *transaction)
{
  PooledConnection *connection = transaction->connection;

  g_hash_table_remove (group->transactions, &transaction->session);
  daemon_add_jobs (group->worker->daemon, -1);
  talloc_free (transaction);
  return connection;
}

void
group_owner_drop_transaction (GroupOwner *group, OwnerTransaction *transaction)
{
  if (transaction->job != NULL)
    {
      transaction->rollback_pending = true;
      return;
    }
  backend_pool_drop (group_owner_close_transaction (group, transaction));
}

static OwnerJob *
find_job (GroupOwner *group, uint64_t request)
{
  return g_hash_table_lookup (group->jobs, &request);
}

void
group_owner_receive (GroupOwner *group, Origin origin, Frame *frame)
{
  OwnerTransaction *transaction;
  OwnerJob *job;

  switch (frame->body_case)
    {
    case PERIDOTSTEP__FRAME__BODY_EXECUTE:
      owner_job_start (group, origin, frame);
      return;
    case PERIDOTSTEP__FRAME__BODY_CREDIT:
      job = find_job (group, frame->credit->request);
      if (job != NULL)
        owner_job_credit (job, frame->credit->bytes);
      break;
    case PERIDOTSTEP__FRAME__BODY_CANCEL:
      job = find_job (group, frame->cancel->request);
      if (job != NULL)
        owner_job_cancel (job);
      break;
    case PERIDOTSTEP__FRAME__BODY_SESSION_END:
      transaction = group_owner_transaction (group, frame->session_end->session);
      if (transaction != NULL)
        group_owner_drop_transaction (group, transaction);
      break;
    default:
      break;
    }
  frame_free (frame);
}

static bool
same_origin (Origin a, Origin b)
{
  return a.worker == b.worker && a.link == b.link;
}

static void
foreach_job (GroupOwner *group, void (*visit) (OwnerJob *job, int64_t now_ms), int64_t now_ms)
{
  GPtrArray *ids = g_ptr_array_new ();
  GHashTableIter iter;
  void *key;

  // The callback may end any job, so each one is looked up again.
  g_hash_table_iter_init (&iter, group->jobs);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    g_ptr_array_add (ids, g_memdup2 (key, sizeof (uint64_t)));
  for (guint i = 0; i < ids->len; i++)
    {
      OwnerJob *job = g_hash_table_lookup (group->jobs, ids->pdata[i]);

      if (job != NULL)
        visit (job, now_ms);
      g_free (ids->pdata[i]);
    }
  g_ptr_array_free (ids, true);
}

void
group_owner_origin_lost (GroupOwner *group, Origin origin)
{
  GList *jobs = g_hash_table_get_values (group->jobs);
  GList *transactions = g_hash_table_get_values (group->transactions);

  for (GList *l = transactions; l != NULL; l = l->next)
    if (same_origin (((OwnerTransaction *) l->data)->origin, origin))
      group_owner_drop_transaction (group, l->data);
  g_list_free (transactions);
  for (GList *l = jobs; l != NULL; l = l->next)
    if (same_origin (owner_job_origin (l->data), origin))
      owner_job_orphan (l->data);
  g_list_free (jobs);
}

static void
end_idle_transactions (GroupOwner *group, int64_t now_ms)
{
  GList *transactions = g_hash_table_get_values (group->transactions);

  for (GList *l = transactions; l != NULL; l = l->next)
    {
      OwnerTransaction *transaction = l->data;

      if (transaction->job != NULL
          || now_ms - transaction->used_ms < group->service->idle_transaction_ms)
        continue;
      log_event (LOG_LEVEL_NOTICE, "idle_transaction_ended", "service=%s idle_ms=%" G_GINT64_FORMAT,
                 group->service->name, now_ms - transaction->used_ms);
      group_owner_drop_transaction (group, transaction);
    }
  g_list_free (transactions);
}

void
group_owner_tick (GroupOwner *group, int64_t now_ms)
{
  end_idle_transactions (group, now_ms);
  foreach_job (group, owner_job_tick, now_ms);
  for (uint32_t i = 0; i < group->service->instance_count; i++)
    {
      InstanceOwner *instance = &group->instances[i];

      backend_pool_tick (instance->pool, now_ms);
      backend_pool_shrink (instance->pool,
                           instance->owned ? group->service->slots + EXTRA_IDLE_CONNECTIONS : 0);
    }
  group_owner_dispatch (group);
}

bool
group_owner_is_unused (const GroupOwner *group, int64_t now_ms)
{
  for (uint32_t i = 0; i < group->service->instance_count; i++)
    if (group->instances[i].owned)
      return false;
  return g_hash_table_size (group->jobs) == 0 && g_hash_table_size (group->transactions) == 0
         && now_ms - group->used_ms >= UNUSED_TIMEOUT_MS;
}
