#include "pipeline/owner-job.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/verdict.h"
#include "pipeline/job-statement.h"
#include "policy/request-failure.h"

/* A response up to this size is sent once it is complete; a larger one is streamed. */
#define BUFFERED_RESPONSE_BYTES (64 * 1024)
/* Bytes in transit to the caller above which reading from the backend server pauses. */
#define STREAM_WINDOW_BYTES (256 * 1024)
/* The connection of a cancelled statement that has not ended is closed after this time. */
#define CANCEL_TIMEOUT_MS 1000
/* Time past the deadline for the response's position to reach a majority. */
#define GATE_GRACE_MS 1000
/* Time for a new monitor to receive the first status of its instances. */
#define MONITOR_WARMUP_MS 700
#define SQLSTATE_READ_ONLY "25006"

typedef enum
{
  JOB_NEW,
  JOB_WAITING_CATCHUP,    /* for the replica to catch up, or for a new monitor */
  JOB_QUEUED,             /* for a slot */
  JOB_WAITING_CONNECTION, /* holds a slot, waits for a connection */
  JOB_BEGINNING,          /* BEGIN is running */
  JOB_RUNNING,
  JOB_GATED,
  JOB_SAMPLING,
  JOB_RESOLVING
} JobState;

struct OwnerJob
{
  GroupOwner *group;
  InstanceOwner *instance;
  Origin origin;
  Frame *frame;
  const Peridotstep__Execute *execute;
  AdmissionItem item;
  JobState state;
  OwnerTransaction *transaction;
  PooledConnection *connection;
  int64_t arrived_us;
  int64_t deadline_ms;
  int64_t catchup_until_ms;
  int64_t started_us;
  int64_t cancelled_ms;
  GByteArray *response;
  uint64_t sent_bytes;
  uint64_t credited_bytes;
  bool streaming;
  bool orphaned;
  bool failed;
  char sqlstate[6];
  char status;
  SessionToken position;
  ResolvedOutcome outcome;
};

/* Logs each step of a job, at debug level only. */
static void
trace_job (const OwnerJob *job, const char *step, int value)
{
  if (!log_enabled (LOG_LEVEL_DEBUG))
    return;
  log_event (LOG_LEVEL_DEBUG, "job",
             "host=%s request=%016" G_GINT64_MODIFIER "x service=%s instance=%u operation=%d "
             "in_transaction=%d state=%d step=%s value=%d position=%" G_GUINT64_FORMAT
             "/%" G_GUINT64_FORMAT,
             daemon_options (job->group->worker->daemon)->self.id, job->execute->request,
             job->group->service->name, job->instance->index, job->execute->operation,
             job->execute->in_transaction, job->state, step, value, job->position.term,
             job->position.position);
}

static int
job_destroy (OwnerJob *job)
{
  g_hash_table_remove (job->group->jobs, &job->execute->request);
  daemon_add_jobs (job->group->worker->daemon, -1);
  if (job->transaction != NULL)
    job->transaction->job = NULL;
  g_byte_array_free (job->response, true);
  frame_free (job->frame);
  return 0;
}

static bool
requires_primary (const OwnerJob *job)
{
  return !job->execute->read_only || job->execute->max_age_ms == 0;
}

static Peridotstep__InstanceNews *
make_instance_news (const OwnerJob *job)
{
  GroupMonitor *monitor = job->group->monitor;
  const InstanceStatus *status = group_monitor_status (monitor, job->instance->index);
  int32_t primary = group_monitor_primary (monitor);
  Peridotstep__InstanceNews *news = malloc (sizeof *news);

  peridotstep__instance_news__init (news);
  news->known = status->answered_ms > 0;
  news->primary = primary == (int32_t) job->instance->index;
  news->term = status->term;
  news->applied = frame_token_new (status->applied);
  news->age_ms = group_monitor_age_ms (monitor, status->applied);
  news->wait_us = admission_queue_reported_wait_us (
      traced_queue_inner (job->instance->queue),
      (Priority) MIN (job->execute->priority, PRIORITY_COUNT - 1));
  if (primary >= 0)
    {
      news->primary_hint = (uint32_t) primary + 1;
      news->primary_hint_term = group_monitor_status (monitor, (uint32_t) primary)->term;
    }
  return news;
}

