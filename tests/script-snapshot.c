/**
 * DOC: Discovery and snapshot exchange over loopback between hosts that can or can't read one
 * store, each host at an address of its own.
 */
#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/stream.h"
#include "fake-store.h"
#include "pool/discovery.h"
#include "pool/host-registry.h"
#include "pool/snapshot-exchange.h"
#include "script.h"

#define HOSTS_MAX 4
#define POLL_MS 10
#define GOSSIP_MS 100
#define FOLLOWER_RANK 500
/* Calls to the store that a host needs at most to catch up with it. */
#define CALLS_FEW 12

typedef struct State State;

typedef struct
{
  State *state;
  char name[8];
  char address[32];
  FakeStoreClient *client;
  HostRegistry *registry; /* %NULL until the host registers itself */
  Discovery *discovery;
  SnapshotExchange *exchange;
  Catalog *catalog;
  guint instances; /* known to the host */
  ConfigProof proof;
} Host;

struct State
{
  struct tevent_context *events;
  TimerQueue *timers;
  Host *hosts[HOSTS_MAX];
  guint host_count;
  guint16 port;
  FakeStore *store;
  PoolMetrics metrics;
  gint64 proof_limit_ms; /* of hosts that are added */
  Timer wake;
};

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
}

static void
on_store_restored (void *data, uint64_t era)
{
  Host *host = data;

  if (host->registry != NULL)
    host_registry_record_era (host->registry, era);
}

static void
on_request_snapshot (void *data)
{
  snapshot_exchange_request (((Host *) data)->exchange);
}

static void
on_announce (void *data)
{
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
  state->store = fake_store_new (state, state->timers, 7, 3);
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
  TALLOC_FREE (state->store);
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

static FakeStoreAccess
store_access (const char *word)
{
  if (strcmp (word, "ok") == 0)
    return FAKE_STORE_OK;
  return strcmp (word, "down") == 0 ? FAKE_STORE_DOWN : FAKE_STORE_SILENT;
}

/* host NAME ok|down|silent: starts a host; how it reaches the store */
static void
add_host (State *state, char **words)
{
  Host *host = talloc_zero (state, Host);
  DiscoveryOptions discovery = {
    .timers = state->timers,
    .metrics = &state->metrics,
    .catalog = on_catalog,
    .instances = on_instances,
    .store_restored = on_store_restored,
    .request_snapshot = on_request_snapshot,
    .announce = on_announce,
    .config_checked = on_announce,
    .proof = &host->proof,
    .proof_limit_ms = state->proof_limit_ms,
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
  host->client = fake_store_client_new (host, state->store, store_access (script_word (words, 2)));
  discovery.directory = &host->client->directory;
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
  const ReaderRole role = { .round_ms = GOSSIP_MS };

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

/* role HOST reader|follower: its role in a fleet with owners; a follower takes over last */
static void
set_role (Host *host, const char *name)
{
  const ReaderRole role = {
    .rank = strcmp (name, "reader") == 0 ? 0 : FOLLOWER_RANK,
    .readers = 1,
    .follower = true,
    .round_ms = GOSSIP_MS,
  };

  discovery_set_role (host->discovery, &role);
}

static void
on_hosts (void *data, const GArray *hosts)
{
}

/* register HOST: enters itself in the store's host list */
static void
register_host (State *state, Host *host)
{
  FakeStoreClient *client = fake_store_client_new (host, state->store, FAKE_STORE_OK);
  HostRegistryOptions options = {
    .directory = &client->directory,
    .timers = state->timers,
    .hosts = on_hosts,
  };

  g_strlcpy (options.self.id, host->name, sizeof options.self.id);
  host->registry = host_registry_new (host, &options);
}

static const char *
call_words (guint calls)
{
  if (calls == 0)
    return "none";
  return calls <= CALLS_FEW ? "some" : "many";
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
      fake_store_put_config (state->store, (guint64) script_number (words, 1));
      fake_store_set_instances (state->store, (guint) script_number (words, 2));
    }
  else if (strcmp (verb, "proof_limit") == 0)
    state->proof_limit_ms = script_number (words, 1);
  else if (strcmp (verb, "config") == 0)
    fake_store_put_config (state->store, (guint64) script_number (words, 1));
  else if (strcmp (verb, "config_before_watch") == 0)
    fake_store_put_config_before_watch (state->store, (guint64) script_number (words, 1));
  else if (strcmp (verb, "touch") == 0)
    fake_store_touch (state->store, (guint) script_number (words, 1));
  else if (strcmp (verb, "register") == 0)
    register_host (state, find_host (state, script_word (words, 1)));
  else if (strcmp (verb, "heard_era") == 0)
    host_registry_record_era (find_host (state, script_word (words, 1))->registry,
                              (guint64) script_number (words, 2));
  else if (strcmp (verb, "hosts") == 0)
    fake_store_print_hosts (state->store, out);
  else if (strcmp (verb, "backup") == 0)
    fake_store_backup (state->store);
  else if (strcmp (verb, "restore") == 0)
    fake_store_restore (state->store, strcmp (script_word (words, 1), "silent") == 0);
  else if (strcmp (verb, "host") == 0)
    add_host (state, words);
  else if (strcmp (verb, "set_store") == 0)
    fake_store_set_access (find_host (state, script_word (words, 1))->client,
                           store_access (script_word (words, 2)));
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

      g_string_append_printf (out, "%s\n", call_words (host->client->calls));
      host->client->calls = 0;
    }
  else if (strcmp (verb, "run") == 0)
    run_for (state, script_number (words, 1));
  else if (strcmp (verb, "print") == 0)
    print_host (find_host (state, script_word (words, 1)), out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_snapshot = { "snapshot", start, command, end };
