/**
 * DOC: Routes of a worker, one for each service to which it sends requests: the hosts that own the
 * instances, the status of the instances as reported in responses, and the requests waiting for a
 * primary or a position.
 */
#pragma once

#include <stdbool.h>

#include "config/service-config.h"
#include "runtime/worker.h"
#include "policy/replica-choice.h"

typedef struct ServiceRoute ServiceRoute;
typedef struct Request Request;

/** route_table_new() - Creates the table of a worker's routes. */
RouteTable *route_table_new (TALLOC_CTX *parent, Worker *worker);

/** route_find() - Up-to-date route to @service; %NULL if the service is not configured. */
ServiceRoute *route_find (Worker *worker, const char *service);

/** route_config() - Configuration of the service; valid until the event loop runs again. */
ServiceConfig *route_config (const ServiceRoute *route);

/** route_views() - The known state of the instances. */
const InstanceView *route_views (const ServiceRoute *route);

/**
 * route_owner() - Host at @rank of the ownership order of @instance, 0 for the owner; false if
 * there is none.
 */
bool route_owner (ServiceRoute *route, uint32_t instance, uint32_t rank, Host *host);

/** route_update_instance() - Updates the state of @instance from the report in a response. */
void route_update_instance (ServiceRoute *route, uint32_t instance,
                            const Peridotstep__InstanceNews *report);

/** route_refused() - Records a refusal, after which @instance is skipped until @until_ms. */
void route_refused (ServiceRoute *route, uint32_t instance, int64_t until_ms);

/**
 * route_avoid_host() - Until @until_ms, uses the next host in ownership order in place of @host_id,
 * whose link was lost.
 */
void route_avoid_host (Worker *worker, const char *host_id, int64_t until_ms);

/** route_wake_waiters() - Dispatches the waiting requests after another request has succeeded. */
void route_wake_waiters (ServiceRoute *route);

/**
 * route_wait_primary() - Makes @request wait until a primary is known, or for its turn to look for
 * one.
 */
void route_wait_primary (ServiceRoute *route, Request *request);

/** route_wait_sample() - Makes @request wait for a position sampled from now on. */
void route_wait_sample (ServiceRoute *route, Request *request);

/** route_remove_waiter() - Removes @request from all waiting lists. */
void route_remove_waiter (ServiceRoute *route, Request *request);
