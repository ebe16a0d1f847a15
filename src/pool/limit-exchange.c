#include "pool/limit-exchange.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log-rate-limit.h"
#include "base/log.h"
#include "base/verdict.h"
#include "policy/limit-lease.h"
#include "policy/limit-ledger.h"
#include "policy/limit-stock.h"
#include "pool/limits.pb-c.h"

/* Interval at which the lease is looked after, and questions are asked again. */
#define TICK_MS 50
/* A new holder that does not know what was left hands out the operations of this time at once. */
#define INITIAL_MS 200
/* Time in which a new holder that does not know what was left refuses nobody. */
#define WARM_UP_MS 1000
/* Timeout of a write to the store, shorter than the lease. */
#define WRITE_TIMEOUT_MS 900
#define DATAGRAM_BYTES 8192
/* Customers named in one datagram. */
#define ENTRIES_MAX 300
/* Log lines per second for operations over a limit. */
#define REFUSED_LINES_PER_S 5
/* Customers with counters of their own in the metrics. */
#define PRINTED_MAX 200

struct LimitAccount
{
  LimitExchange *exchange;
  uint64_t id; /* hash of the name */
  char name[CATALOG_NAME_BYTES];
  double rate_per_s;
  double burst;
  bool listed; /* in the configuration in force */
  LimitStock stock;
  GQueue waiters;
  uint64_t started;
  uint64_t refused;
};

struct LimitExchange
{
  LimitExchangeOptions options;
  int fd;
  struct tevent_fd *fde;
  Timer tick;
  GHashTable *accounts; /* name to LimitAccount, of customers with a limit */
  GHashTable *accounts_by_id;
  LimitLease lease;
  LimitLedger *ledger;
  bool granting;
  struct sockaddr_in holder; /* that announced the lease last; port 0 for none */
  GHashTable *left;      /* customer to the operations left when the lease was released, double */
  uint64_t left_version; /* of that lease */
  uint64_t claimed_version; /* that this host's last claim follows */
  int64_t warm_ms;          /* end of the time after taking over, see WARM_UP_MS */
  LogRateLimit refused_log;
};

static void ask (LimitExchange *exchange);

static int
exchange_destroy (LimitExchange *exchange)
{
  GHashTableIter iter;
  void *value;

  timer_clear (&exchange->tick);
  TALLOC_FREE (exchange->fde);
  close (exchange->fd);
  g_hash_table_iter_init (&iter, exchange->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LimitAccount *account = value;
      LimitWaiter *waiter;

      while ((waiter = g_queue_pop_head (&account->waiters)) != NULL)
        waiter->account = NULL;
    }
  g_hash_table_destroy (exchange->left);
  g_hash_table_destroy (exchange->accounts_by_id);
  g_hash_table_destroy (exchange->accounts);
  limit_ledger_free (exchange->ledger);
  limit_lease_done (&exchange->lease);
  return 0;
}

static bool
is_active (const LimitExchange *exchange)
{
  return g_hash_table_size (exchange->accounts) > 0;
}

static GArray *
list_hosts (const LimitExchange *exchange)
{
  GArray *hosts = g_array_new (false, true, sizeof (HostEntry));

  peer_mesh_list_hosts (exchange->options.mesh, hosts);
  return hosts;
}

static void
send_message (LimitExchange *exchange, const struct sockaddr_in *to, Pool__LimitMessage *message)
{
  const ConfigProof *proof = exchange->options.proof;
  uint8_t bytes[DATAGRAM_BYTES];

  message->sender = exchange->lease.self;
  message->version = exchange->lease.version;
  if (proof->at_ms != 0)
    message->proof_age = (uint32_t) MIN (clock_now_ms () - proof->at_ms, INT32_MAX) + 1;
  if (pool__limit_message__get_packed_size (message) > sizeof bytes)
    return;
  // A datagram that can't be sent counts as lost.
  sendto (exchange->fd, bytes, pool__limit_message__pack (message, bytes), MSG_NOSIGNAL,
          (const struct sockaddr *) to, sizeof *to);
}

/* A host that releases the lease tells what it has not handed out. */
static size_t
fill_left (LimitExchange *exchange, Pool__LimitEntry *entries, Pool__LimitEntry **pointers)
{
  const int64_t now_ms = clock_now_ms ();
  GHashTableIter iter;
  void *value;
  size_t count = 0;

  g_hash_table_iter_init (&iter, exchange->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value) && count < ENTRIES_MAX)
    {
      const LimitAccount *account = value;

      pool__limit_entry__init (&entries[count]);
      entries[count].customer = account->id;
      entries[count].count = (uint32_t) limit_ledger_level (exchange->ledger, account->id, now_ms);
      pointers[count] = &entries[count];
      count++;
    }
  return count;
}

