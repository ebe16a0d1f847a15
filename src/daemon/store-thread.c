#include "daemon/store-thread.h"

#include "adapter/platform-client.h"
#include "base/log.h"
#include "base/sanitizer.h"
#include "config/config-store.h"

#define TIMEOUT_MS 2000
#define AUDIT_RETRY_US 2000000
/* Limit of audit events queued while the store is unreachable; beyond it the oldest are dropped. */
#define AUDIT_QUEUE_MAX 1000

typedef enum
{
  JOB_POLL,
  JOB_SYNC_HOSTS,
  JOB_AUDIT,
  JOB_STOP
} JobKind;

/* @have is the current version for %JOB_POLL, and 1 for a %JOB_SYNC_HOSTS that reads the list. */
typedef struct
{
  JobKind kind;
  uint64_t have;
  char *text;
  json_t *json;
} Job;

struct StoreThread
{
  StoreThreadOptions options;
  PlatformClient *client;
  GAsyncQueue *jobs;
  GQueue audit; /* Job, not yet written to the store */
  GThread *thread;
  bool unreachable;
};

void
store_result_free (StoreResult *result)
{
  if (result->parts != NULL)
    g_ptr_array_free (result->parts, true);
  json_decref (result->hosts);
  g_free (result);
}

static void
job_free (void *data)
{
  Job *job = data;

  g_free (job->text);
  json_decref (job->json);
  g_free (job);
}

static void
log_reachability (StoreThread *store, bool answered, const GError *error)
{
  if (answered == !store->unreachable)
    return;
  store->unreachable = !answered;
  if (answered)
    log_event (LOG_LEVEL_NOTICE, "store_back", "url=%s", store->options.url);
  else
    log_event (LOG_LEVEL_WARNING, "store_unreachable", "url=%s reason=\"%s\"", store->options.url,
               error == NULL ? "" : error->message);
}

static void
post_result (StoreThread *store, StoreResult *result)
{
  result->message.deliver = store->options.deliver;
  mailbox_post (store->options.mailbox, &result->message);
}

static void
run_poll (StoreThread *store, const Job *job)
{
  StoreResult *result = g_new0 (StoreResult, 1);
  GError *error = NULL;

  result->kind = STORE_RESULT_CONFIG;
  result->answered = config_store_head (store->client, &result->latest_version, &error);
  if (result->answered && result->latest_version > job->have)
    result->parts = config_store_fetch (store->client, job->have, result->latest_version, &error);
  log_reachability (store, result->answered, error);
  g_clear_error (&error);
  post_result (store, result);
}

static void
run_sync_hosts (StoreThread *store, const Job *job)
{
  StoreResult *result;

  if (job->json != NULL)
    platform_client_put_host (store->client, job->text, job->json, NULL);
  if (job->have == 0)
    return;
  result = g_new0 (StoreResult, 1);
  result->kind = STORE_RESULT_HOSTS;
  result->hosts = platform_client_get_hosts (store->client, NULL);
  result->answered = result->hosts != NULL;
  post_result (store, result);
}

static bool
write_audit (StoreThread *store, const Job *job)
{
  json_t *transaction = json_pack ("{s:s, s:[], s:[{s:s, s:O}]}", "id", job->text, "conditions",
                                   "puts", "key", job->text, "value", job->json);
  PlatformCommit outcome = platform_client_commit (store->client, transaction, NULL);

  json_decref (transaction);
  return outcome == PLATFORM_COMMITTED;
}

static void
flush_audit (StoreThread *store)
{
  while (!g_queue_is_empty (&store->audit))
    {
      if (!write_audit (store, g_queue_peek_head (&store->audit)))
        return;
      job_free (g_queue_pop_head (&store->audit));
    }
}

static void
queue_audit (StoreThread *store, Job *job)
{
  if (g_queue_get_length (&store->audit) >= AUDIT_QUEUE_MAX)
    job_free (g_queue_pop_head (&store->audit));
  g_queue_push_tail (&store->audit, job);
}

/* Returns false if the thread must exit. */
static bool
run_job (StoreThread *store, Job *job)
{
  switch (job->kind)
    {
    case JOB_POLL:
      run_poll (store, job);
      break;
    case JOB_SYNC_HOSTS:
      run_sync_hosts (store, job);
      break;
    case JOB_AUDIT:
      queue_audit (store, job);
      return true;
    case JOB_STOP:
      job_free (job);
      return false;
    }
  job_free (job);
  return true;
}

static void *
store_main (void *data)
{
  StoreThread *store = data;
  bool running = true;

  while (running)
    {
      Job *job = g_async_queue_timeout_pop (store->jobs, AUDIT_RETRY_US);

      SANITIZER_ACQUIRE (job);
      if (job != NULL)
        running = run_job (store, job);
      // Audit events have the lowest priority: they are written only while no other job is queued.
      if (running && g_async_queue_length (store->jobs) <= 0)
        flush_audit (store);
    }
  return NULL;
}

StoreThread *
store_thread_new (const StoreThreadOptions *options)
{
  StoreThread *store = g_new0 (StoreThread, 1);

  store->options = *options;
  store->client = platform_client_new (options->url, TIMEOUT_MS);
  store->jobs = g_async_queue_new_full (job_free);
  g_queue_init (&store->audit);
  store->thread = g_thread_new ("store", store_main, store);
  return store;
}

static void
push_job (StoreThread *store, JobKind kind, uint64_t have, const char *text, json_t *json)
{
  Job *job = g_new0 (Job, 1);

  job->kind = kind;
  job->have = have;
  job->text = g_strdup (text);
  job->json = json;
  SANITIZER_RELEASE (job);
  g_async_queue_push (store->jobs, job);
}

void
store_thread_free (StoreThread *store)
{
  push_job (store, JOB_STOP, 0, NULL, NULL);
  g_thread_join (store->thread);
  g_async_queue_unref (store->jobs);
  g_queue_clear_full (&store->audit, job_free);
  platform_client_free (store->client);
  g_free (store);
}

void
store_thread_poll (StoreThread *store, uint64_t have)
{
  push_job (store, JOB_POLL, have, NULL, NULL);
}

void
store_thread_sync_hosts (StoreThread *store, const char *id, json_t *self, bool read)
{
  push_job (store, JOB_SYNC_HOSTS, read ? 1 : 0, id, self);
}

void
store_thread_audit (StoreThread *store, const char *key, json_t *value)
{
  push_job (store, JOB_AUDIT, 0, key, value);
}
