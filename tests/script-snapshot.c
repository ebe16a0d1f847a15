/**
 * DOC: Discovery and snapshot exchange over loopback between hosts that can or can't read one
 * store, each host at an address of its own.
 */
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/stream.h"
#include "pool/discovery.h"
#include "pool/snapshot-exchange.h"
#include "script.h"

#define HOSTS_MAX 4
#define POLL_MS 10
#define GOSSIP_MS 100

typedef struct State State;

typedef enum
{
  STORE_OK,
  STORE_DOWN,
  STORE_SILENT
} Store;

typedef struct
{
  State *state;
  char name[8];
  char address[32];
  Store store;
  Directory directory;
  Discovery *discovery;
  SnapshotExchange *exchange;
  Catalog *catalog;
  guint instances; /* known to the host */
  guint lists;     /* number of instance lists applied */
  guint calls;     /* to the store, since they were last printed */
} Host;

typedef struct
{
  Host *host;
  ConfigurationCallback configuration;
  InstancesCallback instances;
  void *data;
  Timer timer;
} Call;

struct State
{
  struct tevent_context *events;
  TimerQueue *timers;
  Host *hosts[HOSTS_MAX];
  guint host_count;
  guint16 port;
  guint64 version; /* in the store */
  guint instances; /* in the store */
  PoolMetrics metrics;
  Timer wake;
};

static GArray *
make_infos (guint count)
{
  GArray *infos = g_array_new (false, true, sizeof (InstanceInfo));

  for (guint i = 0; i < count; i++)
    {
      InstanceInfo info = { .port = 5000, .started_ms = 1, .slots = 5, .primary = i == 0 };

      g_snprintf (info.id, sizeof info.id, "i%u", i);
      g_strlcpy (info.service, "ledger", sizeof info.service);
      g_strlcpy (info.address, "10.0.0.1", sizeof info.address);
      g_strlcpy (info.failure_domain, "north-1", sizeof info.failure_domain);
      g_array_append_val (infos, info);
    }
  return infos;
}

static Catalog *
make_catalog (guint64 version)
{
  Catalog *catalog = catalog_new (version);
  const ServiceEntry service = { (char *) "ledger", 30, 1 };
  const Database database = {
    .name = (char *) "sales",
    .service = (char *) "ledger",
    .consistency = CONSISTENCY_SESSION,
    .staleness_ms = 2500,
    .statement_ms = 1000,
    .operation_ms = 500,
    .attempts = 2,
    .priority = PRIORITY_NORMAL,
  };

  catalog->idle_transaction_ms = 900;
  catalog_add_service (catalog, &service);
  catalog_add_database (catalog, &database);
  return catalog;
}

static void
on_call_due (void *data)
{
  Call *call = data;
  const State *state = call->host->state;
  const StoreAnswer answer = {
    .result = call->host->store == STORE_OK ? DIRECTORY_OK : DIRECTORY_REFUSED,
    .revision = state->version,
  };

  if (call->configuration != NULL)
    {
      Catalog *catalog = make_catalog (state->version);

      call->configuration (call->data, &answer, answer.result == DIRECTORY_OK ? catalog : NULL);
      catalog_unref (catalog);
    }
  else
    {
      GArray *infos = make_infos (state->instances);

      call->instances (call->data, &answer, infos);
      g_array_free (infos, true);
    }
  talloc_free (call);
}

static void
start_call (void *self, int64_t timeout_ms, ConfigurationCallback configuration,
            InstancesCallback instances, void *data)
{
  Host *host = self;
  Call *call = talloc_zero (host, Call);

  *call = (Call){ .host = host,
                  .configuration = configuration,
                  .instances = instances,
                  .data = data,
                  .timer = { .fired = on_call_due } };
  host->calls++;
  call->timer.data = call;
  timer_set (host->state->timers, &call->timer, host->store == STORE_SILENT ? timeout_ms : POLL_MS);
}

static void
get_configuration (void *self, int64_t timeout_ms, ConfigurationCallback done, void *data)
{
  start_call (self, timeout_ms, done, NULL, data);
}

static void
watch_configuration (void *self, uint64_t revision, int64_t wait_ms, ConfigurationCallback done,
                     void *data)
{
  start_call (self, wait_ms, done, NULL, data);
}

static void
get_instances (void *self, int64_t timeout_ms, InstancesCallback done, void *data)
{
  start_call (self, timeout_ms, NULL, done, data);
}

static void
on_catalog (void *data, Catalog *catalog)
{
  Host *host = data;

  if (host->catalog != NULL && catalog->version <= host->catalog->version)
    return;
  if (host->catalog != NULL)
    catalog_unref (host->catalog);
  host->catalog = catalog_ref (catalog);
}

static void
on_instances (void *data, const GArray *infos)
{
  Host *host = data;

  host->instances = infos->len;
  host->lists++;
}

static void
on_request_snapshot (void *data)
{
  snapshot_exchange_request (((Host *) data)->exchange);
}

static void
fill_snapshot (void *data, Snapshot *snapshot)
{
  Host *host = data;

  if (host->catalog == NULL)
    return;
  snapshot->catalog = catalog_ref (host->catalog);
  discovery_fill_snapshot (host->discovery, snapshot);
}

static void
on_snapshot (void *data, const Snapshot *snapshot)
{
  discovery_apply_snapshot (((Host *) data)->discovery, snapshot);
}

static void *
start (void)
{
  State *state = talloc_zero (NULL, State);
  int fd = stream_listen ("127.0.0.1", 0, false);

  state->events = tevent_context_init (state);
  state->timers = timer_queue_new (state, state->events);
  state->port = stream_port (fd);
  state->version = 7;
  state->instances = 3;
  close (fd);
  return state;
}

