/**
 * DOC: Simulates a load on a manual clock: hosts, each with an admission queue, in front of one
 * instance that serves in order of arrival. Prints the response times by priority.
 */
#include <string.h>

#include "policy/admission-queue.h"
#include "policy/connection-share.h"
#include "script.h"

#define HOSTS_MAX 8
/* Interval at which hosts learn the demand of the others. */
#define DEMAND_INTERVAL_MS 250
#define NORMAL_FLOOR_PERCENT 25
#define BACKGROUND_FLOOR_PERCENT 10

typedef struct
{
  guint per_s;
  guint work_ms;
  gint64 target_ms;
  gint64 due_us; /* of the next arrival */
  guint sent;
  guint on_time;
  guint late;
  guint refused;
  GArray *took_ms; /* gint64 */
} Load;

typedef struct
{
  AdmissionItem item;
  gint64 arrived_ms;
  gint64 work_ms;
  gint64 started_ms;
  guint host;
} Job;

typedef struct
{
  AdmissionQueue *queue;
  guint running;
  guint demand; /* as last known to the other hosts */
} Host;

typedef struct
{
  Host hosts[HOSTS_MAX];
  guint host_count;
  guint slots;
  guint connections;
  gboolean limits_statements;
  guint wait_divisor; /* statements wait for at most target_ms / wait_divisor */
  Load loads[PRIORITY_COUNT];
  GQueue arrived; /* Job, queued at the instance, in order of arrival */
  GQueue serving;
  guint32 random;
  gint64 now_ms;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  for (int i = 0; i < PRIORITY_COUNT; i++)
    state->loads[i].took_ms = g_array_new (false, false, sizeof (gint64));
  state->random = 1;
  state->wait_divisor = 2;
  g_queue_init (&state->arrived);
  g_queue_init (&state->serving);
  return state;
}

static void
end (void *data)
{
  State *state = data;
  AdmissionItem *item;

  for (guint i = 0; i < state->host_count; i++)
    {
      while ((item = admission_queue_drain (state->hosts[i].queue)) != NULL)
        g_free (item->data);
      admission_queue_free (state->hosts[i].queue);
    }
  for (int i = 0; i < PRIORITY_COUNT; i++)
    g_array_free (state->loads[i].took_ms, true);
  g_queue_clear_full (&state->arrived, g_free);
  g_queue_clear_full (&state->serving, g_free);
  g_free (state);
}

static guint
random_below (State *state, guint limit)
{
  state->random = state->random * 1664525u + 1013904223u;
  return (state->random >> 8) % limit;
}

static guint
waiting (const Host *host)
{
  guint count = 0;

  for (int i = 0; i < PRIORITY_COUNT; i++)
    count += admission_queue_waiting (host->queue, (Priority) i);
  return count;
}

static void
configure (State *state, Host *host)
{
  ConnectionDemand demand = {
    .limit = state->connections,
    .slots = state->slots,
    .statements_percent = 100,
    .hosts = state->host_count,
    .own = host->running + waiting (host),
  };
  AdmissionOptions options = {
    .queue_limit = 400,
    .floor_percent = { 0, NORMAL_FLOOR_PERCENT, BACKGROUND_FLOOR_PERCENT },
  };

  for (guint i = 0; i < state->host_count; i++)
    if (&state->hosts[i] != host)
      demand.others += state->hosts[i].demand;
  options.slots = connection_share (&demand);
  if (state->limits_statements)
    options.slots = MIN (options.slots, connection_share_statements (&demand));
  options.reserved_slots = options.slots > 2 ? 1 : 0;
  admission_queue_configure (host->queue, &options);
}

/* instance HOSTS SLOTS CONNECTIONS */
static void
set_instance (State *state, char **words)
{
  const AdmissionOptions options = { .slots = 1, .queue_limit = 1 };

  state->host_count = MIN ((guint) script_number (words, 1), HOSTS_MAX);
  state->slots = (guint) script_number (words, 2);
  state->connections = (guint) script_number (words, 3);
  for (guint i = 0; i < state->host_count; i++)
    state->hosts[i].queue = admission_queue_new (&options);
}

/* load PRIORITY PER_S WORK_MS TARGET_MS */
static void
set_load (State *state, char **words)
{
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      Load *load = &state->loads[i];

      if (strcmp (priority_name ((Priority) i), script_word (words, 1)) != 0)
        continue;
      load->per_s = (guint) script_number (words, 2);
      load->work_ms = (guint) script_number (words, 3);
      load->target_ms = script_number (words, 4);
      load->due_us = state->now_ms * 1000;
    }
}