static void
announce (LimitExchange *exchange, bool released, bool acknowledge)
{
  Pool__LimitMessage message = POOL__LIMIT_MESSAGE__INIT;
  Pool__LimitEntry entries[ENTRIES_MAX];
  Pool__LimitEntry *pointers[ENTRIES_MAX];
  GArray *hosts = list_hosts (exchange);

  message.kind = POOL__LIMIT_KIND__LIMIT_ANNOUNCE;
  message.released = released;
  message.acknowledge = acknowledge;
  message.number = (uint64_t) clock_now_ms ();
  message.entries = pointers;
  if (released)
    message.n_entries = fill_left (exchange, entries, pointers);
  // The first entry is this host.
  for (guint i = 1; i < hosts->len; i++)
    {
      const HostEntry *host = &g_array_index (hosts, HostEntry, i);
      struct sockaddr_in to
          = { .sin_family = AF_INET,
              .sin_port = htons ((uint16_t) (host->port + exchange->options.peer_offset)) };

      if (inet_pton (AF_INET, host->address, &to.sin_addr) == 1)
        send_message (exchange, &to, &message);
    }
  g_array_free (hosts, true);
}

static bool
may_grant (const LimitExchange *exchange)
{
  return limit_lease_may_grant (&exchange->lease, peer_mesh_host_count (exchange->options.mesh),
                                clock_now_ms ());
}

static void
log_lease (const LimitExchange *exchange, const char *reason)
{
  const LimitLease *lease = &exchange->lease;
  const int64_t now_ms = clock_now_ms ();

  log_event (LOG_LEVEL_NOTICE, "limit_holder",
             "value=%d reason=%s version=%" PRIu64 " renewed_age_ms=%" PRId64 " failing_ms=%" PRId64
             " store_reached_age_ms=%" PRId64,
             exchange->granting, reason, lease->version, now_ms - lease->renewed_ms,
             lease->failing_since_ms == 0 ? 0 : now_ms - lease->failing_since_ms,
             now_ms - lease->proof_ms);
}

static bool
knows_left (const LimitExchange *exchange)
{
  return exchange->left_version != 0 && exchange->left_version == exchange->claimed_version;
}

/* Operations that a new holder may hand out at once. */
static double
initial_level (const LimitExchange *exchange, const LimitAccount *account)
{
  const double *left = g_hash_table_lookup (exchange->left, &account->id);

  if (left != NULL && knows_left (exchange))
    return *left;
  return exchange->options.initial
         + account->rate_per_s * (double) (exchange->lease.idle_ms + INITIAL_MS) / 1000;
}

static void
set_limit (LimitExchange *exchange, const LimitAccount *account, double initial)
{
  limit_ledger_set (exchange->ledger, account->id, account->rate_per_s, account->burst, initial,
                    clock_now_ms ());
}

/* A holder that does not know what was left makes callers wait rather than refusing them. */
static bool
is_warming_up (const LimitExchange *exchange)
{
  return clock_now_ms () < exchange->warm_ms;
}

static void
update_granting (LimitExchange *exchange)
{
  GHashTableIter iter;
  void *value;

  if (exchange->lease.held == exchange->granting)
    return;
  exchange->granting = exchange->lease.held;
  log_lease (exchange, exchange->granting         ? "lease_taken"
                       : exchange->lease.leaving  ? "leaving"
                       : exchange->lease.released ? "store_unreached"
                                                  : "lease_lost");
  if (!exchange->granting)
    return;
  limit_ledger_clear (exchange->ledger);
  g_hash_table_iter_init (&iter, exchange->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LimitAccount *account = value;

      if (account->listed)
        set_limit (exchange, account, initial_level (exchange, account));
    }
  exchange->warm_ms = knows_left (exchange) ? 0 : clock_now_ms () + WARM_UP_MS;
  announce (exchange, false, !exchange->lease.confirmed);
  ask (exchange);
}

static void
on_written (void *data, const StoreAnswer *answer, uint64_t version, uint64_t holder)
{
  static const LimitWriteResult results[] = {
    [DIRECTORY_OK] = LIMIT_WRITE_OK,           [DIRECTORY_CONFLICT] = LIMIT_WRITE_CONFLICT,
    [DIRECTORY_REFUSED] = LIMIT_WRITE_REFUSED, [DIRECTORY_COMPACTED] = LIMIT_WRITE_UNKNOWN,
    [DIRECTORY_UNKNOWN] = LIMIT_WRITE_UNKNOWN,
  };
  LimitExchange *exchange = data;

  limit_lease_written (&exchange->lease, results[answer->result], version, holder, clock_now_ms ());
  update_granting (exchange);
}

