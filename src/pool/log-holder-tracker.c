#include "pool/log-holder-tracker.h"

#include <inttypes.h>
#include <string.h>

#include <xxhash.h>

#include "base/clock.h"
#include "base/log.h"

#define CALL_TIMEOUT_MS 1000
/* Interval at which the replicas are asked for their positions while these are needed and no
 * answers of theirs tell. */
#define QUERY_INTERVAL_MS 1000

struct LogHolderTracker
{
  ServiceGroup *group;
  const Directory *directory;
  LogHolders holders;
  char primary[CATALOG_NAME_BYTES];
  uint64_t term;
  int64_t queried_ms;
  HolderRecord record;
};

LogHolderTracker *
log_holder_tracker_new (TALLOC_CTX *parent, ServiceGroup *group, const Directory *directory)
{
  LogHolderTracker *tracker = talloc_zero (parent, LogHolderTracker);

  tracker->group = group;
  tracker->directory = directory;
  log_holders_init (&tracker->holders, clock_now_ms ());
  return tracker;
}

void
log_holder_tracker_restart (LogHolderTracker *tracker)
{
  log_holders_init (&tracker->holders, clock_now_ms ());
}

static uint64_t
holder_key (const InstanceInfo *info)
{
  const uint32_t run = XXH32 (info->id, strlen (info->id), (XXH32_hash_t) info->started_ms);

  return log_holder_key (run, XXH32 (info->address, strlen (info->address), info->port));
}

static void
log_holders (const LogHolderTracker *tracker, const char *reason)
{
  const LogHolders *holders = &tracker->holders;

  log_event (LOG_LEVEL_NOTICE, "log_holders",
             "service=%s reason=%s counted=%u gone=%u complete=%d record_known=%d record=%u "
             "record_version=%" PRIu64,
             service_group_name (tracker->group), reason, holders->count,
             log_holders_gone_count (holders), holders->complete, tracker->record.known,
             tracker->record.count, tracker->record.version);
}

/* Returns the key of the primary; 0 if it is not listed. */
static uint64_t
update_list (LogHolderTracker *tracker, const char *primary, int64_t now_ms)
{
  ListedInstance listed[GROUP_MEMBERS_MAX];
  const uint32_t gone = log_holders_gone_count (&tracker->holders);
  uint64_t primary_key = 0;
  uint32_t count;
  GroupMember *const *members = service_group_members (tracker->group, &count);

  for (uint32_t i = 0; i < count; i++)
    {
      const InstanceInfo *info = instance_pool_info (members[i]->pool);

      listed[i] = (ListedInstance){
        .key = holder_key (info),
        .leaving = info->leaving,
        .down = instance_pool_is_down (members[i]->pool),
        .received = members[i]->last_position,
      };
      if (strcmp (info->id, primary) == 0)
        primary_key = listed[i].key;
    }
  log_holders_set_listed (&tracker->holders, listed, count, now_ms);
  if (log_holders_gone_count (&tracker->holders) > gone)
    log_holders (tracker, "removed");
  return primary_key;
}

void
log_holder_tracker_update (LogHolderTracker *tracker, uint32_t synchronous, int64_t now_ms)
{
  uint64_t primary;
  GroupView view;

  service_group_view (tracker->group, &view);
  primary = update_list (tracker, view.primary, now_ms);
  if (tracker->term != view.term || strcmp (tracker->primary, view.primary) != 0)
    {
      tracker->term = view.term;
      g_strlcpy (tracker->primary, view.primary, sizeof tracker->primary);
      log_holders_primary_changed (&tracker->holders);
    }
  if (view.position.at_ms > 0)
    log_holders_record_position (&tracker->holders, view.position.position, view.position.at_ms);
  if (log_holders_settle (&tracker->holders, primary, synchronous))
    log_holders (tracker, "covered");
  if (tracker->holders.mark_ms == 0 || now_ms - tracker->holders.mark_ms < QUERY_INTERVAL_MS
      || now_ms - tracker->queried_ms < QUERY_INTERVAL_MS)
    return;
  tracker->queried_ms = now_ms;
  service_group_query_replicas (tracker->group);
}

static void
on_record (void *data, const StoreAnswer *answer, uint64_t version, const GArray *entries)
{
  LogHolderTracker *tracker = data;
  const HolderRecordState state = {
    .readable = entries != NULL,
    .era = answer->era,
    .version = version,
    .entries = entries == NULL ? NULL : (const uint64_t *) entries->data,
    .count = entries == NULL ? 0 : entries->len,
  };

  if (answer->result != DIRECTORY_OK && answer->result != DIRECTORY_CONFLICT)
    {
      holder_record_failed (&tracker->record);
      return;
    }
  holder_record_found (&tracker->record, &tracker->holders, &state);
  log_holders (tracker, entries == NULL ? "record_unreadable" : "recorded");
}

/* The record that is written; kept until the write ends. */
typedef struct
{
  LogHolderTracker *tracker;
  GArray *entries;
} RecordWrite;

static void
on_written (void *data, const StoreAnswer *answer, uint64_t version, const GArray *entries)
{
  RecordWrite *write = data;
  LogHolderTracker *tracker = write->tracker;
  const HolderRecordState state = {
    .readable = true,
    .era = answer->era,
    .version = version,
    .entries = (const uint64_t *) write->entries->data,
    .count = write->entries->len,
  };

  if (answer->result == DIRECTORY_OK)
    {
      holder_record_written (&tracker->record, &state);
      log_holders (tracker, "written");
    }
  else
    on_record (tracker, answer, version, entries);
  g_array_free (write->entries, true);
  g_free (write);
}

static void
write_record (LogHolderTracker *tracker)
{
  const Directory *directory = tracker->directory;
  RecordWrite *write = g_new (RecordWrite, 1);
  uint64_t entries[LOG_HOLDERS_MAX];
  const uint32_t count = log_holders_fill_record (&tracker->holders, entries);

  *write = (RecordWrite){ tracker, g_array_new (false, false, sizeof (uint64_t)) };
  g_array_append_vals (write->entries, entries, count);
  directory->write_log_holders (directory->self, service_group_name (tracker->group),
                                tracker->record.version, write->entries, CALL_TIMEOUT_MS,
                                on_written, write);
}

void
log_holder_tracker_sync (LogHolderTracker *tracker, const HolderRecordUse *use, int64_t now_ms)
{
  const Directory *directory = tracker->directory;

  switch (holder_record_next (&tracker->record, &tracker->holders, use, now_ms))
    {
    case HOLDER_RECORD_NONE:
      break;
    case HOLDER_RECORD_READ:
      directory->read_log_holders (directory->self, service_group_name (tracker->group),
                                   CALL_TIMEOUT_MS, on_record, tracker);
      break;
    case HOLDER_RECORD_WRITE:
      write_record (tracker);
      break;
    }
}

const LogHolders *
log_holder_tracker_holders (const LogHolderTracker *tracker)
{
  return &tracker->holders;
}