static void
reply (OwnerJob *job, Frame *frame)
{
  if (job->orphaned)
    frame_free (frame);
  else
    worker_reply (job->group->worker, job->origin, frame, worker_lane (job->execute->priority));
}

static void
send_data (OwnerJob *job)
{
  Frame *frame;

  if (job->response->len == 0)
    return;
  frame = frame_new (PERIDOTSTEP__FRAME__BODY_DATA);
  frame->data->request = job->execute->request;
  frame->data->bytes.len = job->response->len;
  frame->data->bytes.data = g_memdup2 (job->response->data, job->response->len);
  job->sent_bytes += job->response->len;
  g_byte_array_set_size (job->response, 0);
  reply (job, frame);
}

static Frame *
make_done_frame (const OwnerJob *job)
{
  Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_DONE);

  frame->done->request = job->execute->request;
  frame->done->instance = job->instance->index;
  frame->done->news = make_instance_news (job);
  return frame;
}

static void
finish_refused (OwnerJob *job, RefusalKind refusal)
{
  Frame *frame = make_done_frame (job);

  trace_job (job, "refused", refusal);
  frame->done->refusal = refusal;
  reply (job, frame);
  talloc_free (job);
}

static void
finish_failed (OwnerJob *job, FailureKind failure)
{
  Frame *frame = make_done_frame (job);

  trace_job (job, "failed", failure);
  frame->done->failure = (uint32_t) failure + 1;
  reply (job, frame);
  talloc_free (job);
}

static void
finish_answered (OwnerJob *job)
{
  Frame *frame;

  trace_job (job, "answered", job->failed);
  send_data (job);
  frame = make_done_frame (job);
  frame->done->failed = job->failed;
  frame->done->transaction_status = (uint32_t) job->status;
  frame->done->token = frame_token_new (job->position);
  frame->done->outcome = job->outcome;
  reply (job, frame);
  talloc_free (job);
}

/* Why the job can't start on its instance now; %REFUSAL_NONE if it can. */
static RefusalKind
primary_refusal (const OwnerJob *job)
{
  GroupMonitor *monitor = job->group->monitor;

  if (group_monitor_primary (monitor) != (int32_t) job->instance->index)
    return REFUSAL_NOT_PRIMARY;
  if (!group_monitor_is_responding (monitor, job->instance->index))
    return REFUSAL_BACKEND_DOWN;
  if (!group_monitor_has_majority (monitor))
    return REFUSAL_NO_MAJORITY;
  return REFUSAL_NONE;
}

static RefusalKind
replica_refusal (const OwnerJob *job)
{
  GroupMonitor *monitor = job->group->monitor;
  const InstanceStatus *status = group_monitor_status (monitor, job->instance->index);
  int64_t age_ms;

  if (job->group->service->instances[job->instance->index].leaving)
    return REFUSAL_DRAINING;
  if (!group_monitor_is_responding (monitor, job->instance->index))
    return REFUSAL_BACKEND_DOWN;
  if (status->role != ROLE_REPLICA)
    return REFUSAL_BEHIND;
  if (!session_token_covers (status->applied, frame_token (job->execute->need)))
    return REFUSAL_BEHIND;
  age_ms = group_monitor_age_ms (monitor, status->applied);
  if (age_ms < 0 || age_ms > job->execute->max_age_ms)
    return REFUSAL_BEHIND;
  return REFUSAL_NONE;
}

static bool
is_on_primary (const OwnerJob *job)
{
  return group_monitor_primary (job->group->monitor) == (int32_t) job->instance->index;
}

