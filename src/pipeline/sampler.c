#include "pipeline/sampler.h"

#include "pipeline/request.h"

#define SAMPLE_DEADLINE_MS 2000
#define RETRY_INTERVAL_US 25000

struct Sampler
{
  Worker *worker;
  Session session;
  Request *in_flight;
  GQueue waiting;  /* wait for the next sample */
  GQueue sampling; /* wait for the sample in flight */
};

static const ClassConfig sample_class = {
  .name = "sample",
  .priority = PRIORITY_URGENT,
  .idempotent = true,
  .max_age_ms = UINT32_MAX,
  .deadline_ms = SAMPLE_DEADLINE_MS,
};

static void start_sample (Sampler *sampler);

static void
requeue_sampling (Sampler *sampler)
{
  Request *request;

  while ((request = g_queue_pop_tail (&sampler->sampling)) != NULL)
    g_queue_push_head (&sampler->waiting, request);
}

static void
release_sampling (Sampler *sampler)
{
  const SessionToken token = sampler->session.token;
  Request *request;

  while ((request = g_queue_pop_head (&sampler->sampling)) != NULL)
    request_sampled (request, token);
}

static void
on_retry (struct tevent_context *events, struct tevent_timer *timer, struct timeval now, void *data)
{
  Sampler *sampler = data;

  if (!g_queue_is_empty (&sampler->waiting))
    start_sample (sampler);
}

static void
on_done (void *user, const RequestOutcome *outcome)
{
  Sampler *sampler = user;

  sampler->in_flight = NULL;
  if (outcome->refusal != REFUSAL_NONE)
    {
      requeue_sampling (sampler);
      tevent_add_timer (sampler->worker->events, sampler,
                        tevent_timeval_current_ofs (0, RETRY_INTERVAL_US), on_retry, sampler);
      return;
    }
  release_sampling (sampler);
  if (!g_queue_is_empty (&sampler->waiting))
    start_sample (sampler);
}

static void
on_data (void *user, const uint8_t *bytes, size_t length)
{
}

static void
start_sample (Sampler *sampler)
{
  const RequestOptions options = {
    .session = &sampler->session,
    .class_config = &sample_class,
    .kind = REQUEST_READ,
    .operation = PERIDOTSTEP__OPERATION__SAMPLE,
    .sql = "",
    .data = on_data,
    .done = on_done,
    .user = sampler,
  };
  GQueue waiting = sampler->waiting;

  if (sampler->in_flight != NULL)
    return;
  g_queue_init (&sampler->waiting);
  for (GList *l = waiting.head; l != NULL; l = l->next)
    g_queue_push_tail (&sampler->sampling, l->data);
  g_queue_clear (&waiting);
  counter_add (sampler->worker->counters, COUNTER_POSITION_SAMPLES, 1);
  request_start (sampler->worker, &options, &sampler->in_flight);
}

static int
sampler_destroy (Sampler *sampler)
{
  g_queue_clear (&sampler->waiting);
  g_queue_clear (&sampler->sampling);
  return 0;
}

Sampler *
sampler_new (TALLOC_CTX *parent, Worker *worker, const char *service)
{
  Sampler *sampler = talloc_zero (parent, Sampler);

  sampler->worker = worker;
  session_init (&sampler->session, worker_next_id (worker));
  sampler->session.token_known = true;
  g_strlcpy (sampler->session.service, service, sizeof sampler->session.service);
  g_queue_init (&sampler->waiting);
  g_queue_init (&sampler->sampling);
  talloc_set_destructor (sampler, sampler_destroy);
  return sampler;
}

void
sampler_wait (Sampler *sampler, Request *request)
{
  g_queue_push_tail (&sampler->waiting, request);
  start_sample (sampler);
}

void
sampler_remove_waiter (Sampler *sampler, Request *request)
{
  g_queue_remove (&sampler->waiting, request);
  g_queue_remove (&sampler->sampling, request);
}
