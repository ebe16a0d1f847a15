#include "pool/discovery.h"

#include "base/clock.h"
#include "base/log-rate-limit.h"
#include "base/log.h"
#include "policy/feed-position.h"
#include "policy/instance-list.h"
#include "policy/reader-order.h"
#include "policy/store-clock.h"
#include "policy/store-era.h"

/* A long poll ends by itself after this time, so that a dead connection is detected soon enough for
 * a new configuration to be in force within its limit. */
#define WATCH_WAIT_MS 4000
/* The same for a host that learns of changes from its peers. */
#define WATCH_WAIT_LONG_MS 20000
/* Interval between reads of the instance list; instances stop seconds after they announce that they
 * leave. */
#define INSTANCES_INTERVAL_MS 2000
/* The same for a host that is not a reader. */
#define INSTANCES_INTERVAL_LONG_MS 30000
/* Minimum interval between reads when one is requested early. */
#define INSTANCES_MIN_INTERVAL_MS 300
/* Timeout of a call, including connecting. */
#define CALL_TIMEOUT_MS 1500
/* An instance list younger than this is reported to peers as fresh. */
#define LIST_FRESH_MS 4500
/* A host that knows of no read by any host younger than this, plus one heartbeat round, starts to
 * read often itself, because instances stop seconds after they announce that they leave. */
#define LIST_MAX_AGE_MS 3000
/* Minimum interval between fetches of the configuration caused by peers' heartbeats. */
#define FETCH_MIN_INTERVAL_MS 800
/* Interval between a follower's own looks at the configuration, which it learns from peers. */
#define FOLLOWER_CONFIG_INTERVAL_MS 60000
/* Minimum interval between a follower's requests to peers. */
#define FOLLOW_INTERVAL_MS 200
/* A starting host asks another host if the store has not answered by then. */
#define START_WAIT_MS 250
/* First and longest delay after a failed call. */
#define RETRY_MS 200
#define RETRY_MAX_MS 1000
/* The same for a follower, of which a large fleet has hundreds. */
#define FOLLOWER_RETRY_MAX_MS 4000
/* Hosts that take over reading begin within this time. */
#define TAKEOVER_SPREAD_MS 1125
/* First and longest delay before a host asks again for a proof of its configuration. */
#define PROOF_RETRY_MS 500
#define PROOF_RETRY_MAX_MS 4000
/* Log lines per second for answers with a revision lower than an earlier one. */
#define REVISION_LINES_PER_S 2

/* A call for the configuration. */
typedef struct
{
  Discovery *discovery;
  bool watch; /* for what changes after the position, else for everything */
  int64_t sent_ms;
} ConfigCall;

struct Discovery
{
  DiscoveryOptions options;
  Timer config_timer;
  Timer instances_timer;
  int64_t created_ms;
  StoreClock store_clock;
  Timer proof_timer;
  int64_t prove_ms; /* when a proof of the configuration was last asked for */
  int64_t prove_next_ms;
  int64_t prove_retry_ms;
  uint64_t era; /* of the store; 0 while unknown */
  FeedPosition position;
  LogRateLimit revision_log;
  ConfigCall *config_call; /* the one whose answer moves the position; %NULL for none */
  int64_t config_retry_ms;
  int64_t instances_retry_ms;
  int64_t read_ms;
  InstanceList list;
  int64_t list_read_ms; /* when the list in use was read from the store, by this or another host */
  int64_t wanted_read_ms; /* the same of the list that was asked for */
  int64_t asked_ms;       /* when a peer was last asked for newer data */
  int64_t read_done_ms;   /* last successful read of the list */
  int64_t peer_read_ms;   /* last read of the list that a peer reported */
  int64_t fetched_ms;
  uint64_t version;
  uint64_t peer_version; /* newest configuration version of any peer */
  uint32_t peer_hash;    /* hash of a peer's list that caused the last read */
  uint32_t rank;         /* of the last role; %UINT32_MAX before it */
  bool feed_refused;     /* since the last watch that was answered */
  bool reading;
  bool store_lost;
  bool proving; /* asking for a proof of the configuration */
  bool reader;
  bool designated; /* as a reader, by its rank */
  bool follower;
  bool fetching; /* fetching the configuration because a peer has a newer one */
};

