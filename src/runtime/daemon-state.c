#include "runtime/daemon-state.h"

#include <stdatomic.h>

#include "base/log.h"
#include "base/rcu-cell.h"

struct Daemon
{
  DaemonOptions options;
  char *platform_url;
  char application_name[NAME_BYTES + 16];
  Counters counters;
  Trace *trace;
  Worker *workers[DAEMON_WORKERS_MAX];
  DaemonHooks hooks;
  void *threads;
  RcuCell config; /* ConfigDocument */
  RcuCell view;   /* HostView */
  _Atomic uint64_t config_version;
  _Atomic uint64_t view_version;
  atomic_bool admitting;
  atomic_bool closing;
  atomic_bool ending;
  atomic_bool leaving;
  _Atomic uint64_t jobs;
};

static HostView *
view_of_self (const Host *self)
{
  HostView *view = g_malloc0 (sizeof (HostView) + sizeof (Host));

  view->count = 1;
  view->hosts[0] = *self;
  host_view_sort (view);
  return view;
}

Daemon *
daemon_state_new (const DaemonOptions *options)
{
  Daemon *daemon = g_new0 (Daemon, 1);

  daemon->options = *options;
  daemon->options.workers = CLAMP (options->workers, 1, DAEMON_WORKERS_MAX);
  daemon->options.self.id_hash = host_hash (options->self.id);
  daemon->platform_url = g_strdup (options->platform_url);
  g_snprintf (daemon->application_name, sizeof daemon->application_name, "peridotstep:%s",
              options->self.failure_domain);
  daemon->options.platform_url = daemon->platform_url;
  daemon->config.pointer = config_document_empty ();
  daemon->view.pointer = view_of_self (&daemon->options.self);
  return daemon;
}

void
daemon_state_free (Daemon *daemon)
{
  if (daemon->config.pointer != NULL)
    config_document_unref (daemon->config.pointer);
  g_free (daemon->view.pointer);
  trace_close (daemon->trace);
  g_free (daemon->platform_url);
  g_free (daemon);
}

DaemonOptions *
daemon_state_options (Daemon *daemon)
{
  return &daemon->options;
}

bool
daemon_state_open_trace (Daemon *daemon)
{
  if (daemon->options.trace_path == NULL)
    return true;
  daemon->trace = trace_open (daemon->options.trace_path);
  return daemon->trace != NULL;
}

void
daemon_state_set_threads (Daemon *daemon, void *threads)
{
  daemon->threads = threads;
}

void *
daemon_state_threads (const Daemon *daemon)
{
  return daemon->threads;
}

void
daemon_state_set_worker (Daemon *daemon, uint32_t index, Worker *worker)
{
  daemon->workers[index] = worker;
}

void
daemon_state_set_hooks (Daemon *daemon, const DaemonHooks *hooks)
{
  daemon->hooks = *hooks;
}

void
daemon_state_set_leaving (Daemon *daemon)
{
  atomic_store (&daemon->leaving, true);
}

void
daemon_post_control (const Daemon *daemon, Origin origin, Frame *frame)
{
  daemon->hooks.post_frame (daemon->hooks.data, origin, frame);
}

char *
daemon_status (const Daemon *daemon)
{
  return daemon->hooks.status (daemon->hooks.data);
}

void
daemon_audit (const Daemon *daemon, const char *key, json_t *value)
{
  daemon->hooks.audit (daemon->hooks.data, key, value);
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
              uint32_t rank, Host *host)
{
  const HostView *view;
  int picked;

  view = rcu_cell_lock (&daemon->view);
  picked = ownership_pick (view, instance, failure_domain, region, rank);
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
daemon_view_foreach (Daemon *daemon, void (*each) (const Host *host, void *data), void *data)
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

void
daemon_set_ending (Daemon *daemon)
{
  atomic_store (&daemon->ending, true);
}

bool
daemon_ending (const Daemon *daemon)
{
  return atomic_load_explicit (&((Daemon *) daemon)->ending, memory_order_relaxed);
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
