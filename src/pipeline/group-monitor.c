#include "pipeline/group-monitor.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "pipeline/control-connection.h"
#include "policy/freshness.h"

#define TICK_MS 25
#define POLL_INTERVAL_MAX_MS 500
#define POLL_INTERVAL_MIN_MS 50
/* Longest wait of a poll at the server. Kept short, since only the next poll can confirm reads
 * that arrived after it was sent. */
#define POLL_WAIT_MS 20
#define SQL_BYTES 192

/* Polling state of one instance. */
typedef struct
{
  GroupMonitor *monitor;
  uint32_t index;
  ControlConnection *control;
  int64_t polled_us;
  SessionToken awaited; /* position that waiting reads need applied */
} PolledInstance;

typedef struct
{
  int64_t since_us; /* time of the request */
  void *waiter;
} SampleWaiter;

struct GroupMonitor
{
  GroupMonitorOptions options;
  PolledInstance polled[GROUP_INSTANCES_MAX];
  uint32_t count;
  CommitGate *gate;
  Failover *failover;
  Freshness freshness;
  int64_t confirm_us; /* time of the latest request for a confirmation */
  int64_t poll_interval_ms;
  GArray *samples;
  FailoverPhase phase;
  bool planned;
};

static void
send_poll (PolledInstance *polled)
{
  GroupMonitor *monitor = polled->monitor;
  SessionToken target = { 0, 0 };
  SessionToken applied = failover_instance_status (monitor->failover, polled->index)->applied;
  const char *progress = "received";
  int wait_ms = 0;
  char sql[SQL_BYTES];

  if (!session_token_covers (applied, polled->awaited))
    {
      target = polled->awaited;
      progress = "applied";
      wait_ms = POLL_WAIT_MS;
    }
  else if (monitor->confirm_us <= polled->polled_us
           && commit_gate_awaited_position (monitor->gate, polled->index, &target))
    wait_ms = POLL_WAIT_MS;
  polled->polled_us = clock_now_us ();
  g_snprintf (sql, sizeof sql,
              "SELECT * FROM peridotstep_status(%" G_GUINT64_FORMAT ", %" G_GUINT64_FORMAT
              ", %d, '%s')",
              target.term, target.position, wait_ms, progress);
  control_connection_query (polled->control, CONTROL_QUERY_STATUS, sql, NULL);
}

static bool
poll_is_due (const PolledInstance *polled, int64_t now_us)
{
  GroupMonitor *monitor = polled->monitor;
  SessionToken target;

  if (!control_connection_is_idle (polled->control))
    return false;
  if (monitor->confirm_us > polled->polled_us
      || failover_awaits_status (monitor->failover, polled->index))
    return true;
  if (commit_gate_awaited_position (monitor->gate, polled->index, &target)
      || commit_gate_needs_confirmation (monitor->gate, polled->index))
    return true;
  if (!session_token_covers (failover_instance_status (monitor->failover, polled->index)->applied,
                             polled->awaited))
    return true;
  return now_us - polled->polled_us >= monitor->poll_interval_ms * 1000;
}

static void
poll_all (GroupMonitor *monitor)
{
  int64_t now_us = clock_now_us ();

  for (uint32_t i = 0; i < monitor->count; i++)
    if (poll_is_due (&monitor->polled[i], now_us))
      send_poll (&monitor->polled[i]);
}

static void
release_responses (GroupMonitor *monitor)
{
  GatedResponse response;
  GateResult result;

  while (commit_gate_pop (monitor->gate, clock_now_ms (), &response, &result))
    monitor->options.released (monitor->options.data, response.data, result);
}

static void
log_phase (GroupMonitor *monitor)
{
  static const char *const phase_names[] = {
    [FAILOVER_MONITORING] = "monitoring", [FAILOVER_HOLDING] = "holding",
    [FAILOVER_ADVANCING] = "advancing",   [FAILOVER_PROMOTING] = "promoting",
    [FAILOVER_BACKOFF] = "backoff",
  };
  FailoverPhase phase = failover_phase (monitor->failover);

  if (phase == monitor->phase)
    return;
  if (phase == FAILOVER_HOLDING)
    monitor->planned = true;
  log_event (LOG_LEVEL_NOTICE, "failover_phase",
             "service=%s phase=%s term=%" G_GUINT64_FORMAT " primary=%d",
             monitor->options.service->name, phase_names[phase], failover_term (monitor->failover),
             failover_primary (monitor->failover));
  monitor->phase = phase;
}

