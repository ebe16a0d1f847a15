#include "pool/primary-change-manager.h"

#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"
#include "policy/acknowledged-bound.h"
#include "policy/connection-share.h"
#include "policy/ended-fence.h"
#include "policy/pause-watch.h"
#include "policy/primary-change.h"
#include "pool/log-holder-tracker.h"

/* A peer's view is valid for two heartbeat rounds plus this time. */
#define PEER_VIEW_FRESH_MS 300
/* A change made by a host that went silent counts as over after two heartbeat rounds plus this
 * time. */
#define FENCING_TOKEN_FRESH_MS 1000
/* Commits count as stalled if none has ended for this time. */
#define COMMIT_STALL_MS 700
/* Stalled commits only count while commits are sent: without new ones it is unknown whether they
 * would end. */
#define COMMIT_RECENT_MS 1500
/* A primary of a lesser term than the greatest one heard of counts as lost if the list does not
 * name the newer one within this time. */
#define SUPERSEDED_LIMIT_MS 4000
/* A host that has just started knows too little of the other hosts to judge a primary. */
#define STARTUP_GRACE_MS 800
/* Timeout of the promote call; a call that has not been sent by then is not sent later. */
#define PROMOTE_TIMEOUT_MS 700
/* A host that went silent still counts in the division of connections for this time plus one
 * heartbeat round, after which its connections are closed at the instance. */
#define CONNECTIONS_KEPT_MS 3000
/* In a fleet with owners, the view of an owner that went silent is kept for this time, in which its
 * connections end and its leases run out. */
#define OWNER_VIEW_KEPT_MS 10000
/* Interval at which one host looks for pauses left behind, which may show in no answer ... */
#define PAUSE_CHECK_MS 5000
/* ... and while there is one. */
#define PAUSE_RECHECK_MS 500
#define AGE_UNKNOWN 0

typedef struct
{
  uint32_t instance;
  uint32_t wanted;
} PeerDemand;

typedef struct
{
  int64_t heard_ms;
  bool suspect;
  bool commits_stalled;
  uint32_t primary;
  uint64_t fencing_token;
  uint64_t acknowledged_token;
  SessionToken committed;
  bool final; /* the peer acknowledges no more commits */
  uint32_t demand_count;
  PeerDemand demands[GROUP_MEMBERS_MAX];
} PeerView;

struct PrimaryChangeManager
{
  PrimaryChangeManagerOptions options;
  PrimaryChange *change;
  GHashTable *peers; /* peer id to PeerView */
  AcknowledgedBound *acknowledged;
  SessionToken last_acknowledged; /* the most advanced one that a host has reported */
  LogHolderTracker *log_holders;  /* %NULL until this host acts for the service */
  PauseWatch pauses;
  int64_t pauses_checked_ms;
  bool pauses_checked_here; /* this host is the one that looks for pauses left behind */
  EndedFence ended_fence;
  uint32_t synchronous;
  uint32_t connection_limit;
  uint64_t highest_fencing_token;
  uint64_t acknowledged_token;
  uint64_t unlisted_term;      /* greatest term whose primary was not listed when it was heard of */
  int64_t superseded_since_ms; /* a greater term than that of the primary is known; 0 if none is */
  bool suspect;
  bool needs_log_holders; /* the primary is suspect, or being changed by this host */
  PrimaryChangePhase logged_phase;
  int64_t active_since_ms;
  int64_t created_ms; /* this process has followed the service since then */
  int64_t started_ms;
  bool step_running;
};

typedef struct
{
  PrimaryChangeManager *manager;
  uint32_t member;
} CommandContext;

static int
manager_destroy (PrimaryChangeManager *manager)
{
  primary_change_free (manager->change);
  g_hash_table_destroy (manager->peers);
  acknowledged_bound_free (manager->acknowledged);
  return 0;
}

PrimaryChangeManager *
primary_change_manager_new (TALLOC_CTX *parent, const PrimaryChangeManagerOptions *options)
{
  PrimaryChangeManager *manager = talloc_zero (parent, PrimaryChangeManager);
  const PrimaryChangeOptions change_options = {
    .host_number = (uint16_t) XXH32 (options->host, strlen (options->host), 7),
    .lease_ms = PRIMARY_LEASE_MS,
  };

  manager->options = *options;
  manager->active_since_ms = manager->created_ms = clock_now_ms ();
  manager->change = primary_change_new (&change_options);
  manager->peers = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  manager->acknowledged = acknowledged_bound_new (manager->active_since_ms);
  talloc_set_destructor (manager, manager_destroy);
  return manager;
}