static void on_configuration (void *data, const StoreAnswer *answer, Catalog *catalog);

static int
discovery_destroy (Discovery *discovery)
{
  timer_clear (&discovery->config_timer);
  timer_clear (&discovery->instances_timer);
  timer_clear (&discovery->proof_timer);
  instance_list_clear (&discovery->list);
  return 0;
}

static void
record_store_result (Discovery *discovery, DirectoryResult result)
{
  const bool reached = result == DIRECTORY_OK || result == DIRECTORY_COMPACTED;

  if (discovery->store_lost != reached)
    return;
  discovery->store_lost = !reached;
  log_event (reached ? LOG_LEVEL_NOTICE : LOG_LEVEL_WARNING,
             reached ? "store_regained" : "store_lost", "result=%s",
             directory_result_name (result));
  // Others read the store in place of a host that does not reach it.
  discovery->options.announce (discovery->options.data);
  if (reached && discovery->reader)
    discovery_refresh_instances (discovery);
}

static void
log_revision_fell (Discovery *discovery, const StoreAnswer *answer)
{
  uint32_t dropped;

  if (log_rate_limit_allow (&discovery->revision_log, clock_now_ms (), &dropped))
    log_event (LOG_LEVEL_NOTICE, "revision_fell",
               "era=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
               " watched_from=%" G_GUINT64_FORMAT " suppressed=%u",
               answer->era, answer->revision, discovery->position.revision, dropped);
}

static int64_t
watch_wait_ms (const Discovery *discovery)
{
  const int64_t limit_ms = discovery->options.proof_limit_ms;

  if (!discovery->reader)
    return WATCH_WAIT_LONG_MS;
  // One reader is enough to renew the proofs of the others.
  if (discovery->rank > 0 || limit_ms == 0)
    return WATCH_WAIT_MS;
  return MIN (config_proof_watch_ms (limit_ms), WATCH_WAIT_MS);
}

static void
start_config_call (Discovery *discovery)
{
  const Directory *directory = discovery->options.directory;
  ConfigCall *call = talloc_zero (discovery, ConfigCall);

  timer_clear (&discovery->config_timer);
  call->discovery = discovery;
  call->watch = discovery->position.valid;
  call->sent_ms = clock_now_ms ();
  discovery->config_call = call;
  if (call->watch)
    directory->watch_configuration (directory->self, discovery->position.revision,
                                    watch_wait_ms (discovery), on_configuration, call);
  else
    directory->get_configuration (directory->self, CALL_TIMEOUT_MS, on_configuration, call);
}

static void
lose_position (Discovery *discovery)
{
  const ConfigCall *call = discovery->config_call;

  feed_position_lost (&discovery->position);
  // A watch under way may wait for seconds; a follower learns from its peers.
  if (call != NULL && call->watch && !discovery->follower)
    start_config_call (discovery);
}

/* Returns false for an answer from before the store came back from a backup. */
static bool
record_era (Discovery *discovery, const StoreAnswer *answer)
{
  const uint64_t previous = discovery->era;

  switch (store_era_record (&discovery->era, answer->era))
    {
    case STORE_ERA_CURRENT:
      return true;
    case STORE_ERA_PAST:
      log_event (LOG_LEVEL_NOTICE, "store_answer",
                 "reason=\"from before a restore\" era=%" G_GUINT64_FORMAT
                 " current=%" G_GUINT64_FORMAT,
                 answer->era, discovery->era);
      return false;
    case STORE_ERA_BEGUN:
      break;
    }
  discovery->store_clock.known = false;
  pool_metrics_count (discovery->options.metrics, POOL_COUNT_STORE_RESTORED);
  log_event (LOG_LEVEL_WARNING, "store_restored",
             "era=%" G_GUINT64_FORMAT " previous=%" G_GUINT64_FORMAT " revision=%" G_GUINT64_FORMAT
             " watched_from=%" G_GUINT64_FORMAT,
             answer->era, previous, answer->revision, discovery->position.revision);
  lose_position (discovery);
  instance_list_restored (&discovery->list, clock_now_ms ());
  discovery->options.store_restored (discovery->options.data, answer->era);
  return true;
}

