#include "pool/service-group.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "policy/primary-lease.h"
#include "pool/peer-mesh.h"

/* Connections that a host may hold to an instance before it knows of the other hosts. */
#define INITIAL_CONNECTION_LIMIT 3
/* Minimum interval between queries of the group while a confirmation is needed. */
#define PROBE_INTERVAL_MS 100
/* A lease of this age is prolonged ... */
#define PROLONG_AGE_MS (PRIMARY_LEASE_MS / 2)
/* ... if work has relied on it as lately: a single operation is no reason. */
#define PROLONG_USED_MS (PRIMARY_LEASE_MS / 4)
/* An instance that lacked a required position is not asked for a newer one for this time. The time
 * doubles with each consecutive failure, up to the maximum. */
#define BEHIND_BACKOFF_MS 60
#define BEHIND_BACKOFF_MAX_MS 480
/* An instance that owes answers and was silent for this time is sent a status command. */
#define SILENCE_TIMEOUT_MS 350
/* Interval of further status commands while it does not respond. */
#define CHECK_INTERVAL_MS 200
/* A statement without an answer, while one sent this much later was answered, has probably lost its
 * answer: an instance takes statements in order. */
#define LATER_ANSWER_GAP_MS 150
/* An instance without a free slot is avoided for this time. */
#define REFUSED_BACKOFF_MS 40

struct ServiceGroup
{
  ServiceGroupOptions options;
  char name[CATALOG_NAME_BYTES];
  GroupMember *members[GROUP_MEMBERS_MAX];
  uint32_t count;
  GPtrArray *retired; /* removed InstancePool with connections in use */
  char primary[CATALOG_NAME_BYTES];
  PrimaryLease lease;
  int64_t relied_ms;      /* when work last needed the primary */
  bool lease_logged;      /* whether the lease was valid in the last line about it */
  uint64_t position_host; /* that reported the last known position; 0 for this one */
  SessionToken committed;
  CommitFloor commit_floor;
  SessionToken acknowledged;
  int64_t commit_sent_ms;
  int64_t commit_pending_since_ms;
  PositionHistory history;
  WaitQueue waiters;
  int64_t probed_ms;
};

static int
group_destroy (ServiceGroup *group)
{
  wait_queue_done (&group->waiters);
  g_ptr_array_free (group->retired, true);
  return 0;
}

ServiceGroup *
service_group_new (TALLOC_CTX *parent, const ServiceGroupOptions *options, const char *name)
{
  ServiceGroup *group = talloc_zero (parent, ServiceGroup);

  group->options = *options;
  group->retired = g_ptr_array_new ();
  g_strlcpy (group->name, name, sizeof group->name);
  wait_queue_init (&group->waiters);
  primary_lease_init (&group->lease, PRIMARY_LEASE_MS);
  talloc_set_destructor (group, group_destroy);
  return group;
}

const char *
service_group_name (const ServiceGroup *group)
{
  return group->name;
}

static GroupMember *
find_member (const ServiceGroup *group, const char *id)
{
  for (uint32_t i = 0; i < group->count; i++)
    if (strcmp (instance_pool_info (group->members[i]->pool)->id, id) == 0)
      return group->members[i];
  return NULL;
}

static GroupMember *
member_of (const ServiceGroup *group, const InstancePool *pool)
{
  for (uint32_t i = 0; i < group->count; i++)
    if (group->members[i]->pool == pool)
      return group->members[i];
  return NULL;
}

uint32_t
service_group_member_bit (const ServiceGroup *group, const InstancePool *pool)
{
  for (uint32_t i = 0; i < group->count; i++)
    if (group->members[i]->pool == pool)
      return 1u << i;
  return 0;
}

/* Logs that the lease began or has ended. @reason: the event, or the instance that confirmed it.
 * @host: on whose word; 0 for this one. */
