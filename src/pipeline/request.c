#include "pipeline/request.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "pipeline/request-frame.h"
#include "pipeline/route.h"
#include "pipeline/traced-choice.h"

/* Time past the deadline for an owner to report it, before the owner counts as unresponsive. */
#define DEADLINE_GRACE_MS 400
/* Longest time spent on resolving an outcome. */
#define RESOLVE_TIMEOUT_MS 12000
#define RESOLVE_ATTEMPT_MS 1500
#define RESOLVE_RETRY_MS 50
/* Time for which an instance is skipped after a refusal. */
#define DOWN_REFUSAL_MS 200
#define BEHIND_REFUSAL_MS 5
#define DETAIL_BYTES 160
/* Requests that take longer are logged at debug level. */
#define SLOW_MS 1000
#define TRANSACTION_ID_BYTES 40
/* Time for which a host whose link was lost is skipped, unless the host view drops it earlier. */
#define AVOID_HOST_MS 1000

typedef enum
{
  PHASE_ROUTING,  /* not sent to an owner */
  PHASE_SENT,     /* sent to an owner */
  PHASE_RESOLVING /* its outcome is being looked up */
} Phase;

struct Request
{
  RequestTable *table;
  RequestOptions options;
  uint64_t id; /* of the current attempt */
  Frame *frame;
  ClassConfig class_config;
  bool read;
  int64_t started_ms;
  int64_t attempt_ms;
  int64_t deadline_ms;
  Phase phase;
  bool responding;
  bool progressed; /* part of the response arrived since the last check */
  bool abandoned;
  bool cancelled;
  uint32_t tried; /* bit set of instances */
  uint32_t attempts;
  uint32_t unresolved_attempts;
  char unresolved_id[TRANSACTION_ID_BYTES];
  Host target;
  uint32_t instance;
  int64_t resolve_until_ms;
  uint32_t resolve_attempts;
  RefusalKind last_refusal;
  char detail[DETAIL_BYTES];
  struct tevent_timer *timer;
  Request **handle;
};

struct RequestTable
{
  Worker *worker;
  GHashTable *by_id;
};

static void fail (Request *request, FailureKind failure);
static void send_resolve (Request *request);

static int
table_destroy (RequestTable *table)
{
  g_hash_table_destroy (table->by_id);
  return 0;
}

RequestTable *
request_table_new (TALLOC_CTX *parent, Worker *worker)
{
  RequestTable *table = talloc_zero (parent, RequestTable);

  table->worker = worker;
  table->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  talloc_set_destructor (table, table_destroy);
  return table;
}

static Worker *
request_worker (const Request *request)
{
  return request->table->worker;
}

static Session *
request_session (const Request *request)
{
  return request->options.session;
}

static int
request_destroy (Request *request)
{
  if (request->id != 0)
    g_hash_table_remove (request->table->by_id, &request->id);
  frame_free (request->frame);
  return 0;
}

/* Each attempt has an id of its own, so that late responses to an earlier attempt are ignored. */
static void
renew_id (Request *request)
{
  if (request->id != 0)
    g_hash_table_remove (request->table->by_id, &request->id);
  request->id = worker_next_id (request_worker (request));
  g_hash_table_insert (request->table->by_id, &request->id, request);
}

static void
drop_id (Request *request)
{
  if (request->id != 0)
    g_hash_table_remove (request->table->by_id, &request->id);
  request->id = 0;
}

static ServiceRoute *
request_route (const Request *request)
{
  return route_find (request_worker (request), request->frame->execute->service);
}

static bool
is_pinned (const Request *request)
{
  return request->frame->execute->in_transaction && request_session (request)->pinned;
}

static void
count_outcome (const Request *request, const RequestOutcome *outcome)
{
  static const CounterId counters[] = {
    [VERDICT_RAN] = COUNTER_STATEMENTS_RAN,
    [VERDICT_NOT_RUN] = COUNTER_STATEMENTS_NOT_RUN,
    [VERDICT_MAY_HAVE_RUN] = COUNTER_STATEMENTS_IN_DOUBT,
  };

  counter_add (request_worker (request)->counters, counters[outcome->verdict], 1);
}

