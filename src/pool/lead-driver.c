#include "pool/lead-driver.h"

#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "policy/connection-share.h"
#include "policy/lead-change.h"

/* What a host said counts for two turns of its beats, and this time. */
#define PEER_FRESH_MS 300
/* A change under way at a host that fell silent is over after two turns, and this time. */
#define FENCE_FRESH_MS 1000
/* No commit of several has ended for this time. */
#define STUCK_MS 700
/* Without new commits nothing is known of whether they would end. */
#define STUCK_FRESH_MS 1500
/* A host that has just started does not know enough of the others to judge a primary. */
#define START_MS 800
/* Time for the promote call; what is not sent by then is not sent later. */
#define PROMOTE_LIMIT_MS 700
/* The connections of a host that fell silent are closed at the instance after this time, and
 * a turn. */
#define CONNECTIONS_KEPT_MS 3000
#define NEVER_AGE 0

typedef struct
{
  uint32_t instance;
  uint32_t wanted;
} InstanceUse;

typedef struct
{
  int64_t heard_ms;
  bool suspect;
  bool stuck;
  uint32_t primary;
  uint64_t fence;
  uint64_t fence_obeyed;
  SessionToken committed;
  bool tells; /* it knows a position of the primary */
  uint32_t use_count;
  InstanceUse uses[GROUP_MEMBERS_MAX];
} PeerView;

struct PrimaryChangeManager
{
  PrimaryChangeManagerOptions options;
  PrimaryChange *change;
  GHashTable *peers; /* peer id to PeerView */
  uint32_t synchronous;
  uint32_t connection_limit;
  uint64_t highest_fencing_token;
  uint64_t obeyed;
  bool suspect;
  PrimaryChangePhase logged_phase;
  int64_t created_ms;
  int64_t started_ms;
  bool stepping;
};

typedef struct
{
  PrimaryChangeManager *driver;
  uint32_t member;
} OrderTag;

static int
driver_destroy (PrimaryChangeManager *driver)
{
  primary_change_free (driver->change);
  g_hash_table_destroy (driver->peers);
  return 0;
}

PrimaryChangeManager *
primary_change_manager_new (TALLOC_CTX *parent, const PrimaryChangeManagerOptions *options)
{
  PrimaryChangeManager *driver = talloc_zero (parent, PrimaryChangeManager);
  const PrimaryChangeOptions lead = {
    .host_number = (uint16_t) XXH32 (options->host, strlen (options->host), 7),
    .lease_ms = PRIMARY_LEASE_MS,
  };

  driver->options = *options;
  driver->created_ms = clock_now_ms ();
  driver->change = primary_change_new (&lead);
  driver->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  talloc_set_destructor (driver, driver_destroy);
  return driver;
}

void
primary_change_manager_configure (PrimaryChangeManager *driver, const ServiceEntry *entry)
{
  driver->synchronous = entry->synchronous;
  driver->connection_limit = entry->connection_limit;
}

static uint32_t
member_key (const GroupMember *member)
{
  return peer_mesh_name_hash (instance_pool_info (member->pool)->id);
}

static GroupMember *
find_member (const PrimaryChangeManager *driver, uint32_t key)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (driver->options.group, &count);

  for (uint32_t i = 0; i < count; i++)
    if (member_key (members[i]) == key)
      return members[i];
  return NULL;
}

static uint32_t
primary_key (const GroupView *belief)
{
  return *belief->primary == '\0' ? 0 : peer_mesh_name_hash (belief->primary);
}

static uint32_t
age_of (int64_t at_ms, int64_t now_ms)
{
  return at_ms == 0 ? NEVER_AGE : (uint32_t) CLAMP (now_ms - at_ms + 1, 1, INT32_MAX);
}

/* The primary answers, and yet commits do not end: none of its replicas receives them. */
static bool
is_stuck (const GroupView *belief, int64_t now_ms)
{
  return belief->commit_pending_since_ms > 0 && now_ms - belief->commit_pending_since_ms >= STUCK_MS
         && now_ms - belief->commit_sent_ms < STUCK_FRESH_MS;
}

static void
fill_uses (const PrimaryChangeManager *driver, Pool__ServiceBeat *beat)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (driver->options.group, &count);

  beat->instances = g_new (uint32_t, count + 1);
  beat->wanted = g_new (uint32_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      const uint32_t wanted = instance_pool_demand (members[i]->pool);

      // What is not mentioned is not wanted.
      if (wanted == 0)
        continue;
      beat->instances[beat->n_instances++] = member_key (members[i]);
      beat->wanted[beat->n_wanted++] = wanted;
    }
}