static void
arrive (State *state, Priority priority)
{
  Load *load = &state->loads[priority];
  Job *job = g_new0 (Job, 1);

  job->host = random_below (state, state->host_count);
  job->arrived_ms = state->now_ms;
  job->work_ms = load->work_ms / 2 + random_below (state, load->work_ms + 1);
  job->item = (AdmissionItem){
    .priority = priority,
    .source = load->sent % 50,
    .deadline_ms = state->now_ms + load->target_ms / state->wait_divisor,
    .data = job,
  };
  load->sent++;
  if (admission_queue_push (state->hosts[job->host].queue, &job->item, state->now_ms))
    return;
  load->refused++;
  g_free (job);
}

static void
finish (State *state, Job *job)
{
  Load *load = &state->loads[job->item.priority];
  Host *host = &state->hosts[job->host];
  gint64 took_ms;

  host->running--;
  admission_queue_finish (host->queue, job->item.priority,
                          (state->now_ms - job->started_ms) * 1000);
  took_ms = state->now_ms - job->arrived_ms;
  g_array_append_val (load->took_ms, took_ms);
  if (took_ms <= load->target_ms)
    load->on_time++;
  else
    load->late++;
  g_free (job);
}

static void
run_instance (State *state)
{
  for (GList *node = state->serving.head; node != NULL;)
    {
      GList *next = node->next;
      Job *job = node->data;

      if (--job->work_ms <= 0)
        {
          g_queue_delete_link (&state->serving, node);
          finish (state, job);
        }
      node = next;
    }
  while (state->serving.length < state->slots && state->arrived.length > 0)
    g_queue_push_tail (&state->serving, g_queue_pop_head (&state->arrived));
}

static void
run_host (State *state, Host *host)
{
  AdmissionItem *item;

  configure (state, host);
  while ((item = admission_queue_expire (host->queue, state->now_ms)) != NULL)
    {
      state->loads[item->priority].refused++;
      g_free (item->data);
    }
  while ((item = admission_queue_next (host->queue, false, state->now_ms)) != NULL)
    {
      Job *job = item->data;

      host->running++;
      job->started_ms = state->now_ms;
      g_queue_push_tail (&state->arrived, job);
    }
}

static void
tick (State *state)
{
  for (int i = 0; i < PRIORITY_COUNT; i++)
    while (state->loads[i].per_s > 0 && state->loads[i].due_us <= state->now_ms * 1000)
      {
        arrive (state, (Priority) i);
        state->loads[i].due_us += 2 * random_below (state, 1000000 / state->loads[i].per_s);
      }
  for (guint i = 0; i < state->host_count; i++)
    run_host (state, &state->hosts[i]);
  run_instance (state);
  if (state->now_ms % DEMAND_INTERVAL_MS == 0)
    for (guint i = 0; i < state->host_count; i++)
      state->hosts[i].demand = state->hosts[i].running + waiting (&state->hosts[i]);
  state->now_ms++;
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const gint64 difference = *(const gint64 *) a - *(const gint64 *) b;

  return (difference > 0) - (difference < 0);
}

static gint64
percentile (GArray *took_ms, guint percent)
{
  g_array_sort (took_ms, compare_times);
  return took_ms->len == 0 ? 0 : g_array_index (took_ms, gint64, took_ms->len * percent / 100);
}

/* run SECONDS: prints the results of the statements that ended in that time */
static void
run (State *state, char **words, GString *out)
{
  const gint64 end_ms = state->now_ms + script_number (words, 1) * 1000;

  while (state->now_ms < end_ms)
    tick (state);
  for (int i = 0; i < PRIORITY_COUNT; i++)
    {
      Load *load = &state->loads[i];

      if (load->sent > 0)
        g_string_append_printf (
            out, "%s: %u sent, %u on time, %u late, %u refused, p50 %d ms, p99 %d ms\n",
            priority_name ((Priority) i), load->sent, load->on_time, load->late, load->refused,
            (int) percentile (load->took_ms, 50), (int) percentile (load->took_ms, 99));
      g_array_set_size (load->took_ms, 0);
      load->sent = load->on_time = load->late = load->refused = 0;
    }
}

/* Also: statement-limit on|off, wait-divisor N. */
static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "instance") == 0)
    set_instance (state, words);
  else if (strcmp (verb, "load") == 0)
    set_load (state, words);
  else if (strcmp (verb, "statement-limit") == 0)
    state->limits_statements = strcmp (script_word (words, 1), "on") == 0;
  else if (strcmp (verb, "wait-divisor") == 0)
    state->wait_divisor = (guint) script_number (words, 1);
  else if (strcmp (verb, "run") == 0)
    run (state, words, out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_load = { "load", start, command, end };