void
primary_change_manager_configure (PrimaryChangeManager *manager, const ServiceEntry *entry)
{
  manager->synchronous = entry->synchronous;
  manager->connection_limit = entry->connection_limit;
}

static uint32_t
member_key (const GroupMember *member)
{
  return peer_mesh_name_hash (instance_pool_info (member->pool)->id);
}

static GroupMember *
find_member (const PrimaryChangeManager *manager, uint32_t key)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (manager->options.group, &count);

  for (uint32_t i = 0; i < count; i++)
    if (member_key (members[i]) == key)
      return members[i];
  return NULL;
}

static uint32_t
primary_key (const GroupView *view)
{
  return *view->primary == '\0' ? 0 : peer_mesh_name_hash (view->primary);
}

static uint32_t
encode_age (int64_t at_ms, int64_t now_ms)
{
  return at_ms == 0 ? AGE_UNKNOWN : (uint32_t) CLAMP (now_ms - at_ms + 1, 1, INT32_MAX);
}

/* The primary answers but its commits do not end: no replica receives them. */
static bool
commits_are_stalled (const GroupView *view, int64_t now_ms)
{
  return view->commit_pending_since_ms > 0
         && now_ms - view->commit_pending_since_ms >= COMMIT_STALL_MS
         && now_ms - view->commit_sent_ms < COMMIT_RECENT_MS;
}

static void
fill_demands (const PrimaryChangeManager *manager, Pool__ServiceBeat *heartbeat)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (manager->options.group, &count);

  heartbeat->instances = g_new (uint32_t, count + 1);
  heartbeat->wanted = g_new (uint32_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      const uint32_t wanted = instance_pool_demand (members[i]->pool);

      // An instance that is not listed has no demand.
      if (wanted == 0)
        continue;
      heartbeat->instances[heartbeat->n_instances++] = member_key (members[i]);
      heartbeat->wanted[heartbeat->n_wanted++] = wanted;
    }
}

void
primary_change_manager_fill_heartbeat (PrimaryChangeManager *manager, Pool__ServiceBeat *heartbeat)
{
  const int64_t now_ms = clock_now_ms ();
  GroupView view;

  service_group_view (manager->options.group, &view);
  heartbeat->service = peer_mesh_name_hash (service_group_name (manager->options.group));
  heartbeat->primary = primary_key (&view);
  heartbeat->term = view.term;
  heartbeat->newest_term = view.newest_term;
  heartbeat->proof_age = encode_age (view.confirmed_ms, now_ms);
  heartbeat->position_term = view.position.position.term;
  heartbeat->position = view.position.position.position;
  heartbeat->position_age = encode_age (view.position.at_ms, now_ms);
  heartbeat->stuck = commits_are_stalled (&view, now_ms);
  heartbeat->suspect = manager->suspect || heartbeat->stuck;
  heartbeat->fence = primary_change_fencing_token (manager->change);
  heartbeat->fence_obeyed = manager->acknowledged_token;
  heartbeat->committed_term = view.committed.term;
  heartbeat->committed = view.committed.position;
  heartbeat->acknowledged_term = view.acknowledged.term;
  heartbeat->acknowledged = view.acknowledged.position;
  fill_demands (manager, heartbeat);
}

static void
record_demands (PeerView *view, const Pool__ServiceBeat *heartbeat)
{
  view->demand_count
      = (uint32_t) MIN (MIN (heartbeat->n_instances, heartbeat->n_wanted), GROUP_MEMBERS_MAX);
  for (uint32_t i = 0; i < view->demand_count; i++)
    view->demands[i] = (PeerDemand){ heartbeat->instances[i], heartbeat->wanted[i] };
}

static uint32_t
demand_of (const PeerView *view, uint32_t instance)
{
  for (uint32_t i = 0; i < view->demand_count; i++)
    if (view->demands[i].instance == instance)
      return view->demands[i].wanted;
  return 0;
}

static int64_t
round_ms (const PrimaryChangeManager *manager)
{
  return peer_mesh_service_round_ms (manager->options.mesh);
}

/* Calls @callback for every host that may use the service: all of them, or its owners. */
static void
for_each_peer (const PrimaryChangeManager *manager,
               void (*callback) (void *data, const PeerState *peer), void *data)
{
  GHashTableIter iter;
  void *id, *value;

  if (!peer_mesh_has_owners (manager->options.mesh))
    {
      peer_mesh_foreach (manager->options.mesh, callback, data);
      return;
    }
  g_hash_table_iter_init (&iter, manager->peers);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const PeerView *view = value;
      const PeerState state = { .id = *(const uint64_t *) id, .heard_ms = view->heard_ms };

      callback (data, &state);
    }
}

