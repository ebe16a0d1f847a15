/**
 * DOC: Runs pooling daemons against a simulated database group and prints the exact answers that
 * callers get.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/stream.h"
#include "fake-group.h"
#include "platform/line-codec.h"
#include "pool/pool-server.h"
#include "script.h"

#define HOSTS_MAX 4
#define CALLERS_MAX 10
#define SESSION_LIMIT 8
/* Longer than any script takes. */
#define CALLER_LIMIT_MS 60000
/* Longest wait for an answer; after that the script prints that there was none. */
#define ANSWER_LIMIT_MS 6000
#define POLL_MS 10
#define STATEMENT_MS 600
/* Longer than a change of primary takes. */
#define IDLE_TRANSACTION_MS 4000

typedef struct State State;

typedef struct
{
  State *state;
  char name[8];
  Counters counters;
  PoolMetrics metrics;
  PeerMesh *mesh;
  PoolServer *server;
  ConfigProof proof;
  bool asking; /* the store for a proof */
  guint16 port;
  guint16 peer_port;
} TestHost;

typedef struct
{
  char name[8];
  int fd;
  GString *input;
  guint next_id;
} Caller;

struct State
{
  struct tevent_context *events;
  TimerQueue *timers;
  FakeGroup *group;
  GHashTable *regions;
  Directory directory;
  gint64 heartbeat_delay_ms; /* from reading what a heartbeat holds to sending it */
  guint proofs_too_late;     /* heard as if they were later than they were */
  guint64 highest_token;
  guint promotes;
  TestHost *hosts[HOSTS_MAX];
  guint host_count;
  Caller callers[CALLERS_MAX];
  guint caller_count;
  Catalog *catalog;
  guint owners_from;      /* hosts from which on services have owners; 0 for never */
  gint64 config_limit_ms; /* of hosts added from now on */
  gint64 revoke_limit_ms; /* the same */
  Timer wake;
};

static void
on_wake (void *data)
{
}

static void
run_once (State *state)
{
  state->wake.fired = on_wake;
  timer_set (state->timers, &state->wake, POLL_MS);
  tevent_loop_once (state->events);
}

static void
run_for (State *state, gint64 duration_ms)
{
  const gint64 until_ms = clock_now_ms () + duration_ms;

  while (clock_now_ms () < until_ms)
    run_once (state);
}

typedef struct
{
  State *state;
  DirectoryCallback done;
  void *data;
  DirectoryResult result;
  Timer timer;
} PendingPromote;

static void
on_promoted (void *data)
{
  PendingPromote *pending = data;

  pending->done (pending->data, pending->result);
  g_free (pending);
}

static void
promote (void *self, const PromoteRequest *request, DirectoryCallback done, void *data)
{
  State *state = self;
  PendingPromote *pending = g_new0 (PendingPromote, 1);

  // The platform rejects fencing tokens that do not increase.
  if (request->fencing_token <= state->highest_token)
    g_error ("fencing token %" PRIu64 " after %" PRIu64, request->fencing_token,
             state->highest_token);
  state->highest_token = request->fencing_token;
  state->promotes++;
  pending->state = state;
  pending->done = done;
  pending->data = data;
  pending->result
      = fake_group_promote (state->group, request->instance) ? DIRECTORY_OK : DIRECTORY_CONFLICT;
  pending->timer.fired = on_promoted;
  pending->timer.data = pending;
  timer_set (state->timers, &pending->timer, POLL_MS);
}

static void
add_database (Catalog *catalog, const char *name, Consistency consistency, Priority priority)
{
  const Database database = {
    .name = (char *) name,
    .service = (char *) "ledger",
    .consistency = consistency,
    .staleness_ms = consistency == CONSISTENCY_PRIMARY ? 0 : 2000,
    .statement_ms = STATEMENT_MS,
    .operation_ms = 2 * STATEMENT_MS,
    .attempts = 2,
    .priority = priority,
  };

  catalog_add_database (catalog, &database);
}