static RefusalKind
start_refusal (const OwnerJob *job)
{
  if (job->transaction != NULL)
    return REFUSAL_NONE;
  if (requires_primary (job) || is_on_primary (job))
    return primary_refusal (job);
  return replica_refusal (job);
}

static bool
monitor_is_warming_up (const OwnerJob *job, int64_t now_ms)
{
  return now_ms - job->group->created_ms < MONITOR_WARMUP_MS;
}

static void
enqueue (OwnerJob *job, int64_t now_ms)
{
  job->state = JOB_QUEUED;
  if (traced_queue_push (job->instance->queue, &job->item, job->execute->request & INT64_MAX,
                         now_ms))
    {
      group_owner_dispatch (job->group);
      return;
    }
  counter_add (job->group->worker->counters, COUNTER_QUEUE_REFUSED, 1);
  finish_refused (job, REFUSAL_OVERLOAD);
}

static void
wait_for_catchup (OwnerJob *job)
{
  if (job->state != JOB_WAITING_CATCHUP)
    g_queue_push_tail (&job->instance->waiting_catchup, job);
  job->state = JOB_WAITING_CATCHUP;
  if (!requires_primary (job))
    group_monitor_await_applied (job->group->monitor, job->instance->index,
                                 frame_token (job->execute->need));
}

static void
stop_waiting_for_catchup (OwnerJob *job)
{
  if (job->state == JOB_WAITING_CATCHUP)
    g_queue_remove (&job->instance->waiting_catchup, job);
}

static void
admit (OwnerJob *job)
{
  int64_t now_ms = clock_now_ms ();
  RefusalKind refusal = start_refusal (job);

  if (refusal == REFUSAL_NONE)
    {
      stop_waiting_for_catchup (job);
      enqueue (job, now_ms);
      return;
    }
  // A replica may catch up, and a new monitor may receive a status, within a short time.
  if ((refusal == REFUSAL_BEHIND && now_ms < job->catchup_until_ms)
      || (refusal != REFUSAL_DRAINING && monitor_is_warming_up (job, now_ms)))
    {
      wait_for_catchup (job);
      return;
    }
  stop_waiting_for_catchup (job);
  finish_refused (job, refusal);
}

void
owner_job_recheck (OwnerJob *job)
{
  admit (job);
}

static void
release_slot (OwnerJob *job)
{
  int64_t service_us = clock_now_us () - job->started_us;

  if (job->started_us == 0 || job->cancelled_ms != 0)
    traced_queue_abort (job->instance->queue, job->item.priority);
  else
    traced_queue_finish (job->instance->queue, job->item.priority, service_us);
}

static bool
send_statement (OwnerJob *job)
{
  BackendConnection *backend = backend_pool_connection (job->connection);
  JobStatement *statement = job_statement_new (job->execute);
  bool sent;

  job->state = JOB_RUNNING;
  if (job->execute->operation == PERIDOTSTEP__OPERATION__DESCRIBE)
    sent = backend_connection_describe (backend, job_statement_get (statement), job->response);
  else
    sent = backend_connection_run (backend, job_statement_get (statement), job->response);
  job_statement_free (statement);
  return sent;
}

static bool
send_begin (OwnerJob *job)
{
  const BackendStatement statement = { .sql = job->execute->begin_sql };

  job->state = JOB_BEGINNING;
  return backend_connection_run (backend_pool_connection (job->connection), &statement,
                                 job->response);
}

static bool
continues_transaction (const OwnerJob *job)
{
  return job->execute->in_transaction && job->execute->begin_sql[0] == '\0';
}

static bool
starts_transaction (const OwnerJob *job)
{
  return job->execute->in_transaction && job->transaction == NULL;
}

static void on_lost (void *data);

static void
start_statement (OwnerJob *job)
{
  bool sent;

  job->started_us = clock_now_us ();
  trace_job (job, "started", 0);
  if (is_on_primary (job) && job->execute->operation != PERIDOTSTEP__OPERATION__ROLLBACK)
    group_monitor_confirm (job->group->monitor);
  sent = starts_transaction (job) ? send_begin (job) : send_statement (job);
  if (!sent)
    {
      backend_pool_drop (job->connection);
      on_lost (job);
    }
}

