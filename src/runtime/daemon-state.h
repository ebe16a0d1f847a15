/**
 * DOC: What the threads of one daemon share: settings, configuration, hosts, counters, and the
 * state of a shutdown. Several daemons may live in one process.
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
 * struct Origin - Where an answer has to go.
 * @worker: index of the worker that holds the link or the request.
 * @link: link id there; 0 for a request of that worker itself.
 */
typedef struct
{
  uint32_t worker;
  uint64_t link;
} Origin;

/**
 * struct NetworkEmulation - Emulated network between hosts and instances; demos only.
 * @delay_us: one-way delay between two failure domains.
 * @pipe: capacity from one region to another, or %NULL.
 */
typedef struct
{
  int64_t (*delay_us) (const char *from_domain, const char *to_domain, void *data);
  RegionLink *(*pipe) (const char *from_region, const char *to_region, void *data);
  void *data;
} NetworkEmulation;

/**
 * struct DaemonOptions - Settings of a daemon.
 * @self: id, place, address and ports; port 0 takes any and is filled in.
 * @caller_port: TCP port for callers.
 * @admin_port: TCP port of the admin pages.
 * @platform_url: base address of the platform's service.
 * @workers: threads that serve callers.

 * @trace_path: file to write decisions to, or %NULL.
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
 * struct DaemonHooks - The control thread, as workers and owners need it. From any thread.
 * @post_frame: a frame for control came from @origin; owns it.
 * @audit: records an event as row @key, when the store can; takes @value.
 * @status: JSON text for operators; g_free() it.
 */
typedef struct
{
  void (*post_frame) (void *data, Origin origin, Frame *frame);
  void (*audit) (void *data, const char *key, json_t *value);
  char *(*status) (void *data);
  void *data;
} DaemonHooks;

/** daemon_state_new() - State with an empty configuration. */
Daemon *daemon_state_new (const DaemonOptions *options);

/** daemon_state_free() - Frees it; no thread may use it any more. */
void daemon_state_free (Daemon *daemon);

/** daemon_state_options() - Its settings, to put in the ports that were taken. */
DaemonOptions *daemon_state_options (Daemon *daemon);

/** daemon_state_open_trace() - Opens the trace, if there is to be one. False if it can't be. */
bool daemon_state_open_trace (Daemon *daemon);

/** daemon_state_set_worker() - Worker number @index, before any thread starts. */
void daemon_state_set_worker (Daemon *daemon, uint32_t index, Worker *worker);

/** daemon_state_set_hooks() - The control thread, before any thread starts. */
void daemon_state_set_hooks (Daemon *daemon, const DaemonHooks *hooks);

/** daemon_state_set_threads() - Whoever starts and ends the threads keeps them here. */
void daemon_state_set_threads (Daemon *daemon, void *threads);

/** daemon_state_threads() - What was put there. */
void *daemon_state_threads (const Daemon *daemon);

/** daemon_state_set_leaving() - A graceful shutdown begins. */
void daemon_state_set_leaving (Daemon *daemon);

/** daemon_post_control() - A frame for the control thread came from @origin; owns it. */
void daemon_post_control (const Daemon *daemon, Origin origin, Frame *frame);

/** daemon_status() - JSON text for operators; g_free() it. */
char *daemon_status (const Daemon *daemon);

/** daemon_audit() - Records an event as row @key, when the store can; takes @value. */
void daemon_audit (const Daemon *daemon, const char *key, json_t *value);

/** daemon_options() - Its settings, with the ports that were taken. */
const DaemonOptions *daemon_options (const Daemon *daemon);

/** daemon_application_name() - How it names itself to backend servers: where it stands. */
const char *daemon_application_name (const Daemon *daemon);

/** daemon_counters() - Its counters. */
Counters *daemon_counters (Daemon *daemon);

/** daemon_trace() - Its trace of decisions; %NULL when none is written. */
Trace *daemon_trace (const Daemon *daemon);

/** Workers that a daemon can have. */
#define DAEMON_WORKERS_MAX 16

/** daemon_worker_count() - Number of worker threads. */
uint32_t daemon_worker_count (const Daemon *daemon);

/** daemon_worker() - Worker number @index. */
Worker *daemon_worker (const Daemon *daemon, uint32_t index);

/** daemon_service() - New reference to the service called @name, or %NULL. Any worker. */
ServiceConfig *daemon_service (Daemon *daemon, const char *name);

/** daemon_config() - New reference to the configuration in force. Any worker. */
ConfigDocument *daemon_config (Daemon *daemon);

/** daemon_config_version() - Its version, without a lock. */
uint64_t daemon_config_version (const Daemon *daemon);

/** daemon_view_version() - Version of the host view, without a lock. */
uint64_t daemon_view_version (const Daemon *daemon);

/**
 * daemon_owner() - Owner of an instance at @place of the order, in the current view. False
 * when there are not so many hosts. Any worker.
 */
bool daemon_owner (Daemon *daemon, uint64_t instance, const char *failure_domain,
                   const char *region, uint32_t place, Host *host);

/** daemon_domain_has_hosts() - Whether a live host stands in @failure_domain. Any worker. */
bool daemon_domain_has_hosts (Daemon *daemon, const char *failure_domain);

/** daemon_view_foreach() - Calls @each for every live host. Any worker. */
void daemon_view_foreach (Daemon *daemon, void (*each) (const Host *host, void *data), void *data);

/** daemon_publish_config() - Puts @document in force and owns it. Control thread only. */
void daemon_publish_config (Daemon *daemon, ConfigDocument *document);

/** daemon_publish_view() - Puts @view in force and owns it. Control thread only. */
void daemon_publish_view (Daemon *daemon, HostView *view);

/** daemon_set_admitting() - Whether new work may start. Control thread only. */
void daemon_set_admitting (Daemon *daemon, bool admitting);

/** daemon_admits() - Whether new work may start. */
bool daemon_admits (const Daemon *daemon);

/** daemon_set_closing() - Callers are to be ended between transactions. */
void daemon_set_closing (Daemon *daemon);

/** daemon_closing() - Whether callers are to be ended between transactions. */
bool daemon_closing (const Daemon *daemon);

/** daemon_leaving() - Whether a graceful shutdown has begun. */
bool daemon_leaving (const Daemon *daemon);

/** daemon_add_jobs() - Counts statements and transactions held as an owner. */
void daemon_add_jobs (Daemon *daemon, int64_t delta);

/** daemon_jobs() - That count. */
uint64_t daemon_jobs (const Daemon *daemon);
