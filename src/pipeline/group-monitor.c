#include "pipeline/group-monitor.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "pipeline/control-connection.h"
#include "policy/freshness.h"

#define TICK_MS 25
#define POLL_IDLE_MS 500
#define POLL_LEAST_MS 50
/* A waiting poll is kept short, since the next one confirms reads that came after it. */
#define POLL_WAIT_MS 20
#define SQL_BYTES 192

/* One instance as it is polled. */
typedef struct
{
  GroupMonitor *monitor;
  uint32_t index;
  ControlConnection *control;
  int64_t polled_us;
  SessionToken wanted; /* position waiting reads need applied */
} Probe;

typedef struct
{
  int64_t since_us;
  void *waiter;
} SampleWaiter;

struct GroupMonitor
{
  GroupMonitorOptions options;
  Probe probes[GROUP_INSTANCES_MAX];
  uint32_t count;
  CommitGate *gate;
  Failover *failover;
  Freshness freshness;
  int64_t confirm_us;
  int64_t poll_interval_ms;
  GArray *samples;
  FailoverPhase phase;
  bool planned;
};

static void
poll_probe (Probe *probe)
{
  GroupMonitor *monitor = probe->monitor;
  SessionToken target = { 0, 0 };
  SessionToken applied = failover_instance_status (monitor->failover, probe->index)->applied;
  const char *what = "received";
  int wait_ms = 0;
  char sql[SQL_BYTES];

  if (!session_token_covers (applied, probe->wanted))
    {
      target = probe->wanted;
      what = "applied";
      wait_ms = POLL_WAIT_MS;
    }
  else if (monitor->confirm_us <= probe->polled_us
           && commit_gate_awaited_position (monitor->gate, probe->index, &target))
    wait_ms = POLL_WAIT_MS;
  probe->polled_us = clock_now_us ();
  g_snprintf (sql, sizeof sql,
              "SELECT * FROM peridotstep_status(%" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT
              ", %d, '%s')",
              target.term, target.position, wait_ms, what);
  control_connection_query (probe->control, CONTROL_QUERY_STATUS, sql, NULL);
}

static bool
poll_is_due (const Probe *probe, int64_t now_us)
{
  GroupMonitor *monitor = probe->monitor;
  SessionToken target;

  if (!control_connection_is_idle (probe->control))
    return false;
  if (monitor->confirm_us > probe->polled_us)
    return true;
  if (commit_gate_awaited_position (monitor->gate, probe->index, &target)
      || commit_gate_needs_confirmation (monitor->gate, probe->index))
    return true;
  if (!session_token_covers (failover_instance_status (monitor->failover, probe->index)->applied,
                             probe->wanted))
    return true;
  return now_us - probe->polled_us >= monitor->poll_interval_ms * 1000;
}

static void
poll_all (GroupMonitor *monitor)
{
  int64_t now_us = clock_now_us ();

  for (uint32_t i = 0; i < monitor->count; i++)
    if (poll_is_due (&monitor->probes[i], now_us))
      poll_probe (&monitor->probes[i]);
}

static void
release_held (GroupMonitor *monitor)
{
  GatedResponse ticket;
  GateResult result;

  while (commit_gate_pop (monitor->gate, clock_now_ms (), &ticket, &result))
    monitor->options.released (monitor->options.data, ticket.data, result);
}

static void
log_phase (GroupMonitor *monitor)
{
  static const char *const names[] = {
    [FAILOVER_MONITORING] = "watching", [FAILOVER_HOLDING] = "holding",
    [FAILOVER_ADVANCING] = "advancing", [FAILOVER_PROMOTING] = "promoting",
    [FAILOVER_BACKOFF] = "backoff",
  };
  FailoverPhase phase = failover_phase (monitor->failover);

  if (phase == monitor->phase)
    return;
  if (phase == FAILOVER_HOLDING)
    monitor->planned = true;
  log_event (LOG_LEVEL_NOTICE, "failover_phase",
             "service=%s phase=%s term=%" G_GUINT64_FORMAT " primary=%d",
             monitor->options.service->name, names[phase], failover_term (monitor->failover),
             failover_primary (monitor->failover));
  monitor->phase = phase;
}