static GatedResponse
make_gated_response (OwnerJob *job, SessionToken position)
{
  // A primary that reaches no majority for suspect_after_ms may be replaced. The response is not
  // held longer than that, so that the outcome can be resolved on the next primary.
  int64_t suspect_ms = clock_now_ms () + job->group->service->suspect_after_ms;
  GatedResponse gated = {
    .position = position,
    .expires_ms = MIN (job->deadline_ms + GATE_GRACE_MS, suspect_ms),
    .data = job,
  };

  return gated;
}

static void
hold_response (OwnerJob *job)
{
  GatedResponse gated = make_gated_response (job, job->position);
  int64_t age_us = job->execute->read_only ? job->execute->max_age_ms * 1000 : 0;

  job->state = JOB_GATED;
  trace_job (job, "gated", 0);
  gated.confirm_after_us = MAX (job->arrived_us - age_us, 1);
  if (job->execute->operation == PERIDOTSTEP__OPERATION__COMMIT)
    gated.confirm_after_us = 0;
  counter_add (job->group->worker->counters, COUNTER_COMMITS_GATED, 1);
  group_monitor_hold (job->group->monitor, (int32_t) job->instance->index, &gated);
}

static bool
ends_transaction (const OwnerJob *job)
{
  return job->execute->operation == PERIDOTSTEP__OPERATION__COMMIT
         || job->execute->operation == PERIDOTSTEP__OPERATION__ROLLBACK;
}

/* Returns the connection, leaves it to its open transaction, or closes it with the transaction. */
static void
release_connection (OwnerJob *job)
{
  GroupOwner *group = job->group;
  OwnerTransaction *transaction = job->transaction;

  if (transaction == NULL)
    {
      backend_pool_release (job->connection);
      job->connection = NULL;
      return;
    }
  job->connection = NULL;
  transaction->job = NULL;
  transaction->used_ms = clock_now_ms ();
  if (transaction->rollback_pending)
    group_owner_drop_transaction (group, transaction);
  else if (job->status == 'I')
    backend_pool_release (group_owner_close_transaction (group, transaction));
  job->transaction = NULL;
}

static bool
needs_gate (const OwnerJob *job)
{
  if (job->failed || job->execute->operation == PERIDOTSTEP__OPERATION__ROLLBACK
      || job->execute->operation == PERIDOTSTEP__OPERATION__DESCRIBE)
    return false;
  // On a replica the position was checked before the statement started.
  return is_on_primary (job) || requires_primary (job) || job->execute->in_transaction;
}

/* A write that was rejected as read-only: the instance's term as the primary has ended. */
static bool
was_demoted (const OwnerJob *job)
{
  return job->failed && !job->execute->read_only && strcmp (job->sqlstate, SQLSTATE_READ_ONLY) == 0;
}

static void
finish_demoted (OwnerJob *job)
{
  OwnerTransaction *transaction = group_owner_transaction (job->group, job->execute->session);

  if (transaction != NULL)
    group_owner_drop_transaction (job->group, transaction);
  finish_refused (job, !ends_transaction (job) && !continues_transaction (job)
                           ? REFUSAL_NOT_PRIMARY
                           : REFUSAL_ROLLED_BACK);
}

/* Whether a read ran at a position before the one that its session requires. Such a read is not
 * answered, whichever instance it ran on. */
static bool
is_stale_read (const OwnerJob *job)
{
  if (job->failed || job->execute->in_transaction
      || job->execute->operation != PERIDOTSTEP__OPERATION__RUN)
    return false;
  return !session_token_covers (job->position, frame_token (job->execute->need));
}

