#include "standin/database-group.h"

#include <string.h>

#include "base/clock.h"
#include "standin/backend-server.h"

#define TICK_US 1000

struct DatabaseGroup
{
  DatabaseGroupOptions options;
  struct tevent_context *events;
  GroupLog *log;
  SqlDatabase *databases[GROUP_INSTANCES_MAX];
  BackendServer *servers[GROUP_INSTANCES_MAX];
  bool paused[GROUP_INSTANCES_MAX];
  bool down[GROUP_INSTANCES_MAX];
  bool partitioned[GROUP_INSTANCES_MAX];
};

static const char *const fault_names[STANDIN_FAULT_COUNT] = {
  [STANDIN_FAULT_DOWN] = "down",   [STANDIN_FAULT_CUT] = "cut", [STANDIN_FAULT_SILENT] = "silent",
  [STANDIN_FAULT_PAUSE] = "pause", [STANDIN_FAULT_LAG] = "lag", [STANDIN_FAULT_SLOW] = "slow",
};

static bool
apply_record (void *data, uint32_t instance, const LogRecord *record)
{
  DatabaseGroup *group = data;

  return sql_database_apply (group->databases[instance], record->statements);
}

static void
reset_instance (void *data, uint32_t instance)
{
  DatabaseGroup *group = data;

  // Sessions hold the old database open, so they are closed first.
  backend_server_close_sessions (group->servers[instance]);
  sql_database_free (group->databases[instance]);
  group->databases[instance] = sql_database_new ();
}

static void
demote_instance (void *data, uint32_t instance)
{
  DatabaseGroup *group = data;

  backend_server_roll_back (group->servers[instance]);
}

static const GroupLogEvents log_events = { apply_record, reset_instance, demote_instance };

static void group_tick (struct tevent_context *events, struct tevent_timer *timer,
                        struct timeval now, void *data);

static void
schedule_tick (DatabaseGroup *group)
{
  tevent_add_timer (group->events, group, tevent_timeval_current_ofs (0, TICK_US), group_tick,
                    group);
}

static void
group_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
            void *data)
{
  DatabaseGroup *group = data;
  int64_t now_ms = clock_now_ms ();

  group_log_tick (group->log, now_ms);
  for (uint32_t i = 0; i < group->options.instance_count; i++)
    backend_server_tick (group->servers[i], now_ms);
  schedule_tick (group);
}

static int
group_destroy (DatabaseGroup *group)
{
  for (uint32_t i = 0; i < group->options.instance_count; i++)
    {
      TALLOC_FREE (group->servers[i]);
      sql_database_free (group->databases[i]);
    }
  group_log_free (group->log);
  return 0;
}

static int64_t
domain_delay_ms (const DatabaseGroupOptions *options, uint32_t from, uint32_t to)
{
  if (options->delay == NULL)
    return 0;
  return options->delay (options->instances[from].failure_domain,
                         options->instances[to].failure_domain, options->delay_data)
         / 1000;
}

static void
set_delays (DatabaseGroup *group)
{
  const DatabaseGroupOptions *options = &group->options;

  for (uint32_t i = 0; i < options->instance_count; i++)
    {
      group_log_set_lag (group->log, i, options->lag_ms);
      for (uint32_t j = 0; j < options->instance_count; j++)
        group_log_set_delay (group->log, i, j, domain_delay_ms (options, i, j));
    }
}

DatabaseGroup *
database_group_new (TALLOC_CTX *parent, struct tevent_context *events,
                    const DatabaseGroupOptions *options)
{
  DatabaseGroup *group = talloc_zero (parent, DatabaseGroup);

  group->options = *options;
  group->events = events;
  group->log = group_log_new (options->instance_count, &log_events, group);
  talloc_set_destructor (group, group_destroy);
  set_delays (group);
  for (uint32_t i = 0; i < options->instance_count; i++)
    group->databases[i] = sql_database_new ();
  for (uint32_t i = 0; i < options->instance_count; i++)
    {
      const BackendServerOptions server = { group, i, &group->options };

      group->servers[i] = backend_server_new (group, events, &server);
      if (group->servers[i] == NULL)
        {
          talloc_free (group);
          return NULL;
        }
    }
  schedule_tick (group);
  return group;
}

uint16_t
database_group_port (const DatabaseGroup *group, uint32_t instance)
{
  return backend_server_port (group->servers[instance]);
}

const char *
database_group_name (const DatabaseGroup *group)
{
  return group->options.name;
}

int
database_group_find (const DatabaseGroup *group, const char *name)
{
  for (uint32_t i = 0; i < group->options.instance_count; i++)
    if (strcmp (group->options.instances[i].name, name) == 0)
      return (int) i;
  return -1;
}

bool
standin_fault_parse (const char *name, StandinFault *fault)
{
  for (int i = 0; i < STANDIN_FAULT_COUNT; i++)
    if (strcmp (fault_names[i], name) == 0)
      {
        *fault = (StandinFault) i;
        return true;
      }
  return false;
}

/* An instance that is down or paused exchanges no records either. */
static void
update_partitioned (DatabaseGroup *group, uint32_t instance)
{
  group_log_set_partitioned (group->log, instance,
                             group->partitioned[instance] || group->down[instance]
                                 || group->paused[instance]);
}

void
database_group_set_fault (DatabaseGroup *group, uint32_t instance, StandinFault fault,
                          int64_t value)
{
  BackendServer *server = group->servers[instance];

  switch (fault)
    {
    case STANDIN_FAULT_DOWN:
      group->down[instance] = value > 0;
      backend_server_set_down (server, value > 0);
      break;
    case STANDIN_FAULT_CUT:
      group->partitioned[instance] = value > 0;
      break;
    case STANDIN_FAULT_SILENT:
      backend_server_blackhole (server);
      break;
    case STANDIN_FAULT_PAUSE:
      group->paused[instance] = value > 0;
      backend_server_set_paused (server, value > 0);
      break;
    case STANDIN_FAULT_LAG:
      group_log_set_lag (group->log, instance, value);
      break;
    case STANDIN_FAULT_SLOW:
      backend_server_set_service_time (server,
                                       value > 0 ? (uint32_t) value : group->options.service_us);
      break;
    case STANDIN_FAULT_COUNT:
      break;
    }
  update_partitioned (group, instance);
}

StandinStats
database_group_stats (const DatabaseGroup *group, uint32_t instance)
{
  return backend_server_stats (group->servers[instance]);
}

InstanceStatus
database_group_status (const DatabaseGroup *group, uint32_t instance)
{
  return group_log_status (group->log, instance, clock_now_ms ());
}

GroupLog *
database_group_log (DatabaseGroup *group)
{
  return group->log;
}

SqlDatabase *
database_group_database (DatabaseGroup *group, uint32_t instance)
{
  return group->databases[instance];
}