/* Logs the history of a slow request, at debug level only. */
static void
trace_slow (const Request *request, const RequestOutcome *outcome)
{
  int64_t took_ms = clock_now_ms () - request->started_ms;

  if (took_ms < SLOW_MS || !log_enabled (LOG_LEVEL_DEBUG))
    return;
  log_event (LOG_LEVEL_DEBUG, "slow_request",
             "service=%s class=%s kind=%d took_ms=%" G_GINT64_FORMAT
             " attempts=%u lookups=%u last_refusal=%s refusal=%s last_host=%s last_instance=%u "
             "last_attempt_ms=%" G_GINT64_FORMAT,
             request->frame->execute->service, request->class_config.name, request->options.kind,
             took_ms, request->attempts, request->resolve_attempts,
             refusal_info (request->last_refusal)->name, refusal_info (outcome->refusal)->name,
             request->target.id, request->instance, clock_now_ms () - request->attempt_ms);
}

static void
finish (Request *request, RequestOutcome *outcome)
{
  RequestOptions options = request->options;
  bool abandoned = request->abandoned;
  char detail[DETAIL_BYTES];

  count_outcome (request, outcome);
  trace_slow (request, outcome);
  g_strlcpy (detail, request->detail, sizeof detail);
  outcome->detail = detail;
  if (request->handle != NULL)
    *request->handle = NULL;
  talloc_free (request);
  if (!abandoned)
    options.done (options.user, outcome);
  outcome->detail = "";
}

static void
finish_refused (Request *request, RefusalKind refusal)
{
  RequestOutcome outcome = { .refusal = refusal, .transaction_status = 'I' };

  outcome.verdict = refusal_info (refusal)->verdict;
  finish (request, &outcome);
}

/* Reports the last refusal of an owner if there is one: it is more specific than the deadline. */
static void
finish_not_run (Request *request)
{
  RefusalKind refusal = request->last_refusal;

  if (refusal == REFUSAL_NONE || refusal_info (refusal)->verdict != VERDICT_NOT_RUN)
    refusal = request->frame->execute->in_transaction ? REFUSAL_ROLLED_BACK : REFUSAL_DEADLINE;
  finish_refused (request, refusal);
}

static void
set_timer (Request *request, int64_t delay_ms, tevent_timer_handler_t handler)
{
  delay_ms = MAX (delay_ms, 0);
  TALLOC_FREE (request->timer);
  request->timer
      = tevent_add_timer (request_worker (request)->events, request,
                          tevent_timeval_current_ofs ((uint32_t) (delay_ms / 1000),
                                                      (uint32_t) (delay_ms % 1000) * 1000),
                          handler, request);
}

static FrameLane
request_lane (const Request *request)
{
  return worker_lane (request->frame->execute->priority);
}

void
request_end_transaction (Worker *worker, const Host *host, const char *service, uint64_t key,
                         FrameLane lane)
{
  Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_SESSION_END);

  frame->session_end->session = key;
  frame->session_end->service = strdup (service);
  worker_send (worker, host, frame, lane);
}

/* Ends a transaction that this attempt may have opened at the owner. */
static void
end_attempted_transaction (const Request *request)
{
  const Peridotstep__Execute *execute = request->frame->execute;

  if (request->phase != PHASE_SENT || !execute->in_transaction || is_pinned (request))
    return;
  request_end_transaction (request_worker (request), &request->target, execute->service,
                           execute->session, request_lane (request));
}

/* Uses the lane of the request, so that the cancellation can't overtake it. */
static void
send_cancel (const Request *request)
{
  Frame *frame;

  if (request->phase != PHASE_SENT || request->id == 0)
    return;
  frame = frame_new (PERIDOTSTEP__FRAME__BODY_CANCEL);
  frame->cancel->request = request->id;
  frame->cancel->service = strdup (request->frame->execute->service);
  worker_send (request_worker (request), &request->target, frame, request_lane (request));
}

static void
on_deadline (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
             void *data)
{
  Request *request = data;

  request->timer = NULL;
  // A response that has started may continue past the deadline while it makes progress.
  if (request->phase == PHASE_SENT && request->progressed)
    {
      request->progressed = false;
      set_timer (request, request->class_config.deadline_ms, on_deadline);
      return;
    }
  if (request->phase == PHASE_SENT)
    {
      send_cancel (request);
      fail (request, FAILURE_DEADLINE);
      return;
    }
  finish_not_run (request);
}