static void
statement_ended (OwnerJob *job, const BackendEvent *event)
{
  GroupOwner *group = job->group;

  job->failed = event->failed;
  g_strlcpy (job->sqlstate, event->sqlstate, sizeof job->sqlstate);
  job->status = event->status;
  job->position = event->position;
  group_monitor_applied (group->monitor, job->instance->index, event->position);
  release_slot (job);
  release_connection (job);
  if (was_demoted (job))
    finish_demoted (job);
  else if (is_stale_read (job))
    finish_failed (job, FAILURE_SUPERSEDED);
  else if (needs_gate (job))
    hold_response (job);
  else
    finish_answered (job);
  group_owner_dispatch (group);
}

static void
begin_ended (OwnerJob *job, const BackendEvent *event)
{
  GroupOwner *group = job->group;

  g_byte_array_set_size (job->response, 0);
  if (event->failed || event->status != 'T' || job->cancelled_ms != 0)
    {
      release_slot (job);
      backend_pool_drop (job->connection);
      job->connection = NULL;
      finish_refused (job, REFUSAL_ROLLED_BACK);
      group_owner_dispatch (group);
      return;
    }
  job->transaction = group_owner_open_transaction (job->instance, job->execute->session,
                                                   job->origin, job->connection);
  job->transaction->job = job;
  if (!send_statement (job))
    {
      backend_pool_drop (job->connection);
      on_lost (job);
    }
}

static void
stream_response (OwnerJob *job)
{
  if (!job->streaming && job->response->len < BUFFERED_RESPONSE_BYTES)
    return;
  job->streaming = true;
  send_data (job);
  if (job->sent_bytes - job->credited_bytes >= STREAM_WINDOW_BYTES && !job->orphaned)
    backend_connection_pause (backend_pool_connection (job->connection), true);
}

static void
on_event (void *data, const BackendEvent *event)
{
  OwnerJob *job = data;

  switch (event->kind)
    {
    case BACKEND_DATA:
      if (job->state == JOB_RUNNING)
        stream_response (job);
      return;
    case BACKEND_IDLE:
      if (job->state == JOB_BEGINNING)
        begin_ended (job, event);
      else
        statement_ended (job, event);
      return;
    default:
      return;
    }
}

/* The connection was lost while the job was using it. */
static void
on_lost (void *data)
{
  OwnerJob *job = data;
  GroupOwner *group = job->group;
  bool was_running = job->state == JOB_RUNNING;

  release_slot (job);
  job->connection = NULL;
  if (job->transaction != NULL)
    {
      OwnerTransaction *transaction = job->transaction;

      job->transaction = NULL;
      transaction->job = NULL;
      group_owner_close_transaction (group, transaction);
    }
  if (was_running)
    finish_failed (job, FAILURE_BACKEND_LOST);
  else
    finish_refused (job, REFUSAL_BACKEND_DOWN);
  group_owner_dispatch (group);
}

bool
owner_job_acquire_connection (OwnerJob *job)
{
  const PooledCallbacks callbacks = { on_event, on_lost, job };
  bool read_only = job->execute->read_only || !is_on_primary (job);

  job->connection = backend_pool_acquire (
      job->instance->pool, job->item.priority == PRIORITY_URGENT, read_only, &callbacks);
  if (job->connection == NULL)
    return false;
  start_statement (job);
  return true;
}

static void
run_in_transaction (OwnerJob *job)
{
  job->connection = job->transaction->connection;
  start_statement (job);
}

void
owner_job_run (OwnerJob *job)
{
  RefusalKind refusal = start_refusal (job);

  if (refusal != REFUSAL_NONE)
    {
      traced_queue_abort (job->instance->queue, job->item.priority);
      finish_refused (job, refusal);
      return;
    }
  if (job->transaction != NULL)
    {
      run_in_transaction (job);
      return;
    }
  job->state = JOB_WAITING_CONNECTION;
  if (!owner_job_acquire_connection (job))
    g_queue_push_tail (&job->instance->waiting_connection, job);
}