static void
log_lease (ServiceGroup *group, const char *reason, uint64_t host)
{
  const int64_t now_ms = clock_now_ms ();
  const PrimaryLease *lease = &group->lease;
  const bool valid = primary_lease_is_valid (lease, now_ms);

  if (group->lease_logged == valid)
    return;
  group->lease_logged = valid;
  log_event (LOG_LEVEL_INFO, "lease",
             "service=%s primary=%s term=%" G_GUINT64_FORMAT " newest_term=%" G_GUINT64_FORMAT
             " value=%d reason=%s host=%016" G_GINT64_MODIFIER "x confirmed_age_ms=%" PRId64
             " fenced=%d",
             group->name, group->primary, lease->term, lease->newest_term, valid, reason, host,
             lease->confirmed_ms == 0 ? -1 : now_ms - lease->confirmed_ms, lease->fenced);
}

static uint32_t
key_of (const char *id)
{
  return *id == '\0' ? 0 : peer_mesh_name_hash (id);
}

static void
set_primary (ServiceGroup *group, const char *id, uint64_t term, const char *source)
{
  if (strcmp (group->primary, id) != 0 || group->lease.term != term)
    log_event (LOG_LEVEL_NOTICE, "primary",
               "service=%s instance=%s term=%" G_GUINT64_FORMAT
               " previous=%s previous_term=%" G_GUINT64_FORMAT " source=%s",
               group->name, id, term, group->primary, group->lease.term, source);
  if (strcmp (group->primary, id) != 0)
    {
      memset (&group->history, 0, sizeof group->history);
      memset (&group->commit_floor, 0, sizeof group->commit_floor);
      group->commit_pending_since_ms = 0;
    }
  g_strlcpy (group->primary, id, sizeof group->primary);
  primary_lease_set_primary (&group->lease, key_of (id), term);
  log_lease (group, "new_primary", 0);
}

static Distance
distance_to (const ServiceGroup *group, const InstanceInfo *info)
{
  const char *region;

  if (strcmp (info->failure_domain, group->options.failure_domain) == 0)
    return DISTANCE_DOMAIN;
  region = g_hash_table_lookup ((GHashTable *) group->options.domain_region, info->failure_domain);
  return g_strcmp0 (region, group->options.region) == 0 ? DISTANCE_REGION : DISTANCE_REMOTE;
}

static void
on_displaced (void *data, InstancePool *pool)
{
  GroupMember *member = data;

  member->displaced = true;
  log_event (LOG_LEVEL_NOTICE, "instance_displaced", "service=%s instance=%s", member->group->name,
             instance_pool_info (pool)->id);
  member->group->options.refresh_instances (member->group->options.data);
}

static void
on_connect_failed (void *data, InstancePool *pool)
{
  GroupMember *member = data;

  log_event (LOG_LEVEL_NOTICE, "instance_unreached", "service=%s instance=%s", member->group->name,
             instance_pool_info (pool)->id);
}

static GroupMember *
add_member (ServiceGroup *group, const InstanceInfo *info)
{
  GroupMember *member = talloc_zero (group, GroupMember);
  const InstancePoolOptions options = {
    .events = group->options.events,
    .codec = group->options.codec,
    .info = info,
    .limit = INITIAL_CONNECTION_LIMIT,
    .displaced = on_displaced,
    .connect_failed = on_connect_failed,
    .data = member,
  };

  member->group = group;
  member->pool = instance_pool_new (group, &options);
  member->commands = command_channel_new (member, group->options.events, group->options.timers,
                                          group->options.codec, info);
  member->distance = distance_to (group, info);
  group->members[group->count++] = member;
  primary_lease_add_member (&group->lease, key_of (info->id));
  log_event (LOG_LEVEL_NOTICE, "instance_added",
             "service=%s instance=%s address=%s:%u failure_domain=%s leaving=%d primary=%d",
             group->name, info->id, info->address, info->port, info->failure_domain, info->leaving,
             info->primary);
  return member;
}

