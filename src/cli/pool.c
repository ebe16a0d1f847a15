/**
 * DOC: pool: runs one daemon of a fleet on the users' platform.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <inttypes.h>
#include <malloc.h>
#include <signal.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <jansson.h>
#include <tevent.h>

#include "adapter/http-client.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/timer-queue.h"
#include "base/verdict.h"
#include "cli/command.h"
#include "platform/line-codec.h"
#include "platform/platform-api.h"
#include "platform/platform-format.h"
#include "pool/discovery.h"
#include "pool/host-registry.h"
#include "pool/pool-server.h"
#include "pool/snapshot-exchange.h"
#include "pool/status-http.h"

static const SettingInfo pool_settings[] = {
  { "host", SETTING_TEXT, NULL, 0, 0, "unique name of this host" },
  { "failure-domain", SETTING_TEXT, NULL, 0, 0, "failure domain of this host" },
  { "region", SETTING_TEXT, NULL, 0, 0, "region of that failure domain" },
  { "domains", SETTING_TEXT, "{}", 0, 0, "JSON table of all failure domains and their regions" },
  { "listen", SETTING_TEXT, NULL, 0, 0, "IP:PORT for callers" },
  { "status-listen", SETTING_TEXT, NULL, 0, 0, "IP:PORT of the readiness and metrics pages" },
  { "peer-port", SETTING_NUMBER, "7440", 0, 65535,
    "port for the other hosts (UDP and TCP), the next one (TCP), and the one after it (UDP)" },
  { "owners-from", SETTING_NUMBER, "33", 2, 1000000,
    "hosts from which on a few of them hold the connections to each service" },
  { "descriptor-limit", SETTING_NUMBER, "4096", 300, 1000000, "descriptors the process may open" },
  { "memory-limit", SETTING_NUMBER, "0", 0, 1000000, "MB of memory of this host; 0 for unknown" },
  { "buffer-limit", SETTING_NUMBER, "0", 0, 1000000,
    "MB that all sessions may hold; 0 for 20 % of memory-limit, or 256 without it" },
  { "message-limit", SETTING_NUMBER, "30", 1, 86400,
    "seconds in which a caller has to send each message whole" },
  { "answer-limit", SETTING_NUMBER, "30", 1, 86400,
    "seconds after which a caller that takes nothing of its answers is given up" },
  { "store", SETTING_TEXT, NULL, 0, 0, "IP:PORT of the platform's store" },
  { "promoter", SETTING_TEXT, NULL, 0, 0, "IP:PORT of the platform's promote call" },
  { "config-limit", SETTING_NUMBER, "3000", 500, 86400000,
    "milliseconds within which a change of the configuration has to be in force; a host that may "
    "have missed one asks the store itself in time for that" },
  { "revoke-limit", SETTING_NUMBER, "0", 0, 86400000,
    "milliseconds after which a key that was taken away is served nowhere; a host that can't tell "
    "whether its configuration is the newest stops serving keys by then; 0 for no limit" },
  { "limit-initial", SETTING_NUMBER, "10", 0, 1000000,
    "operations that a host hands out to each customer at once when it begins to hand them out" },
  { "drain-limit", SETTING_NUMBER, "6", 1, 3600, "seconds that a graceful shutdown may take" },
  { "pool-log-level", SETTING_NUMBER, "6", 3, 7, "syslog severity up to which lines are written" },
  { "metrics-listen", SETTING_TEXT, "", 0, 0, "IP:PORT of a second metrics page; empty for none" },
  { "node-file", SETTING_TEXT, "", 0, 0,
    "settings file, \"name = value\" lines; read again when it changes; empty for none" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

/* Part of the platform's time limit for a shutdown that the drain must not use. */
#define DRAIN_MARGIN_MS 400
/* Buffers from this size on are not kept by the allocator. */
#define LARGE_BUFFER_BYTES (64 * 1024)
/* Port for messages about limits, after the one for heartbeats. */
#define LIMIT_PORT_OFFSET 2
/* Delay with which a host takes over handing out customers' operations: the first figure divided by
 * its memory in MB, and up to the second, which differs by host. */
