#include "pipeline/caller-table.h"

#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/stream.h"
#include "pipeline/caller.h"

/* Layout of the process id in a cancel key: host tag, worker index, connection counter. */
#define PID_HOST_SHIFT 20
#define PID_WORKER_SHIFT 16
#define PID_WORKER_MASK 0xfu
#define PID_COUNTER_MASK 0xffffu

#define CLOSE_INTERVAL_MS 20
/* A caller idle for this long has no request or response in transit. */
#define CLOSE_IDLE_MS 100

struct CallerTable
{
  Worker *worker;
  int listen_fd;
  struct tevent_fd *listen_fde;
  GHashTable *callers; /* Caller, as a set */
  uint32_t next_counter;
};

static uint32_t
host_tag (const char *host_id)
{
  return (uint32_t) (host_hash (host_id) >> (64 - (32 - PID_HOST_SHIFT)));
}

uint32_t
caller_table_worker_of (uint32_t pid)
{
  return (pid >> PID_WORKER_SHIFT) & PID_WORKER_MASK;
}

static uint32_t
next_pid (CallerTable *table)
{
  const char *self = daemon_options (table->worker->daemon)->self.id;

  return host_tag (self) << PID_HOST_SHIFT
         | (table->worker->index & PID_WORKER_MASK) << PID_WORKER_SHIFT
         | (++table->next_counter & PID_COUNTER_MASK);
}

static void
on_accept (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  CallerTable *table = data;
  CallerOptions options = { .worker = table->worker, .table = table };

  options.fd = stream_accept (table->listen_fd);
  if (options.fd < 0)
    return;
  options.pid = next_pid (table);
  if (getrandom (&options.key, sizeof options.key, 0) != sizeof options.key)
    g_error ("getrandom failed");
  g_hash_table_add (table->callers, caller_new (table, &options));
  counter_add (table->worker->counters, COUNTER_CALLERS_ACCEPTED, 1);
  counter_add (table->worker->counters, COUNTER_CALLERS_OPEN, 1);
}

static void
end_callers (CallerTable *table)
{
  GList *callers = g_hash_table_get_keys (table->callers);

  for (GList *l = callers; l != NULL; l = l->next)
    caller_end_now (l->data);
  g_list_free (callers);
}

static void
end_idle_callers (CallerTable *table)
{
  GList *callers = g_hash_table_get_keys (table->callers);
  int64_t since_ms = clock_now_ms () - CLOSE_IDLE_MS;

  for (GList *l = callers; l != NULL; l = l->next)
    caller_end_if_idle (l->data, since_ms);
  g_list_free (callers);
}

static void on_close_timer (struct tevent_context *events, struct tevent_timer *timer,
                            struct timeval now, void *data);

static void
schedule_close_timer (CallerTable *table)
{
  tevent_add_timer (table->worker->events, table,
                    tevent_timeval_current_ofs (0, CLOSE_INTERVAL_MS * 1000), on_close_timer,
                    table);
}

static void
on_close_timer (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
                void *data)
{
  CallerTable *table = data;

  schedule_close_timer (table);
  if (!daemon_closing (table->worker->daemon))
    return;
  if (table->listen_fde != NULL)
    {
      TALLOC_FREE (table->listen_fde);
      close (table->listen_fd);
      table->listen_fd = -1;
    }
  if (daemon_ending (table->worker->daemon))
    end_callers (table);
  else
    end_idle_callers (table);
}

static int
table_destroy (CallerTable *table)
{
  GList *callers = g_hash_table_get_keys (table->callers);

  for (GList *l = callers; l != NULL; l = l->next)
    talloc_free (l->data);
  g_list_free (callers);
  g_hash_table_destroy (table->callers);
  if (table->listen_fd >= 0)
    close (table->listen_fd);
  return 0;
}

CallerTable *
caller_table_new (TALLOC_CTX *parent, Worker *worker, int fd)
{
  CallerTable *table = talloc_zero (parent, CallerTable);

  table->worker = worker;
  table->listen_fd = fd;
  table->callers = g_hash_table_new (NULL, NULL);
  talloc_set_destructor (table, table_destroy);
  table->listen_fde = tevent_add_fd (worker->events, table, fd, TEVENT_FD_READ, on_accept, table);
  schedule_close_timer (table);
  return table;
}

void
caller_table_closed (CallerTable *table, Caller *caller)
{
  g_hash_table_remove (table->callers, caller);
  counter_add (table->worker->counters, COUNTER_CALLERS_OPEN, -1);
  talloc_free (caller);
}

void
caller_table_cancel (CallerTable *table, uint32_t pid, uint32_t key)
{
  GHashTableIter iter;
  void *caller;

  g_hash_table_iter_init (&iter, table->callers);
  while (g_hash_table_iter_next (&iter, &caller, NULL))
    if (caller_matches (caller, pid, key))
      {
        caller_cancel (caller);
        return;
      }
}

typedef struct
{
  Worker *worker;
  uint32_t pid;
  uint32_t key;
  GPtrArray *hosts;
} CancelSearch;

static void
collect_host (const Host *host, void *data)
{
  CancelSearch *search = data;

  if (host_tag (host->id) == search->pid >> PID_HOST_SHIFT)
    g_ptr_array_add (search->hosts, g_memdup2 (host, sizeof *host));
}

void
caller_table_request_cancel (CallerTable *table, uint32_t pid, uint32_t key)
{
  CancelSearch search = { table->worker, pid, key, g_ptr_array_new_with_free_func (g_free) };
  const char *self = daemon_options (table->worker->daemon)->self.id;

  // The load balancer may send a cancel request to a host other than the one serving the caller.
  daemon_view_foreach (table->worker->daemon, collect_host, &search);
  for (guint i = 0; i < search.hosts->len; i++)
    {
      const Host *host = search.hosts->pdata[i];
      Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_CALLER_CANCEL);
      const Origin origin = { table->worker->index, 0 };

      frame->caller_cancel->pid = pid;
      frame->caller_cancel->key = key;
      if (strcmp (host->id, self) == 0)
        worker_receive (table->worker, origin, frame);
      else
        worker_send (table->worker, host, frame, FRAME_LANE_CONTROL);
    }
  g_ptr_array_free (search.hosts, true);
}