/* Customers amber and blue; blue's key is gone if @revoked. */
static void
add_customers (Catalog *catalog, bool revoked)
{
  const Customer amber = { .name = (char *) "amber" };
  const Customer blue = { .name = (char *) "blue" };

  catalog_add_key (catalog, "amber-key", catalog_add_customer (catalog, &amber));
  catalog_add_key (catalog, revoked ? "blue-key-2" : "blue-key",
                   catalog_add_customer (catalog, &blue));
}

static Catalog *
make_catalog (guint64 version, bool with_sales)
{
  Catalog *catalog = catalog_new (version);
  const ServiceEntry service
      = { .name = (char *) "ledger", .connection_limit = 12, .synchronous = 1 };

  catalog_add_service (catalog, &service);
  if (with_sales)
    add_database (catalog, "sales", CONSISTENCY_PRIMARY, PRIORITY_URGENT);
  add_database (catalog, "gate", CONSISTENCY_BOUNDED, PRIORITY_BACKGROUND);
  add_database (catalog, "desk", CONSISTENCY_SESSION, PRIORITY_NORMAL);
  catalog->idle_transaction_ms = IDLE_TRANSACTION_MS;
  return catalog;
}

/* The store has no record of log holders, and takes one. */
static void
read_log_holders (void *self, const char *service, gint64 timeout_ms, LogHoldersCallback done,
                  void *data)
{
  const StoreAnswer answer = { .result = DIRECTORY_OK };
  GArray *keys = g_array_new (false, false, sizeof (guint64));

  done (data, &answer, 0, keys);
  g_array_free (keys, true);
}

static void
write_log_holders (void *self, const char *service, guint64 version, const GArray *keys,
                   gint64 timeout_ms, LogHoldersCallback done, void *data)
{
  const StoreAnswer answer = { .result = DIRECTORY_OK };

  done (data, &answer, version + 1, NULL);
}

static void *
start (void)
{
  State *state = talloc_zero (NULL, State);

  log_set_level (LOG_LEVEL_ERROR);
  state->events = tevent_context_init (state);
  state->timers = timer_queue_new (state, state->events);
  state->group = fake_group_new (state, state->events);
  state->regions = g_hash_table_new (g_str_hash, g_str_equal);
  g_hash_table_insert (state->regions, "north-1", "north");
  g_hash_table_insert (state->regions, "north-2", "north");
  g_hash_table_insert (state->regions, "south-1", "south");
  state->directory = (Directory){
    .self = state,
    .read_log_holders = read_log_holders,
    .write_log_holders = write_log_holders,
    .promote = promote,
  };
  state->catalog = make_catalog (1, true);
  return state;
}

static void
end (void *data)
{
  State *state = data;

  for (guint i = 0; i < state->caller_count; i++)
    {
      close (state->callers[i].fd);
      g_string_free (state->callers[i].input, true);
    }
  timer_clear (&state->wake);
  for (guint i = 0; i < state->host_count; i++)
    TALLOC_FREE (state->hosts[i]->server);
  catalog_unref (state->catalog);
  g_hash_table_destroy (state->regions);
  talloc_free (state);
}

static void
fill_heartbeat (void *data, Pool__Beat *heartbeat, bool services)
{
  TestHost *host = data;

  pool_server_fill_heartbeat (host->server, heartbeat, services);
  // All hosts have one clock, so the time of the proof can be compared with what is made of its
  // age.
  heartbeat->proof_version = (guint64) clock_now_ms ();
  heartbeat->proof_age = 1;
  g_usleep ((gulong) host->state->heartbeat_delay_ms * 1000);
}

static void
on_heartbeat (void *data, const struct sockaddr_in *from, const Pool__Beat *heartbeat,
              int64_t sent_ms)
{
  State *state = ((TestHost *) data)->state;

  state->proofs_too_late
      += sent_ms - (heartbeat->proof_age - 1) > (gint64) heartbeat->proof_version;
}