#define CLAIM_DELAY_MS_MB 100000
#define CLAIM_SPREAD_MS 150
/* Interval for checking a drain in progress: short against its limit of seconds. */
#define DRAIN_POLL_MS 100
/* Number of hosts that poll the store often; several, as some may be unable to reach it. */
#define STORE_READERS 3
/* The same in each failure domain of a fleet with owners. */
#define DOMAIN_READERS 2
/* Interval for checking whether the settings file has changed. */
#define FILE_POLL_MS 2000
/* File descriptors reserved for connections to instances and to the store, and for files. */
#define DESCRIPTOR_RESERVE 250
/* A session that is forwarded has a connection to its owner too. */
#define DESCRIPTORS_PER_SESSION 2

typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  Counters counters;
  HttpClient *http;
  Directory *directory;
  Discovery *discovery;
  HostRegistry *registry;
  PeerMesh *mesh;
  LimitExchange *limits;
  SnapshotExchange *exchange;
  PoolServer *server;
  StatusHttp *status;
  StatusHttp *metrics_page;
  PoolMetrics metrics;
  ConfigProof proof;
  uint64_t store_era; /* greatest one heard of; 0 for none */
  Settings *settings;
  struct timespec file_time;
  Timer file_timer;
  int signal_fd;
  int64_t drain_limit_ms;
  Timer drain_timer;
  uint32_t instances_hash;
  bool stopped;
} PoolDaemon;

static void
on_catalog (void *data, Catalog *catalog)
{
  PoolDaemon *daemon = data;
  const Catalog *old = pool_server_catalog (daemon->server);
  const bool is_new = old == NULL || catalog->version > old->version;

  pool_server_set_catalog (daemon->server, catalog);
  if (!is_new)
    return;
  limit_exchange_set_catalog (daemon->limits, catalog);
  peer_mesh_send_now (daemon->mesh);
}

static void
on_instances (void *data, const GArray *infos)
{
  PoolDaemon *daemon = data;
  const uint32_t hash = discovery_instances_hash (daemon->discovery);

  pool_server_set_instances (daemon->server, infos);
  if (hash != daemon->instances_hash)
    peer_mesh_send_now (daemon->mesh);
  daemon->instances_hash = hash;
}

static void
on_store_restored (void *data, uint64_t era)
{
  PoolDaemon *daemon = data;

  daemon->store_era = MAX (daemon->store_era, era);
  host_registry_record_era (daemon->registry, era);
  limit_exchange_store_restored (daemon->limits);
}

static void
on_refresh_instances (void *data)
{
  PoolDaemon *daemon = data;

  discovery_refresh_instances (daemon->discovery);
}

static void
on_announce (void *data)
{
  PoolDaemon *daemon = data;

  peer_mesh_send_now (daemon->mesh);
}

static bool
on_request_proof (void *data)
{
  PoolDaemon *daemon = data;

  return daemon->discovery != NULL && discovery_request_proof (daemon->discovery);
}

static void
on_config_checked (void *data)
{
  PoolDaemon *daemon = data;

  pool_server_config_checked (daemon->server);
}

static bool
is_ready (void *data)
{
  const PoolDaemon *daemon = data;

  return pool_server_is_ready (daemon->server);
}

static void
print_metrics (void *data, GString *out)
{
  PoolDaemon *daemon = data;

  counters_print (&daemon->counters, out);
  pool_metrics_print (&daemon->metrics, out);
  limit_exchange_print (daemon->limits, out);
  g_string_append_printf (
      out, "peridotstep_session_bytes %" PRIu64 "\nperidotstep_session_bytes_limit %" PRIu64 "\n",
      pool_server_memory (daemon->server)->used_bytes,
      pool_server_memory (daemon->server)->limit_bytes);
  g_string_append_printf (out, "peridotstep_config_proof_age_ms %" PRId64 "\n",
                          pool_server_config_proof_age_ms (daemon->server));
  g_string_append_printf (out, "peridotstep_config_version_heard %" PRIu64 "\n",
                          daemon->proof.heard_version);
  g_string_append_printf (out, "peridotstep_log_lines_dropped_total %" G_GUINT64_FORMAT "\n",
                          log_dropped ());
}

static void
on_hosts (void *data, const GArray *hosts)
{
  PoolDaemon *daemon = data;

  peer_mesh_add_hosts (daemon->mesh, hosts);
  pool_server_set_hosts_known (daemon->server);
}

/* Which hosts read the store often: a few of the fleet, or of each failure domain if it is large.
 */