void
primary_change_manager_fill_heartbeat (PrimaryChangeManager *driver, Pool__ServiceBeat *beat)
{
  const int64_t now_ms = clock_now_ms ();
  GroupView belief;

  service_group_view (driver->options.group, &belief);
  beat->service = peer_mesh_name_hash (service_group_name (driver->options.group));
  beat->primary = primary_key (&belief);
  beat->term = belief.term;
  beat->proof_age = age_of (belief.confirmed_ms, now_ms);
  beat->position_term = belief.position.position.term;
  beat->position = belief.position.position.position;
  beat->position_age = age_of (belief.position.at_ms, now_ms);
  beat->stuck = is_stuck (&belief, now_ms);
  beat->suspect = driver->suspect || beat->stuck;
  beat->fence = primary_change_fencing_token (driver->change);
  beat->fence_obeyed = driver->obeyed;
  beat->committed_term = belief.committed.term;
  beat->committed = belief.committed.position;
  fill_uses (driver, beat);
}

static void
take_uses (PeerView *view, const Pool__ServiceBeat *beat)
{
  view->use_count = (uint32_t) MIN (MIN (beat->n_instances, beat->n_wanted), GROUP_MEMBERS_MAX);
  for (uint32_t i = 0; i < view->use_count; i++)
    view->uses[i] = (InstanceUse){ beat->instances[i], beat->wanted[i] };
}

static uint32_t
wanted_by (const PeerView *view, uint32_t instance)
{
  for (uint32_t i = 0; i < view->use_count; i++)
    if (view->uses[i].instance == instance)
      return view->uses[i].wanted;
  return 0;
}

static int64_t
turn_ms (const PrimaryChangeManager *driver)
{
  return peer_mesh_round_ms (driver->options.mesh);
}

typedef struct
{
  const PrimaryChangeManager *driver;
  uint32_t instance;
  int64_t now_ms;
  ConnectionDemand *demand;
} DemandCount;

/* A host that was never heard may be about to open connections. */
static void
count_demand (void *data, const PeerState *peer)
{
  const DemandCount *count = data;
  const PeerView *view = g_hash_table_lookup (count->driver->peers, &peer->id);

  if (peer->heard_ms > 0
      && count->now_ms - peer->heard_ms > CONNECTIONS_KEPT_MS + turn_ms (count->driver))
    return;
  count->demand->hosts++;
  if (view != NULL)
    count->demand->others += wanted_by (view, count->instance);
}

/* Shares the connections that the instances take among the hosts. */
static void
share_connections (PrimaryChangeManager *driver, int64_t now_ms)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (driver->options.group, &count);

  for (uint32_t i = 0; i < count; i++)
    {
      ConnectionDemand demand = {
        .limit = driver->connection_limit,
        .slots = instance_pool_info (members[i]->pool)->slots,
        .hosts = 1,
        .own = instance_pool_demand (members[i]->pool),
      };
      DemandCount counting = { driver, member_key (members[i]), now_ms, &demand };
      InstancePoolLimits limits;

      peer_mesh_foreach (driver->options.mesh, count_demand, &counting);
      limits = (InstancePoolLimits){
        .connections = connection_share (&demand),
        .statements = connection_share_statements (&demand),
        .scarce = connection_share_is_scarce (&demand),
      };
      instance_pool_set_limits (members[i]->pool, &limits);
    }
}

static PeerView *
view_of (PrimaryChangeManager *driver, uint64_t peer)
{
  PeerView *view = g_hash_table_lookup (driver->peers, &peer);

  if (view == NULL)
    {
      view = g_new0 (PeerView, 1);
      g_hash_table_insert (driver->peers, g_memdup2 (&peer, sizeof peer), view);
    }
  return view;
}

static void
take_belief (PrimaryChangeManager *driver, const Pool__ServiceBeat *beat, int64_t sent_ms)
{
  ServiceGroup *group = driver->options.group;
  GroupMember *member = find_member (driver, beat->primary);
  const SessionToken position = { beat->position_term, beat->position };
  GroupView belief;

  service_group_view (group, &belief);
  if (member != NULL && beat->term > belief.term)
    {
      service_group_adopt_primary (group, member, beat->term);
      service_group_view (group, &belief);
    }
  if (sent_ms == 0 || beat->term != belief.term || beat->primary != primary_key (&belief))
    return;
  if (beat->proof_age != NEVER_AGE)
    service_group_confirm_primary (group, sent_ms - beat->proof_age);
  if (beat->position_age != NEVER_AGE)
    service_group_note_position (group, sent_ms - beat->position_age, position);
}