/* Age of the proof of this host's configuration; -1 for none. */
static int64_t
proof_age_ms (const Discovery *discovery)
{
  const int64_t age_ms = config_proof_age_ms (discovery->options.proof, clock_now_ms ());

  return age_ms == INT64_MAX ? -1 : age_ms;
}

static int64_t
next_retry_ms (const Discovery *discovery, int64_t *retry_ms)
{
  const int64_t delay_ms = *retry_ms;

  *retry_ms = MIN (delay_ms * 2, discovery->follower ? FOLLOWER_RETRY_MAX_MS : RETRY_MAX_MS);
  return delay_ms;
}

static void
apply_catalog (Discovery *discovery, Catalog *catalog, ConfigSource source)
{
  if (catalog == NULL)
    return;
  if (catalog->version > discovery->version)
    log_event (LOG_LEVEL_INFO, "configuration_read",
               "version=%" G_GUINT64_FORMAT " previous=%" G_GUINT64_FORMAT
               " source=%s previous_proof_age_ms=%" G_GINT64_FORMAT " reader=%d",
               catalog->version, discovery->version, config_source_name (source),
               proof_age_ms (discovery), discovery->reader);
  discovery->version = MAX (discovery->version, catalog->version);
  discovery->options.catalog (discovery->options.data, catalog);
  config_proof_set_version (discovery->options.proof, catalog->version, source);
}

/* The answer tells all changes up to its making. A version that this host had already is the
 * newest, or a store that came back from a backup has an older one. */
static void
record_proof (Discovery *discovery, const StoreAnswer *answer, int64_t sent_ms)
{
  const int64_t made_ms
      = store_clock_record (&discovery->store_clock, answer->time_ms, sent_ms, clock_now_ms ());

  if (discovery->version > 0)
    config_proof_record (discovery->options.proof, discovery->version, made_ms);
}

/* Asks another host after a failed call, if that host may have data that this one lacks. */
static void
request_snapshot_if_useful (Discovery *discovery)
{
  const InstanceList *list = &discovery->list;

  if (discovery->version == 0 || list->infos == NULL || discovery->peer_version > discovery->version
      || (list->failed && discovery->peer_hash != 0
          && discovery->peer_hash != instance_list_hash (list)))
    discovery->options.request_snapshot (discovery->options.data);
}

void
discovery_apply_snapshot (Discovery *discovery, const Snapshot *snapshot)
{
  const bool lacks_list = discovery->list.infos == NULL;

  if (snapshot->catalog != NULL && snapshot->catalog->version > discovery->version)
    {
      apply_catalog (discovery, snapshot->catalog, CONFIG_SOURCE_PEER);
      discovery->options.config_checked (discovery->options.data);
    }
  // While a host reads the store, its list is newer than any peer's.
  if (snapshot->infos == NULL
      || !(lacks_list || ((discovery->list.failed || discovery->follower) && snapshot->fresh)))
    return;
  discovery->list_read_ms = MAX (discovery->list_read_ms, discovery->wanted_read_ms);
  instance_list_replace (&discovery->list, snapshot->infos, clock_now_ms ());
  discovery->options.instances (discovery->options.data, discovery->list.infos);
}

void
discovery_fill_snapshot (const Discovery *discovery, Snapshot *snapshot)
{
  const GArray *infos = discovery->list.infos;

  if (infos == NULL)
    return;
  snapshot->infos = g_array_sized_new (false, true, sizeof (InstanceInfo), infos->len);
  g_array_append_vals (snapshot->infos, infos->data, infos->len);
  snapshot->fresh = discovery_instances_hash (discovery) != 0;
}

static void
record_position (Discovery *discovery, const StoreAnswer *answer, bool watched)
{
  if (answer->revision < discovery->position.revision)
    log_revision_fell (discovery, answer);
  if (!watched)
    {
      feed_position_read (&discovery->position, answer->era, answer->revision);
      return;
    }
  discovery->feed_refused = false;
  feed_position_watched (&discovery->position, answer->era, answer->revision);
}

/* The call failed. If the feed was refused, everything can be read at once; if that happens again,
 * after a delay. */
static void
retry_configuration (Discovery *discovery, DirectoryResult result)
{
  const bool refused = result == DIRECTORY_COMPACTED;
  int64_t delay_ms = 0;

  feed_position_lost (&discovery->position);
  if (!refused || discovery->feed_refused)
    delay_ms = next_retry_ms (discovery, &discovery->config_retry_ms);
  discovery->feed_refused |= refused;
  timer_set (discovery->options.timers, &discovery->config_timer, delay_ms);
}