static void
send_order (GroupMonitor *monitor, const FailoverCommand *order)
{
  char sql[SQL_BYTES];

  switch (order->kind)
    {
    case FAILOVER_ADVANCE_TERM:
      g_snprintf (sql, sizeof sql, "SELECT peridotstep_advance_term(%" G_GUINT64_FORMAT ")",
                  order->term);
      break;
    case FAILOVER_PROMOTE:
      g_snprintf (sql, sizeof sql, "SELECT peridotstep_promote(%" G_GUINT64_FORMAT ")",
                  order->term);
      break;
    case FAILOVER_FOLLOW:
      g_snprintf (sql, sizeof sql, "SELECT peridotstep_follow(%" G_GUINT64_FORMAT ", '%s')",
                  order->term, monitor->options.service->instances[order->primary].name);
      break;
    }
  log_event (LOG_LEVEL_NOTICE, "failover_order", "service=%s instance=%s sql=\"%s\"",
             monitor->options.service->name,
             monitor->options.service->instances[order->instance].name, sql);
  control_connection_query (monitor->probes[order->instance].control, CONTROL_QUERY_COMMAND, sql,
                            g_memdup2 (order, sizeof *order));
}

static void
run_failover (GroupMonitor *monitor)
{
  FailoverCommand order;

  failover_tick (monitor->failover, clock_now_ms ());
  while (failover_next_command (monitor->failover, &order))
    send_order (monitor, &order);
  log_phase (monitor);
}

static InstanceStatus
read_status (GroupMonitor *monitor, const ControlResult *answer)
{
  const ServiceConfig *service = monitor->options.service;
  InstanceStatus status = { .answered_ms = clock_now_ms (), .following = -1 };

  if (strcmp (answer->fields[0], "primary") == 0)
    status.role = ROLE_PRIMARY;
  else if (strcmp (answer->fields[0], "fenced") == 0)
    status.role = ROLE_FENCED;
  status.term = strtoull (answer->fields[1], NULL, 10);
  session_token_parse (answer->fields[2], &status.received);
  session_token_parse (answer->fields[3], &status.applied);
  status.heard_primary_ms = strtoll (answer->fields[4], NULL, 10);
  for (uint32_t i = 0; i < service->instance_count; i++)
    if (strcmp (service->instances[i].name, answer->fields[5]) == 0)
      status.following = (int32_t) i;
  return status;
}

static void
release_samples (GroupMonitor *monitor)
{
  for (guint i = monitor->samples->len; i-- > 0;)
    {
      SampleWaiter sample = g_array_index (monitor->samples, SampleWaiter, i);
      SessionToken position;

      if (!commit_gate_majority_position (monitor->gate, sample.since_us, &position))
        continue;
      g_array_remove_index (monitor->samples, i);
      monitor->options.sampled (monitor->options.data, sample.waiter, position);
    }
}

/* The primary's position as of a time at which a majority still followed it. */
static void
note_primary_position (GroupMonitor *monitor, const InstanceStatus *status, int64_t began_us)
{
  int64_t confirmed_us = commit_gate_confirmed_us (monitor->gate, status->term);

  if (confirmed_us > 0)
    freshness_sample (&monitor->freshness, MIN (began_us, confirmed_us) / 1000, status->received);
}

static void
take_status (Probe *probe, const ControlResult *answer)
{
  GroupMonitor *monitor = probe->monitor;
  InstanceStatus status = read_status (monitor, answer);
  const GateReport report = { probe->index, status.term, status.received, answer->sent_us };

  failover_record_status (monitor->failover, probe->index, &status);
  commit_gate_report (monitor->gate, &report);
  if ((int32_t) probe->index == failover_primary (monitor->failover))
    note_primary_position (monitor, &status, answer->sent_us);
  release_samples (monitor);
  if (session_token_covers (status.applied, probe->wanted))
    probe->wanted = (SessionToken){ 0, 0 };
}

/* The term names the promotion: whoever records it, there is one per term. */
static void
audit_promotion (GroupMonitor *monitor, const FailoverCommand *order)
{
  const ServiceConfig *service = monitor->options.service;
  Daemon *daemon = monitor->options.worker->daemon;
  char *key = g_strdup_printf ("audit-promotion-%s-%" G_GUINT64_FORMAT, service->name, order->term);
  GDateTime *now = g_date_time_new_now_utc ();
  char *time = g_date_time_format_iso8601 (now);

  daemon_audit (daemon, key,
                json_pack ("{s:s, s:I, s:s, s:s, s:s, s:b}", "service", service->name, "term",
                           (json_int_t) order->term, "instance",
                           service->instances[order->instance].name, "time", time, "host",
                           daemon_options (daemon)->self.id, "planned", monitor->planned));
  g_free (time);
  g_date_time_unref (now);
  g_free (key);
}