static bool
needs_sample (const Request *request)
{
  const Session *session = request_session (request);

  return request->read && request->class_config.max_age_ms > 0 && !session->token_known
         && !request->frame->execute->in_transaction;
}

static Trace *
request_trace (const Request *request)
{
  return daemon_trace (request_worker (request)->daemon);
}

static int
choose (const Request *request, ServiceRoute *route, bool read)
{
  const ChoiceInput input = {
    .read = read,
    .need = { request_session (request)->token, request->class_config.max_age_ms },
    .tried = request->tried,
    .now_ms = clock_now_ms (),
    .count = route_config (route)->instance_count,
    .views = route_views (route),
  };

  return traced_choice (request_trace (request), &input);
}

static int
choose_instance (const Request *request, ServiceRoute *route)
{
  return choose (request, route, request->read);
}

static void
new_transaction_id (Request *request)
{
  char id[TRANSACTION_ID_BYTES];

  if (request->options.kind != REQUEST_WRITE && request->options.kind != REQUEST_COMMIT)
    return;
  g_snprintf (id, sizeof id, "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x",
              request_session (request)->id, worker_next_id (request_worker (request)));
  request_frame_set_transaction_id (request->frame, id);
}

static void
send_to (Request *request, const Host *host, uint32_t instance)
{
  Peridotstep__Execute *execute = request->frame->execute;
  Frame *copy;

  request->target = *host;
  request->instance = instance;
  request->phase = PHASE_SENT;
  request->attempts++;
  request->attempt_ms = clock_now_ms ();
  renew_id (request);
  new_transaction_id (request);
  execute->request = request->id;
  execute->instance = instance;
  execute->session = is_pinned (request) ? request_session (request)->transaction_key
                                         : worker_next_id (request_worker (request));
  execute->deadline_ms = (uint32_t) MAX (request->deadline_ms - clock_now_ms (), 1);
  execute->need->term = request_session (request)->token.term;
  execute->need->position = request_session (request)->token.position;
  copy = frame_clone (request->frame);
  worker_send (request_worker (request), host, copy, request_lane (request));
}

static void
wait_for_primary (Request *request, ServiceRoute *route)
{
  request->tried = 0;
  route_wait_primary (route, request);
}

void
request_dispatch (Request *request)
{
  ServiceRoute *route = request_route (request);
  Host host;
  int instance;

  if (route == NULL)
    {
      finish_refused (request, REFUSAL_UNKNOWN_SERVICE);
      return;
    }
  if (request->phase == PHASE_RESOLVING)
    {
      send_resolve (request);
      return;
    }
  if (is_pinned (request))
    {
      const Session *session = request_session (request);

      send_to (request, &session->pinned_host, session->pinned_instance);
      return;
    }
  if (needs_sample (request))
    {
      route_wait_sample (route, request);
      return;
    }
  instance = choose_instance (request, route);
  if (instance < 0 || !route_owner (route, (uint32_t) instance, 0, &host))
    wait_for_primary (request, route);
  else
    send_to (request, &host, (uint32_t) instance);
}

void
request_sampled (Request *request, SessionToken token)
{
  Session *session = request_session (request);

  session_token_advance (&session->token, token);
  session->token_known = true;
  request_dispatch (request);
}

void
request_start (Worker *worker, const RequestOptions *options, Request **handle)
{
  Request *request = talloc_zero (worker->requests, Request);

  request->table = worker->requests;
  request->options = *options;
  request->class_config = *options->class_config;
  request->options.class_config = &request->class_config;
  request->read = !options->class_config->write;
  request->frame = request_frame_new (options);
  request->started_ms = clock_now_ms ();
  request->deadline_ms = request->started_ms + options->class_config->deadline_ms;
  request->handle = handle;
  *handle = request;
  talloc_set_destructor (request, request_destroy);
  counter_add (worker->counters, COUNTER_STATEMENTS, 1);
  if (!daemon_admits (worker->daemon) && !is_pinned (request))
    {
      finish_refused (request, REFUSAL_ISOLATED);
      return;
    }
  set_timer (request, options->class_config->deadline_ms + DEADLINE_GRACE_MS, on_deadline);
  request_dispatch (request);
}