static void
on_configuration (void *data, const StoreAnswer *answer, Catalog *catalog)
{
  ConfigCall *call = data;
  Discovery *discovery = call->discovery;
  const bool superseded = discovery->config_call != call;
  const bool watched = call->watch;
  const int64_t sent_ms = call->sent_ms;
  DirectoryResult result = answer->result;

  if (!superseded)
    discovery->config_call = NULL;
  talloc_free (call);
  if (!record_era (discovery, answer))
    result = DIRECTORY_UNKNOWN;
  if (superseded)
    {
      apply_catalog (discovery, catalog, CONFIG_SOURCE_SUPERSEDED);
      return;
    }
  if (result == DIRECTORY_COMPACTED)
    pool_metrics_count (discovery->options.metrics, POOL_COUNT_FEED_GONE);
  record_store_result (discovery, result);
  if (result != DIRECTORY_OK)
    {
      retry_configuration (discovery, result);
      if (result != DIRECTORY_COMPACTED)
        request_snapshot_if_useful (discovery);
      return;
    }
  record_position (discovery, answer, watched);
  if (!discovery->feed_refused)
    discovery->config_retry_ms = RETRY_MS;
  apply_catalog (discovery, catalog, watched ? CONFIG_SOURCE_WATCH : CONFIG_SOURCE_READ);
  record_proof (discovery, answer, sent_ms);
  discovery->options.config_checked (discovery->options.data);
  timer_set (discovery->options.timers, &discovery->config_timer,
             discovery->follower && discovery->position.valid ? FOLLOWER_CONFIG_INTERVAL_MS : 0);
}

static void
on_config_timer (void *data)
{
  start_config_call (data);
}

static void
on_instances (void *data, const StoreAnswer *answer, const GArray *infos)
{
  Discovery *discovery = data;
  const DiscoveryOptions *options = &discovery->options;

  discovery->reading = false;
  record_store_result (discovery, answer->result);
  pool_metrics_add (options->metrics, POOL_LATENCY_STORE, clock_now_ms () - discovery->read_ms);
  if (!record_era (discovery, answer) || answer->result != DIRECTORY_OK)
    {
      int64_t delay_ms = next_retry_ms (discovery, &discovery->instances_retry_ms);

      // A large fleet must not retry all its calls; the next proof tells that the store is back.
      if (!discovery->designated && discovery->list.infos != NULL)
        delay_ms = INSTANCES_INTERVAL_LONG_MS;
      instance_list_failed (&discovery->list);
      timer_set (options->timers, &discovery->instances_timer, delay_ms);
      request_snapshot_if_useful (discovery);
      return;
    }
  discovery->instances_retry_ms = RETRY_MS;
  timer_set (options->timers, &discovery->instances_timer,
             discovery->reader ? INSTANCES_INTERVAL_MS : INSTANCES_INTERVAL_LONG_MS);
  discovery->read_done_ms = discovery->list_read_ms = clock_now_ms ();
  instance_list_update (&discovery->list, infos, discovery->read_done_ms);
  options->instances (options->data, discovery->list.infos);
}

static void
on_instances_timer (void *data)
{
  Discovery *discovery = data;
  const Directory *directory = discovery->options.directory;

  if (discovery->reading)
    return;
  discovery->reading = true;
  discovery->read_ms = clock_now_ms ();
  directory->get_instances (directory->self, CALL_TIMEOUT_MS, on_instances, discovery);
}

static void prove_if_due (Discovery *discovery);

/* Delays the next call; for longer if this one brought no proof. */
static void
end_proof_call (Discovery *discovery, bool proved)
{
  const int64_t longest_ms = proved ? PROOF_RETRY_MS : discovery->prove_retry_ms;

  discovery->proving = false;
  discovery->prove_next_ms = clock_now_ms () + reader_order_retry_ms (longest_ms, discovery->rank);
  discovery->prove_retry_ms = proved ? PROOF_RETRY_MS : MIN (longest_ms * 2, PROOF_RETRY_MAX_MS);
  prove_if_due (discovery);
  discovery->options.config_checked (discovery->options.data);
}