static void
receive_heartbeat (void *data, uint64_t peer, uint64_t address, const Pool__ServiceBeat *heartbeat,
                   int64_t sent_ms)
{
  pool_server_receive_heartbeat (((TestHost *) data)->server, peer, address, heartbeat, sent_ms);
}

static void
on_peer_gone (void *data, uint64_t peer, PeerEnd end)
{
  pool_server_forget_peer (((TestHost *) data)->server, peer, end);
}

static void
send_services (void *data)
{
  pool_server_send_services (((TestHost *) data)->server);
}

static void
list_instances (State *state)
{
  GArray *infos = fake_group_infos (state->group);

  for (guint i = 0; i < state->host_count; i++)
    if (state->hosts[i]->server != NULL)
      pool_server_set_instances (state->hosts[i]->server, infos);
  g_array_free (infos, true);
}

static void
on_refresh_instances (void *data)
{
}

static bool
on_request_proof (void *data)
{
  return ((TestHost *) data)->asking;
}

static guint16
free_port (int type)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, type, 0);

  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *) &address, &length) != 0)
    g_error ("no free port");
  close (fd);
  return ntohs (address.sin_port);
}

/* A free port whose successor is free too: sessions are forwarded to the port after the peers'. */
static guint16
free_port_pair (void)
{
  for (;;)
    {
      const guint16 port = free_port (SOCK_DGRAM);
      const int fd
          = port == G_MAXUINT16 ? -1 : stream_listen ("127.0.0.1", (guint16) (port + 1), false);

      if (fd < 0)
        continue;
      close (fd);
      return port;
    }
}

/* A free port for callers, which must not be the one after the peers'. */
static guint16
free_caller_port (guint16 peer_port)
{
  guint16 port;

  do
    port = free_port (SOCK_STREAM);
  while (port == peer_port + 1);
  return port;
}

static void
announce_hosts (State *state)
{
  GArray *entries = g_array_new (false, true, sizeof (HostEntry));

  for (guint i = 0; i < state->host_count; i++)
    {
      HostEntry entry = { .port = state->hosts[i]->peer_port };

      g_strlcpy (entry.id, state->hosts[i]->name, sizeof entry.id);
      g_strlcpy (entry.address, "127.0.0.1", sizeof entry.address);
      g_strlcpy (entry.failure_domain, "north-1", sizeof entry.failure_domain);
      g_array_append_val (entries, entry);
    }
  for (guint i = 0; i < state->host_count; i++)
    if (state->hosts[i]->server != NULL)
      {
        peer_mesh_add_hosts (state->hosts[i]->mesh, entries);
        pool_server_set_hosts_known (state->hosts[i]->server);
      }
  g_array_free (entries, true);
}

static TestHost *
find_host (State *state, const char *name)
{
  for (guint i = 0; i < state->host_count; i++)
    if (strcmp (state->hosts[i]->name, name) == 0)
      return state->hosts[i];
  g_error ("no host %s", name);
}

/* Tells @host about one other host only, as if it could not read the host list. */
static void
announce_to (TestHost *host, const TestHost *other)
{
  GArray *entries = g_array_new (false, true, sizeof (HostEntry));
  HostEntry entry = { .address = "127.0.0.1", .port = other->peer_port };

  g_array_append_val (entries, entry);
  peer_mesh_add_hosts (host->mesh, entries);
  g_array_free (entries, true);
}

/* host NAME [OTHER]: starts a daemon in failure domain north-1 that knows all others or only
 * OTHER */