void
request_credit (Request *request, uint32_t bytes)
{
  Frame *frame;

  if (request->phase != PHASE_SENT)
    return;
  frame = frame_new (PERIDOTSTEP__FRAME__BODY_CREDIT);
  frame->credit->request = request->id;
  frame->credit->bytes = bytes;
  frame->credit->service = strdup (request->frame->execute->service);
  worker_send (request_worker (request), &request->target, frame, FRAME_LANE_CONTROL);
}

void
request_cancel (Request *request)
{
  ServiceRoute *route;

  request->cancelled = true;
  if (request->phase == PHASE_SENT)
    {
      send_cancel (request);
      return;
    }
  if (request->phase != PHASE_ROUTING)
    return;
  route = request_route (request);
  if (route != NULL)
    route_remove_waiter (route, request);
  finish_refused (request, REFUSAL_CANCELLED);
}

bool
request_is_sent (const Request *request)
{
  return request->phase != PHASE_ROUTING || request->unresolved_attempts > 0;
}

void
request_abandon (Request *request)
{
  ServiceRoute *route = request_route (request);

  send_cancel (request);
  end_attempted_transaction (request);
  if (route != NULL)
    route_remove_waiter (route, request);
  if (request->handle != NULL)
    *request->handle = NULL;
  talloc_free (request);
}

static RequestState
request_state (const Request *request)
{
  const Session *session = request_session (request);
  RequestState state = {
    .kind = request->options.kind,
    .step = REQUEST_RECEIVED,
    .idempotent = request->class_config.idempotent,
    .first_in_transaction = session->transaction == TRANSACTION_BEGUN && !session->has_run,
    .retryable = refusal_info (request->last_refusal)->retryable,
    .time_left = clock_now_ms () < request->deadline_ms && !request->cancelled,
    .unresolved_attempts = request->unresolved_attempts,
  };

  if (request->responding)
    state.step = REQUEST_RESPONDING;
  else if (request->phase == PHASE_SENT)
    state.step = REQUEST_FORWARDED;
  return state;
}

static void
on_resolve_timer (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
                  void *data)
{
  Request *request = data;

  request->timer = NULL;
  send_resolve (request);
}

/* Sends the look-up to the owner of the primary and to the next host in ownership order in turn,
 * since the owner may be the host that stopped responding. */
static void
send_resolve (Request *request)
{
  ServiceRoute *route = request_route (request);
  int64_t now_ms = clock_now_ms ();
  Frame *frame;
  Host host;
  int instance = -1;

  drop_id (request);
  if (route != NULL)
    route_remove_waiter (route, request);
  if (now_ms >= request->resolve_until_ms || route == NULL)
    {
      finish_refused (request, REFUSAL_IN_DOUBT);
      return;
    }
  instance = choose (request, route, false);
  if (instance < 0
      || !route_owner (route, (uint32_t) instance, request->resolve_attempts % 2, &host))
    {
      request->tried = 0;
      request->resolve_attempts++;
      set_timer (request, RESOLVE_RETRY_MS, on_resolve_timer);
      return;
    }
  renew_id (request);
  request->target = host;
  request->instance = (uint32_t) instance;
  request->resolve_attempts++;
  frame
      = request_frame_resolve (request->frame, request->id, request->instance, RESOLVE_ATTEMPT_MS);
  set_timer (request, RESOLVE_ATTEMPT_MS, on_resolve_timer);
  worker_send (request_worker (request), &host, frame, FRAME_LANE_URGENT);
}

/* Looks up the attempt that just failed or, if that one was refused, the single unresolved
 * attempt before it. */
static void
start_resolve (Request *request, FailureKind failure)
{
  if (failure == FAILURE_REFUSED && request->unresolved_attempts == 1)
    {
      request->unresolved_attempts = 0;
      request_frame_set_transaction_id (request->frame, request->unresolved_id);
    }
  request->phase = PHASE_RESOLVING;
  request->resolve_until_ms = clock_now_ms () + RESOLVE_TIMEOUT_MS;
  request->tried = 0;
  // Starts with the owner of the primary; route_owner() skips it if its link was lost.
  request->resolve_attempts = 0;
  counter_add (request_worker (request)->counters, COUNTER_COMMITS_RESOLVED, 1);
  send_resolve (request);
}

/* Records a write attempt whose outcome is unknown when the write is sent again. */
static void
record_unresolved_attempt (Request *request, FailureKind failure)
{
  if (failure == FAILURE_REFUSED || request->options.kind != REQUEST_WRITE)
    return;
  request->unresolved_attempts++;
  g_strlcpy (request->unresolved_id, request->frame->execute->transaction_id,
             sizeof request->unresolved_id);
}