typedef struct
{
  PrimaryChangeManager *driver;
  PrimaryChangeInput *situation;
  int64_t now_ms;
  uint32_t stuck_votes;
} PeerCount;

static void
count_peer (void *data, const PeerState *state)
{
  PeerCount *count = data;
  PrimaryChangeManager *driver = count->driver;
  PrimaryChangeInput *situation = count->situation;
  const PeerView *view = g_hash_table_lookup (driver->peers, &state->id);
  const uint32_t service = peer_mesh_name_hash (service_group_name (driver->options.group));
  const uint64_t own = XXH64 (&service, sizeof service, peer_mesh_self_id (driver->options.mesh));
  const int64_t fresh_ms = PEER_FRESH_MS + 2 * turn_ms (driver);
  int64_t silent_ms;

  if (view == NULL || count->now_ms - view->heard_ms >= fresh_ms
      || view->fence_obeyed < primary_change_fencing_token (driver->change))
    situation->all_acknowledged = false;
  if (view == NULL)
    return;
  situation->all_know_position &= view->tells && view->primary == situation->primary;
  if (session_token_compare (view->committed, situation->committed) > 0)
    situation->committed = view->committed;
  silent_ms = count->now_ms - view->heard_ms;
  if (silent_ms < FENCE_FRESH_MS + 2 * turn_ms (driver)
      && primary_change_fencing_token_term (view->fence) > situation->term)
    situation->peer_fencing_token = MAX (situation->peer_fencing_token, view->fence);
  if (silent_ms >= fresh_ms)
    return;
  situation->hosts++;
  if (view->suspect && view->primary == situation->primary)
    situation->votes++;
  if (view->stuck && view->primary == situation->primary)
    count->stuck_votes++;
  if (XXH64 (&service, sizeof service, state->id) < own)
    situation->rank++;
}

static void
assess (PrimaryChangeManager *driver, PrimaryChangeInput *situation)
{
  const int64_t now_ms = clock_now_ms ();
  PeerCount count = { driver, situation, now_ms, 0 };
  const GroupMember *member;
  GroupView belief;

  service_group_view (driver->options.group, &belief);
  member = find_member (driver, primary_key (&belief));
  *situation = (PrimaryChangeInput){
    .now_ms = now_ms,
    .primary = primary_key (&belief),
    .term = belief.term,
    .leaving = member != NULL && instance_pool_info (member->pool)->leaving,
    .commits_stalled = is_stuck (&belief, now_ms),
    .hosts = 1,
    .highest_fencing_token = driver->highest_fencing_token,
    .all_acknowledged = true,
    .all_know_position = belief.position.at_ms > 0,
    .committed = belief.committed,
    .synchronous = driver->synchronous,
  };
  situation->suspect = driver->suspect || situation->commits_stalled
                       || (situation->primary != 0 && member == NULL);
  situation->votes = situation->suspect;
  count.stuck_votes = situation->commits_stalled;
  peer_mesh_foreach (driver->options.mesh, count_peer, &count);
  // A host with little work of its own may reach what the others do not.
  situation->commits_stalled |= count.stuck_votes * 2 >= situation->hosts && count.stuck_votes > 0;
  if (now_ms - driver->created_ms < START_MS)
    {
      situation->votes = 0;
      situation->leaving = false;
    }
}

static void run_step (PrimaryChangeManager *driver);

