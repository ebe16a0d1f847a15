#include "pool/host-registry.h"

#include "base/log.h"
#include "policy/store-era.h"

/* Interval between reads of the host list. New hosts also become known by their heartbeats, and
 * through the hosts that receive those. */
#define READ_INTERVAL_MS 30000
/* The list is read again soon after the start: many hosts may start at once, and the first read
 * lacks those that registered later. */
#define SECOND_READ_MS 3000
#define RETRY_MS 300
/* Hosts register again within this time after the store came back from a backup, each at a time of
 * its own: a part of a table takes 200 writes a second. */
#define REGISTER_SPREAD_MS 2000
#define CALL_TIMEOUT_MS 1500

struct HostRegistry
{
  HostRegistryOptions options;
  Timer timer;
  uint64_t era;          /* of the store; 0 while unknown */
  uint64_t reported_era; /* latest one that others reported */
  bool calling;          /* a call to the store is under way */
  bool registered;
  bool outdated; /* the entry was lost while a call was under way */
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

/* The store lost what it had acknowledged, so this host's entry may be gone. */
static void
register_again (HostRegistry *registry)
{
  if (registry->calling)
    {
      registry->outdated = true;
      return;
    }
  registry->registered = false;
  schedule (registry, g_str_hash (registry->options.self.id) % REGISTER_SPREAD_MS);
}

/* Returns whether the call succeeded; not so for an answer from before the store came back. */
static bool
end_call (HostRegistry *registry, const StoreAnswer *answer)
{
  const StoreEraState state = store_era_record (&registry->era, answer->era);

  registry->calling = false;
  return answer->result == DIRECTORY_OK && state != STORE_ERA_PAST;
}

static void
on_registered (void *data, const StoreAnswer *answer)
{
  HostRegistry *registry = data;
  const bool succeeded = end_call (registry, answer);

  registry->registered = succeeded && !registry->outdated;
  registry->outdated = false;
  if (!registry->registered)
    schedule (registry, RETRY_MS);
  else
    schedule (registry, registry->read_once ? READ_INTERVAL_MS : 0);
}

static void
on_hosts (void *data, const StoreAnswer *answer, const GArray *hosts)
{
  HostRegistry *registry = data;
  const uint64_t previous_era = registry->era;
  const bool succeeded = end_call (registry, answer);
  const bool lost = registry->outdated || registry->era != previous_era;

  registry->outdated = false;
  if (succeeded && !registry->leaving)
    registry->options.hosts (registry->options.data, hosts);
  if (!succeeded)
    schedule (registry, RETRY_MS);
  else
    {
      schedule (registry, registry->read_once ? READ_INTERVAL_MS : SECOND_READ_MS);
      registry->read_once = true;
    }
  if (lost)
    register_again (registry);
}

static void
on_timer (void *data)
{
  HostRegistry *registry = data;
  const Directory *directory = registry->options.directory;

  registry->calling = true;
  if (registry->registered)
    directory->get_hosts (directory->self, CALL_TIMEOUT_MS, on_hosts, registry);
  else
    directory->put_host (directory->self, &registry->options.self, false, CALL_TIMEOUT_MS,
                         on_registered, registry);
}

void
host_registry_record_era (HostRegistry *registry, uint64_t era)
{
  const uint64_t known = MAX (registry->era, registry->reported_era);

  if (era <= known)
    return;
  registry->reported_era = era;
  if (known != 0)
    register_again (registry);
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