typedef struct
{
  const PrimaryChangeManager *manager;
  uint32_t instance;
  int64_t now_ms;
  ConnectionDemand *demand;
} DemandCount;

/* A host that was never heard from may be about to open connections. */
static void
count_demand (void *data, const PeerState *peer)
{
  const DemandCount *count = data;
  const PeerView *view = g_hash_table_lookup (count->manager->peers, &peer->id);

  if (peer->heard_ms > 0
      && count->now_ms - peer->heard_ms > CONNECTIONS_KEPT_MS + round_ms (count->manager))
    return;
  count->demand->hosts++;
  if (view != NULL)
    count->demand->others += demand_of (view, count->instance);
}

/* Divides the connections that the instances accept among the hosts. */
static void
share_connections (PrimaryChangeManager *manager, int64_t now_ms)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (manager->options.group, &count);

  for (uint32_t i = 0; i < count; i++)
    {
      ConnectionDemand demand = {
        .limit = manager->connection_limit,
        .slots = instance_pool_info (members[i]->pool)->slots,
        .statements_percent = instance_speed_statements_percent (&members[i]->speed),
        .hosts = 1,
        .own = instance_pool_demand (members[i]->pool),
      };
      DemandCount counting = { manager, member_key (members[i]), now_ms, &demand };
      InstancePoolLimits limits;

      for_each_peer (manager, count_demand, &counting);
      limits = (InstancePoolLimits){
        .connections = connection_share (&demand),
        .statements = connection_share_statements (&demand),
        .scarce = connection_share_is_scarce (&demand),
      };
      instance_pool_set_limits (members[i]->pool, &limits);
    }
}

static PeerView *
get_peer_view (PrimaryChangeManager *manager, uint64_t peer)
{
  PeerView *view = g_hash_table_lookup (manager->peers, &peer);

  if (view == NULL)
    {
      view = g_new0 (PeerView, 1);
      acknowledged_bound_host_started (manager->acknowledged, peer, clock_now_ms ());
      g_hash_table_insert (manager->peers, g_memdup2 (&peer, sizeof peer), view);
    }
  return view;
}

/* The heartbeat names a greater term, and its primary is not in this host's list. */
static void
log_unlisted_primary (PrimaryChangeManager *manager, uint64_t peer, uint64_t term,
                      const GroupView *view)
{
  if (term <= manager->unlisted_term)
    return;
  manager->unlisted_term = term;
  log_event (LOG_LEVEL_NOTICE, "unlisted_primary",
             "service=%s term=%" G_GUINT64_FORMAT " host=%016" G_GINT64_MODIFIER
             "x primary=%s own_term=%" G_GUINT64_FORMAT,
             service_group_name (manager->options.group), term, peer, view->primary, view->term);
}

static void
apply_peer_view (PrimaryChangeManager *manager, uint64_t peer, const Pool__ServiceBeat *heartbeat,
                 int64_t sent_ms)
{
  ServiceGroup *group = manager->options.group;
  GroupMember *member = find_member (manager, heartbeat->primary);
  const SessionToken position = { heartbeat->position_term, heartbeat->position };
  GroupView view;

  service_group_hear_term (group, MAX (heartbeat->term, heartbeat->newest_term), peer);
  service_group_view (group, &view);
  if (member == NULL && heartbeat->term > view.term)
    log_unlisted_primary (manager, peer, heartbeat->term, &view);
  if (member != NULL && heartbeat->term > view.term)
    {
      service_group_adopt_primary (group, member, heartbeat->term);
      service_group_view (group, &view);
    }
  if (sent_ms == 0 || heartbeat->term != view.term || heartbeat->primary != primary_key (&view))
    return;
  if (heartbeat->proof_age != AGE_UNKNOWN)
    service_group_confirm_primary (group, sent_ms - heartbeat->proof_age, peer);
  if (heartbeat->position_age != AGE_UNKNOWN)
    service_group_record_position (group, sent_ms - heartbeat->position_age, position, peer);
}

/* How long an announced fencing token is respected after the last message of its host. */
static int64_t
fence_valid_ms (const PrimaryChangeManager *manager)
{
  return FENCING_TOKEN_FRESH_MS + 2 * round_ms (manager);
}

typedef struct
{
  PrimaryChangeManager *manager;
  PrimaryChangeInput *input;
  int64_t now_ms;
  uint32_t stalled_votes;
  bool changing; /* a peer changes the primary, or ends its change */
} PeerCount;