static void
add_host (State *state, char **words)
{
  const char *name = script_word (words, 1);
  const char *other = script_word (words, 2);
  TestHost *host = talloc_zero (state, TestHost);
  PeerMeshOptions mesh = {
    .events = state->events,
    .timers = state->timers,
    .counters = &host->counters,
    .host = host->name,
    .address = "127.0.0.1",
    .port = free_port_pair (),
    .failure_domain = "north-1",
    .region = "north",
    .domain_region = state->regions,
    .owners_from = state->owners_from == 0 ? HOSTS_MAX + 1 : state->owners_from,
    .fill_heartbeat = fill_heartbeat,
    .send_services = send_services,
    .heartbeat_received = on_heartbeat,
    .service_received = receive_heartbeat,
    .peer_gone = on_peer_gone,
    .data = host,
  };
  PoolServerOptions options = {
    .host = host->name,
    .failure_domain = "north-1",
    .region = "north",
    .address = "127.0.0.1",
    .port = free_caller_port (mesh.port),
    .link_port = (uint16_t) (mesh.port + 1),
    .session_limit = SESSION_LIMIT,
    .message_limit_ms = CALLER_LIMIT_MS,
    .answer_limit_ms = CALLER_LIMIT_MS,
    .domain_region = state->regions,
    .codec = &platform_line_codec,
    .counters = &host->counters,
    .metrics = &host->metrics,
    .timers = state->timers,
    .directory = &state->directory,
    .refresh_instances = on_refresh_instances,
    .proof = &host->proof,
    .config_limit_ms = state->config_limit_ms,
    .revoke_limit_ms = state->revoke_limit_ms,
    .request_proof = on_request_proof,
    .data = host,
  };

  host->state = state;
  g_strlcpy (host->name, name, sizeof host->name);
  host->mesh = options.mesh = peer_mesh_new (host, &mesh, NULL);
  host->server = pool_server_new (host, state->events, &options, NULL);
  if (host->mesh == NULL || host->server == NULL)
    g_error ("host %s: port %u, %u or %u is taken", host->name, options.port, mesh.port,
             options.link_port);
  host->port = options.port;
  host->peer_port = mesh.port;
  state->hosts[state->host_count++] = host;
  pool_server_set_catalog (host->server, state->catalog);
  config_proof_set_version (&host->proof, state->catalog->version, CONFIG_SOURCE_READ);
  list_instances (state);
  if (*other == '\0')
    announce_hosts (state);
  else
    announce_to (host, find_host (state, other));
  run_for (state, 50);
}

static Caller *
find_caller (State *state, const char *name)
{
  for (guint i = 0; i < state->caller_count; i++)
    if (strcmp (state->callers[i].name, name) == 0)
      return &state->callers[i];
  return NULL;
}

/* Returns false if the connection was closed. */
static bool
receive (Caller *caller)
{
  char bytes[4096];
  gssize got = recv (caller->fd, bytes, sizeof bytes, MSG_DONTWAIT);

  if (got > 0)
    g_string_append_len (caller->input, bytes, got);
  return got != 0;
}

/* Moves one line of the input to @line; false if none is complete. */
static bool
next_line (Caller *caller, GString *line)
{
  char *end = strstr (caller->input->str, "\r\n");

  if (end == NULL)
    return false;
  g_string_truncate (line, 0);
  g_string_append_len (line, caller->input->str, end - caller->input->str);
  g_string_erase (caller->input, 0, end - caller->input->str + 2);
  return true;
}

static void
print_answer (State *state, Caller *caller, GString *out)
{
  const gint64 until_ms = clock_now_ms () + ANSWER_LIMIT_MS;
  GString *line = g_string_new ("");
  bool ready = false;
  bool open = true;

  while (!ready && open && clock_now_ms () < until_ms)
    {
      run_once (state);
      open = receive (caller);
      while (!ready && next_line (caller, line))
        {
          g_string_append_printf (out, "%s\n", line->str);
          ready = g_str_has_prefix (line->str, "READY ");
        }
    }
  if (!ready)
    g_string_append (out, open ? "(no answer)\n" : "(closed)\n");
  g_string_free (line, true);
}