static void
take_order_result (Probe *probe, const ControlResult *answer)
{
  GroupMonitor *monitor = probe->monitor;
  FailoverCommand *order = answer->tag;
  bool accepted = answer->ok && strcmp (answer->fields[0], "t") == 0;

  failover_command_done (monitor->failover, order, accepted, clock_now_ms ());
  if (order->kind == FAILOVER_PROMOTE && accepted)
    {
      counter_add (monitor->options.worker->counters,
                   monitor->planned ? COUNTER_SWITCHOVERS : COUNTER_FAILOVERS, 1);
      log_event (LOG_LEVEL_NOTICE, "promoted",
                 "service=%s instance=%s term=%" G_GUINT64_FORMAT " planned=%d",
                 monitor->options.service->name,
                 monitor->options.service->instances[order->instance].name, order->term,
                 monitor->planned);
      audit_promotion (monitor, order);
      monitor->planned = false;
    }
  g_free (order);
}

static void
take_resolved (Probe *probe, const ControlResult *answer)
{
  SessionToken position = { 0, 0 };
  bool known = answer->ok && session_token_parse (answer->fields[1], &position);
  bool committed = known && strcmp (answer->fields[0], "committed") == 0;
  GroupMonitor *monitor = probe->monitor;

  monitor->options.resolved (monitor->options.data, answer->tag, known, committed, position);
}

static void
on_answer (void *data, const ControlResult *answer)
{
  Probe *probe = data;
  GroupMonitor *monitor = probe->monitor;

  switch (answer->kind)
    {
    case CONTROL_QUERY_STATUS:
      if (!answer->ok)
        return;
      take_status (probe, answer);
      break;
    case CONTROL_QUERY_COMMAND:
      take_order_result (probe, answer);
      break;
    case CONTROL_QUERY_RESOLVE:
      take_resolved (probe, answer);
      break;
    }
  run_failover (monitor);
  release_held (monitor);
  monitor->options.changed (monitor->options.data);
  if (poll_is_due (probe, clock_now_us ()))
    poll_probe (probe);
}

static void on_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
                     void *data);

static void
schedule_tick (GroupMonitor *monitor)
{
  tevent_add_timer (monitor->options.worker->events, monitor,
                    tevent_timeval_current_ofs (0, TICK_MS * 1000), on_tick, monitor);
}

static void
on_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now, void *data)
{
  GroupMonitor *monitor = data;
  int64_t now_ms = clock_now_ms ();

  schedule_tick (monitor);
  for (uint32_t i = 0; i < monitor->count; i++)
    control_connection_tick (monitor->probes[i].control, now_ms);
  poll_all (monitor);
  run_failover (monitor);
  release_held (monitor);
  monitor->options.changed (monitor->options.data);
}

static int
monitor_destroy (GroupMonitor *monitor)
{
  commit_gate_free (monitor->gate);
  failover_free (monitor->failover);
  g_array_free (monitor->samples, true);
  service_config_unref (monitor->options.service);
  return 0;
}

/* Ages are judged from polls, so the polls must be closer together than the least age. */
static int64_t
poll_interval_ms (const ServiceConfig *service)
{
  int64_t interval_ms = POLL_IDLE_MS;

  for (uint32_t i = 0; i < service->class_count; i++)
    if (service->classes[i].max_age_ms > 0)
      interval_ms = MIN (interval_ms, service->classes[i].max_age_ms / 4);
  return MAX (interval_ms, POLL_LEAST_MS);
}

static void
add_probes (GroupMonitor *monitor)
{
  const ServiceConfig *service = monitor->options.service;

  for (uint32_t i = 0; i < monitor->count; i++)
    {
      const ControlConnectionOptions control = {
        .worker = monitor->options.worker,
        .service = service,
        .instance = &service->instances[i],
        .silent_after_ms = service->suspect_after_ms / 4,
        .result = on_answer,
        .data = &monitor->probes[i],
      };

      monitor->probes[i].monitor = monitor;
      monitor->probes[i].index = i;
      monitor->probes[i].control = control_connection_new (monitor, &control);
      failover_set_leaving (monitor->failover, i, service->instances[i].leaving);
    }
}