static void
retry (Request *request)
{
  ServiceRoute *route = request_route (request);

  request->phase = PHASE_ROUTING;
  drop_id (request);
  counter_add (request_worker (request)->counters, COUNTER_RETRIES, 1);
  if (route == NULL || request->tried == 0)
    {
      request_dispatch (request);
      return;
    }
  if (choose_instance (request, route) < 0)
    wait_for_primary (request, route);
  else
    request_dispatch (request);
}

/* A retry after work may have started consumes retry budget; a redirect does not. */
static bool
may_retry (Request *request, FailureKind failure)
{
  if (failure == FAILURE_REFUSED)
    return true;
  if (retry_budget_take (&request_worker (request)->budget))
    return true;
  counter_add (request_worker (request)->counters, COUNTER_RETRIES_DENIED, 1);
  return false;
}

static void
fail (Request *request, FailureKind failure)
{
  RequestState state = request_state (request);
  FailureAction action = traced_failure_action (request_trace (request), &state, failure);

  if (log_enabled (LOG_LEVEL_DEBUG))
    log_event (LOG_LEVEL_DEBUG, "request_failed", "failure=%d kind=%d step=%d action=%s", failure,
               state.kind, state.step, failure_action_name (action));
  if (failure != FAILURE_REFUSED)
    end_attempted_transaction (request);
  if (action == FAILURE_ACTION_RETRY && !may_retry (request, failure))
    action = state.kind == REQUEST_WRITE ? FAILURE_ACTION_RESOLVE : FAILURE_ACTION_NOT_RUN;
  switch (action)
    {
    case FAILURE_ACTION_RETRY:
      record_unresolved_attempt (request, failure);
      retry (request);
      return;
    case FAILURE_ACTION_NOT_RUN:
      finish_not_run (request);
      return;
    case FAILURE_ACTION_RESOLVE:
      start_resolve (request, failure);
      return;
    case FAILURE_ACTION_IN_DOUBT:
    case FAILURE_ACTION_DISCONNECT:
      finish_refused (request, REFUSAL_IN_DOUBT);
      return;
    }
}

static void
handle_resolved (Request *request, const Peridotstep__Done *done)
{
  ServiceRoute *route = request_route (request);
  RequestState state;
  Verdict verdict;

  if (done->refusal != REFUSAL_NONE || done->failure != 0 || done->outcome == RESOLVED_UNKNOWN)
    {
      if (route != NULL && done->refusal == REFUSAL_NOT_PRIMARY)
        request->tried |= 1u << request->instance;
      set_timer (request, RESOLVE_RETRY_MS, on_resolve_timer);
      return;
    }
  session_token_advance (&request_session (request)->token, frame_token (done->token));
  verdict
      = request_resolved_verdict ((ResolvedOutcome) done->outcome, request->unresolved_attempts);
  if (verdict == VERDICT_MAY_HAVE_RUN)
    {
      finish_refused (request, REFUSAL_IN_DOUBT);
      return;
    }
  if (verdict == VERDICT_RAN)
    {
      if (request->options.kind == REQUEST_COMMIT)
        finish_refused (request, REFUSAL_NONE);
      else
        finish_refused (request, REFUSAL_ANSWER_LOST);
      return;
    }
  // The attempt can never commit any more, so the write may be retried under another transaction
  // id.
  request->phase = PHASE_ROUTING;
  request->last_refusal = REFUSAL_NOT_PRIMARY;
  state = request_state (request);
  if (traced_failure_action (request_trace (request), &state, FAILURE_REFUSED)
          == FAILURE_ACTION_RETRY
      && may_retry (request, FAILURE_LINK_LOST))
    {
      set_timer (request, request->deadline_ms - clock_now_ms () + DEADLINE_GRACE_MS, on_deadline);
      request->tried = 0;
      retry (request);
      return;
    }
  finish_refused (request, REFUSAL_ROLLED_BACK);
}

