#include "standin/group-log.h"

#include <string.h>

typedef struct
{
  GPtrArray *records;        /* LogRecord*, in order from position 1 */
  GHashTable *records_by_id; /* transaction id -> its latest LogRecord */
  uint64_t applied;
  uint64_t term;
  InstanceRole role;
  int32_t following;
  int64_t heard_ms;
  int64_t lag_ms;
  bool partitioned;
  bool aligned; /* the log is a prefix of the primary's log */
} LogInstance;

struct GroupLog
{
  uint32_t count;
  LogInstance instances[GROUP_INSTANCES_MAX];
  int64_t delay_ms[GROUP_INSTANCES_MAX][GROUP_INSTANCES_MAX];
  const GroupLogEvents *events;
  void *data;
};

static void
record_clear (void *data)
{
  LogRecord *record = data;

  g_free (record->transaction_id);
  if (record->statements != NULL)
    g_ptr_array_free (record->statements, true);
}

static void
record_unref (void *data)
{
  g_rc_box_release_full (data, record_clear);
}

static SessionToken
end_token (const LogInstance *instance)
{
  const SessionToken none = { 0, 0 };

  if (instance->records->len == 0)
    return none;
  return ((LogRecord *) instance->records->pdata[instance->records->len - 1])->token;
}

static SessionToken
applied_token (const LogInstance *instance)
{
  const SessionToken none = { 0, 0 };

  if (instance->applied == 0)
    return none;
  return ((LogRecord *) instance->records->pdata[instance->applied - 1])->token;
}

static void
add_record (LogInstance *instance, LogRecord *record)
{
  g_ptr_array_add (instance->records, g_rc_box_acquire (record));
  if (record->transaction_id != NULL)
    g_hash_table_insert (instance->records_by_id, record->transaction_id, record);
}

static LogRecord *
write_record (LogInstance *instance, RecordKind kind, const char *transaction_id,
              GPtrArray *statements, int64_t now_ms)
{
  LogRecord *record = g_rc_box_new0 (LogRecord);

  record->kind = kind;
  record->token.term = instance->term;
  record->token.position = instance->records->len + 1;
  record->transaction_id = g_strdup (transaction_id);
  record->statements = statements;
  record->written_ms = now_ms;
  add_record (instance, record);
  record_unref (record);
  instance->applied = instance->records->len;
  return record;
}

GroupLog *
group_log_new (uint32_t count, const GroupLogEvents *events, void *data)
{
  GroupLog *log = g_new0 (GroupLog, 1);

  g_assert (count > 0);
  log->count = count;
  log->events = events;
  log->data = data;
  for (uint32_t i = 0; i < count; i++)
    {
      LogInstance *instance = &log->instances[i];

      instance->records = g_ptr_array_new_with_free_func (record_unref);
      instance->records_by_id = g_hash_table_new (g_str_hash, g_str_equal);
      instance->term = 1;
      instance->role = i == 0 ? ROLE_PRIMARY : ROLE_REPLICA;
      instance->following = i == 0 ? -1 : 0;
    }
  write_record (&log->instances[0], RECORD_TERM_BEGIN, NULL, NULL, 0);
  return log;
}

void
group_log_free (GroupLog *log)
{
  for (uint32_t i = 0; i < log->count; i++)
    {
      g_hash_table_destroy (log->instances[i].records_by_id);
      g_ptr_array_free (log->instances[i].records, true);
    }
  g_free (log);
}

void
group_log_set_delay (GroupLog *log, uint32_t from, uint32_t to, int64_t delay_ms)
{
  log->delay_ms[from][to] = delay_ms;
}

void
group_log_set_lag (GroupLog *log, uint32_t instance, int64_t lag_ms)
{
  log->instances[instance].lag_ms = lag_ms;
}

void
group_log_set_partitioned (GroupLog *log, uint32_t instance, bool partitioned)
{
  log->instances[instance].partitioned = partitioned;
}

InstanceStatus
group_log_status (const GroupLog *log, uint32_t index, int64_t now_ms)
{
  const LogInstance *instance = &log->instances[index];
  InstanceStatus status = {
    .answered_ms = now_ms,
    .role = instance->role,
    .term = instance->term,
    .received = end_token (instance),
    .applied = applied_token (instance),
    .heard_primary_ms = instance->heard_ms == 0 ? -1 : now_ms - instance->heard_ms,
    .following = instance->following,
  };

  return status;
}

CommitCheck
group_log_check_commit (const GroupLog *log, uint32_t index, const char *transaction_id)
{
  const LogInstance *instance = &log->instances[index];

  if (instance->role != ROLE_PRIMARY)
    return COMMIT_NOT_PRIMARY;
  if (transaction_id != NULL && g_hash_table_contains (instance->records_by_id, transaction_id))
    return COMMIT_ID_RESOLVED;
  return COMMIT_ALLOWED;
}