static void
send_command (GroupMonitor *monitor, const FailoverCommand *command)
{
  char sql[SQL_BYTES];

  switch (command->kind)
    {
    case FAILOVER_ADVANCE_TERM:
      g_snprintf (sql, sizeof sql, "SELECT peridotstep_advance_term(%" G_GUINT64_FORMAT ")",
                  command->term);
      break;
    case FAILOVER_PROMOTE:
      g_snprintf (sql, sizeof sql, "SELECT peridotstep_promote(%" G_GUINT64_FORMAT ")",
                  command->term);
      break;
    case FAILOVER_FOLLOW:
      g_snprintf (sql, sizeof sql, "SELECT peridotstep_follow(%" G_GUINT64_FORMAT ", '%s')",
                  command->term, monitor->options.service->instances[command->primary].name);
      break;
    }
  log_event (LOG_LEVEL_NOTICE, "failover_order", "service=%s instance=%s sql=\"%s\"",
             monitor->options.service->name,
             monitor->options.service->instances[command->instance].name, sql);
  control_connection_query (monitor->polled[command->instance].control, CONTROL_QUERY_COMMAND, sql,
                            g_memdup2 (command, sizeof *command));
}

static void
run_failover (GroupMonitor *monitor)
{
  FailoverCommand command;

  failover_tick (monitor->failover, clock_now_ms ());
  while (failover_next_command (monitor->failover, &command))
    send_command (monitor, &command);
  log_phase (monitor);
}