static void
set_reader (PoolDaemon *daemon)
{
  const bool owners = peer_mesh_has_owners (daemon->mesh);
  const bool store_lost = discovery_store_lost (daemon->discovery);
  const ReaderRole role = {
    .rank = peer_mesh_reader_rank (daemon->mesh, store_lost),
    .readers = owners ? DOMAIN_READERS : STORE_READERS,
    .follower = owners,
    .round_ms = peer_mesh_round_ms (daemon->mesh),
  };

  discovery_set_role (daemon->discovery, &role);
}

static void
fill_heartbeat (void *data, Pool__Beat *heartbeat, bool services)
{
  PoolDaemon *daemon = data;

  pool_server_fill_heartbeat (daemon->server, heartbeat, services);
  if (daemon->discovery == NULL)
    return;
  heartbeat->store_era = discovery_era (daemon->discovery);
  heartbeat->store_lost = discovery_store_lost (daemon->discovery);
  if (daemon->proof.at_ms != 0)
    {
      heartbeat->proof_version = daemon->proof.version;
      heartbeat->proof_age = (uint32_t) MIN (clock_now_ms () - daemon->proof.at_ms, INT32_MAX) + 1;
    }
  heartbeat->instances_hash = discovery_instances_hash (daemon->discovery);
  if (heartbeat->instances_hash != 0)
    heartbeat->instances_age = (uint32_t) discovery_instances_age_ms (daemon->discovery);
  set_reader (daemon);
}

static void
send_services (void *data)
{
  pool_server_send_services (((PoolDaemon *) data)->server);
}

static void
fill_snapshot (void *data, Snapshot *snapshot)
{
  PoolDaemon *daemon = data;
  Catalog *catalog = pool_server_catalog (daemon->server);

  // A receiver relies on primaries once it has a list of hosts. Hosts that this host does not know
  // yet would be missing from that list and would not learn of a receiver that relies on them.
  if (catalog == NULL || !pool_server_knows_hosts (daemon->server))
    return;
  snapshot->catalog = catalog_ref (catalog);
  snapshot->hosts = g_array_new (false, true, sizeof (HostEntry));
  peer_mesh_list_hosts (daemon->mesh, snapshot->hosts);
  discovery_fill_snapshot (daemon->discovery, snapshot);
}

static void
on_snapshot (void *data, const Snapshot *snapshot)
{
  PoolDaemon *daemon = data;

  if (snapshot->catalog == NULL)
    return;
  on_hosts (daemon, snapshot->hosts);
  discovery_apply_snapshot (daemon->discovery, snapshot);
}

static void
on_request_snapshot (void *data)
{
  PoolDaemon *daemon = data;

  snapshot_exchange_request (daemon->exchange);
}

static void
on_heartbeat (void *data, const struct sockaddr_in *from, const Pool__Beat *heartbeat,
              int64_t sent_ms)
{
  PoolDaemon *daemon = data;
  const Catalog *catalog = pool_server_catalog (daemon->server);
  char address[INET_ADDRSTRLEN];

  if (daemon->registry == NULL)
    return;
  if (heartbeat->proof_age > 0 && sent_ms > 0)
    config_proof_record (&daemon->proof, heartbeat->proof_version,
                         sent_ms - (heartbeat->proof_age - 1));
  daemon->store_era = MAX (daemon->store_era, heartbeat->store_era);
  host_registry_record_era (daemon->registry, heartbeat->store_era);
  if ((catalog == NULL || heartbeat->config_version >= catalog->version)
      && (heartbeat->instances_hash != 0
          || (catalog != NULL && heartbeat->config_version > catalog->version))
      && inet_ntop (AF_INET, &from->sin_addr, address, sizeof address))
    snapshot_exchange_prefer (daemon->exchange, address);
  discovery_record_peer (daemon->discovery, heartbeat->config_version, heartbeat->instances_hash,
                         sent_ms == 0 ? 0 : sent_ms - heartbeat->instances_age);
}

static void
on_service_heartbeat (void *data, uint64_t peer, uint64_t address,
                      const Pool__ServiceBeat *heartbeat, int64_t sent_ms)
{
  PoolDaemon *daemon = data;

  pool_server_receive_heartbeat (daemon->server, peer, address, heartbeat, sent_ms);
}

static void
on_peer_gone (void *data, uint64_t peer, PeerEnd end)
{
  PoolDaemon *daemon = data;

  pool_server_forget_peer (daemon->server, peer, end);
}