void
owner_job_requeue (OwnerJob *job)
{
  RefusalKind refusal = start_refusal (job);

  if (job->state == JOB_WAITING_CONNECTION)
    release_slot (job);
  if (refusal == REFUSAL_NONE)
    enqueue (job, clock_now_ms ());
  else
    finish_refused (job, refusal);
}

void
owner_job_expire (OwnerJob *job)
{
  counter_add (job->group->worker->counters, COUNTER_QUEUE_DEADLINE, 1);
  finish_refused (job, REFUSAL_DEADLINE);
}

static void
forward_event (void *data, const BackendEvent *event)
{
  OwnerTransaction *transaction = data;

  if (transaction->job != NULL)
    on_event (transaction->job, event);
}

static void
forward_lost (void *data)
{
  OwnerTransaction *transaction = data;

  if (transaction->job != NULL)
    on_lost (transaction->job);
  else
    group_owner_close_transaction (transaction->instance->group, transaction);
}

static void
start_sample (OwnerJob *job)
{
  if (!group_monitor_has_majority (job->group->monitor)
      && !monitor_is_warming_up (job, clock_now_ms ()))
    {
      finish_refused (job, REFUSAL_NO_MAJORITY);
      return;
    }
  job->state = JOB_SAMPLING;
  group_monitor_sample (job->group->monitor, job);
}

static void
start_in_transaction (OwnerJob *job)
{
  OwnerTransaction *transaction = group_owner_transaction (job->group, job->execute->session);

  if (transaction == NULL || transaction->job != NULL)
    {
      finish_refused (job, REFUSAL_ROLLED_BACK);
      return;
    }
  job->transaction = transaction;
  job->instance = transaction->instance;
  transaction->job = job;
  job->item.front = true;
  // A fairness key of its own: with the caller's key the statement would queue behind the caller's
  // other statements.
  job->item.source = job->execute->session;
  enqueue (job, clock_now_ms ());
}

static void
route_job (OwnerJob *job)
{
  switch (job->execute->operation)
    {
    case PERIDOTSTEP__OPERATION__SAMPLE:
      start_sample (job);
      return;
    case PERIDOTSTEP__OPERATION__RESOLVE:
      job->state = JOB_RESOLVING;
      group_monitor_resolve (job->group->monitor, job->execute->transaction_id, job);
      return;
    default:
      break;
    }
  if (ends_transaction (job)
      || (job->execute->in_transaction && job->execute->begin_sql[0] == '\0'))
    start_in_transaction (job);
  else
    admit (job);
}

/* The id is inserted into SQL text, so it must not contain anything that ends the comment or the
 * literal. */
static bool
is_valid_transaction_id (const char *id)
{
  return id[strspn (id, "0123456789abcdefghijklmnopqrstuvwxyz-")] == '\0';
}

void
owner_job_start (GroupOwner *group, Origin origin, Frame *frame)
{
  const Peridotstep__Execute *execute = frame->execute;
  OwnerJob *job = talloc_zero (group, OwnerJob);
  int64_t now_ms = clock_now_ms ();

  job->group = group;
  job->origin = origin;
  job->frame = frame;
  job->execute = execute;
  job->instance = &group->instances[MIN (execute->instance, group->service->instance_count - 1)];
  job->arrived_us = clock_now_us ();
  job->deadline_ms = now_ms + execute->deadline_ms;
  job->catchup_until_ms = now_ms + MIN (group->service->replica_wait_ms, execute->deadline_ms / 2);
  job->response = g_byte_array_new ();
  job->status = 'I';
  job->item.priority = (Priority) MIN (execute->priority, PRIORITY_COUNT - 1);
  job->item.source = execute->source;
  job->item.deadline_ms = job->deadline_ms;
  job->item.data = job;
  g_hash_table_insert (group->jobs, (void *) &execute->request, job);
  daemon_add_jobs (group->worker->daemon, 1);
  talloc_set_destructor (job, job_destroy);
  group->used_ms = now_ms;
  if (execute->instance >= group->service->instance_count
      || !is_valid_transaction_id (execute->transaction_id))
    finish_refused (job, REFUSAL_NOT_SUPPORTED);
  else
    route_job (job);
}