GroupMonitor *
group_monitor_new (TALLOC_CTX *parent, const GroupMonitorOptions *options)
{
  GroupMonitor *monitor = talloc_zero (parent, GroupMonitor);
  const ServiceConfig *service = options->service;
  const FailoverOptions failover = {
    .instance_count = service->instance_count,
    .suspect_after_ms = service->suspect_after_ms,
    .step_timeout_ms = service->step_timeout_ms,
    .rank_delay_ms = service->rank_delay_ms,
    .seed = worker_next_id (options->worker),
  };

  monitor->options = *options;
  monitor->options.service = service_config_ref (options->service);
  monitor->count = service->instance_count;
  monitor->gate = commit_gate_new (monitor->count);
  monitor->failover = failover_new (&failover);
  monitor->samples = g_array_new (false, false, sizeof (SampleWaiter));
  monitor->poll_interval_ms = poll_interval_ms (service);
  talloc_set_destructor (monitor, monitor_destroy);
  add_probes (monitor);
  schedule_tick (monitor);
  return monitor;
}

void
group_monitor_configure (GroupMonitor *monitor, ServiceConfig *service)
{
  service_config_unref (monitor->options.service);
  monitor->options.service = service_config_ref (service);
  monitor->poll_interval_ms = poll_interval_ms (service);
  for (uint32_t i = 0; i < monitor->count; i++)
    {
      control_connection_configure (monitor->probes[i].control, service, &service->instances[i]);
      failover_set_leaving (monitor->failover, i, service->instances[i].leaving);
    }
}

void
group_monitor_set_rank (GroupMonitor *monitor, uint32_t rank)
{
  failover_set_rank (monitor->failover, rank);
}

void
group_monitor_set_busy (GroupMonitor *monitor, bool busy)
{
  failover_set_busy (monitor->failover, busy);
}

const InstanceStatus *
group_monitor_status (const GroupMonitor *monitor, uint32_t instance)
{
  return failover_instance_status (monitor->failover, instance);
}

int32_t
group_monitor_primary (const GroupMonitor *monitor)
{
  return failover_primary (monitor->failover);
}

uint64_t
group_monitor_term (const GroupMonitor *monitor)
{
  return failover_term (monitor->failover);
}

bool
group_monitor_is_stable (const GroupMonitor *monitor)
{
  return failover_phase (monitor->failover) == FAILOVER_MONITORING;
}

bool
group_monitor_has_majority (const GroupMonitor *monitor)
{
  return failover_majority_is_responding (monitor->failover, clock_now_ms ());
}

bool
group_monitor_is_responding (const GroupMonitor *monitor, uint32_t instance)
{
  return failover_is_responding (monitor->failover, instance, clock_now_ms ());
}

int64_t
group_monitor_age_ms (const GroupMonitor *monitor, SessionToken applied)
{
  return freshness_age_ms (&monitor->freshness, applied, clock_now_ms ());
}

void
group_monitor_confirm (GroupMonitor *monitor)
{
  monitor->confirm_us = clock_now_us ();
  poll_all (monitor);
}

void
group_monitor_hold (GroupMonitor *monitor, int32_t holder, const GatedResponse *ticket)
{
  if (holder >= 0)
    commit_gate_record_position (monitor->gate, (uint32_t) holder, ticket->position);
  commit_gate_add (monitor->gate, ticket);
  poll_all (monitor);
  release_held (monitor);
}

void
group_monitor_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position)
{
  failover_record_applied (monitor->failover, instance, position);
}

void
group_monitor_await_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position)
{
  Probe *probe = &monitor->probes[instance];

  if (probe->wanted.position == 0 || session_token_compare (position, probe->wanted) < 0)
    probe->wanted = position;
  poll_all (monitor);
}

void
group_monitor_sample (GroupMonitor *monitor, void *waiter)
{
  const SampleWaiter sample = { clock_now_us (), waiter };

  g_array_append_val (monitor->samples, sample);
  group_monitor_confirm (monitor);
}

void
group_monitor_remove_waiter (GroupMonitor *monitor, const void *waiter)
{
  for (guint i = monitor->samples->len; i-- > 0;)
    if (g_array_index (monitor->samples, SampleWaiter, i).waiter == waiter)
      g_array_remove_index (monitor->samples, i);
}

void
group_monitor_resolve (GroupMonitor *monitor, const char *transaction_id, void *waiter)
{
  int32_t primary = group_monitor_primary (monitor);
  char sql[SQL_BYTES];

  if (primary < 0)
    {
      monitor->options.resolved (monitor->options.data, waiter, false, false,
                                 (SessionToken){ 0, 0 });
      return;
    }
  g_snprintf (sql, sizeof sql, "SELECT * FROM peridotstep_resolve('%s')", transaction_id);
  control_connection_query (monitor->probes[primary].control, CONTROL_QUERY_RESOLVE, sql, waiter);
}