static void
on_drain_timer (void *data)
{
  PoolDaemon *daemon = data;

  if (pool_server_is_drained (daemon->server))
    {
      peer_mesh_leave (daemon->mesh);
      daemon->stopped = true;
    }
  else
    timer_set (daemon->timers, &daemon->drain_timer, DRAIN_POLL_MS);
}

/* Applies the settings that may change at run time; others take effect at the next start. */
static void
apply_settings (PoolDaemon *daemon)
{
  log_set_level ((LogLevel) settings_number (daemon->settings, "pool-log-level"));
  daemon->drain_limit_ms = settings_number (daemon->settings, "drain-limit") * 1000;
}

static void
read_settings_file (PoolDaemon *daemon, const char *trigger)
{
  const char *path = settings_text (daemon->settings, "node-file");
  GString *ignored;
  struct stat status;

  if (*path == '\0')
    return;
  if (stat (path, &status) == 0)
    daemon->file_time = status.st_mtim;
  ignored = g_string_new ("");
  if (settings_read_file (daemon->settings, path, ignored))
    {
      apply_settings (daemon);
      log_event (LOG_LEVEL_NOTICE, "settings_read",
                 "file=%s reason=%s log_level=%" G_GINT64_FORMAT " drain_limit_ms=%" G_GINT64_FORMAT
                 " ignored=%s",
                 path, trigger, settings_number (daemon->settings, "pool-log-level"),
                 daemon->drain_limit_ms, ignored->str);
    }
  else
    log_event (LOG_LEVEL_WARNING, "settings_unreadable", "file=%s reason=%s", path, trigger);
  g_string_free (ignored, true);
}

/* Reads the settings file again if its modification time has changed, so no SIGHUP is needed. */
static void
on_file_timer (void *data)
{
  PoolDaemon *daemon = data;
  struct stat status;

  timer_set (daemon->timers, &daemon->file_timer, FILE_POLL_MS);
  if (stat (settings_text (daemon->settings, "node-file"), &status) != 0)
    return;
  if (status.st_mtim.tv_sec != daemon->file_time.tv_sec
      || status.st_mtim.tv_nsec != daemon->file_time.tv_nsec)
    read_settings_file (daemon, "changed");
}

static void
on_signal (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  PoolDaemon *daemon = data;
  struct signalfd_siginfo info;

  if (read (daemon->signal_fd, &info, sizeof info) != sizeof info)
    return;
  if (info.ssi_signo == SIGHUP)
    {
      read_settings_file (daemon, "signal");
      return;
    }
  pool_server_drain (daemon->server, daemon->drain_limit_ms - DRAIN_MARGIN_MS);
  limit_exchange_leave (daemon->limits);
  host_registry_leave (daemon->registry);
  timer_set (daemon->timers, &daemon->drain_timer, DRAIN_POLL_MS);
}

/* Blocks the signals that on_signal() handles, so that one during the start is handled too. */
static sigset_t
block_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGHUP);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  return set;
}

static void
watch_signals (PoolDaemon *daemon, sigset_t set)
{
  daemon->signal_fd = signalfd (-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
  tevent_add_fd (daemon->events, daemon, daemon->signal_fd, TEVENT_FD_READ, on_signal, daemon);
}

static GHashTable *
read_domains (const char *text)
{
  GHashTable *domains = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  json_t *table = json_loads (text, 0, NULL);
  const char *domain;
  json_t *region;

  json_object_foreach (table, domain, region)
    if (json_is_string (region))
      g_hash_table_insert (domains, g_strdup (domain), g_strdup (json_string_value (region)));
  json_decref (table);
  return domains;
}

static bool
start_metrics_page (PoolDaemon *daemon, const Settings *settings, const StatusHttpOptions *status,
                    GError **error)
{
  const char *listen = settings_text (settings, "metrics-listen");
  char address[CATALOG_NAME_BYTES];
  StatusHttpOptions options = *status;

  if (*listen == '\0')
    return true;
  options.address = address;
  if (!platform_format_address (listen, address, &options.port))
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_SETTING,
                   "metrics-listen must be IP:PORT");
      return false;
    }
  daemon->metrics_page = status_http_new (daemon, daemon->events, daemon->timers, &options, error);
  return daemon->metrics_page != NULL;
}

static uint64_t
buffer_limit_bytes (const Settings *settings)
{
  const uint64_t buffer_mb = (uint64_t) settings_number (settings, "buffer-limit");

  if (buffer_mb > 0)
    return buffer_mb * 1024 * 1024;
  return memory_budget_for_host ((uint64_t) settings_number (settings, "memory-limit"));
}