static InstanceStatus
read_status (GroupMonitor *monitor, const ControlResult *result)
{
  const ServiceConfig *service = monitor->options.service;
  InstanceStatus status = { .answered_ms = clock_now_ms (), .following = -1 };

  if (strcmp (result->fields[0], "primary") == 0)
    status.role = ROLE_PRIMARY;
  else if (strcmp (result->fields[0], "fenced") == 0)
    status.role = ROLE_FENCED;
  status.term = strtoull (result->fields[1], NULL, 10);
  session_token_parse (result->fields[2], &status.received);
  session_token_parse (result->fields[3], &status.applied);
  status.heard_primary_ms = strtoll (result->fields[4], NULL, 10);
  for (uint32_t i = 0; i < service->instance_count; i++)
    if (strcmp (service->instances[i].name, result->fields[5]) == 0)
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

/* Records the primary's position as of a time when a majority still followed it. */
static void
record_primary_position (GroupMonitor *monitor, const InstanceStatus *status, int64_t sent_us)
{
  int64_t confirmed_us = commit_gate_confirmed_us (monitor->gate, status->term);

  if (confirmed_us > 0)
    freshness_sample (&monitor->freshness, MIN (sent_us, confirmed_us) / 1000, status->received);
}

static void
handle_status (PolledInstance *polled, const ControlResult *result)
{
  GroupMonitor *monitor = polled->monitor;
  InstanceStatus status = read_status (monitor, result);
  const GateReport report = { polled->index, status.term, status.received, result->sent_us };

  failover_record_status (monitor->failover, polled->index, &status);
  commit_gate_report (monitor->gate, &report);
  if ((int32_t) polled->index == failover_primary (monitor->failover))
    record_primary_position (monitor, &status, result->sent_us);
  release_samples (monitor);
  if (session_token_covers (status.applied, polled->awaited))
    polled->awaited = (SessionToken){ 0, 0 };
}

/* There is one promotion per term, so the term makes the key unique, whichever host records it. */
static void
audit_promotion (GroupMonitor *monitor, const FailoverCommand *command)
{
  const ServiceConfig *service = monitor->options.service;
  Daemon *daemon = monitor->options.worker->daemon;
  char *key
      = g_strdup_printf ("audit-promotion-%s-%" G_GUINT64_FORMAT, service->name, command->term);
  GDateTime *now = g_date_time_new_now_utc ();
  char *time = g_date_time_format_iso8601 (now);

  daemon_audit (daemon, key,
                json_pack ("{s:s, s:I, s:s, s:s, s:s, s:b}", "service", service->name, "term",
                           (json_int_t) command->term, "instance",
                           service->instances[command->instance].name, "time", time, "host",
                           daemon_options (daemon)->self.id, "planned", monitor->planned));
  g_free (time);
  g_date_time_unref (now);
  g_free (key);
}

static void
handle_command_result (PolledInstance *polled, const ControlResult *result)
{
  GroupMonitor *monitor = polled->monitor;
  FailoverCommand *command = result->tag;
  bool accepted = result->ok && strcmp (result->fields[0], "t") == 0;

  failover_command_done (monitor->failover, command, accepted, clock_now_ms ());
  if (command->kind == FAILOVER_PROMOTE && accepted)
    {
      counter_add (monitor->options.worker->counters,
                   monitor->planned ? COUNTER_SWITCHOVERS : COUNTER_FAILOVERS, 1);
      log_event (LOG_LEVEL_NOTICE, "promoted",
                 "service=%s instance=%s term=%" G_GUINT64_FORMAT " planned=%d",
                 monitor->options.service->name,
                 monitor->options.service->instances[command->instance].name, command->term,
                 monitor->planned);
      audit_promotion (monitor, command);
      monitor->planned = false;
    }
  g_free (command);
}

static void
handle_resolved (PolledInstance *polled, const ControlResult *result)
{
  SessionToken position = { 0, 0 };
  bool known = result->ok && session_token_parse (result->fields[1], &position);
  bool committed = known && strcmp (result->fields[0], "committed") == 0;
  GroupMonitor *monitor = polled->monitor;

  monitor->options.resolved (monitor->options.data, result->tag, known, committed, position);
}

static void
on_result (void *data, const ControlResult *result)
{
  PolledInstance *polled = data;
  GroupMonitor *monitor = polled->monitor;

  switch (result->kind)
    {
    case CONTROL_QUERY_STATUS:
      if (!result->ok)
        return;
      handle_status (polled, result);
      break;
    case CONTROL_QUERY_COMMAND:
      handle_command_result (polled, result);
      break;
    case CONTROL_QUERY_RESOLVE:
      handle_resolved (polled, result);
      break;
    }
  run_failover (monitor);
  release_responses (monitor);
  monitor->options.changed (monitor->options.data);
  if (poll_is_due (polled, clock_now_us ()))
    send_poll (polled);
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
    control_connection_tick (monitor->polled[i].control, now_ms);
  poll_all (monitor);
  run_failover (monitor);
  release_responses (monitor);
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

/* Data ages are computed from polls, so polls must be closer together than the smallest age
 * limit. */
static int64_t
poll_interval_ms (const ServiceConfig *service)
{
  int64_t interval_ms = POLL_INTERVAL_MAX_MS;

  for (uint32_t i = 0; i < service->class_count; i++)
    if (service->classes[i].max_age_ms > 0)
      interval_ms = MIN (interval_ms, service->classes[i].max_age_ms / 4);
  return MAX (interval_ms, POLL_INTERVAL_MIN_MS);
}

static void
add_instances (GroupMonitor *monitor)
{
  const ServiceConfig *service = monitor->options.service;

  for (uint32_t i = 0; i < monitor->count; i++)
    {
      const ControlConnectionOptions control = {
        .worker = monitor->options.worker,
        .service = service,
        .instance = &service->instances[i],
        .response_timeout_ms = service->suspect_after_ms / 4,
        .result = on_result,
        .data = &monitor->polled[i],
      };

      monitor->polled[i].monitor = monitor;
      monitor->polled[i].index = i;
      monitor->polled[i].control = control_connection_new (monitor, &control);
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
  add_instances (monitor);
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
      control_connection_configure (monitor->polled[i].control, service, &service->instances[i]);
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
group_monitor_hold (GroupMonitor *monitor, int32_t holder, const GatedResponse *response)
{
  if (holder >= 0)
    commit_gate_record_position (monitor->gate, (uint32_t) holder, response->position);
  commit_gate_add (monitor->gate, response);
  poll_all (monitor);
  release_responses (monitor);
}

void
group_monitor_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position)
{
  failover_record_applied (monitor->failover, instance, position);
}

void
group_monitor_await_applied (GroupMonitor *monitor, uint32_t instance, SessionToken position)
{
  PolledInstance *polled = &monitor->polled[instance];

  if (polled->awaited.position == 0 || session_token_compare (position, polled->awaited) < 0)
    polled->awaited = position;
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
  control_connection_query (monitor->polled[primary].control, CONTROL_QUERY_RESOLVE, sql, waiter);
}