static void
count_peer (void *data, const PeerState *state)
{
  PeerCount *count = data;
  PrimaryChangeManager *manager = count->manager;
  PrimaryChangeInput *input = count->input;
  const PeerView *view = g_hash_table_lookup (manager->peers, &state->id);
  const uint32_t service = peer_mesh_name_hash (service_group_name (manager->options.group));
  const uint64_t own_hash
      = XXH64 (&service, sizeof service, peer_mesh_self_id (manager->options.mesh));
  const int64_t fresh_ms = PEER_VIEW_FRESH_MS + 2 * round_ms (manager);
  int64_t silent_ms;

  if (view == NULL || count->now_ms - view->heard_ms >= fresh_ms
      || view->acknowledged_token < primary_change_fencing_token (manager->change))
    input->all_acknowledged = false;
  if (view == NULL)
    return;
  input->committed_known &= view->primary == input->primary;
  if (session_token_compare (view->committed, input->committed) > 0)
    input->committed = view->committed;
  silent_ms = count->now_ms - view->heard_ms;
  if (silent_ms < fence_valid_ms (manager))
    {
      count->changing |= view->fencing_token != 0;
      if (primary_change_fencing_token_term (view->fencing_token) > input->term)
        input->peer_fencing_token = MAX (input->peer_fencing_token, view->fencing_token);
    }
  if (silent_ms >= fresh_ms)
    return;
  input->hosts++;
  input->all_follow &= view->primary == input->primary;
  if (view->suspect && view->primary == input->primary)
    input->votes++;
  if (view->commits_stalled && view->primary == input->primary)
    count->stalled_votes++;
  if (XXH64 (&service, sizeof service, state->id) < own_hash)
    input->rank++;
}

static void
watch_pauses (PrimaryChangeManager *manager, bool changing, int64_t now_ms)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (manager->options.group, &count);

  for (uint32_t i = 0; i < count; i++)
    if (members[i]->report_sent_ms > 0)
      pause_watch_record (&manager->pauses, member_key (members[i]), members[i]->pause_token,
                          members[i]->report_sent_ms);
  if (changing || primary_change_phase (manager->change) != PRIMARY_CHANGE_IDLE)
    pause_watch_restart (&manager->pauses, now_ms);
}

static const LogHolders *
update_log_holders (PrimaryChangeManager *manager, int64_t now_ms)
{
  const PrimaryChangeManagerOptions *options = &manager->options;

  if (manager->log_holders == NULL)
    manager->log_holders = log_holder_tracker_new (manager, options->group, options->directory);
  log_holder_tracker_update (manager->log_holders, manager->synchronous, now_ms);
  return log_holder_tracker_holders (manager->log_holders);
}

static void
fill_input (PrimaryChangeManager *manager, PrimaryChangeInput *input)
{
  const int64_t now_ms = clock_now_ms ();
  PeerCount count = { manager, input, now_ms, 0, false };
  const GroupMember *member;
  uint64_t ended_token;
  const LogHolders *holders = update_log_holders (manager, now_ms);
  GroupView view;

  service_group_view (manager->options.group, &view);
  session_token_advance (&manager->last_acknowledged, view.acknowledged);
  member = find_member (manager, primary_key (&view));
  *input = (PrimaryChangeInput){
    .now_ms = now_ms,
    .primary = primary_key (&view),
    .term = view.term,
    .newest_term = view.newest_term,
    .leaving = member != NULL && instance_pool_info (member->pool)->leaving,
    .commits_stalled = commits_are_stalled (&view, now_ms),
    .hosts = 1,
    .highest_fencing_token = manager->highest_fencing_token,
    .all_acknowledged = true,
    .all_follow = true,
    .committed_known = acknowledged_bound_is_covered (manager->acknowledged, view.position.at_ms),
    .committed = view.committed,
    .acknowledged = manager->last_acknowledged,
    .log_holders = holders->count,
    .log_holders_known = holders->complete,
    .synchronous = manager->synchronous,
  };
  if (view.newest_term <= view.term)
    manager->superseded_since_ms = 0;
  else if (manager->superseded_since_ms == 0)
    manager->superseded_since_ms = now_ms;
  input->suspect = manager->suspect || input->commits_stalled
                   || (input->primary != 0 && member == NULL)
                   || (manager->superseded_since_ms != 0
                       && now_ms - manager->superseded_since_ms >= SUPERSEDED_LIMIT_MS);
  ended_token = ended_fence_token (&manager->ended_fence, now_ms);
  if (primary_change_fencing_token_term (ended_token) > input->term)
    input->peer_fencing_token = ended_token;
  session_token_advance (&input->committed, acknowledged_bound_committed (manager->acknowledged));
  input->votes = input->suspect;
  count.stalled_votes = input->commits_stalled;
  for_each_peer (manager, count_peer, &count);
  watch_pauses (manager, count.changing || ended_token != 0, now_ms);
  input->abandoned_pause = pause_watch_abandoned (&manager->pauses, now_ms);
  manager->pauses_checked_here = input->rank == 0 && !count.changing;
  // Another host may act as an owner without this one having heard of it yet: the leases of such a
  // host have to run out.
  if (peer_mesh_has_owners (manager->options.mesh))
    input->all_acknowledged = input->committed_known = false;
  // A host with little traffic of its own may miss the stall that the others see.
  input->commits_stalled |= count.stalled_votes * 2 >= input->hosts && count.stalled_votes > 0;
  if (now_ms - manager->active_since_ms < STARTUP_GRACE_MS)
    {
      input->votes = 0;
      input->leaving = false;
    }
}