/* Larger hosts take over first, as they can serve the others' questions best. */
static int64_t
claim_delay_ms (const Settings *settings)
{
  const int64_t memory_mb = settings_number (settings, "memory-limit");
  const guint spread = g_str_hash (settings_text (settings, "host")) % CLAIM_SPREAD_MS;

  return (memory_mb == 0 ? 0 : CLAIM_DELAY_MS_MB / memory_mb) + spread;
}

static LimitExchange *
start_limits (PoolDaemon *daemon, const Settings *settings, const char *address, GError **error)
{
  const LimitExchangeOptions options = {
    .events = daemon->events,
    .timers = daemon->timers,
    .address = address,
    .port = (uint16_t) (settings_number (settings, "peer-port") + LIMIT_PORT_OFFSET),
    .peer_offset = LIMIT_PORT_OFFSET,
    .mesh = daemon->mesh,
    .directory = daemon->directory,
    .proof = &daemon->proof,
    .initial = (double) settings_number (settings, "limit-initial"),
    .claim_delay_ms = claim_delay_ms (settings),
  };

  return limit_exchange_new (daemon, &options, error);
}

static bool
start_server (PoolDaemon *daemon, const Settings *settings, GHashTable *domains, GError **error)
{
  char address[CATALOG_NAME_BYTES];
  char status_address[CATALOG_NAME_BYTES];
  PoolServerOptions options = {
    .host = settings_text (settings, "host"),
    .failure_domain = settings_text (settings, "failure-domain"),
    .region = settings_text (settings, "region"),
    .address = address,
    .link_port = (uint16_t) (settings_number (settings, "peer-port") + 1),
    .session_limit
    = ((uint32_t) settings_number (settings, "descriptor-limit") - DESCRIPTOR_RESERVE)
      / DESCRIPTORS_PER_SESSION,
    .memory_limit_bytes = buffer_limit_bytes (settings),
    .message_limit_ms = settings_number (settings, "message-limit") * 1000,
    .answer_limit_ms = settings_number (settings, "answer-limit") * 1000,
    .domain_region = domains,
    .codec = &platform_line_codec,
    .counters = &daemon->counters,
    .metrics = &daemon->metrics,
    .timers = daemon->timers,
    .directory = daemon->directory,
    .refresh_instances = on_refresh_instances,
    .store_era = &daemon->store_era,
    .proof = &daemon->proof,
    .config_limit_ms = settings_number (settings, "config-limit"),
    .revoke_limit_ms = settings_number (settings, "revoke-limit"),
    .request_proof = on_request_proof,
    .data = daemon,
  };
  PeerMeshOptions mesh = {
    .events = daemon->events,
    .timers = daemon->timers,
    .counters = &daemon->counters,
    .host = options.host,
    .address = address,
    .port = (uint16_t) settings_number (settings, "peer-port"),
    .failure_domain = options.failure_domain,
    .region = options.region,
    .domain_region = domains,
    .owners_from = (uint32_t) settings_number (settings, "owners-from"),
    .fill_heartbeat = fill_heartbeat,
    .send_services = send_services,
    .heartbeat_received = on_heartbeat,
    .service_received = on_service_heartbeat,
    .peer_gone = on_peer_gone,
    .data = daemon,
  };
  SnapshotExchangeOptions exchange = {
    .events = daemon->events,
    .timers = daemon->timers,
    .address = address,
    .fill = fill_snapshot,
    .received = on_snapshot,
    .data = daemon,
  };
  StatusHttpOptions status = {
    .address = status_address,
    .ready_path = PLATFORM_READY_PATH,
    .ready = is_ready,
    .metrics = print_metrics,
    .data = daemon,
  };

  if (!platform_format_address (settings_text (settings, "listen"), address, &options.port)
      || !platform_format_address (settings_text (settings, "status-listen"), status_address,
                                   &status.port))
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_SETTING,
                   "listen and status-listen must be IP:PORT");
      return false;
    }
  daemon->mesh = options.mesh = peer_mesh_new (daemon, &mesh, error);
  exchange.port = mesh.port;
  if (daemon->mesh != NULL)
    daemon->exchange = snapshot_exchange_new (daemon, &exchange, error);
  if (daemon->exchange == NULL)
    return false;
  options.limits = daemon->limits = start_limits (daemon, settings, address, error);
  if (daemon->limits == NULL)
    return false;
  daemon->server = pool_server_new (daemon, daemon->events, &options, error);
  if (daemon->server == NULL)
    return false;
  daemon->status = status_http_new (daemon, daemon->events, daemon->timers, &status, error);
  return daemon->status != NULL && start_metrics_page (daemon, settings, &status, error);
}

