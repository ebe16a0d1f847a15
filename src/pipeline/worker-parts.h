/**
 * DOC: The path of a request as a worker runs it: its tables of callers, requests, routes and
 * owned instances.
 */
#pragma once

#include "runtime/worker.h"

extern const WorkerHandlers pipeline_worker_handlers;
