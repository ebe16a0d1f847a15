#include "pool/host-registry.h"

#include "base/log.h"

/* Interval between reads of the host list. New hosts also become known by their heartbeats, and
 * through the hosts that receive those. */
#define READ_INTERVAL_MS 30000
/* The list is read again soon after the start: many hosts may start at once, and the first read
 * lacks those that registered later. */
#define SECOND_READ_MS 3000
#define RETRY_MS 300
#define CALL_TIMEOUT_MS 1500

struct HostRegistry
{
  HostRegistryOptions options;
  Timer timer;
  bool registered;
  bool read_once;
  bool leaving;
};

static int
registry_destroy (HostRegistry *registry)
{
  timer_clear (&registry->timer);
  return 0;
}

static void
schedule (HostRegistry *registry, int64_t delay_ms)
{
  if (!registry->leaving)
    timer_set (registry->options.timers, &registry->timer, delay_ms);
}

static void
on_registered (void *data, const StoreAnswer *answer)
{
  HostRegistry *registry = data;

  registry->registered = answer->result == DIRECTORY_OK;
  schedule (registry, registry->registered ? 0 : RETRY_MS);
}

static void
on_hosts (void *data, const StoreAnswer *answer, const GArray *hosts)
{
  HostRegistry *registry = data;

  if (answer->result == DIRECTORY_OK && !registry->leaving)
    registry->options.hosts (registry->options.data, hosts);
  if (answer->result != DIRECTORY_OK)
    {
      schedule (registry, RETRY_MS);
      return;
    }
  schedule (registry, registry->read_once ? READ_INTERVAL_MS : SECOND_READ_MS);
  registry->read_once = true;
}

static void
on_timer (void *data)
{
  HostRegistry *registry = data;
  const Directory *directory = registry->options.directory;

  if (registry->registered)
    directory->get_hosts (directory->self, CALL_TIMEOUT_MS, on_hosts, registry);
  else
    directory->put_host (directory->self, &registry->options.self, false, CALL_TIMEOUT_MS,
                         on_registered, registry);
}

HostRegistry *
host_registry_new (TALLOC_CTX *parent, const HostRegistryOptions *options)
{
  HostRegistry *registry = talloc_zero (parent, HostRegistry);

  registry->options = *options;
  registry->timer.fired = on_timer;
  registry->timer.data = registry;
  talloc_set_destructor (registry, registry_destroy);
  on_timer (registry);
  return registry;
}

static void
on_unregistered (void *data, const StoreAnswer *answer)
{
  if (answer->result != DIRECTORY_OK)
    log_event (LOG_LEVEL_INFO, "host_not_unlisted", "result=%s",
               directory_result_name (answer->result));
}

void
host_registry_leave (HostRegistry *registry)
{
  const Directory *directory = registry->options.directory;

  registry->leaving = true;
  timer_clear (&registry->timer);
  directory->put_host (directory->self, &registry->options.self, true, CALL_TIMEOUT_MS,
                       on_unregistered, registry);
}
