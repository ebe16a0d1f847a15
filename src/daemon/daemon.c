#include "daemon/daemon.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/rcu-cell.h"
#include "base/stream.h"
#include "base/verdict.h"
#include "daemon/admin-http.h"
#include "daemon/control.h"
#include "daemon/worker.h"

#define WORKERS_MAX 16

struct Daemon
{
  DaemonOptions options;
  char *platform_url;
  char application_name[NAME_BYTES + 16];
  Counters counters;
  Trace *trace;
  Worker *workers[WORKERS_MAX];
  Control *control;
  AdminHttp *admin;
  RcuCell config; /* ConfigDocument */
  RcuCell view;   /* HostView */
  _Atomic uint64_t config_version;
  _Atomic uint64_t view_version;
  atomic_bool admitting;
  atomic_bool closing;
  atomic_bool leaving;
  _Atomic uint64_t jobs;
};

/* The first worker's socket names the port; the others share it. */
static int
listen_shared (const Daemon *daemon, uint16_t *port, GError **error)
{
  int fd = stream_listen (daemon->options.self.address, *port, true);

  if (fd < 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot listen on %s port %u",
                   daemon->options.self.address, *port);
      return -1;
    }
  *port = stream_port (fd);
  return fd;
}

static int
open_gossip (Daemon *daemon, GError **error)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (daemon->options.self.gossip_port) };
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (inet_pton (AF_INET, daemon->options.self.address, &address.sin_addr) != 1
      || bind (fd, (struct sockaddr *) &address, sizeof address) != 0
      || getsockname (fd, (struct sockaddr *) &address, &length) != 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot open UDP %s port %u",
                   daemon->options.self.address, daemon->options.self.gossip_port);
      close (fd);
      return -1;
    }
  daemon->options.self.gossip_port = ntohs (address.sin_port);
  return fd;
}

static bool
start_workers (Daemon *daemon, GError **error)
{
  int caller_fds[WORKERS_MAX] = { 0 };
  int link_fds[WORKERS_MAX] = { 0 };

  for (uint32_t i = 0; i < daemon->options.workers; i++)
    {
      caller_fds[i] = listen_shared (daemon, &daemon->options.caller_port, error);
      link_fds[i]
          = caller_fds[i] < 0 ? -1 : listen_shared (daemon, &daemon->options.self.link_port, error);
      if (link_fds[i] < 0)
        return false;
    }
  for (uint32_t i = 0; i < daemon->options.workers; i++)
    daemon->workers[i] = worker_new (daemon, i, caller_fds[i], link_fds[i]);
  return true;
}

static bool
start_control (Daemon *daemon, GError **error)
{
  int gossip_fd = open_gossip (daemon, error);

  if (gossip_fd < 0)
    return false;
  daemon->control = control_new (daemon, gossip_fd);
  return true;
}

static bool
start_admin (Daemon *daemon, GError **error)
{
  daemon->admin = admin_http_new (daemon, daemon->options.self.address, daemon->options.admin_port);
  if (daemon->admin == NULL)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot listen on %s port %u",
                   daemon->options.self.address, daemon->options.admin_port);
      return false;
    }
  daemon->options.admin_port = admin_http_port (daemon->admin);
  return true;
}

static bool
open_trace (Daemon *daemon, GError **error)
{
  if (daemon->options.trace_path == NULL)
    return true;
  daemon->trace = trace_open (daemon->options.trace_path);
  if (daemon->trace == NULL)
    g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot write the trace %s",
                 daemon->options.trace_path);
  return daemon->trace != NULL;
}

static HostView *
view_of_self (const Daemon *daemon)
{
  HostView *view = g_malloc0 (sizeof (HostView) + sizeof (Host));

  view->count = 1;
  view->hosts[0] = daemon->options.self;
  host_view_sort (view);
  return view;
}

Daemon *
daemon_start (const DaemonOptions *options, GError **error)
{
  Daemon *daemon = g_new0 (Daemon, 1);

  daemon->options = *options;
  daemon->options.workers = CLAMP (options->workers, 1, WORKERS_MAX);
  daemon->options.self.id_hash = host_hash (options->self.id);
  daemon->platform_url = g_strdup (options->platform_url);
  g_snprintf (daemon->application_name, sizeof daemon->application_name, "peridotstep:%s",
              options->self.failure_domain);
  daemon->options.platform_url = daemon->platform_url;
  daemon->config.pointer = config_document_empty ();
  if (!open_trace (daemon, error))
    {
      daemon_stop (daemon);
      return NULL;
    }
  if (!start_workers (daemon, error) || !start_control (daemon, error))
    {
      daemon_stop (daemon);
      return NULL;
    }
  daemon->view.pointer = view_of_self (daemon);
  if (!start_admin (daemon, error))
    {
      daemon_stop (daemon);
      return NULL;
    }
  for (uint32_t i = 0; i < daemon->options.workers; i++)
    worker_start (daemon->workers[i]);
  control_start (daemon->control);
  log_event (LOG_LEVEL_INFO, "started",
             "host=%s failure_domain=%s callers=%s:%u link=%u gossip=%u admin=%u",
             daemon->options.self.id, daemon->options.self.failure_domain,
             daemon->options.self.address, daemon->options.caller_port,
             daemon->options.self.link_port, daemon->options.self.gossip_port,
             daemon->options.admin_port);
  return daemon;
}

void
daemon_drain (Daemon *daemon)
{
  atomic_store (&daemon->leaving, true);
  control_drain (daemon->control);
}