SessionToken
group_log_commit (GroupLog *log, uint32_t index, const char *transaction_id, GPtrArray *statements,
                  int64_t now_ms)
{
  return write_record (&log->instances[index], RECORD_COMMIT, transaction_id, statements, now_ms)
      ->token;
}

bool
group_log_advance_term (GroupLog *log, uint32_t index, uint64_t term)
{
  LogInstance *instance = &log->instances[index];

  if (term <= instance->term)
    return false;
  instance->term = term;
  instance->following = -1;
  if (instance->role != ROLE_PRIMARY)
    return true;
  instance->role = ROLE_FENCED;
  log->events->demoted (log->data, index);
  return true;
}

static bool
apply_record (GroupLog *log, uint32_t index, const LogRecord *record)
{
  if (record->kind != RECORD_COMMIT)
    return true;
  return log->events->apply (log->data, index, record);
}

static void
apply_until (GroupLog *log, uint32_t index, int64_t now_ms)
{
  LogInstance *instance = &log->instances[index];

  while (instance->applied < instance->records->len)
    {
      const LogRecord *record = instance->records->pdata[instance->applied];

      if (record->written_ms + instance->lag_ms > now_ms)
        return;
      if (!apply_record (log, index, record))
        return;
      instance->applied++;
    }
}

bool
group_log_promote (GroupLog *log, uint32_t index, uint64_t term, int64_t now_ms)
{
  LogInstance *instance = &log->instances[index];

  if (instance->role == ROLE_PRIMARY && instance->term == term)
    return true;
  if (instance->term != term)
    return false;
  apply_until (log, index, INT64_MAX);
  if (instance->applied < instance->records->len)
    return false;
  instance->role = ROLE_PRIMARY;
  instance->following = -1;
  write_record (instance, RECORD_TERM_BEGIN, NULL, NULL, now_ms);
  return true;
}

/* Removes records that the primary does not have; resets the database if it has applied any. */
static void
truncate_divergence (GroupLog *log, uint32_t index, const LogInstance *primary)
{
  LogInstance *instance = &log->instances[index];
  guint common = 0;

  if (instance->aligned)
    return;
  instance->aligned = true;
  while (common < instance->records->len && common < primary->records->len
         && instance->records->pdata[common] == primary->records->pdata[common])
    common++;
  if (common == instance->records->len)
    return;
  for (guint i = common; i < instance->records->len; i++)
    {
      const LogRecord *record = instance->records->pdata[i];

      if (record->transaction_id != NULL)
        g_hash_table_remove (instance->records_by_id, record->transaction_id);
    }
  g_ptr_array_set_size (instance->records, (gint) common);
  if (instance->applied <= common)
    return;
  instance->applied = 0;
  log->events->reset (log->data, index);
}

bool
group_log_follow (GroupLog *log, uint32_t index, uint64_t term, uint32_t primary)
{
  LogInstance *instance = &log->instances[index];
  bool was_primary;

  if (index == primary || term < instance->term)
    return false;
  if (instance->role == ROLE_PRIMARY && term == instance->term)
    return false;
  was_primary = instance->role == ROLE_PRIMARY;
  instance->term = term;
  instance->role = ROLE_REPLICA;
  instance->following = (int32_t) primary;
  instance->aligned = false;
  if (was_primary)
    log->events->demoted (log->data, index);
  return true;
}

bool
group_log_resolve (GroupLog *log, uint32_t index, const char *transaction_id, int64_t now_ms,
                   bool *committed, SessionToken *token)
{
  LogInstance *instance = &log->instances[index];
  const LogRecord *record;

  if (instance->role != ROLE_PRIMARY)
    return false;
  record = g_hash_table_lookup (instance->records_by_id, transaction_id);
  if (record == NULL)
    record = write_record (instance, RECORD_ABORT, transaction_id, NULL, now_ms);
  *committed = record->kind == RECORD_COMMIT;
  // The outcome is final once a majority holds the log up to its end in the current term.
  *token = end_token (instance);
  return true;
}

static void
replicate (GroupLog *log, uint32_t index, int64_t now_ms)
{
  LogInstance *instance = &log->instances[index];
  LogInstance *primary;
  int64_t delay_ms;

  if (instance->role != ROLE_REPLICA || instance->following < 0 || instance->partitioned)
    return;
  primary = &log->instances[instance->following];
  if (primary->partitioned || primary->role != ROLE_PRIMARY || primary->term != instance->term)
    return;
  instance->heard_ms = now_ms;
  truncate_divergence (log, index, primary);
  delay_ms = log->delay_ms[instance->following][index];
  while (instance->records->len < primary->records->len)
    {
      LogRecord *record = primary->records->pdata[instance->records->len];

      if (record->written_ms + delay_ms > now_ms)
        return;
      add_record (instance, record);
    }
}

void
group_log_tick (GroupLog *log, int64_t now_ms)
{
  for (uint32_t i = 0; i < log->count; i++)
    {
      replicate (log, i, now_ms);
      if (log->instances[i].role == ROLE_REPLICA)
        apply_until (log, i, now_ms);
    }
}
