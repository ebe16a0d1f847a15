#include "load/load-run.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "adapter/backend-connection.h"
#include "adapter/pgwire.h"
#include "base/clock.h"
#include "load/load-session.h"

#define BACKLOG_MAX 200000
#define FINISH_LIMIT_MS 20000
#define SETUP_LIMIT_MS 20000
#define QUERY_ATTEMPTS 20
#define RETRY_US 500000

/* Flooded classes use a pool of their own, so that other classes never wait for its sessions. */
typedef enum
{
  POOL_STEADY,
  POOL_FLOOD,
  POOL_COUNT
} PoolKind;

typedef struct Run Run;

typedef struct
{
  Run *run;
  GQueue idle;
  GQueue backlog; /* LoadRequests that wait for an idle session */
  uint32_t sessions;
} SessionPool;

struct Run
{
  const LoadOptions *options;
  LoadResults *results;
  struct tevent_context *events;
  TALLOC_CTX *memory;
  GRand *random;
  SessionPool pools[POOL_COUNT];
  uint32_t running;
  uint64_t next_id;
  int64_t started_us;
  int64_t next_us[LOAD_CLASSES_MAX];
};

static void
start_request (Run *run, LoadSession *session, const LoadRequest *request)
{
  run->running++;
  load_session_run (session, request);
}

static void
on_idle (void *data, LoadSession *session)
{
  SessionPool *pool = data;
  LoadRequest *request = g_queue_pop_head (&pool->backlog);

  if (request == NULL)
    {
      g_queue_push_tail (&pool->idle, session);
      return;
    }
  start_request (pool->run, session, request);
  g_free (request);
}

static void
on_disconnected (void *data, LoadSession *session)
{
  SessionPool *pool = data;

  g_queue_remove (&pool->idle, session);
}

static void
on_ended (void *data)
{
  SessionPool *pool = data;

  pool->run->running--;
}

static void
open_session (SessionPool *pool)
{
  Run *run = pool->run;
  const LoadSessionOptions options = {
    .load = run->options,
    .results = run->results,
    .events = run->events,
    .user = pool == &run->pools[POOL_FLOOD] ? "flood" : "load",
    .first_host = pool->sessions % run->options->host_count,
    .started_us = run->started_us,
    .idle = on_idle,
    .ended = on_ended,
    .disconnected = on_disconnected,
    .data = pool,
  };

  pool->sessions++;
  load_session_new (run->memory, &options);
}

static LoadSession *
pop_idle (SessionPool *pool)
{
  guint count = g_queue_get_length (&pool->idle);

  if (count == 0)
    return NULL;
  return g_queue_pop_nth (&pool->idle,
                          (guint) g_rand_int_range (pool->run->random, 0, (gint32) count));
}

static LoadRequest
make_request (Run *run, uint32_t class_index, int64_t arrived_us)
{
  LoadRequest request = { .class_index = class_index, .arrived_us = arrived_us };

  g_snprintf (request.id, sizeof request.id, "%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
              run->options->seed, ++run->next_id);
  request.roam = g_rand_int_range (run->random, 0, 100) < (gint32) run->options->roam_percent;
  request.keep_session_token = g_rand_boolean (run->random);
  return request;
}

static void
dispatch_arrival (Run *run, uint32_t class_index, int64_t arrived_us)
{
  LoadRequest request = make_request (run, class_index, arrived_us);
  bool floods = run->options->classes[class_index].flood_rate_per_s > 0;
  SessionPool *pool = &run->pools[floods ? POOL_FLOOD : POOL_STEADY];
  LoadSession *session = pop_idle (pool);

  load_results_sent (run->results, class_index);
  if (session != NULL)
    {
      start_request (run, session, &request);
      return;
    }
  if (pool->sessions < run->options->sessions_max)
    open_session (pool);
  if (g_queue_get_length (&pool->backlog) >= BACKLOG_MAX)
    {
      load_results_finished (run->results, class_index, LOAD_NOT_RUN, 0, 0);
      return;
    }
  g_queue_push_tail (&pool->backlog, g_memdup2 (&request, sizeof request));
}

