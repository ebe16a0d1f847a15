/**
 * DOC: What a worker knows of each service it sends work to: which hosts own its instances,
 * what their answers said of them, and the requests that wait for a primary or a position.
 */
#pragma once

#include <stdbool.h>

#include "config/service-config.h"
#include "runtime/worker.h"
#include "policy/replica-choice.h"

typedef struct ServiceRoute ServiceRoute;
typedef struct Request Request;

/** route_table_new() - Routes of a worker. */
RouteTable *route_table_new (TALLOC_CTX *parent, Worker *worker);

/** route_find() - Up-to-date route to @service; %NULL if the configuration has no such service. */
ServiceRoute *route_find (Worker *worker, const char *service);

/** route_config() - Configuration of the service; valid until the event loop runs again. */
ServiceConfig *route_config (const ServiceRoute *route);

/** route_views() - What is known of the instances. */
const InstanceView *route_views (const ServiceRoute *route);

/** route_owner() - Owner of @instance at @place of the order; false if there is none. */
bool route_owner (ServiceRoute *route, uint32_t instance, uint32_t place, Host *host);

/** route_update_instance() - An owner's answer said something of @instance. */
void route_update_instance (ServiceRoute *route, uint32_t instance,
                            const Peridotstep__InstanceNews *news);

/** route_refused() - The owner of @instance refused for a while. */
void route_refused (ServiceRoute *route, uint32_t instance, int64_t until_ms);

/** route_avoid_host() - The link to @host_id was lost; others stand in for it until then. */
void route_avoid_host (Worker *worker, const char *host_id, int64_t until_ms);

/** route_wake_waiters() - A request was answered; those that wait for a route go on. */
void route_wake_waiters (ServiceRoute *route);

/** route_wait_primary() - @request waits until a primary is known, or for its turn to look for one.
 */
void route_wait_primary (ServiceRoute *route, Request *request);

/** route_wait_sample() - @request waits for a position sampled from the primary after now. */
void route_wait_sample (ServiceRoute *route, Request *request);

/** route_remove_waiter() - @request waits no more. */
void route_remove_waiter (ServiceRoute *route, Request *request);