static void
end (void *data)
{
  State *state = data;

  timer_clear (&state->wake);
  for (guint i = 0; i < state->host_count; i++)
    if (state->hosts[i]->catalog != NULL)
      catalog_unref (state->hosts[i]->catalog);
  for (guint i = 0; i < state->host_count; i++)
    TALLOC_FREE (state->hosts[i]);
  talloc_free (state);
}

static void
on_wake (void *data)
{
}

static void
run_for (State *state, gint64 duration_ms)
{
  const gint64 until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    {
      state->wake.fired = on_wake;
      timer_set (state->timers, &state->wake, POLL_MS);
      tevent_loop_once (state->events);
    }
}

static Store
store_state (const char *word)
{
  if (strcmp (word, "ok") == 0)
    return STORE_OK;
  return strcmp (word, "down") == 0 ? STORE_DOWN : STORE_SILENT;
}

/* host NAME ok|down|silent: starts a host; the state of its store */
static void
add_host (State *state, char **words)
{
  Host *host = talloc_zero (state, Host);
  DiscoveryOptions discovery = {
    .directory = &host->directory,
    .timers = state->timers,
    .metrics = &state->metrics,
    .catalog = on_catalog,
    .instances = on_instances,
    .request_snapshot = on_request_snapshot,
    .data = host,
  };
  SnapshotExchangeOptions exchange = {
    .events = state->events,
    .timers = state->timers,
    .address = host->address,
    .port = state->port,
    .fill = fill_snapshot,
    .received = on_snapshot,
    .data = host,
  };

  host->state = state;
  state->hosts[state->host_count++] = host;
  g_strlcpy (host->name, script_word (words, 1), sizeof host->name);
  g_snprintf (host->address, sizeof host->address, "127.0.0.%u", state->host_count);
  host->store = store_state (script_word (words, 2));
  host->directory = (Directory){
    .self = host,
    .get_configuration = get_configuration,
    .watch_configuration = watch_configuration,
    .get_instances = get_instances,
  };
  host->exchange = snapshot_exchange_new (host, &exchange, NULL);
  host->discovery = discovery_new (host, &discovery);
}

static Host *
find_host (State *state, const char *name)
{
  for (guint i = 0; i < state->host_count; i++)
    if (strcmp (state->hosts[i]->name, name) == 0)
      return state->hosts[i];
  g_error ("no host %s", name);
}

static void
deliver_heartbeat (Host *host, const Host *other)
{
  if (other->catalog == NULL)
    return;
  snapshot_exchange_prefer (host->exchange, other->address);
  discovery_record_peer (host->discovery, other->catalog->version,
                         discovery_instances_hash (other->discovery),
                         clock_now_ms () - discovery_instances_age_ms (other->discovery));
}

/* gossip DURATION: all hosts keep hearing from each other, and none is a designated reader */
static void
gossip (State *state, gint64 duration_ms)
{
  const gint64 until_ms = clock_now_ms () + duration_ms;
  const ReaderRole role = { .standby = true, .round_ms = GOSSIP_MS };

  while (clock_now_ms () < until_ms)
    {
      for (guint i = 0; i < state->host_count; i++)
        {
          for (guint k = 0; k < state->host_count; k++)
            if (i != k)
              deliver_heartbeat (state->hosts[i], state->hosts[k]);
          discovery_set_role (state->hosts[i]->discovery, &role);
        }
      run_for (state, GOSSIP_MS);
    }
}

/* role HOST reader|follower: its role in a fleet with owners, with no part as a standby reader */
static void
set_role (Host *host, const char *name)
{
  const ReaderRole role = {
    .reader = strcmp (name, "reader") == 0,
    .follower = true,
    .round_ms = GOSSIP_MS,
  };

  discovery_set_role (host->discovery, &role);
}

static void
print_host (const Host *host, GString *out)
{
  const Database *database
      = host->catalog == NULL ? NULL : catalog_database (host->catalog, "sales");

  g_string_append_printf (out, "%s version %" PRIu64 " instances %u", host->name,
                          host->catalog == NULL ? 0 : host->catalog->version, host->instances);
  if (database != NULL)
    g_string_append_printf (out, ", sales at %s, priority %s, limits %d %d %d, idle %d",
                            database->service, priority_name (database->priority),
                            (int) database->staleness_ms, (int) database->statement_ms,
                            (int) database->operation_ms, (int) host->catalog->idle_transaction_ms);
  g_string_append (out, "\n");
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "store") == 0)
    {
      state->version = (guint64) script_number (words, 1);
      state->instances = (guint) script_number (words, 2);
    }
  else if (strcmp (verb, "host") == 0)
    add_host (state, words);
  else if (strcmp (verb, "set_store") == 0)
    find_host (state, script_word (words, 1))->store = store_state (script_word (words, 2));
  else if (strcmp (verb, "heartbeat") == 0)
    deliver_heartbeat (find_host (state, script_word (words, 1)),
                       find_host (state, script_word (words, 2)));
  else if (strcmp (verb, "gossip") == 0)
    gossip (state, script_number (words, 1));
  else if (strcmp (verb, "role") == 0)
    set_role (find_host (state, script_word (words, 1)), script_word (words, 2));
  else if (strcmp (verb, "calls") == 0)
    {
      Host *host = find_host (state, script_word (words, 1));

      g_string_append_printf (out, "%s\n", host->calls == 0 ? "none" : "some");
      host->calls = 0;
    }
  else if (strcmp (verb, "run") == 0)
    run_for (state, script_number (words, 1));
  else if (strcmp (verb, "print") == 0)
    print_host (find_host (state, script_word (words, 1)), out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_snapshot = { "snapshot", start, command, end };