static int64_t
next_arrival_us (Run *run, uint32_t class_index, int64_t from_us)
{
  double rate
      = load_class_rate (&run->options->classes[class_index], (from_us - run->started_us) / 1000);

  // A class with rate 0 is checked again after 100 ms, as its flood may have begun.
  if (rate <= 0)
    return from_us + 100000;
  return from_us + (int64_t) (-log (1.0 - g_rand_double (run->random)) / rate * 1e6);
}

static void
dispatch_due_arrivals (Run *run, int64_t now_us)
{
  for (uint32_t i = 0; i < run->options->class_count; i++)
    while (run->next_us[i] <= now_us)
      {
        int64_t at_us = run->next_us[i];

        if (load_class_rate (&run->options->classes[i], (at_us - run->started_us) / 1000) > 0)
          dispatch_arrival (run, i, at_us);
        run->next_us[i] = next_arrival_us (run, i, at_us);
      }
}

static void
on_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now, void *data)
{
  Run *run = data;
  int64_t now_us = clock_now_us ();

  if (now_us - run->started_us >= run->options->duration_ms * 1000)
    return;
  dispatch_due_arrivals (run, now_us);
  tevent_add_timer (events, run->memory, tevent_timeval_current_ofs (0, 500), on_tick, run);
}

/* Wakes the event loop regularly, so that it notices the end of the run. */
static void
on_idle_tick (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
              void *data)
{
  Run *run = data;

  tevent_add_timer (events, run->memory, tevent_timeval_current_ofs (0, 20000), on_idle_tick, run);
}

static bool
has_requests_left (const Run *run)
{
  if (run->running > 0)
    return true;
  for (int i = 0; i < POOL_COUNT; i++)
    if (!g_queue_is_empty ((GQueue *) &run->pools[i].backlog))
      return true;
  return false;
}

static void
run_loop (Run *run)
{
  int64_t end_us = run->started_us + run->options->duration_ms * 1000;
  int64_t limit_us = end_us + FINISH_LIMIT_MS * 1000;

  while (clock_now_us () < end_us || (has_requests_left (run) && clock_now_us () < limit_us))
    tevent_loop_once (run->events);
}

/* A client that runs one statement, for the set-up and the final check. */
typedef struct
{
  bool connected;
  bool ended;
  bool failed;
  GByteArray *sink;
} SingleQuery;

static void
on_query_event (void *data, const BackendEvent *event)
{
  SingleQuery *query = data;

  if (event->kind == BACKEND_CONNECTED)
    query->connected = true;
  if (event->kind == BACKEND_IDLE)
    {
      query->ended = true;
      query->failed = event->failed;
    }
  if (event->kind == BACKEND_LOST || event->kind == BACKEND_REFUSED)
    query->ended = query->failed = query->connected = true;
}

static bool
run_query (const LoadOptions *options, uint32_t host, const char *sql, GByteArray *sink)
{
  TALLOC_CTX *memory = talloc_new (NULL);
  struct tevent_context *events = tevent_context_init (memory);
  SingleQuery query = { .sink = sink };
  const BackendOptions backend = {
    .address = options->hosts[host].address,
    .port = options->hosts[host].port,
    .database = options->service,
    .user = "load",
    .application_name = "load",
    .session_options = "",
    .events = on_query_event,
    .data = &query,
  };
  BackendConnection *connection = backend_connection_new (memory, events, &backend);
  const BackendStatement statement = { .sql = sql };

  while (!query.connected)
    tevent_loop_once (events);
  if (!query.ended && backend_connection_run (connection, &statement, sink))
    while (!query.ended)
      tevent_loop_once (events);
  talloc_free (memory);
  return query.ended && !query.failed;
}