static void run_step (PrimaryChangeManager *manager);

static void
on_command_ended (void *data, CommandResult result, const InstanceReport *report, int64_t sent_ms)
{
  CommandContext *context = data;
  PrimaryChangeManager *manager = context->manager;
  GroupMember *member = find_member (manager, context->member);
  const bool confirming = primary_change_phase (manager->change) == PRIMARY_CHANGE_CONFIRMING;

  if (log_enabled (LOG_LEVEL_INFO) && member != NULL)
    log_event (
        LOG_LEVEL_INFO, "order_ended",
        "service=%s instance=%s result=%s primary=%d term=%" G_GUINT64_FORMAT
        " received=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT " pause_token=%" G_GUINT64_FORMAT,
        service_group_name (manager->options.group), instance_pool_info (member->pool)->id,
        command_result_name (result), report != NULL && report->primary,
        report == NULL ? 0 : report->term, report == NULL ? 0 : report->received.term,
        report == NULL ? 0 : report->received.position, report == NULL ? 0 : report->pause_token);
  if (result == COMMAND_ANSWERED)
    {
      if (member != NULL)
        service_group_record_report (manager->options.group, member, report, sent_ms);
      primary_change_record_report (manager->change, context->member, report, clock_now_ms ());
    }
  else if (result == COMMAND_UNREACHABLE)
    primary_change_record_down (manager->change, context->member);
  else
    primary_change_record_timeout (manager->change, context->member);
  talloc_free (context);
  run_step (manager);
  // No other host can have changed the primary during this host's change, so it leads for certain.
  if (confirming && primary_change_phase (manager->change) != PRIMARY_CHANGE_CONFIRMING
      && report != NULL && result == COMMAND_ANSWERED && report->primary && member != NULL
      && service_group_is_primary (manager->options.group, member->pool))
    {
      service_group_confirm_primary (manager->options.group, sent_ms, 0);
      pool_metrics_add (manager->options.metrics, POOL_LATENCY_CHANGE,
                        clock_now_ms () - manager->started_ms);
    }
}

static void
on_promoted (void *data, DirectoryResult result)
{
  PrimaryChangeManager *manager = data;
  static const PromotionResult results[] = {
    [DIRECTORY_OK] = PROMOTION_DONE,         [DIRECTORY_CONFLICT] = PROMOTION_INVALID,
    [DIRECTORY_REFUSED] = PROMOTION_REFUSED, [DIRECTORY_COMPACTED] = PROMOTION_REFUSED,
    [DIRECTORY_UNKNOWN] = PROMOTION_UNKNOWN,
  };

  log_event (LOG_LEVEL_NOTICE, "promote_ended", "service=%s result=%s",
             service_group_name (manager->options.group), directory_result_name (result));
  primary_change_promotion_ended (manager->change, results[result], clock_now_ms ());
  service_group_hear_term (manager->options.group, primary_change_promoted_term (manager->change),
                           0);
  peer_mesh_send_services_now (manager->options.mesh);
  run_step (manager);
}