/* The stricter one of the limits that rest on proofs of the configuration. */
static int64_t
proof_limit_ms (const Settings *settings)
{
  const int64_t config_ms = settings_number (settings, "config-limit");
  const int64_t revoke_ms = settings_number (settings, "revoke-limit");

  return revoke_ms == 0 ? config_ms : MIN (config_ms, revoke_ms);
}

static void
start_discovery (PoolDaemon *daemon, const Settings *settings)
{
  const DiscoveryOptions options = {
    .directory = daemon->directory,
    .timers = daemon->timers,
    .metrics = &daemon->metrics,
    .catalog = on_catalog,
    .proof = &daemon->proof,
    .proof_limit_ms = proof_limit_ms (settings),
    .announce = on_announce,
    .config_checked = on_config_checked,
    .instances = on_instances,
    .store_restored = on_store_restored,
    .request_snapshot = on_request_snapshot,
    .data = daemon,
  };

  HostRegistryOptions registry = {
    .directory = daemon->directory,
    .timers = daemon->timers,
    .hosts = on_hosts,
    .data = daemon,
  };

  daemon->discovery = discovery_new (daemon, &options);
  g_strlcpy (registry.self.id, settings_text (settings, "host"), sizeof registry.self.id);
  g_strlcpy (registry.self.failure_domain, settings_text (settings, "failure-domain"),
             sizeof registry.self.failure_domain);
  platform_format_address (settings_text (settings, "listen"), registry.self.address,
                           &registry.self.port);
  registry.self.port = (uint16_t) settings_number (settings, "peer-port");
  daemon->registry = host_registry_new (daemon, &registry);
}

static int
run_pool (const Settings *settings)
{
  const sigset_t signals = block_signals ();
  PoolDaemon *daemon = talloc_zero (NULL, PoolDaemon);
  GHashTable *domains = read_domains (settings_text (settings, "domains"));
  PlatformApiOptions api = {
    .store = settings_text (settings, "store"),
    .promoter = settings_text (settings, "promoter"),
  };
  GError *error = NULL;

  // Large buffers go back to the kernel as soon as they are freed.
  mallopt (M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES);
  mallopt (M_TRIM_THRESHOLD, LARGE_BUFFER_BYTES);
  daemon->settings = (Settings *) settings;
  log_use_stdout ();
  apply_settings (daemon);
  read_settings_file (daemon, "start");
  daemon->events = tevent_context_init (daemon);
  daemon->timers = timer_queue_new (daemon, daemon->events);
  daemon->http = http_client_new (daemon, daemon->events, daemon->timers);
  api.http = daemon->http;
  daemon->directory = platform_api_new (daemon, &api);
  daemon->file_timer.fired = on_file_timer;
  daemon->file_timer.data = daemon;
  timer_set (daemon->timers, &daemon->file_timer, FILE_POLL_MS);
  daemon->drain_timer.fired = on_drain_timer;
  daemon->drain_timer.data = daemon;
  watch_signals (daemon, signals);
  if (!start_server (daemon, settings, domains, &error))
    {
      log_event (LOG_LEVEL_ERROR, "start_failed", "reason=\"%s\"", error->message);
      g_error_free (error);
      return EXIT_FAILED;
    }
  start_discovery (daemon, settings);
  log_event (LOG_LEVEL_NOTICE, "started", "host=%s failure_domain=%s listen=%s store=%s",
             settings_text (settings, "host"), settings_text (settings, "failure-domain"),
             settings_text (settings, "listen"), settings_text (settings, "store"));
  while (!daemon->stopped)
    if (tevent_loop_once (daemon->events) != 0)
      {
        log_event (LOG_LEVEL_ERROR, "loop_failed", "errno=%d", errno);
        return EXIT_FAILED;
      }
  log_event (LOG_LEVEL_NOTICE, "stopped", "host=%s", settings_text (settings, "host"));
  return EXIT_DONE;
}

const Command command_pool
    = { "pool", "run one daemon of a fleet on the users' platform", pool_settings, run_pool };