static void
remove_member (ServiceGroup *group, uint32_t index)
{
  GroupMember *member = group->members[index];

  log_event (LOG_LEVEL_NOTICE, "instance_removed", "service=%s instance=%s", group->name,
             instance_pool_info (member->pool)->id);
  group->members[index] = group->members[--group->count];
  primary_lease_remove_member (&group->lease, key_of (instance_pool_info (member->pool)->id));
  instance_pool_close (member->pool);
  g_ptr_array_add (group->retired, member->pool);
  command_channel_cancel (member->commands);
  talloc_free (member);
}

static const InstanceInfo *
find_info (const InstanceInfo *infos, uint32_t count, const InstanceInfo *old)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (infos[i].id, old->id) == 0 && infos[i].started_ms == old->started_ms
        && strcmp (infos[i].address, old->address) == 0 && infos[i].port == old->port)
      return &infos[i];
  return NULL;
}

static void
update_member (GroupMember *member, const InstanceInfo *info)
{
  if (info->leaving && member->leaving_since_ms == 0)
    {
      member->leaving_since_ms = clock_now_ms ();
      log_event (LOG_LEVEL_NOTICE, "instance_leaving", "service=%s instance=%s",
                 member->group->name, info->id);
    }
  instance_pool_update (member->pool, info);
}

void
service_group_set_instances (ServiceGroup *group, const InstanceInfo *infos, uint32_t count)
{
  for (uint32_t i = group->count; i > 0; i--)
    if (find_info (infos, count, instance_pool_info (group->members[i - 1]->pool)) == NULL)
      remove_member (group, i - 1);
  for (uint32_t i = 0; i < count; i++)
    {
      GroupMember *member = find_member (group, infos[i].id);

      if (member == NULL && group->count < GROUP_MEMBERS_MAX)
        member = add_member (group, &infos[i]);
      if (member != NULL)
        update_member (member, &infos[i]);
    }
  wait_queue_wake (&group->waiters);
}

/* Whether new work may be sent to it. */
static bool
accepts_work (const GroupMember *member, int64_t now_ms)
{
  if (member->displaced || member->unresponsive || instance_pool_is_down (member->pool))
    return false;
  return member->leaving_since_ms == 0 || now_ms - member->leaving_since_ms < LEAVING_GRACE_MS;
}

InstancePool *
service_group_primary (ServiceGroup *group)
{
  const GroupMember *member = find_member (group, group->primary);
  const int64_t now_ms = clock_now_ms ();

  group->relied_ms = now_ms;
  if (member == NULL || !accepts_work (member, now_ms))
    return NULL;
  return primary_lease_is_valid (&group->lease, now_ms) ? member->pool : NULL;
}

static void
fill_placement_views (const ServiceGroup *group, Priority priority, int64_t now_ms,
                      PlacementView *views)
{
  for (uint32_t i = 0; i < group->count; i++)
    {
      const GroupMember *member = group->members[i];
      const InstanceInfo *info = instance_pool_info (member->pool);
      const bool primary = strcmp (info->id, group->primary) == 0;

      views[i] = (PlacementView){
        .usable = accepts_work (member, now_ms),
        .primary = primary,
        .ejected = !outlier_may_use (&member->outlier, now_ms),
        .leaving = info->leaving,
        .distance = member->distance,
        .seen = member->last_position,
        .latency_ms = instance_speed_expected_ms (&member->speed, priority, now_ms),
        .wait_ms = instance_pool_expected_wait_ms (member->pool, priority),
        .behind_until_ms = member->behind_until_ms,
        .refused_until_ms = member->refused_until_ms,
      };
    }
}

InstancePool *
service_group_choose_for_read (ServiceGroup *group, int64_t since_ms, SessionToken session,
                               Priority priority, uint32_t tried, SessionToken *after)
{
  const int64_t now_ms = clock_now_ms ();
  PlacementView views[GROUP_MEMBERS_MAX];
  PlacementRequirement requirement = { 0 };
  PositionSample sample;
  int index;

  if (!position_history_since (&group->history, since_ms, &sample))
    return NULL;
  requirement.after = sample.position;
  requirement.after_position_age_ms = now_ms - sample.at_ms;
  if (session_token_compare (session, requirement.after) > 0)
    {
      requirement.after = session;
      requirement.after_position_age_ms = 0;
    }
  fill_placement_views (group, priority, now_ms, views);
  index = placement_read (views, group->count, &requirement, tried, now_ms);
  if (index < 0)
    return NULL;
  outlier_chosen (&group->members[index]->outlier, now_ms);
  // The primary checks the position too, as it may have been replaced in the meantime.
  *after = requirement.after;
  return group->members[index]->pool;
}