static bool
run_query_with_retry (const LoadOptions *options, const char *sql, GByteArray *sink)
{
  for (uint32_t i = 0; i < QUERY_ATTEMPTS; i++)
    {
      g_byte_array_set_size (sink, 0);
      if (run_query (options, i % options->host_count, sql, sink))
        return true;
      if (strstr (pgwire_error_field (sink, 'M'), "already exists") != NULL)
        return true;
      g_usleep (RETRY_US);
    }
  fprintf (stderr, "peridotstep: '%s' failed: %s %s\n", sql, pgwire_error_field (sink, 'C'),
           pgwire_error_field (sink, 'M'));
  return false;
}

static bool
set_up (const LoadOptions *options)
{
  char *sql
      = g_strdup_printf ("/*class='%s'*/ CREATE TABLE load_writes (id text)", options->write_class);
  char *index = g_strdup_printf ("/*class='%s'*/ CREATE INDEX load_index ON load_writes (id)",
                                 options->write_class);
  GByteArray *sink = g_byte_array_new ();
  bool done
      = run_query_with_retry (options, sql, sink) && run_query_with_retry (options, index, sink);

  g_byte_array_free (sink, true);
  g_free (index);
  g_free (sql);
  return done;
}

bool
load_run (const LoadOptions *options, LoadResults *results)
{
  Run run = { .options = options, .results = results };

  if (!set_up (options))
    return false;
  run.memory = talloc_new (NULL);
  run.events = tevent_context_init (run.memory);
  run.random = g_rand_new_with_seed ((guint32) options->seed);
  for (int i = 0; i < POOL_COUNT; i++)
    {
      run.pools[i].run = &run;
      g_queue_init (&run.pools[i].idle);
      g_queue_init (&run.pools[i].backlog);
    }
  run.started_us = clock_now_us ();
  while (options->open_all && run.pools[POOL_STEADY].sessions < options->sessions_max)
    open_session (&run.pools[POOL_STEADY]);
  for (uint32_t i = 0; i < options->class_count; i++)
    run.next_us[i] = next_arrival_us (&run, i, run.started_us);
  on_tick (run.events, NULL, tevent_timeval_zero (), &run);
  on_idle_tick (run.events, NULL, tevent_timeval_zero (), &run);
  run_loop (&run);
  for (int i = 0; i < POOL_COUNT; i++)
    {
      g_queue_clear (&run.pools[i].idle);
      g_queue_clear_full (&run.pools[i].backlog, g_free);
    }
  g_rand_free (run.random);
  talloc_free (run.memory);
  return true;
}

static void
record_row (LoadResults *results, const PgwireMessage *message)
{
  PgwireCursor cursor = pgwire_cursor (message);
  char id[64] = "", count[24] = "";
  uint32_t length;
  const uint8_t *bytes;

  pgwire_get_u16 (&cursor);
  length = pgwire_get_u32 (&cursor);
  bytes = pgwire_get_bytes (&cursor, length);
  if (bytes != NULL)
    memcpy (id, bytes, MIN (length, sizeof id - 1));
  length = pgwire_get_u32 (&cursor);
  bytes = pgwire_get_bytes (&cursor, length);
  if (bytes != NULL)
    memcpy (count, bytes, MIN (length, sizeof count - 1));
  load_results_found (results, id, g_ascii_strtoull (count, NULL, 10));
}

bool
load_read_back (const LoadOptions *options, LoadResults *results)
{
  char *sql = g_strdup_printf ("/*class='%s'*/ SELECT id, count(*) FROM load_writes GROUP BY id",
                               options->write_class);
  GByteArray *sink = g_byte_array_new ();
  bool done = run_query_with_retry (options, sql, sink);
  PgwireMessage message;
  size_t at = 0;

  while (done && pgwire_read_message (sink->data + at, sink->len - at, &message) == PGWIRE_MESSAGE)
    {
      if (message.type == 'D')
        record_row (results, &message);
      at += message.size_bytes;
    }
  g_byte_array_free (sink, true);
  g_free (sql);
  return done;
}