static void
promote (PrimaryChangeManager *manager, const PrimaryChangeAction *action)
{
  const PrimaryChangeManagerOptions *options = &manager->options;
  const GroupMember *member = find_member (manager, action->member);
  PromoteRequest request = {
    .service = service_group_name (options->group),
    .holder = options->host,
    .fencing_token = action->fencing_token,
    .timeout_ms = PROMOTE_TIMEOUT_MS,
  };

  if (member == NULL)
    {
      primary_change_promotion_ended (manager->change, PROMOTION_INVALID, clock_now_ms ());
      return;
    }
  request.instance = instance_pool_info (member->pool)->id;
  log_event (LOG_LEVEL_NOTICE, "promoting",
             "service=%s instance=%s fencing_token=%" G_GUINT64_FORMAT, request.service,
             request.instance, request.fencing_token);
  counter_add (options->counters, COUNTER_FAILOVERS, 1);
  options->directory->promote (options->directory->self, &request, on_promoted, manager);
}

static void
send_command (PrimaryChangeManager *manager, const PrimaryChangeAction *action)
{
  GroupMember *member = find_member (manager, action->member);
  CommandContext *context;

  if (member == NULL)
    {
      primary_change_record_timeout (manager->change, action->member);
      return;
    }
  context = talloc (manager, CommandContext);
  *context = (CommandContext){ manager, action->member };
  command_channel_send (member->commands, action->command, action->fencing_token, on_command_ended,
                        context);
}

static void
set_members (PrimaryChangeManager *manager)
{
  uint32_t count;
  GroupMember *const *members = service_group_members (manager->options.group, &count);
  uint32_t keys[CHANGE_MEMBERS_MAX];
  uint32_t known = primary_change_members (manager->change, keys);

  for (uint32_t i = 0; i < known; i++)
    if (find_member (manager, keys[i]) == NULL)
      {
        primary_change_set_member (manager->change, keys[i], false, false);
        pause_watch_remove (&manager->pauses, keys[i]);
      }
  for (uint32_t i = 0; i < count; i++)
    primary_change_set_member (manager->change, member_key (members[i]), true,
                               instance_pool_info (members[i]->pool)->leaving);
}

/* The primary is not relied on while this host, or a host that it hears from, replaces it. */
static void
update_fence (PrimaryChangeManager *manager, const PrimaryChangeInput *input)
{
  const uint64_t own_token = primary_change_fencing_token (manager->change);
  const bool own_done = primary_change_fencing_token_term (own_token) <= input->term;
  const uint64_t highest = MAX (input->peer_fencing_token, own_done ? 0 : own_token);
  const uint64_t acknowledged = own_token == 0 ? input->peer_fencing_token : 0;

  manager->highest_fencing_token = MAX (manager->highest_fencing_token, MAX (highest, own_token));
  service_group_set_fenced (manager->options.group, highest != 0);
  if (manager->acknowledged_token == acknowledged)
    return;
  // A host with a change of its own does not step back from it by acknowledging another token.
  manager->acknowledged_token = acknowledged;
  peer_mesh_send_services_now (manager->options.mesh);
}

/* Age of the last known position of the primary; -1 if none is known. */
static int64_t
position_age_ms (const PrimaryChangeManager *manager, int64_t now_ms)
{
  GroupView view;

  service_group_view (manager->options.group, &view);
  return view.position.at_ms == 0 ? -1 : now_ms - view.position.at_ms;
}

static const char *
member_state (const ChangeMember *member)
{
  if (member->down)
    return "down";
  if (member->unresponsive)
    return "unresponsive";
  if (member->pending)
    return "asked";
  return member->responded ? "answered" : "unknown";
}

/* What a promotion rests on: the logs of the instances, the group that they are counted against,
 * and the hosts' word. */
static void
log_promotion_basis (const PrimaryChangeManager *manager, const PrimaryChangeInput *input)
{
  const char *service = service_group_name (manager->options.group);
  const ChangeMembers *members = primary_change_member_states (manager->change);
  const PrimaryChangeBasis *basis = primary_change_basis (manager->change);

  log_event (
      LOG_LEVEL_NOTICE, "promotion_basis",
      "service=%s fencing_token=%" G_GUINT64_FORMAT
      " listed=%u group_size=%u group_known=%d paused=%u logs_known=%d "
      "logs_bound=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
      " hosts_known=%d old_primary_known=%d committed=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT
      " acknowledged=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT " followed_ms=%" G_GINT64_FORMAT,
      service, primary_change_fencing_token (manager->change), members->count, basis->group_size,
      input->log_holders_known, basis->paused, basis->logs_known, basis->logs_bound.term,
      basis->logs_bound.position, basis->hosts_known, basis->old_primary_known,
      input->committed.term, input->committed.position, input->acknowledged.term,
      input->acknowledged.position, input->now_ms - manager->created_ms);
  for (uint32_t i = 0; i < members->count; i++)
    {
      const ChangeMember *member = &members->items[i];
      const GroupMember *instance = find_member (manager, member->key);

      log_event (LOG_LEVEL_NOTICE, "promotion_log",
                 "service=%s fencing_token=%" G_GUINT64_FORMAT
                 " instance=%s state=%s primary=%d leaving=%d paused=%d received=%" G_GUINT64_FORMAT
                 ".%" G_GUINT64_FORMAT " report_age_ms=%" G_GINT64_FORMAT,
                 service, primary_change_fencing_token (manager->change),
                 instance == NULL ? "-" : instance_pool_info (instance->pool)->id,
                 member_state (member), member->report.primary, member->leaving, member->paused,
                 member->report.received.term, member->report.received.position,
                 member->report_ms == 0 ? -1 : input->now_ms - member->report_ms);
    }
}

