#include "daemon/daemon.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/stream.h"
#include "base/verdict.h"
#include "daemon/admin-http.h"
#include "daemon/control.h"
#include "pipeline/worker-handlers.h"
#include "runtime/worker.h"

/* The threads of a daemon. */
typedef struct
{
  Control *control;
  AdminHttp *admin;
} DaemonThreads;

/* For port 0, the first worker's socket gets a free port, which the other workers share. */
static int
listen_shared (const Daemon *daemon, uint16_t *port, GError **error)
{
  const char *address = daemon_options (daemon)->self.address;
  int fd = stream_listen (address, *port, true);

  if (fd < 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot listen on %s port %u",
                   address, *port);
      return -1;
    }
  *port = stream_port (fd);
  return fd;
}

static int
open_gossip (Daemon *daemon, GError **error)
{
  Host *self = &daemon_state_options (daemon)->self;
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (self->gossip_port) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (inet_pton (AF_INET, self->address, &address.sin_addr) != 1
      || bind (fd, (struct sockaddr *) &address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *) &address, &length) != 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO,
                   "cannot bind UDP socket on %s port %u", self->address, self->gossip_port);
      close (fd);
      return -1;
    }
  self->gossip_port = ntohs (address.sin_port);
  return fd;
}

static bool
create_workers (Daemon *daemon, GError **error)
{
  DaemonOptions *options = daemon_state_options (daemon);
  int caller_fds[DAEMON_WORKERS_MAX] = { 0 };
  int link_fds[DAEMON_WORKERS_MAX] = { 0 };

  for (uint32_t i = 0; i < options->workers; i++)
    {
      caller_fds[i] = listen_shared (daemon, &options->caller_port, error);
      link_fds[i]
          = caller_fds[i] < 0 ? -1 : listen_shared (daemon, &options->self.link_port, error);
      if (link_fds[i] < 0)
        return false;
    }
  for (uint32_t i = 0; i < options->workers; i++)
    daemon_state_set_worker (
        daemon, i, worker_new (daemon, &pipeline_worker_handlers, i, caller_fds[i], link_fds[i]));
  return true;
}

static void
post_control_frame (void *data, Origin origin, Frame *frame)
{
  control_post_frame (data, origin, frame);
}

static void
post_audit_event (void *data, const char *key, json_t *value)
{
  control_audit (data, key, value);
}

static char *
status_text (void *data)
{
  return control_status (data);
}

static bool
create_control (Daemon *daemon, GError **error)
{
  DaemonThreads *threads = daemon_state_threads (daemon);
  DaemonHooks hooks = { post_control_frame, post_audit_event, status_text, NULL };
  int gossip_fd = open_gossip (daemon, error);

  if (gossip_fd < 0)
    return false;
  threads->control = control_new (daemon, gossip_fd);
  hooks.data = threads->control;
  daemon_state_set_hooks (daemon, &hooks);
  return true;
}

static bool
start_admin (Daemon *daemon, GError **error)
{
  DaemonThreads *threads = daemon_state_threads (daemon);
  DaemonOptions *options = daemon_state_options (daemon);

  threads->admin = admin_http_new (daemon, options->self.address, options->admin_port);
  if (threads->admin == NULL)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot listen on %s port %u",
                   options->self.address, options->admin_port);
      return false;
    }
  options->admin_port = admin_http_port (threads->admin);
  return true;
}

static bool
open_trace (Daemon *daemon, GError **error)
{
  if (daemon_state_open_trace (daemon))
    return true;
  g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot create trace file %s",
               daemon_options (daemon)->trace_path);
  return false;
}

Daemon *
daemon_start (const DaemonOptions *options, GError **error)
{
  Daemon *daemon = daemon_state_new (options);
  DaemonThreads *threads = g_new0 (DaemonThreads, 1);
  const DaemonOptions *actual = daemon_options (daemon);

  daemon_state_set_threads (daemon, threads);
  if (!open_trace (daemon, error) || !create_workers (daemon, error)
      || !create_control (daemon, error) || !start_admin (daemon, error))
    {
      daemon_stop (daemon);
      return NULL;
    }
  for (uint32_t i = 0; i < actual->workers; i++)
    worker_start (daemon_worker (daemon, i));
  control_start (threads->control);
  log_event (LOG_LEVEL_INFO, "started",
             "host=%s failure_domain=%s callers=%s:%u link=%u gossip=%u admin=%u", actual->self.id,
             actual->self.failure_domain, actual->self.address, actual->caller_port,
             actual->self.link_port, actual->self.gossip_port, actual->admin_port);
  return daemon;
}

void
daemon_drain (Daemon *daemon)
{
  const DaemonThreads *threads = daemon_state_threads (daemon);

  daemon_state_set_leaving (daemon);
  control_drain (threads->control);
}

bool
daemon_is_drained (Daemon *daemon)
{
  return control_is_drained (((const DaemonThreads *) daemon_state_threads (daemon))->control);
}

void
daemon_stop (Daemon *daemon)
{
  DaemonThreads *threads = daemon_state_threads (daemon);
  const uint32_t workers = daemon_worker_count (daemon);

  if (threads->admin != NULL)
    admin_http_free (threads->admin);
  // Workers and control post messages to each other: stop all threads before freeing any state.
  for (uint32_t i = 0; i < workers; i++)
    if (daemon_worker (daemon, i) != NULL)
      worker_join (daemon_worker (daemon, i));
  if (threads->control != NULL)
    control_stop (threads->control);
  for (uint32_t i = 0; i < workers; i++)
    if (daemon_worker (daemon, i) != NULL)
      worker_free (daemon_worker (daemon, i));
  g_free (threads);
  daemon_state_free (daemon);
}

void
daemon_set_paused (Daemon *daemon, bool paused)
{
  for (uint32_t i = 0; i < daemon_worker_count (daemon); i++)
    worker_set_paused (daemon_worker (daemon, i), paused);
  control_set_paused (((const DaemonThreads *) daemon_state_threads (daemon))->control, paused);
}