static void
on_order_ended (void *data, CommandResult result, const InstanceReport *report, int64_t sent_ms)
{
  OrderTag *tag = data;
  PrimaryChangeManager *driver = tag->driver;
  GroupMember *member = find_member (driver, tag->member);
  const bool confirming = primary_change_phase (driver->change) == PRIMARY_CHANGE_CONFIRMING;

  if (log_enabled (LOG_LEVEL_INFO) && member != NULL)
    log_event (LOG_LEVEL_INFO, "order_ended",
               "service=%s instance=%s result=%s primary=%d term=%" G_GUINT64_FORMAT
               " received=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT " held=%" G_GUINT64_FORMAT,
               service_group_name (driver->options.group), instance_pool_info (member->pool)->id,
               command_result_name (result), report != NULL && report->primary,
               report == NULL ? 0 : report->term, report == NULL ? 0 : report->received.term,
               report == NULL ? 0 : report->received.position,
               report == NULL ? 0 : report->pause_token);
  if (result == COMMAND_ANSWERED)
    {
      if (member != NULL)
        service_group_note_report (driver->options.group, member, report, sent_ms);
      primary_change_record_report (driver->change, tag->member, report, clock_now_ms ());
    }
  else
    primary_change_record_timeout (driver->change, tag->member);
  talloc_free (tag);
  run_step (driver);
  // Nobody else can have changed the primary while this host did: it leads for sure.
  if (confirming && primary_change_phase (driver->change) == PRIMARY_CHANGE_IDLE && report != NULL
      && result == COMMAND_ANSWERED && report->primary)
    {
      service_group_confirm_primary (driver->options.group, sent_ms);
      pool_metrics_add (driver->options.metrics, POOL_LATENCY_CHANGE,
                        clock_now_ms () - driver->started_ms);
    }
}

static void
on_promoted (void *data, DirectoryResult result)
{
  PrimaryChangeManager *driver = data;
  static const PromotionResult results[] = {
    [DIRECTORY_OK] = PROMOTION_DONE,         [DIRECTORY_CONFLICT] = PROMOTION_INVALID,
    [DIRECTORY_REFUSED] = PROMOTION_REFUSED, [DIRECTORY_COMPACTED] = PROMOTION_REFUSED,
    [DIRECTORY_UNKNOWN] = PROMOTION_UNKNOWN,
  };

  log_event (LOG_LEVEL_NOTICE, "promote_ended", "service=%s result=%s",
             service_group_name (driver->options.group), directory_result_name (result));
  primary_change_promotion_ended (driver->change, results[result], clock_now_ms ());
  run_step (driver);
}

static void
promote (PrimaryChangeManager *driver, const PrimaryChangeAction *action)
{
  const PrimaryChangeManagerOptions *options = &driver->options;
  const GroupMember *member = find_member (driver, action->member);
  PromoteRequest order = {
    .service = service_group_name (options->group),
    .holder = options->host,
    .fencing_token = action->fencing_token,
    .timeout_ms = PROMOTE_LIMIT_MS,
  };

  if (member == NULL)
    {
      primary_change_promotion_ended (driver->change, PROMOTION_INVALID, clock_now_ms ());
      return;
    }
  order.instance = instance_pool_info (member->pool)->id;
  log_event (LOG_LEVEL_NOTICE, "promoting", "service=%s instance=%s fence=%" G_GUINT64_FORMAT,
             order.service, order.instance, order.fencing_token);
  counter_add (options->counters, COUNTER_FAILOVERS, 1);
  options->directory->promote (options->directory->self, &order, on_promoted, driver);
}

static void
send_order (PrimaryChangeManager *driver, const PrimaryChangeAction *action)
{
  GroupMember *member = find_member (driver, action->member);
  OrderTag *tag;

  if (member == NULL)
    {
      primary_change_record_timeout (driver->change, action->member);
      return;
    }
  tag = talloc (driver, OrderTag);
  *tag = (OrderTag){ driver, action->member };
  command_channel_send (member->commands, action->command, action->fencing_token, on_order_ended,
                        tag);
}

static void
set_members (PrimaryChangeManager *driver)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (driver->options.group, &count);
  uint32_t keys[CHANGE_MEMBERS_MAX];
  uint32_t known = primary_change_members (driver->change, keys);

  for (uint32_t i = 0; i < known; i++)
    if (find_member (driver, keys[i]) == NULL)
      primary_change_set_member (driver->change, keys[i], false, false);
  for (uint32_t i = 0; i < count; i++)
    primary_change_set_member (driver->change, member_key (members[i]), true,
                               instance_pool_info (members[i]->pool)->leaving);
}

/* The primary is not relied on while this host, or one that it hears, replaces it. */
static void
update_fence (PrimaryChangeManager *driver, const PrimaryChangeInput *situation)
{
  const uint64_t own = primary_change_fencing_token (driver->change);
  const uint64_t greatest = MAX (situation->peer_fencing_token, own);
  const uint64_t obeyed = own == 0 ? situation->peer_fencing_token : 0;

  driver->highest_fencing_token = MAX (driver->highest_fencing_token, greatest);
  service_group_set_fenced (driver->options.group, greatest != 0);
  if (driver->obeyed == obeyed)
    return;
  // A host that makes a change of its own does not stand back from it by saying that it obeys.
  driver->obeyed = obeyed;
  peer_mesh_send_now (driver->options.mesh);
}