static void
on_proof (void *data, const StoreAnswer *answer, Catalog *catalog)
{
  Discovery *discovery = data;
  const bool current = record_era (discovery, answer);

  record_store_result (discovery, answer->result);
  if (answer->result == DIRECTORY_COMPACTED && discovery->position.valid)
    {
      // The position of a follower may be older than what the store keeps of its changes.
      feed_position_lost (&discovery->position);
      discovery->proving = false;
      prove_if_due (discovery);
      return;
    }
  if (!current || answer->result != DIRECTORY_OK)
    {
      end_proof_call (discovery, false);
      return;
    }
  apply_catalog (discovery, catalog, CONFIG_SOURCE_PROOF);
  record_proof (discovery, answer, discovery->prove_ms);
  // The hosts after this one would ask next.
  discovery->options.announce (discovery->options.data);
  end_proof_call (discovery, discovery->version > 0);
}

/* Reads the configuration, or only what has changed of it, if the proof has become old. */
static void
prove_if_due (Discovery *discovery)
{
  const DiscoveryOptions *options = &discovery->options;
  const Directory *directory = options->directory;
  const int64_t now_ms = clock_now_ms ();
  const int64_t due_ms
      = config_proof_due_ms (options->proof, options->proof_limit_ms, discovery->rank, now_ms);
  const int64_t wait_ms = MAX (due_ms, discovery->prove_next_ms - now_ms);

  if (discovery->proving || due_ms == INT64_MAX)
    return;
  if (wait_ms > 0)
    {
      timer_set (options->timers, &discovery->proof_timer, wait_ms);
      return;
    }
  discovery->proving = true;
  discovery->prove_ms = now_ms;
  if (discovery->position.valid)
    directory->watch_configuration (directory->self, discovery->position.revision, 0, on_proof,
                                    discovery);
  else
    directory->get_configuration (directory->self, CALL_TIMEOUT_MS, on_proof, discovery);
}

bool
discovery_request_proof (Discovery *discovery)
{
  prove_if_due (discovery);
  return discovery->proving;
}

static void
on_proof_timer (void *data)
{
  prove_if_due (data);
}

Discovery *
discovery_new (TALLOC_CTX *parent, const DiscoveryOptions *options)
{
  Discovery *discovery = talloc_zero (parent, Discovery);

  discovery->options = *options;
  discovery->reader = discovery->designated = true;
  discovery->revision_log.lines_per_s = REVISION_LINES_PER_S;
  discovery->config_retry_ms = discovery->instances_retry_ms = RETRY_MS;
  discovery->config_timer.fired = on_config_timer;
  discovery->config_timer.data = discovery;
  discovery->instances_timer.fired = on_instances_timer;
  discovery->instances_timer.data = discovery;
  discovery->proof_timer.fired = on_proof_timer;
  discovery->proof_timer.data = discovery;
  discovery->prove_retry_ms = PROOF_RETRY_MS;
  discovery->rank = UINT32_MAX;
  options->proof->started_ms = clock_now_ms ();
  discovery->created_ms = clock_now_ms ();
  talloc_set_destructor (discovery, discovery_destroy);
  on_config_timer (discovery);
  on_instances_timer (discovery);
  return discovery;
}

void
discovery_refresh_instances (Discovery *discovery)
{
  const int64_t due_ms = discovery->read_ms + INSTANCES_MIN_INTERVAL_MS;

  if (!discovery->reading)
    timer_set (discovery->options.timers, &discovery->instances_timer,
               MAX (due_ms - clock_now_ms (), 0));
}