static void
log_phase (PrimaryChangeManager *manager, const PrimaryChangeInput *input)
{
  const PrimaryChangePhase phase = primary_change_phase (manager->change);

  if (phase == manager->logged_phase)
    return;
  if (manager->logged_phase == PRIMARY_CHANGE_IDLE)
    {
      manager->started_ms = input->now_ms;
      if (input->abandoned_pause != 0)
        pool_metrics_count (manager->options.metrics, POOL_COUNT_PAUSES_LIFTED);
    }
  manager->logged_phase = phase;
  log_event (
      LOG_LEVEL_NOTICE, "lead_change",
      "service=%s phase=%s fencing_token=%" G_GUINT64_FORMAT " term=%" G_GUINT64_FORMAT
      " leaving=%d suspect=%d commits_stalled=%d votes=%u hosts=%u rank=%u all_acknowledged=%d "
      "peer_fencing_token=%" G_GUINT64_FORMAT " committed_known=%d committed=%" G_GUINT64_FORMAT
      ".%" G_GUINT64_FORMAT " position_age_ms=%" G_GINT64_FORMAT
      " hosts_changed_age_ms=%" G_GINT64_FORMAT " abandoned_pause=%" G_GUINT64_FORMAT
      " log_holders=%u log_holders_known=%d acknowledged=%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT,
      service_group_name (manager->options.group), primary_change_phase_name (phase),
      primary_change_fencing_token (manager->change), input->term, input->leaving, input->suspect,
      input->commits_stalled, input->votes, input->hosts, input->rank, input->all_acknowledged,
      input->peer_fencing_token, input->committed_known, input->committed.term,
      input->committed.position, position_age_ms (manager, input->now_ms),
      input->now_ms - acknowledged_bound_since_ms (manager->acknowledged), input->abandoned_pause,
      input->log_holders, input->log_holders_known, input->acknowledged.term,
      input->acknowledged.position);
  if (phase == PRIMARY_CHANGE_PROMOTING)
    log_promotion_basis (manager, input);
}

static void
run_step (PrimaryChangeManager *manager)
{
  PrimaryChangeAction actions[PRIMARY_CHANGE_ACTIONS_MAX];
  PrimaryChangeInput input;
  uint64_t token_before;
  uint32_t count;

  // Commands may end while they are being sent, and call this function again.
  if (manager->step_running)
    return;
  manager->step_running = true;
  token_before = primary_change_fencing_token (manager->change);
  set_members (manager);
  fill_input (manager, &input);
  count = primary_change_step (manager->change, &input, actions);
  manager->needs_log_holders
      = input.suspect || primary_change_phase (manager->change) != PRIMARY_CHANGE_IDLE;
  update_fence (manager, &input);
  log_phase (manager, &input);
  if (primary_change_fencing_token (manager->change) != token_before)
    peer_mesh_send_services_now (manager->options.mesh);
  for (uint32_t i = 0; i < count; i++)
    switch (actions[i].kind)
      {
      case PRIMARY_CHANGE_COMMAND:
        send_command (manager, &actions[i]);
        break;
      case PRIMARY_CHANGE_PROMOTE:
        promote (manager, &actions[i]);
        break;
      }
  manager->step_running = false;
}