static void
add_position (ServiceGroup *group, int64_t at_ms, SessionToken position, uint64_t host)
{
  position_history_add (&group->history, at_ms, position);
  group->position_host = host;
}

static void
record_position (ServiceGroup *group, GroupMember *member, SessionToken position, int64_t sent_ms)
{
  if (position.term == 0 && position.position == 0)
    return;
  if (session_token_compare (position, member->last_position) > 0)
    member->last_position = position;
  if (strcmp (instance_pool_info (member->pool)->id, group->primary) != 0)
    return;
  commit_floor_record (&group->commit_floor, position, clock_now_ms ());
  if (primary_lease_is_valid (&group->lease, sent_ms))
    add_position (group, sent_ms, position, 0);
}

static void
record_speed (const ServiceGroup *group, GroupMember *member, Priority priority, int64_t took_ms)
{
  InstanceSpeed *speed = &member->speed;

  if (!instance_speed_record (speed, priority, took_ms, clock_now_ms ()))
    return;
  log_event (LOG_LEVEL_INFO, "instance_speed",
             "service=%s instance=%s slowness=%.1f statements_percent=%u priority=%s usual_ms=%.0f "
             "recent_ms=%.0f in_use=%u",
             group->name, instance_pool_info (member->pool)->id, speed->slowness,
             instance_speed_statements_percent (speed), priority_name (priority),
             speed->usual_ms[priority], speed->recent_ms[priority],
             instance_pool_in_use (member->pool));
}

static uint32_t
list_outliers (const ServiceGroup *group, const GroupMember *member, Outlier **outliers)
{
  uint32_t index = 0;

  for (uint32_t i = 0; i < group->count; i++)
    {
      outliers[i] = &group->members[i]->outlier;
      if (group->members[i] == member)
        index = i;
    }
  return index;
}

static void
record_health (ServiceGroup *group, GroupMember *member, bool failed)
{
  Outlier *outliers[GROUP_MEMBERS_MAX];
  const uint32_t index = list_outliers (group, member, outliers);
  const double failing = member->outlier.failing;
  const int64_t now_ms = clock_now_ms ();

  switch (outlier_record (outliers, group->count, index, failed, now_ms))
    {
    case OUTLIER_SAME:
      return;
    case OUTLIER_EJECTED:
      log_event (LOG_LEVEL_NOTICE, "instance_ejected",
                 "service=%s instance=%s failing=%.2f samples=%u for_ms=%" PRId64 " turns=%u",
                 group->name, instance_pool_info (member->pool)->id, failing,
                 member->outlier.samples, member->outlier.until_ms - now_ms, member->outlier.turns);
      return;
    case OUTLIER_RETURNED:
      log_event (LOG_LEVEL_NOTICE, "instance_returned", "service=%s instance=%s turns=%u",
                 group->name, instance_pool_info (member->pool)->id, member->outlier.turns);
      return;
    }
}

void
service_group_record_lost (ServiceGroup *group, const InstancePool *pool)
{
  GroupMember *member = member_of (group, pool);

  if (member != NULL)
    record_health (group, member, true);
}

bool
service_group_is_suspect (const ServiceGroup *group, const InstancePool *pool)
{
  const GroupMember *member = member_of (group, pool);
  Outlier *outliers[GROUP_MEMBERS_MAX];
  uint32_t index;

  if (member == NULL)
    return false;
  index = list_outliers (group, member, outliers);
  return outlier_is_suspect (outliers, group->count, index);
}