static void
send_text (const Caller *caller, const char *text)
{
  if (send (caller->fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    g_error ("cannot send to the host");
}

/* open CALLER HOST DATABASE [KEY]: opens a session. opening: the same without waiting for the
 * answer */
static void
open_caller (State *state, char **words, GString *out)
{
  Caller *caller = &state->callers[state->caller_count++];
  const char *key = script_word (words, 4);
  char *text
      = g_strdup_printf ("START %s %s\r\n", script_word (words, 3), *key == '\0' ? "user" : key);
  guint16 port = 0;

  for (guint i = 0; i < state->host_count; i++)
    if (strcmp (state->hosts[i]->name, script_word (words, 2)) == 0)
      port = state->hosts[i]->port;
  g_strlcpy (caller->name, script_word (words, 1), sizeof caller->name);
  caller->fd = stream_connect ("127.0.0.1", port);
  caller->input = g_string_new ("");
  run_for (state, POLL_MS);
  send_text (caller, text);
  g_free (text);
  if (strcmp (words[0], "open") == 0)
    print_answer (state, caller, out);
}

/* CALLER TEXT...: runs a statement; ids count up, as in "x1" */
static void
send_query (State *state, Caller *caller, char **words, GString *out, bool wait)
{
  char *text = g_strjoinv (" ", words + (wait ? 1 : 2));
  char *line = g_strdup_printf ("QUERY %s%u %s\r\n", caller->name, ++caller->next_id, text);

  send_text (caller, line);
  g_free (line);
  g_free (text);
  if (wait)
    print_answer (state, caller, out);
  else
    run_for (state, POLL_MS);
}

/* fault INSTANCE KIND: injects a fault */
static void
set_fault (State *state, char **words)
{
  static const char *const kinds[]
      = { "none", "unresponsive", "close_unanswered", "withhold_answer",
          "busy", "down",         "not_replicating",  "full",
          "reset" };

  for (guint i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (kinds[i], script_word (words, 2)) == 0)
      {
        fake_group_set_fault (state->group, script_word (words, 1), (FakeFault) i);
        return;
      }
  g_error ("no such fault: %s", script_word (words, 2));
}

/* configure all|keys|revoked|OTHER [HOST]: a new configuration at all hosts, or at one: complete,
 * with customers, with customers and another key for blue, or without sales */
static void
configure (State *state, const char *kind, const char *host)
{
  const guint64 version = state->catalog->version + 1;
  const bool revoked = strcmp (kind, "revoked") == 0;
  const bool keys = revoked || strcmp (kind, "keys") == 0;

  catalog_unref (state->catalog);
  state->catalog = make_catalog (version, keys || strcmp (kind, "all") == 0);
  if (keys)
    add_customers (state->catalog, revoked);
  for (guint i = 0; i < state->host_count; i++)
    if (state->hosts[i]->server != NULL
        && (*host == '\0' || strcmp (state->hosts[i]->name, host) == 0))
      {
        pool_server_set_catalog (state->hosts[i]->server, state->catalog);
        config_proof_set_version (&state->hosts[i]->proof, version, CONFIG_SOURCE_READ);
      }
}

/* prove HOST: the configuration is known to be the newest now */
static void
prove (TestHost *host)
{
  config_proof_record (&host->proof, host->state->catalog->version, clock_now_ms ());
}

/* asking HOST yes|no: whether an answer of the store on the configuration is awaited */
static void
set_asking (TestHost *host, const char *word)
{
  host->asking = strcmp (word, "yes") == 0;
}

/* await INSTANCE: waits until it serves databases with strict reads */
static void
await_primary (State *state, const char *name, GString *out)
{
  const gint64 until_ms = clock_now_ms () + 3 * ANSWER_LIMIT_MS;

  while (clock_now_ms () < until_ms)
    {
      ServiceGroup *group = pool_server_group (state->hosts[0]->server, "ledger");
      const InstancePool *pool = service_group_primary (group);
      GroupView view;

      service_group_view (group, &view);
      if (pool != NULL && strcmp (instance_pool_info (pool)->id, name) == 0)
        {
          g_string_append_printf (out, "primary %s term %" PRIu64 ", promote calls %u\n", name,
                                  view.term, state->promotes);
          return;
        }
      run_once (state);
    }
  g_string_append (out, "(not within the limit)\n");
}

/* known_hosts HOST: prints the number of hosts that it knows, including itself */
static void
print_known_hosts (const TestHost *host, GString *out)
{
  GArray *hosts = g_array_new (false, true, sizeof (HostEntry));

  peer_mesh_list_hosts (host->mesh, hosts);
  g_string_append_printf (out, "%u hosts\n", hosts->len);
  g_array_free (hosts, true);
}

/* heartbeat HOST: prints the number of instances in its heartbeat, those that it wants connections
 * to */
static void
print_heartbeat (const TestHost *host, GString *out)
{
  Pool__Beat heartbeat = POOL__BEAT__INIT;

  pool_server_fill_heartbeat (host->server, &heartbeat, true);
  for (size_t i = 0; i < heartbeat.n_services; i++)
    {
      g_string_append_printf (out, "%zu instances\n", heartbeat.services[i]->n_instances);
      g_free (heartbeat.services[i]->instances);
      g_free (heartbeat.services[i]->wanted);
      g_free (heartbeat.services[i]);
    }
  g_free (heartbeat.services);
}

/* confirm HOST DURATION: peers keep confirming to it that the primary leads */
static void
confirm_primary (State *state, char **words)
{
  const gint64 until_ms = clock_now_ms () + script_number (words, 2);
  ServiceGroup *group
      = pool_server_group (find_host (state, script_word (words, 1))->server, "ledger");

  while (clock_now_ms () < until_ms)
    {
      service_group_confirm_primary (group, clock_now_ms (), 0);
      run_once (state);
    }
}

/* hear HOST TERM: it hears that an instance leads in TERM */
static void
hear_term (State *state, char **words)
{
  ServiceGroup *group
      = pool_server_group (find_host (state, script_word (words, 1))->server, "ledger");

  service_group_hear_term (group, (guint64) script_number (words, 2), 0);
}

/* pending HOST: prints whether it waits for commits to end */
static void
print_pending (const TestHost *host, GString *out)
{
  GroupView view;

  service_group_view (pool_server_group (host->server, "ledger"), &view);
  g_string_append (out, view.commit_pending_since_ms > 0 ? "yes\n" : "no\n");
}

/* stop HOST: the daemon ends at once */
static void
stop_host (TestHost *host)
{
  TALLOC_FREE (host->server);
  TALLOC_FREE (host->mesh);
}

/* depart HOST: the daemon ends after it has told the others */
static void
depart (State *state, TestHost *host)
{
  peer_mesh_leave (host->mesh);
  run_for (state, POLL_MS);
  stop_host (host);
}

/* owner HOST: prints whether HOST serves sessions itself */
static void
print_owner (TestHost *host, GString *out)
{
  Host owner;

  switch (pool_server_find_owner (host->server, "ledger", 0, 0, &owner))
    {
    case OWNER_SELF:
      g_string_append (out, "itself\n");
      return;
    case OWNER_OTHER:
      g_string_append (out, "another host\n");
      return;
    case OWNER_AVOIDED:
      g_string_append (out, "avoided\n");
      return;
    case OWNER_NONE:
      g_string_append (out, "none\n");
      return;
    }
}

static void
send_raw (State *state, char **words, GString *out)
{
  Caller *caller = find_caller (state, script_word (words, 1));
  char *text = g_strjoinv (" ", words + 2);
  char *bytes = g_strcompress (text);

  send_text (caller, bytes);
  g_free (bytes);
  g_free (text);
  print_answer (state, caller, out);
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  Caller *caller = find_caller (state, verb);

  if (caller != NULL)
    send_query (state, caller, words, out, true);
  else if (strcmp (verb, "host") == 0)
    add_host (state, words);
  else if (strcmp (verb, "open") == 0 || strcmp (verb, "opening") == 0)
    open_caller (state, words, out);
  else if (strcmp (verb, "raw") == 0)
    send_raw (state, words, out);
  else if (strcmp (verb, "send") == 0)
    send_query (state, find_caller (state, script_word (words, 1)), words, out, false);
  else if (strcmp (verb, "receive") == 0)
    print_answer (state, find_caller (state, script_word (words, 1)), out);
  else if (strcmp (verb, "fault") == 0)
    set_fault (state, words);
  else if (strcmp (verb, "owners_from") == 0)
    state->owners_from = (guint) script_number (words, 1);
  else if (strcmp (verb, "stop") == 0)
    stop_host (find_host (state, script_word (words, 1)));
  else if (strcmp (verb, "depart") == 0)
    depart (state, find_host (state, script_word (words, 1)));
  else if (strcmp (verb, "rank") == 0)
    g_string_append_printf (
        out, "%u\n",
        peer_mesh_reader_rank (find_host (state, script_word (words, 1))->mesh, false));
  else if (strcmp (verb, "owner") == 0)
    print_owner (find_host (state, script_word (words, 1)), out);
  else if (strcmp (verb, "forwarded") == 0)
    g_string_append_printf (out, "%" PRIu64 " statements\n",
                            counter_get (&find_host (state, script_word (words, 1))->counters,
                                         COUNTER_STATEMENTS_FORWARDED));
  else if (strcmp (verb, "ended") == 0)
    g_string_append (out, receive (find_caller (state, script_word (words, 1))) ? "no\n" : "yes\n");
  else if (strcmp (verb, "leave") == 0)
    {
      fake_group_set_leaving (state->group, script_word (words, 1));
      list_instances (state);
    }
  else if (strcmp (verb, "reuse_address") == 0)
    fake_group_reuse_address (state->group, script_word (words, 1));
  else if (strcmp (verb, "list") == 0)
    list_instances (state);
  else if (strcmp (verb, "configure") == 0)
    configure (state, script_word (words, 1), script_word (words, 2));
  else if (strcmp (verb, "prove") == 0)
    prove (find_host (state, script_word (words, 1)));
  else if (strcmp (verb, "heartbeat_delay") == 0)
    state->heartbeat_delay_ms = script_number (words, 1);
  else if (strcmp (verb, "proofs_too_late") == 0)
    g_string_append (out, state->proofs_too_late == 0 ? "none\n" : "some\n");
  else if (strcmp (verb, "config_limit") == 0)
    state->config_limit_ms = script_number (words, 1);
  else if (strcmp (verb, "asking") == 0)
    set_asking (find_host (state, script_word (words, 1)), script_word (words, 2));
  else if (strcmp (verb, "hear_config") == 0)
    config_proof_hear (&find_host (state, script_word (words, 1))->proof,
                       (guint64) script_number (words, 2), clock_now_ms ());
  else if (strcmp (verb, "revoke_limit") == 0)
    state->revoke_limit_ms = script_number (words, 1);
  else if (strcmp (verb, "drain") == 0)
    pool_server_drain (find_host (state, script_word (words, 1))->server, script_number (words, 2));
  else if (strcmp (verb, "heartbeat") == 0)
    print_heartbeat (find_host (state, script_word (words, 1)), out);
  else if (strcmp (verb, "known_hosts") == 0)
    print_known_hosts (find_host (state, script_word (words, 1)), out);
  else if (strcmp (verb, "ready") == 0)
    g_string_append (out, pool_server_is_ready (find_host (state, script_word (words, 1))->server)
                              ? "ready\n"
                              : "not ready\n");
  else if (strcmp (verb, "await") == 0)
    await_primary (state, script_word (words, 1), out);
  else if (strcmp (verb, "run") == 0)
    run_for (state, script_number (words, 1));
  else if (strcmp (verb, "hear") == 0)
    hear_term (state, words);
  else if (strcmp (verb, "pending") == 0)
    print_pending (find_host (state, script_word (words, 1)), out);
  else if (strcmp (verb, "confirm") == 0)
    confirm_primary (state, words);
  else if (strcmp (verb, "group") == 0)
    fake_group_print (state->group, out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_pool = { "pool", start, command, end };