static void
tick_lease (LimitExchange *exchange, int64_t now_ms)
{
  const Directory *directory = exchange->options.directory;
  const LimitLeaseView view = {
    .delay_ms = exchange->options.claim_delay_ms,
    .proof_ms = exchange->options.proof->at_ms,
  };
  const LimitLeaseActions actions = limit_lease_tick (&exchange->lease, &view, now_ms);

  update_granting (exchange);
  if (actions.announce)
    announce (exchange, actions.released, actions.acknowledge);
  if (!actions.write)
    return;
  if (!exchange->granting)
    exchange->claimed_version = actions.version;
  directory->write_limit_holder (directory->self, actions.version, exchange->lease.self,
                                 WRITE_TIMEOUT_MS, on_written, exchange);
}

static void
on_tick (void *data)
{
  LimitExchange *exchange = data;

  timer_set (exchange->options.timers, &exchange->tick, TICK_MS);
  if (!is_active (exchange))
    return;
  tick_lease (exchange, clock_now_ms ());
  ask (exchange);
}

static void
log_refusal (LimitExchange *exchange, const LimitAccount *account)
{
  const int64_t now_ms = clock_now_ms ();
  uint32_t dropped;

  if (!log_rate_limit_allow (&exchange->refused_log, now_ms, &dropped))
    return;
  log_event (LOG_LEVEL_INFO, "limit_refused",
             "customer=%s rate_per_s=%g burst=%g refused=%" PRIu64 " started=%" PRIu64
             " lease_version=%" PRIu64 " asked_age_ms=%" PRId64 " proof_age_ms=%" PRId64
             " suppressed=%u",
             account->name, account->rate_per_s, account->burst, account->refused, account->started,
             exchange->lease.version, now_ms - account->stock.asked_ms,
             config_proof_age_ms (exchange->options.proof, now_ms), dropped);
}

/* Starts what may start, then refuses the next @refused operations. */
static void
serve_waiters (LimitAccount *account, uint32_t refused)
{
  LimitWaiter *waiter;

  while (account->waiters.length > 0 && limit_stock_take (&account->stock, clock_now_ms ()))
    {
      waiter = g_queue_pop_head (&account->waiters);
      waiter->account = NULL;
      account->started++;
      waiter->granted (waiter->data);
    }
  while (refused-- > 0 && (waiter = g_queue_pop_head (&account->waiters)) != NULL)
    {
      waiter->account = NULL;
      account->refused++;
      log_refusal (account->exchange, account);
      waiter->refused (waiter->data);
    }
}

/* This host hands out: no question has to be sent. */
static void
grant_here (LimitExchange *exchange, LimitAccount *account)
{
  const int64_t now_ms = clock_now_ms ();

  limit_stock_ask (&account->stock, account->waiters.length, now_ms);
  serve_waiters (account, limit_stock_answer (&account->stock, now_ms,
                                              limit_ledger_take (exchange->ledger, account->id,
                                                                 account->waiters.length, now_ms),
                                              is_warming_up (exchange), now_ms));
}

/* Asks for all operations that wait, and for which no question is under way. */
static void
ask (LimitExchange *exchange)
{
  Pool__LimitMessage message = POOL__LIMIT_MESSAGE__INIT;
  Pool__LimitEntry entries[ENTRIES_MAX];
  Pool__LimitEntry *pointers[ENTRIES_MAX];
  const int64_t now_ms = clock_now_ms ();
  const bool here = exchange->lease.held && may_grant (exchange);
  GList *accounts;

  if (!here && (exchange->lease.held || exchange->holder.sin_port == 0))
    return;
  message.kind = POOL__LIMIT_KIND__LIMIT_ASK;
  message.number = (uint64_t) now_ms;
  message.entries = pointers;
  // Callbacks may add and remove accounts' waiters, but no accounts.
  accounts = g_hash_table_get_values (exchange->accounts);
  for (GList *node = accounts; node != NULL && message.n_entries < ENTRIES_MAX; node = node->next)
    {
      LimitAccount *account = node->data;
      Pool__LimitEntry *entry = &entries[message.n_entries];

      if (account->waiters.length == 0 || !limit_stock_is_due (&account->stock, now_ms))
        continue;
      if (here)
        {
          grant_here (exchange, account);
          continue;
        }
      pool__limit_entry__init (entry);
      entry->customer = account->id;
      entry->count = account->waiters.length;
      limit_stock_ask (&account->stock, entry->count, now_ms);
      pointers[message.n_entries++] = entry;
    }
  g_list_free (accounts);
  if (message.n_entries > 0)
    send_message (exchange, &exchange->holder, &message);
}