void
service_group_record_answer (ServiceGroup *group, const InstancePool *pool,
                             const StatementResult *result, Priority priority, int64_t sent_ms,
                             bool committed)
{
  GroupMember *member = member_of (group, pool);
  const int64_t now_ms = clock_now_ms ();
  const bool is_primary = service_group_is_primary (group, pool);

  if (member == NULL)
    return;
  member->answered_sent_ms = MAX (member->answered_sent_ms, sent_ms);
  switch (result->code)
    {
    case ANSWER_OK:
      record_health (group, member, false);
      member->behind_streak = 0;
      record_speed (group, member, priority, now_ms - sent_ms);
      break;
    case ANSWER_BEHIND:
      member->behind_until_ms
          = now_ms
            + MIN (BEHIND_BACKOFF_MS << MIN (member->behind_streak, 8), BEHIND_BACKOFF_MAX_MS);
      member->behind_streak++;
      break;
    case ANSWER_FAILED:
      record_health (group, member, true);
      break;
    case ANSWER_OVERLOADED:
      member->refused_until_ms = now_ms + REFUSED_BACKOFF_MS;
      break;
    default:
      break;
    }
  if (result->code == ANSWER_OK && committed)
    {
      session_token_advance (&group->committed, result->position);
      if (is_primary)
        session_token_advance (&group->acknowledged,
                               commit_floor_of (&group->commit_floor, sent_ms));
      group->commit_pending_since_ms = 0;
    }
  if (result->code == ANSWER_OK && committed && is_primary)
    primary_lease_record_commit (&group->lease, sent_ms, now_ms);
  if (result->code == ANSWER_READ_ONLY && is_primary)
    {
      group->commit_pending_since_ms = 0;
      primary_lease_record_read_only (&group->lease, now_ms);
      log_lease (group, "read_only", 0);
    }
  record_position (group, member, result->position, sent_ms);
}

bool
service_group_answered_later (const ServiceGroup *group, const InstancePool *pool, int64_t sent_ms)
{
  const GroupMember *member = member_of (group, pool);

  return member != NULL && member->answered_sent_ms - sent_ms >= LATER_ANSWER_GAP_MS;
}

bool
service_group_may_acknowledge (const ServiceGroup *group, const InstancePool *pool)
{
  return service_group_is_primary (group, pool)
         && primary_lease_is_valid (&group->lease, clock_now_ms ());
}

bool
service_group_is_primary (const ServiceGroup *group, const InstancePool *pool)
{
  return strcmp (instance_pool_info (pool)->id, group->primary) == 0;
}

Distance
service_group_distance (const ServiceGroup *group, const InstancePool *pool)
{
  const GroupMember *member = member_of (group, pool);

  return member == NULL ? DISTANCE_REMOTE : member->distance;
}

void
service_group_record_report (ServiceGroup *group, GroupMember *member, const InstanceReport *report,
                             int64_t sent_ms)
{
  const char *id = instance_pool_info (member->pool)->id;

  if (sent_ms >= member->report_sent_ms)
    {
      member->report_sent_ms = sent_ms;
      member->pause_token = report->pause_token;
    }
  if (report->primary && report->term >= group->lease.term)
    set_primary (group, id, report->term, "report");
  primary_lease_record_report (&group->lease, key_of (id), report, sent_ms, clock_now_ms ());
  log_lease (group, id, 0);
  record_position (group, member, report->received, sent_ms);
}

static void
set_unresponsive (GroupMember *member, bool unresponsive, const char *reason)
{
  if (member->unresponsive == unresponsive)
    return;
  member->unresponsive = unresponsive;
  log_event (LOG_LEVEL_NOTICE, "instance_silent", "service=%s instance=%s value=%d reason=%s",
             member->group->name, instance_pool_info (member->pool)->id, unresponsive, reason);
  if (unresponsive)
    instance_pool_fail_restartable (member->pool);
  else
    wait_queue_wake (&member->group->waiters);
}

/* Without a lease no work is sent to the primary that it could fail to answer. */
static void
judge_silence (GroupMember *member, CommandResult result)
{
  const bool silent = result == COMMAND_UNANSWERED || result == COMMAND_UNREACHABLE;

  if (silent && member_of (member->group, member->pool) != NULL
      && service_group_is_primary (member->group, member->pool))
    set_unresponsive (member, true, command_result_name (result));
}