static void
record_refusal (Request *request, ServiceRoute *route, RefusalKind refusal)
{
  int64_t now_ms = clock_now_ms ();

  request->last_refusal = refusal;
  request->tried |= 1u << request->instance;
  switch (refusal)
    {
    case REFUSAL_BACKEND_DOWN:
    case REFUSAL_DRAINING:
      route_refused (route, request->instance, now_ms + DOWN_REFUSAL_MS);
      return;
    case REFUSAL_BEHIND:
      route_refused (route, request->instance, now_ms + BEHIND_REFUSAL_MS);
      return;
    default:
      return;
    }
}

static void
count_read (const Request *request, const ServiceRoute *route, const Peridotstep__Done *done)
{
  Counters *counters = request_worker (request)->counters;

  if (!request->read || done->news == NULL)
    return;
  counter_add (counters, done->news->primary ? COUNTER_READS_PRIMARY : COUNTER_READS_REPLICA, 1);
  if (route_views (route)[request->instance].distance == DISTANCE_REMOTE)
    counter_add (counters, COUNTER_READS_REMOTE, 1);
}

static void
handle_answer (Request *request, ServiceRoute *route, const Peridotstep__Done *done)
{
  Session *session = request_session (request);
  Host target = request->target;
  RequestOutcome outcome = {
    .verdict = VERDICT_RAN,
    .failed = done->failed,
    .transaction_status = done->transaction_status == 0 ? 'I' : (char) done->transaction_status,
    .host = &target,
    .instance = request->instance,
    .transaction_key = request->frame->execute->session,
  };

  session_token_advance (&session->token, frame_token (done->token));
  // The position in a response from the primary covers every write acknowledged before.
  if (done->news != NULL && done->news->primary && done->token != NULL && done->token->term > 0)
    session->token_known = true;
  retry_budget_success (&request_worker (request)->budget);
  if (route != NULL)
    {
      count_read (request, route, done);
      route_wake_waiters (route);
    }
  finish (request, &outcome);
}

static void
handle_done (Request *request, const Peridotstep__Done *done)
{
  ServiceRoute *route = request_route (request);

  if (route != NULL)
    route_update_instance (route, request->instance, done->news);
  if (request->phase == PHASE_RESOLVING)
    {
      handle_resolved (request, done);
      return;
    }
  g_strlcpy (request->detail, done->detail, sizeof request->detail);
  if (done->failure != 0)
    {
      fail (request, (FailureKind) MIN (done->failure - 1, FAILURE_KIND_COUNT - 1));
      return;
    }
  if (done->refusal == REFUSAL_NONE)
    {
      handle_answer (request, route, done);
      return;
    }
  if (route != NULL)
    record_refusal (request, route, (RefusalKind) done->refusal);
  fail (request, FAILURE_REFUSED);
}

void
request_table_receive (RequestTable *table, Frame *frame)
{
  uint64_t id = 0;
  Request *request;

  if (frame->body_case == PERIDOTSTEP__FRAME__BODY_DATA)
    id = frame->data->request;
  else if (frame->body_case == PERIDOTSTEP__FRAME__BODY_DONE)
    id = frame->done->request;
  request = id == 0 ? NULL : g_hash_table_lookup (table->by_id, &id);
  if (request == NULL)
    {
      frame_free (frame);
      return;
    }
  if (frame->body_case == PERIDOTSTEP__FRAME__BODY_DONE)
    handle_done (request, frame->done);
  else if (request->phase == PHASE_SENT)
    {
      request->responding = true;
      request->progressed = true;
      request->options.data (request->options.user, frame->data->bytes.data,
                             frame->data->bytes.len);
    }
  frame_free (frame);
}

void
request_table_host_lost (RequestTable *table, const char *host_id)
{
  GHashTableIter iter;
  void *value;
  GPtrArray *lost = g_ptr_array_new ();

  route_avoid_host (table->worker, host_id, clock_now_ms () + AVOID_HOST_MS);
  g_hash_table_iter_init (&iter, table->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (strcmp (((Request *) value)->target.id, host_id) == 0)
      g_ptr_array_add (lost, (void *) (uintptr_t) ((Request *) value)->id);
  for (guint i = 0; i < lost->len; i++)
    {
      uint64_t id = (uintptr_t) lost->pdata[i];
      Request *request = g_hash_table_lookup (table->by_id, &id);

      if (request == NULL)
        continue;
      if (request->phase == PHASE_RESOLVING)
        send_resolve (request);
      else if (request->phase == PHASE_SENT)
        fail (request, FAILURE_LINK_LOST);
    }
  g_ptr_array_free (lost, true);
}