static void
handle_ask (LimitExchange *exchange, const struct sockaddr_in *from,
            const Pool__LimitMessage *question)
{
  Pool__LimitMessage message = POOL__LIMIT_MESSAGE__INIT;

  if (!may_grant (exchange))
    return;
  message.kind = POOL__LIMIT_KIND__LIMIT_GRANT;
  message.number = question->number;
  message.more = is_warming_up (exchange);
  message.entries = question->entries;
  message.n_entries = question->n_entries;
  for (size_t i = 0; i < question->n_entries; i++)
    question->entries[i]->count
        = limit_ledger_take (exchange->ledger, question->entries[i]->customer,
                             question->entries[i]->count, clock_now_ms ());
  send_message (exchange, from, &message);
}

static void
handle_grant (LimitExchange *exchange, const Pool__LimitMessage *message)
{
  for (size_t i = 0; i < message->n_entries; i++)
    {
      LimitAccount *account
          = g_hash_table_lookup (exchange->accounts_by_id, &message->entries[i]->customer);

      if (account != NULL)
        serve_waiters (account, limit_stock_answer (&account->stock, (int64_t) message->number,
                                                    message->entries[i]->count, message->more,
                                                    clock_now_ms ()));
    }
  ask (exchange);
}

static void
record_left (LimitExchange *exchange, const Pool__LimitMessage *message)
{
  g_hash_table_remove_all (exchange->left);
  exchange->left_version = message->version;
  for (size_t i = 0; i < message->n_entries; i++)
    {
      const Pool__LimitEntry *entry = message->entries[i];
      const double count = entry->count;

      g_hash_table_replace (exchange->left, g_memdup2 (&entry->customer, sizeof entry->customer),
                            g_memdup2 (&count, sizeof count));
    }
}

static void
handle_announcement (LimitExchange *exchange, const struct sockaddr_in *from,
                     const Pool__LimitMessage *message)
{
  Pool__LimitMessage answer = POOL__LIMIT_MESSAGE__INIT;

  if (!limit_lease_announced (&exchange->lease, message->sender, message->version,
                              message->released, clock_now_ms ()))
    return;
  update_granting (exchange);
  exchange->holder = *from;
  if (message->released)
    {
      exchange->holder.sin_port = 0;
      record_left (exchange, message);
    }
  if (message->acknowledge
      && limit_lease_acknowledge (&exchange->lease, message->sender, clock_now_ms ()))
    {
      answer.kind = POOL__LIMIT_KIND__LIMIT_ACKNOWLEDGE;
      answer.number = message->number;
      send_message (exchange, from, &answer);
    }
  ask (exchange);
}

static void
handle_message (LimitExchange *exchange, const struct sockaddr_in *from,
                const Pool__LimitMessage *message)
{
  const int64_t now_ms = clock_now_ms ();

  switch (message->kind)
    {
    case POOL__LIMIT_KIND__LIMIT_ANNOUNCE:
      handle_announcement (exchange, from, message);
      return;
    case POOL__LIMIT_KIND__LIMIT_ACKNOWLEDGE:
      limit_lease_acknowledged (&exchange->lease, message->sender, message->version,
                                message->proof_age == 0 ? 0 : now_ms - (message->proof_age - 1),
                                (int64_t) message->number,
                                peer_mesh_host_count (exchange->options.mesh), now_ms);
      update_granting (exchange);
      ask (exchange);
      return;
    case POOL__LIMIT_KIND__LIMIT_ASK:
      handle_ask (exchange, from, message);
      return;
    case POOL__LIMIT_KIND__LIMIT_GRANT:
      handle_grant (exchange, message);
      return;
    default:
      return;
    }
}

static void
on_datagram (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  LimitExchange *exchange = data;
  uint8_t bytes[DATAGRAM_BYTES];
  struct sockaddr_in from = { 0 };
  socklen_t length = sizeof from;
  ssize_t size;

  while (
      (size = recvfrom (exchange->fd, bytes, sizeof bytes, 0, (struct sockaddr *) &from, &length))
      >= 0)
    {
      Pool__LimitMessage *message = pool__limit_message__unpack (NULL, (size_t) size, bytes);

      if (message == NULL)
        log_event (LOG_LEVEL_WARNING, "limit_message_malformed", "bytes=%zd", size);
      else
        handle_message (exchange, &from, message);
      pool__limit_message__free_unpacked (message, NULL);
      length = sizeof from;
    }
}