void
owner_job_credit (OwnerJob *job, uint32_t bytes)
{
  job->credited_bytes += bytes;
  if (job->state == JOB_RUNNING && job->connection != NULL
      && job->sent_bytes - job->credited_bytes < STREAM_WINDOW_BYTES)
    backend_connection_pause (backend_pool_connection (job->connection), false);
}

void
owner_job_cancel (OwnerJob *job)
{
  switch (job->state)
    {
    case JOB_WAITING_CATCHUP:
      stop_waiting_for_catchup (job);
      finish_refused (job, REFUSAL_CANCELLED);
      return;
    case JOB_QUEUED:
      traced_queue_remove (job->instance->queue, &job->item);
      finish_refused (job, REFUSAL_CANCELLED);
      return;
    case JOB_WAITING_CONNECTION:
      g_queue_remove (&job->instance->waiting_connection, job);
      release_slot (job);
      finish_refused (job, REFUSAL_CANCELLED);
      return;
    case JOB_BEGINNING:
    case JOB_RUNNING:
      if (job->cancelled_ms != 0)
        return;
      job->cancelled_ms = clock_now_ms ();
      backend_connection_pause (backend_pool_connection (job->connection), false);
      backend_connection_cancel (backend_pool_connection (job->connection));
      return;
    case JOB_NEW:
    case JOB_GATED:
    case JOB_SAMPLING:
    case JOB_RESOLVING:
      return;
    }
}

void
owner_job_orphan (OwnerJob *job)
{
  job->orphaned = true;
  // A running write is left to finish; its outcome can be looked up.
  if (job->state == JOB_RUNNING && !job->execute->read_only)
    return;
  owner_job_cancel (job);
}

Origin
owner_job_origin (const OwnerJob *job)
{
  return job->origin;
}

void
owner_job_tick (OwnerJob *job, int64_t now_ms)
{
  switch (job->state)
    {
    case JOB_BEGINNING:
    case JOB_RUNNING:
      if (job->cancelled_ms == 0 || now_ms - job->cancelled_ms < CANCEL_TIMEOUT_MS)
        return;
      backend_pool_drop (job->connection);
      on_lost (job);
      return;
    case JOB_SAMPLING:
      if (now_ms < job->deadline_ms)
        return;
      group_monitor_remove_waiter (job->group->monitor, job);
      finish_refused (job, REFUSAL_DEADLINE);
      return;
    default:
      return;
    }
}

void
owner_job_released (OwnerJob *job, GateResult result)
{
  switch (result)
    {
    case GATE_RELEASED:
      finish_answered (job);
      return;
    case GATE_SUPERSEDED:
      finish_failed (job, FAILURE_SUPERSEDED);
      return;
    case GATE_EXPIRED:
      finish_failed (job, FAILURE_NO_MAJORITY);
      return;
    }
}

void
owner_job_sampled (OwnerJob *job, SessionToken position)
{
  job->position = position;
  finish_answered (job);
}

void
owner_job_resolved (OwnerJob *job, bool known, bool committed, SessionToken position)
{
  GatedResponse gated;

  if (!known)
    {
      finish_refused (job, REFUSAL_NOT_PRIMARY);
      return;
    }
  job->outcome = committed ? RESOLVED_COMMITTED : RESOLVED_ABORTED;
  job->position = position;
  job->state = JOB_GATED;
  gated = make_gated_response (job, position);
  // The response came from the current primary, which may not be the instance of the request.
  group_monitor_hold (job->group->monitor, -1, &gated);
}

const PooledCallbacks *
owner_job_transaction_callbacks (OwnerTransaction *transaction, PooledCallbacks *callbacks)
{
  *callbacks = (PooledCallbacks){ forward_event, forward_lost, transaction };
  return callbacks;
}