bool
daemon_ended (Daemon *daemon)
{
  return control_ended (daemon->control);
}

void
daemon_stop (Daemon *daemon)
{
  if (daemon->admin != NULL)
    admin_http_free (daemon->admin);
  // Workers post to control, and control to workers: all loops end before any state goes.
  for (uint32_t i = 0; i < daemon->options.workers; i++)
    if (daemon->workers[i] != NULL)
      worker_join (daemon->workers[i]);
  if (daemon->control != NULL)
    control_stop (daemon->control);
  for (uint32_t i = 0; i < daemon->options.workers; i++)
    if (daemon->workers[i] != NULL)
      worker_free (daemon->workers[i]);
  if (daemon->config.pointer != NULL)
    config_document_unref (daemon->config.pointer);
  g_free (daemon->view.pointer);
  trace_close (daemon->trace);
  g_free (daemon->platform_url);
  g_free (daemon);
}

void
daemon_set_paused (Daemon *daemon, bool paused)
{
  for (uint32_t i = 0; i < daemon->options.workers; i++)
    worker_set_paused (daemon->workers[i], paused);
  control_set_paused (daemon->control, paused);
}

const DaemonOptions *
daemon_options (const Daemon *daemon)
{
  return &daemon->options;
}

const char *
daemon_application_name (const Daemon *daemon)
{
  return daemon->application_name;
}

Counters *
daemon_counters (Daemon *daemon)
{
  return &daemon->counters;
}

Trace *
daemon_trace (const Daemon *daemon)
{
  return daemon->trace;
}

uint32_t
daemon_worker_count (const Daemon *daemon)
{
  return daemon->options.workers;
}

Worker *
daemon_worker (const Daemon *daemon, uint32_t index)
{
  return daemon->workers[index];
}

Control *
daemon_control (const Daemon *daemon)
{
  return daemon->control;
}

ServiceConfig *
daemon_service (Daemon *daemon, const char *name)
{
  ServiceConfig *service;

  service = config_document_service (rcu_cell_lock (&daemon->config), name);
  if (service != NULL)
    service_config_ref (service);
  rcu_cell_unlock (&daemon->config);
  return service;
}

ConfigDocument *
daemon_config (Daemon *daemon)
{
  ConfigDocument *document;

  document = config_document_ref (rcu_cell_lock (&daemon->config));
  rcu_cell_unlock (&daemon->config);
  return document;
}

uint64_t
daemon_config_version (const Daemon *daemon)
{
  return atomic_load_explicit (&((Daemon *) daemon)->config_version, memory_order_acquire);
}

uint64_t
daemon_view_version (const Daemon *daemon)
{
  return atomic_load_explicit (&((Daemon *) daemon)->view_version, memory_order_acquire);
}

bool
daemon_owner (Daemon *daemon, uint64_t instance, const char *failure_domain, const char *region,
              uint32_t place, Host *host)
{
  const HostView *view;
  int picked;

  view = rcu_cell_lock (&daemon->view);
  picked = ownership_pick (view, instance, failure_domain, region, place);
  if (picked >= 0)
    *host = view->hosts[picked];
  rcu_cell_unlock (&daemon->view);
  return picked >= 0;
}

bool
daemon_domain_has_hosts (Daemon *daemon, const char *failure_domain)
{
  bool has_hosts;

  has_hosts = host_view_has_domain (rcu_cell_lock (&daemon->view), failure_domain);
  rcu_cell_unlock (&daemon->view);
  return has_hosts;
}

void
daemon_view_each (Daemon *daemon, void (*each) (const Host *host, void *data), void *data)
{
  const HostView *view;

  view = rcu_cell_lock (&daemon->view);
  for (uint32_t i = 0; i < view->count; i++)
    each (&view->hosts[i], data);
  rcu_cell_unlock (&daemon->view);
}

void
daemon_publish_config (Daemon *daemon, ConfigDocument *document)
{
  ConfigDocument *old = rcu_cell_publish (&daemon->config, document);

  atomic_store_explicit (&daemon->config_version, config_document_version (document),
                         memory_order_release);
  config_document_unref (old);
}

void
daemon_publish_view (Daemon *daemon, HostView *view)
{
  HostView *old = rcu_cell_publish (&daemon->view, view);

  atomic_store_explicit (&daemon->view_version, view->version, memory_order_release);
  g_free (old);
}

void
daemon_set_admitting (Daemon *daemon, bool admitting)
{
  if (atomic_exchange (&daemon->admitting, admitting) != admitting)
    log_event (LOG_LEVEL_NOTICE, "admitting", "host=%s value=%d", daemon->options.self.id,
               admitting);
}

bool
daemon_admits (const Daemon *daemon)
{
  return atomic_load_explicit (&((Daemon *) daemon)->admitting, memory_order_relaxed);
}

void
daemon_set_closing (Daemon *daemon)
{
  atomic_store (&daemon->closing, true);
}

bool
daemon_closing (const Daemon *daemon)
{
  return atomic_load_explicit (&((Daemon *) daemon)->closing, memory_order_relaxed);
}

bool
daemon_leaving (const Daemon *daemon)
{
  return atomic_load_explicit (&((Daemon *) daemon)->leaving, memory_order_relaxed);
}

void
daemon_add_jobs (Daemon *daemon, int64_t delta)
{
  atomic_fetch_add_explicit (&daemon->jobs, (uint64_t) delta, memory_order_relaxed);
}

uint64_t
daemon_jobs (const Daemon *daemon)
{
  return atomic_load_explicit (&((Daemon *) daemon)->jobs, memory_order_relaxed);
}
