/**
 * DOC: Samples positions that cover every acknowledged write, for sessions without a token. One
 * sample serves all requests that were waiting when it was requested.
 */
#pragma once

#include "runtime/worker.h"

typedef struct Sampler Sampler;
typedef struct Request Request;

/** sampler_new() - Creates the sampler of @service. */
Sampler *sampler_new (TALLOC_CTX *parent, Worker *worker, const char *service);

/** sampler_wait() - Passes to @request the position of a sample that is requested from now on. */
void sampler_wait (Sampler *sampler, Request *request);

/** sampler_remove_waiter() - Removes @request from the waiting requests. */
void sampler_remove_waiter (Sampler *sampler, Request *request);