void
primary_change_manager_receive_heartbeat (PrimaryChangeManager *manager, uint64_t peer,
                                          const Pool__ServiceBeat *heartbeat, int64_t sent_ms)
{
  PeerView *view = get_peer_view (manager, peer);
  const bool changed = view->fencing_token != heartbeat->fence
                       || view->acknowledged_token != heartbeat->fence_obeyed
                       || view->suspect != heartbeat->suspect;

  view->heard_ms = clock_now_ms ();
  view->suspect = heartbeat->suspect;
  view->commits_stalled = heartbeat->stuck;
  view->primary = heartbeat->primary;
  view->fencing_token = heartbeat->fence;
  view->acknowledged_token = heartbeat->fence_obeyed;
  view->committed = (SessionToken){ heartbeat->committed_term, heartbeat->committed };
  view->final = heartbeat->released;
  record_demands (view, heartbeat);
  session_token_advance (&manager->last_acknowledged,
                         (SessionToken){ heartbeat->acknowledged_term, heartbeat->acknowledged });
  manager->highest_fencing_token = MAX (manager->highest_fencing_token, heartbeat->fence);
  apply_peer_view (manager, peer, heartbeat, sent_ms);
  if (changed)
    run_step (manager);
}

void
primary_change_manager_forget_peer (PrimaryChangeManager *manager, uint64_t peer, PeerEnd end)
{
  const PeerView *view = g_hash_table_lookup (manager->peers, &peer);
  const SessionToken committed = view == NULL ? (SessionToken){ 0 } : view->committed;

  if (end == PEER_SILENT)
    acknowledged_bound_host_lost (manager->acknowledged, peer, committed);
  else
    acknowledged_bound_host_left (manager->acknowledged, committed, view != NULL && view->final,
                                  clock_now_ms ());
  if (view != NULL)
    ended_fence_record (&manager->ended_fence, view->fencing_token,
                        view->heard_ms + fence_valid_ms (manager));
  g_hash_table_remove (manager->peers, &peer);
}

/* A primary is suspect if it owes this host answers and does not respond to a status command. */
static void
check_primary (PrimaryChangeManager *manager)
{
  const GroupMember *member;
  GroupView view;

  service_group_view (manager->options.group, &view);
  member = find_member (manager, primary_key (&view));
  if (member == NULL || member->unresponsive == manager->suspect)
    return;
  manager->suspect = member->unresponsive;
  log_event (LOG_LEVEL_NOTICE, "suspect", "service=%s instance=%s value=%d",
             service_group_name (manager->options.group), view.primary, manager->suspect);
  peer_mesh_send_services_now (manager->options.mesh);
}

bool
primary_change_manager_is_idle (const PrimaryChangeManager *manager)
{
  return primary_change_phase (manager->change) == PRIMARY_CHANGE_IDLE;
}

void
primary_change_manager_activate (PrimaryChangeManager *manager)
{
  g_hash_table_remove_all (manager->peers);
  manager->active_since_ms = clock_now_ms ();
  if (manager->log_holders != NULL)
    log_holder_tracker_restart (manager->log_holders);
}

/* Drops the views of hosts that have not been heard from for long, which were owners once. */
static void
drop_old_views (PrimaryChangeManager *manager, int64_t now_ms)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, manager->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (now_ms - ((const PeerView *) value)->heard_ms > OWNER_VIEW_KEPT_MS)
      g_hash_table_iter_remove (&iter);
}

/* A replica that was left paused serves no reads and confirms no commits, and beside one that is
 * not paused nobody would ask for its state. */
static void
check_pauses (PrimaryChangeManager *manager, int64_t now_ms)
{
  const int64_t interval_ms
      = pause_watch_is_empty (&manager->pauses) ? PAUSE_CHECK_MS : PAUSE_RECHECK_MS;

  if (!manager->pauses_checked_here || now_ms - manager->pauses_checked_ms < interval_ms
      || primary_change_phase (manager->change) != PRIMARY_CHANGE_IDLE)
    return;
  manager->pauses_checked_ms = now_ms;
  service_group_query_replicas (manager->options.group);
}

static void
sync_log_holders (PrimaryChangeManager *manager, int64_t now_ms)
{
  const HolderRecordUse use = {
    .needed = manager->needs_log_holders,
    // In a fleet with owners, hosts begin and cease to act for a service all the time.
    .reads_early = !peer_mesh_has_owners (manager->options.mesh),
    .writes = manager->pauses_checked_here,
    .era = manager->options.store_era == NULL ? 0 : *manager->options.store_era,
  };

  log_holder_tracker_sync (manager->log_holders, &use, now_ms);
}

void
primary_change_manager_tick (PrimaryChangeManager *manager, int64_t now_ms)
{
  if (peer_mesh_has_owners (manager->options.mesh))
    drop_old_views (manager, now_ms);
  share_connections (manager, now_ms);
  check_primary (manager);
  run_step (manager);
  check_pauses (manager, now_ms);
  sync_log_holders (manager, now_ms);
}