void
discovery_set_role (Discovery *discovery, const ReaderRole *role)
{
  const int64_t last_read_ms = MAX (discovery->peer_read_ms, discovery->read_done_ms);
  const int64_t last_read_age_ms = clock_now_ms () - last_read_ms;
  const int64_t first_ms = LIST_MAX_AGE_MS + role->round_ms;
  const bool designated = role->rank < role->readers;
  // The designated readers may be cut off from the store or from this host.
  const bool reader = designated
                      || last_read_age_ms > reader_order_takeover_ms (
                             first_ms, first_ms + TAKEOVER_SPREAD_MS, role->rank);
  const bool stops_following = discovery->follower && (designated || !role->follower);

  discovery->rank = role->rank;
  prove_if_due (discovery);
  discovery->designated = designated;
  discovery->follower = role->follower && !designated;
  if (stops_following && discovery->config_call == NULL)
    timer_set (discovery->options.timers, &discovery->config_timer, 0);
  if (discovery->reader == reader)
    return;
  discovery->reader = reader;
  log_event (LOG_LEVEL_INFO, "reader",
             "value=%d rank=%u designated=%d store_lost=%d last_read_age_ms=%" G_GINT64_FORMAT
             " proof_age_ms=%" G_GINT64_FORMAT,
             reader, role->rank, designated, discovery->store_lost, last_read_age_ms,
             proof_age_ms (discovery));
  if (reader)
    discovery_refresh_instances (discovery);
}

bool
discovery_store_lost (const Discovery *discovery)
{
  return discovery->store_lost;
}

static void
on_fetched (void *data, const StoreAnswer *answer, Catalog *catalog)
{
  Discovery *discovery = data;

  // The watch continues from its own revision; it may return the same version again.
  discovery->fetching = false;
  if (record_era (discovery, answer) && answer->result == DIRECTORY_OK)
    {
      apply_catalog (discovery, catalog, CONFIG_SOURCE_FETCH);
      discovery->options.config_checked (discovery->options.data);
      // A store that came back from a backup may have an older configuration than the peer.
      if (discovery->peer_version > discovery->version)
        discovery->options.request_snapshot (discovery->options.data);
    }
  else
    request_snapshot_if_useful (discovery);
}

/* A follower asks the peer that its heartbeat names for what it lacks. */
static void
follow_peer (Discovery *discovery, uint64_t version, uint32_t hash, int64_t read_ms)
{
  const int64_t now_ms = clock_now_ms ();
  const bool newer_list = hash != 0 && hash != instance_list_hash (&discovery->list)
                          && read_ms > discovery->list_read_ms;

  if (!newer_list && version <= discovery->version)
    return;
  if (now_ms - discovery->asked_ms < FOLLOW_INTERVAL_MS)
    return;
  discovery->asked_ms = now_ms;
  discovery->wanted_read_ms = newer_list ? read_ms : 0;
  discovery->options.request_snapshot (discovery->options.data);
}

void
discovery_record_peer (Discovery *discovery, uint64_t version, uint32_t hash, int64_t read_ms)
{
  const Directory *directory = discovery->options.directory;
  const int64_t now_ms = clock_now_ms ();

  if (hash != 0)
    discovery->peer_read_ms = MAX (discovery->peer_read_ms, read_ms);
  discovery->peer_version = MAX (discovery->peer_version, version);
  config_proof_hear (discovery->options.proof, version, now_ms);
  if (discovery->follower)
    {
      follow_peer (discovery, version, hash, read_ms);
      return;
    }
  if (version > discovery->version
      && (discovery->store_lost
          || (!discovery->position.valid && now_ms - discovery->created_ms >= START_WAIT_MS)))
    request_snapshot_if_useful (discovery);
  if (version > discovery->version && !discovery->fetching
      && now_ms - discovery->fetched_ms >= FETCH_MIN_INTERVAL_MS)
    {
      discovery->fetching = true;
      discovery->fetched_ms = now_ms;
      directory->get_configuration (directory->self, CALL_TIMEOUT_MS, on_fetched, discovery);
    }
  if (hash != 0 && hash == instance_list_hash (&discovery->list))
    discovery->peer_hash = 0;
  // If the list still differs after a read, the other host has to read it again.
  if (hash == 0 || hash == discovery->peer_hash || hash == instance_list_hash (&discovery->list))
    return;
  discovery->peer_hash = hash;
  discovery_refresh_instances (discovery);
}

uint64_t
discovery_era (const Discovery *discovery)
{
  return discovery->era;
}

uint32_t
discovery_instances_hash (const Discovery *discovery)
{
  if (clock_now_ms () - discovery->read_done_ms > LIST_FRESH_MS)
    return 0;
  return instance_list_hash (&discovery->list);
}

int64_t
discovery_instances_age_ms (const Discovery *discovery)
{
  return clock_now_ms () - discovery->read_done_ms;
}