static void
log_phase (PrimaryChangeManager *driver, const PrimaryChangeInput *situation)
{
  const PrimaryChangePhase phase = primary_change_phase (driver->change);

  if (phase == driver->logged_phase)
    return;
  if (driver->logged_phase == PRIMARY_CHANGE_IDLE)
    driver->started_ms = situation->now_ms;
  driver->logged_phase = phase;
  log_event (LOG_LEVEL_NOTICE, "lead_change",
             "service=%s phase=%s fence=%" G_GUINT64_FORMAT " term=%" G_GUINT64_FORMAT
             " leaving=%d suspect=%d stuck=%d votes=%u hosts=%u rank=%u all_obey=%d "
             "foreign_fence=%" G_GUINT64_FORMAT,
             service_group_name (driver->options.group), primary_change_phase_name (phase),
             primary_change_fencing_token (driver->change), situation->term, situation->leaving,
             situation->suspect, situation->commits_stalled, situation->votes, situation->hosts,
             situation->rank, situation->all_acknowledged, situation->peer_fencing_token);
}

static void
run_step (PrimaryChangeManager *driver)
{
  PrimaryChangeAction actions[PRIMARY_CHANGE_ACTIONS_MAX];
  PrimaryChangeInput situation;
  uint64_t fence_before;
  uint32_t count;

  // Orders may end, and come back here, while they are being sent.
  if (driver->stepping)
    return;
  driver->stepping = true;
  fence_before = primary_change_fencing_token (driver->change);
  set_members (driver);
  assess (driver, &situation);
  count = primary_change_step (driver->change, &situation, actions);
  update_fence (driver, &situation);
  log_phase (driver, &situation);
  if (primary_change_fencing_token (driver->change) != fence_before)
    peer_mesh_send_now (driver->options.mesh);
  for (uint32_t i = 0; i < count; i++)
    switch (actions[i].kind)
      {
      case PRIMARY_CHANGE_COMMAND:
        send_order (driver, &actions[i]);
        break;
      case PRIMARY_CHANGE_PROMOTE:
        promote (driver, &actions[i]);
        break;
      }
  driver->stepping = false;
}

void
primary_change_manager_receive_heartbeat (PrimaryChangeManager *driver, uint64_t peer,
                                          const Pool__ServiceBeat *beat, int64_t sent_ms)
{
  PeerView *view = view_of (driver, peer);
  const bool changed = view->fence != beat->fence || view->fence_obeyed != beat->fence_obeyed
                       || view->suspect != beat->suspect;

  view->heard_ms = clock_now_ms ();
  view->suspect = beat->suspect;
  view->stuck = beat->stuck;
  view->primary = beat->primary;
  view->fence = beat->fence;
  view->fence_obeyed = beat->fence_obeyed;
  view->committed = (SessionToken){ beat->committed_term, beat->committed };
  view->tells = beat->position_age != NEVER_AGE;
  take_uses (view, beat);
  driver->highest_fencing_token = MAX (driver->highest_fencing_token, beat->fence);
  take_belief (driver, beat, sent_ms);
  if (changed)
    run_step (driver);
}

void
primary_change_manager_forget_peer (PrimaryChangeManager *driver, uint64_t peer)
{
  g_hash_table_remove (driver->peers, &peer);
}

/* A primary that owes this host answers and gave no sign of life when asked is suspect. */
static void
check_primary (PrimaryChangeManager *driver)
{
  const GroupMember *member;
  GroupView belief;

  service_group_view (driver->options.group, &belief);
  member = find_member (driver, primary_key (&belief));
  if (member == NULL || member->silent == driver->suspect)
    return;
  driver->suspect = member->silent;
  log_event (LOG_LEVEL_NOTICE, "suspect", "service=%s instance=%s value=%d",
             service_group_name (driver->options.group), belief.primary, driver->suspect);
  peer_mesh_send_now (driver->options.mesh);
}

void
primary_change_manager_tick (PrimaryChangeManager *driver, int64_t now_ms)
{
  share_connections (driver, now_ms);
  check_primary (driver);
  run_step (driver);
}