static void
on_report (void *data, CommandResult result, const InstanceReport *report, int64_t sent_ms)
{
  GroupMember *member = data;
  ServiceGroup *group = member->group;

  member->report_pending = false;
  if (log_enabled (LOG_LEVEL_DEBUG))
    log_event (LOG_LEVEL_DEBUG, "report", "service=%s instance=%s result=%s", group->name,
               instance_pool_info (member->pool)->id, command_result_name (result));
  if (result == COMMAND_ANSWERED)
    service_group_record_report (group, member, report, sent_ms);
  judge_silence (member, result);
  wait_queue_wake (&group->waiters);
}

/* Whether reports of the instances can help the waiters. */
static bool
needs_reports (const ServiceGroup *group, int64_t now_ms)
{
  PositionSample last;

  position_history_last (&group->history, &last);
  return !primary_lease_is_valid (&group->lease, now_ms) || now_ms - last.at_ms > PRIMARY_LEASE_MS;
}

static void
query_member (GroupMember *member)
{
  if (member->report_pending)
    return;
  member->report_pending = true;
  command_channel_send (member->commands, INSTANCE_COMMAND_STATUS, 0, on_report, member);
}

/* Queries every instance without a pending query, rate limited. */
static void
probe (ServiceGroup *group, int64_t now_ms)
{
  if (now_ms - group->probed_ms < PROBE_INTERVAL_MS)
    return;
  group->probed_ms = now_ms;
  for (uint32_t i = 0; i < group->count; i++)
    query_member (group->members[i]);
}

void
service_group_query_replicas (ServiceGroup *group)
{
  for (uint32_t i = 0; i < group->count; i++)
    if (!service_group_is_primary (group, group->members[i]->pool))
      query_member (group->members[i]);
}

void
service_group_wait (ServiceGroup *group, Waiter *waiter)
{
  wait_queue_add (&group->waiters, waiter);
  if (needs_reports (group, clock_now_ms ()))
    probe (group, clock_now_ms ());
}

void
service_group_record_commit_sent (ServiceGroup *group, const InstancePool *pool)
{
  if (!service_group_is_primary (group, pool))
    return;
  group->commit_sent_ms = clock_now_ms ();
  if (group->commit_pending_since_ms == 0)
    group->commit_pending_since_ms = group->commit_sent_ms;
}

void
service_group_record_in_doubt (ServiceGroup *group, const InstancePool *pool)
{
  if (service_group_is_primary (group, pool))
    group->commit_pending_since_ms = 0;
}

GroupMember *const *
service_group_members (const ServiceGroup *group, uint32_t *count)
{
  *count = group->count;
  return group->members;
}

void
service_group_view (const ServiceGroup *group, GroupView *view)
{
  *view = (GroupView){
    .primary = group->primary,
    .term = group->lease.term,
    .newest_term = group->lease.newest_term,
    .confirmed_ms = group->lease.confirmed_ms,
    .committed = group->committed,
    .acknowledged = group->acknowledged,
    .commit_sent_ms = group->commit_sent_ms,
    .commit_pending_since_ms = group->commit_pending_since_ms,
  };
  position_history_last (&group->history, &view->position);
  view->position_host = group->position_host;
  // Commits acknowledged by a host that is gone precede any position seen after it was gone.
  session_token_advance (&view->committed, view->position.position);
}

void
service_group_adopt_primary (ServiceGroup *group, const GroupMember *member, uint64_t term)
{
  if (term <= group->lease.term)
    return;
  set_primary (group, instance_pool_info (member->pool)->id, term, "peer");
  wait_queue_wake (&group->waiters);
}

void
service_group_hear_term (ServiceGroup *group, uint64_t term, uint64_t host)
{
  primary_lease_hear_term (&group->lease, term);
  log_lease (group, "newer_term", host);
}

