/**
 * DOC: State shared by the threads of one daemon: settings, configuration, host view, counters, and
 * the progress of a shutdown. One process may run several daemons.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "base/counters.h"
#include "base/trace.h"
#include "config/config-document.h"
#include "link/frame.h"
#include "link/peer-link.h"
#include "policy/ownership.h"

typedef struct Daemon Daemon;
typedef struct Worker Worker;

/**
 * struct Origin - Where the response to a frame is sent.
 * @worker: index of the worker that has the link or the request.
 * @link: link id in that worker; 0 for a request of the worker itself.
 */
typedef struct
{
  uint32_t worker;
  uint64_t link;
} Origin;

/**
 * struct NetworkEmulation - Emulated network between hosts and instances, for demos only.
 * @delay_us: one-way delay between two failure domains.
 * @region_link: emulated bandwidth from one region to another, or %NULL.
 */
typedef struct
{
  int64_t (*delay_us) (const char *from_domain, const char *to_domain, void *data);
  RegionLink *(*region_link) (const char *from_region, const char *to_region, void *data);
  void *data;
} NetworkEmulation;

/**
 * struct DaemonOptions - Settings of a daemon.
 * @self: id, location, address and ports; port 0 takes any free port and is replaced by it.
 * @caller_port: TCP port for callers.
 * @admin_port: TCP port of the admin pages.
 * @platform_url: base URL of the platform's service.
 * @workers: number of threads that serve callers.
 * @trace_path: file to which decisions are traced, or %NULL.
 * @network: emulated network, or %NULL.
 */
typedef struct
{
  Host self;
  uint16_t caller_port;
  uint16_t admin_port;
  const char *platform_url;
  uint32_t workers;
  const char *trace_path;
  const NetworkEmulation *network;
} DaemonOptions;

/**
 * struct DaemonHooks - Entry points to the control thread for workers and owners; callable from any
 * thread.
 * @post_frame: passes on a frame for the control thread from @origin; takes ownership of it.
 * @audit: records an event as row @key once the store can be reached; takes ownership of @value.
 * @status: JSON text for operators; free with g_free().
 */
typedef struct
{
  void (*post_frame) (void *data, Origin origin, Frame *frame);
  void (*audit) (void *data, const char *key, json_t *value);
  char *(*status) (void *data);
  void *data;
} DaemonHooks;

/** daemon_state_new() - Creates the state with an empty configuration. */
Daemon *daemon_state_new (const DaemonOptions *options);

/** daemon_state_free() - Frees the state; no thread may use it any more. */
void daemon_state_free (Daemon *daemon);

/** daemon_state_options() - The settings, for filling in the ports that were bound. */
DaemonOptions *daemon_state_options (Daemon *daemon);

/** daemon_state_open_trace() - Opens the trace if one is configured; false on failure. */
bool daemon_state_open_trace (Daemon *daemon);

/** daemon_state_set_worker() - Sets worker @index, before any thread starts. */
void daemon_state_set_worker (Daemon *daemon, uint32_t index, Worker *worker);

/** daemon_state_set_hooks() - Sets the control thread's hooks, before any thread starts. */
void daemon_state_set_hooks (Daemon *daemon, const DaemonHooks *hooks);

/** daemon_state_set_threads() - Stores the data of the code that starts and stops the threads. */
void daemon_state_set_threads (Daemon *daemon, void *threads);

/** daemon_state_threads() - The data stored by daemon_state_set_threads(). */
void *daemon_state_threads (const Daemon *daemon);

/** daemon_state_set_leaving() - Records that a graceful shutdown has begun. */
void daemon_state_set_leaving (Daemon *daemon);

/**
 * daemon_post_control() - Passes a frame from @origin to the control thread; takes ownership of it.
 */
void daemon_post_control (const Daemon *daemon, Origin origin, Frame *frame);

/** daemon_status() - JSON text for operators; free with g_free(). */
char *daemon_status (const Daemon *daemon);

/**
 * daemon_audit() - Records an event as row @key once the store can be reached; takes ownership of
 * @value.
 */
void daemon_audit (const Daemon *daemon, const char *key, json_t *value);

/** daemon_options() - The settings, with the ports that were bound. */
const DaemonOptions *daemon_options (const Daemon *daemon);

/**
 * daemon_application_name() - Application name for backend servers; it contains the failure domain.
 */
const char *daemon_application_name (const Daemon *daemon);

/** daemon_counters() - The daemon's counters. */
Counters *daemon_counters (Daemon *daemon);

/** daemon_trace() - The trace of decisions; %NULL when none is written. */
Trace *daemon_trace (const Daemon *daemon);

/** Maximum number of workers of a daemon. */
#define DAEMON_WORKERS_MAX 16

/** daemon_worker_count() - Number of worker threads. */
uint32_t daemon_worker_count (const Daemon *daemon);

/** daemon_worker() - Worker @index. */
Worker *daemon_worker (const Daemon *daemon, uint32_t index);

/** daemon_service() - New reference to the service @name, or %NULL. Callable from any worker. */
ServiceConfig *daemon_service (Daemon *daemon, const char *name);

/** daemon_config() - New reference to the active configuration. Callable from any worker. */
ConfigDocument *daemon_config (Daemon *daemon);

/** daemon_config_version() - Version of the active configuration; takes no lock. */
uint64_t daemon_config_version (const Daemon *daemon);

/** daemon_view_version() - Version of the host view; takes no lock. */
uint64_t daemon_view_version (const Daemon *daemon);

/**
 * daemon_owner() - Finds the host at @rank of an instance's ownership order in the current view, 0
 * for the owner. False when there are fewer hosts. Callable from any worker.
 */
bool daemon_owner (Daemon *daemon, uint64_t instance, const char *failure_domain,
                   const char *region, uint32_t rank, Host *host);

/**
 * daemon_domain_has_hosts() - Whether @failure_domain has a live host. Callable from any worker.
 */
bool daemon_domain_has_hosts (Daemon *daemon, const char *failure_domain);

/** daemon_view_foreach() - Calls @each for every live host. Callable from any worker. */
void daemon_view_foreach (Daemon *daemon, void (*each) (const Host *host, void *data), void *data);

/** daemon_publish_config() - Activates @document and takes ownership of it. Control thread only. */
void daemon_publish_config (Daemon *daemon, ConfigDocument *document);

/** daemon_publish_view() - Activates @view and takes ownership of it. Control thread only. */
void daemon_publish_view (Daemon *daemon, HostView *view);

/** daemon_set_admitting() - Sets whether new work may start. Control thread only. */
void daemon_set_admitting (Daemon *daemon, bool admitting);

/** daemon_admits() - Whether new work may start. */
bool daemon_admits (const Daemon *daemon);

/** daemon_set_closing() - Records that callers are to be disconnected between transactions. */
void daemon_set_closing (Daemon *daemon);

/** daemon_set_ending() - Records that callers are to be answered and disconnected now. */
void daemon_set_ending (Daemon *daemon);

/** daemon_ending() - Whether callers are to be answered and disconnected now. */
bool daemon_ending (const Daemon *daemon);

/** daemon_closing() - Whether callers are to be disconnected between transactions. */
bool daemon_closing (const Daemon *daemon);

/** daemon_leaving() - Whether a graceful shutdown has begun. */
bool daemon_leaving (const Daemon *daemon);

/** daemon_add_jobs() - Adds to the number of statements and transactions held as an owner. */
void daemon_add_jobs (Daemon *daemon, int64_t delta);

/** daemon_jobs() - Number of statements and transactions held as an owner. */
uint64_t daemon_jobs (const Daemon *daemon);