LimitExchange *
limit_exchange_new (TALLOC_CTX *parent, const LimitExchangeOptions *options, GError **error)
{
  LimitExchange *exchange = talloc_zero (parent, LimitExchange);
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  const uint64_t start = (uint64_t) g_get_real_time () ^ ((uint64_t) clock_now_us () << 12);

  exchange->options = *options;
  exchange->fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (inet_pton (AF_INET, options->address, &address.sin_addr) != 1
      || bind (exchange->fd, (struct sockaddr *) &address, sizeof address) != 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot open UDP %s port %u",
                   options->address, options->port);
      close (exchange->fd);
      talloc_free (exchange);
      return NULL;
    }
  limit_lease_init (&exchange->lease,
                    limit_lease_process (peer_mesh_self_id (options->mesh), (uint32_t) start),
                    clock_now_ms ());
  exchange->ledger = limit_ledger_new ();
  exchange->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  exchange->left = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  exchange->accounts_by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  exchange->refused_log.lines_per_s = REFUSED_LINES_PER_S;
  exchange->fde = tevent_add_fd (options->events, exchange, exchange->fd, TEVENT_FD_READ,
                                 on_datagram, exchange);
  exchange->tick.fired = on_tick;
  exchange->tick.data = exchange;
  timer_set (options->timers, &exchange->tick, TICK_MS);
  talloc_set_destructor (exchange, exchange_destroy);
  return exchange;
}

static LimitAccount *
add_account (LimitExchange *exchange, const char *name)
{
  LimitAccount *account = g_new0 (LimitAccount, 1);

  account->exchange = exchange;
  account->id = XXH64 (name, strlen (name), 0);
  g_strlcpy (account->name, name, sizeof account->name);
  g_queue_init (&account->waiters);
  g_hash_table_insert (exchange->accounts, account->name, account);
  g_hash_table_insert (exchange->accounts_by_id, &account->id, account);
  return account;
}

void
limit_exchange_set_catalog (LimitExchange *exchange, const Catalog *catalog)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, exchange->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LimitAccount *) value)->listed = false;
  if (catalog->customers == NULL)
    return;
  g_hash_table_iter_init (&iter, catalog->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Customer *customer = value;
      LimitAccount *account = g_hash_table_lookup (exchange->accounts, customer->name);

      if (!customer->limited)
        continue;
      if (account == NULL)
        account = add_account (exchange, customer->name);
      account->listed = true;
      account->rate_per_s = customer->rate_per_s;
      account->burst = customer->burst;
      if (exchange->granting)
        set_limit (exchange, account, account->burst);
    }
}

bool
limit_exchange_start (LimitExchange *exchange, const char *customer, LimitWaiter *waiter)
{
  LimitAccount *account = g_hash_table_lookup (exchange->accounts, customer);

  if (account == NULL || !account->listed)
    return true;
  if (account->waiters.length == 0 && limit_stock_take (&account->stock, clock_now_ms ()))
    {
      account->started++;
      return true;
    }
  waiter->account = account;
  g_queue_push_tail (&account->waiters, waiter);
  if (limit_stock_is_due (&account->stock, clock_now_ms ()))
    ask (exchange);
  return false;
}

void
limit_exchange_cancel (LimitWaiter *waiter)
{
  if (waiter->account == NULL)
    return;
  g_queue_remove (&waiter->account->waiters, waiter);
  waiter->account = NULL;
}

void
limit_exchange_leave (LimitExchange *exchange)
{
  limit_lease_leave (&exchange->lease);
  if (is_active (exchange))
    tick_lease (exchange, clock_now_ms ());
}

void
limit_exchange_store_restored (LimitExchange *exchange)
{
  limit_lease_store_restored (&exchange->lease, clock_now_ms ());
  update_granting (exchange);
}

void
limit_exchange_print (const LimitExchange *exchange, GString *out)
{
  GHashTableIter iter;
  void *value;
  uint32_t printed = 0;

  if (!is_active (exchange))
    return;
  g_string_append_printf (out, "peridotstep_limit_holder %d\n", exchange->granting);
  g_hash_table_iter_init (&iter, exchange->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value) && printed++ < PRINTED_MAX)
    {
      const LimitAccount *account = value;

      g_string_append_printf (out,
                              "peridotstep_customer_operations_total{customer=\"%s\"} %" PRIu64
                              "\nperidotstep_customer_over_limit_total{customer=\"%s\"} %" PRIu64
                              "\n",
                              account->name, account->started, account->name, account->refused);
    }
}
