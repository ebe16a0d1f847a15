/**
 * DOC: Positions that cover all that was acknowledged, for sessions that came without a token.
 * One sample serves all that were waiting when it was asked for.
 */
#pragma once

#include "runtime/worker.h"

typedef struct Sampler Sampler;
typedef struct Request Request;

/** sampler_new() - Sampler of the service called @service. */
Sampler *sampler_new (TALLOC_CTX *parent, Worker *worker, const char *service);

/** sampler_wait() - @request is given the position of a sample asked for from now on. */
void sampler_wait (Sampler *sampler, Request *request);

/** sampler_remove_waiter() - @request waits no more. */
void sampler_remove_waiter (Sampler *sampler, Request *request);
