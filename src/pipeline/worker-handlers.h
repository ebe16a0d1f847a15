/**
 * DOC: The request path of a worker: the handlers that run its tables of callers, requests, routes
 * and owned instances.
 */
#pragma once

#include "runtime/worker.h"

extern const WorkerHandlers pipeline_worker_handlers;