void
service_group_confirm_primary (ServiceGroup *group, int64_t at_ms, uint64_t host)
{
  const bool had_lease = primary_lease_is_valid (&group->lease, clock_now_ms ());

  primary_lease_record_proof (&group->lease, group->lease.term, at_ms);
  log_lease (group, host == 0 ? "change" : "peer", host);
  if (!had_lease && primary_lease_is_valid (&group->lease, clock_now_ms ()))
    wait_queue_wake (&group->waiters);
}

void
service_group_record_position (ServiceGroup *group, int64_t at_ms, SessionToken position,
                               uint64_t host)
{
  if (!primary_lease_is_superseded (&group->lease))
    add_position (group, at_ms, position, host);
}

void
service_group_set_fenced (ServiceGroup *group, bool fenced)
{
  const bool changed = group->lease.fenced != fenced;

  primary_lease_set_fenced (&group->lease, fenced, clock_now_ms ());
  if (!changed)
    return;
  log_lease (group, "fenced", 0);
  log_event (LOG_LEVEL_NOTICE, "fenced",
             "service=%s primary=%s term=%" G_GUINT64_FORMAT " value=%d", group->name,
             group->primary, group->lease.term, fenced);
  if (!fenced)
    wait_queue_wake (&group->waiters);
}

static void
free_retired (ServiceGroup *group)
{
  for (guint i = group->retired->len; i > 0; i--)
    {
      InstancePool *pool = group->retired->pdata[i - 1];

      if (instance_pool_in_use (pool) > 0)
        continue;
      g_ptr_array_remove_index_fast (group->retired, i - 1);
      talloc_free (pool);
    }
}

static void
on_checked (void *data, CommandResult result, const InstanceReport *report, int64_t sent_ms)
{
  GroupMember *member = data;

  member->check_pending = false;
  if (result == COMMAND_ANSWERED)
    service_group_record_report (member->group, member, report, sent_ms);
  set_unresponsive (member, result == COMMAND_UNANSWERED || result == COMMAND_UNREACHABLE,
                    command_result_name (result));
}

static void
check_member (GroupMember *member, int64_t now_ms)
{
  if (member->check_pending || now_ms - member->checked_ms < CHECK_INTERVAL_MS)
    return;
  if (!member->unresponsive && !instance_pool_is_down (member->pool)
      && instance_pool_silent_ms (member->pool, now_ms) < SILENCE_TIMEOUT_MS)
    return;
  member->check_pending = true;
  member->checked_ms = now_ms;
  command_channel_send (member->commands, INSTANCE_COMMAND_STATUS, 0, on_checked, member);
}

/* Work that relies on the primary does not wait for the instances each time a lease ends. */
static void
prolong_lease (ServiceGroup *group, int64_t now_ms)
{
  const bool relies
      = now_ms - group->relied_ms <= PROLONG_USED_MS || group->commit_pending_since_ms > 0;

  if (relies && primary_lease_is_valid (&group->lease, now_ms)
      && now_ms - group->lease.confirmed_ms >= PROLONG_AGE_MS)
    probe (group, now_ms);
}

void
service_group_tick (ServiceGroup *group, int64_t now_ms)
{
  for (uint32_t i = 0; i < group->count; i++)
    {
      instance_pool_tick (group->members[i]->pool, now_ms);
      check_member (group->members[i], now_ms);
    }
  free_retired (group);
  log_lease (group, "expired", 0);
  prolong_lease (group, now_ms);
  if (!wait_queue_is_empty (&group->waiters) && needs_reports (group, now_ms))
    probe (group, now_ms);
}

bool
service_group_is_used (const ServiceGroup *group)
{
  if (group->lease.fenced || !wait_queue_is_empty (&group->waiters) || group->retired->len > 0)
    return true;
  for (uint32_t i = 0; i < group->count; i++)
    if (instance_pool_demand (group->members[i]->pool) > 0)
      return true;
  return false;
}

void
service_group_close_idle (ServiceGroup *group)
{
  for (uint32_t i = 0; i < group->count; i++)
    instance_pool_close_idle (group->members[i]->pool);
}
