/**
 * DOC: The callers' connections of one worker: accepts them, routes cancel requests to them, and
 * closes them at shutdown.
 */
#pragma once

#include "runtime/worker.h"

typedef struct Caller Caller;

/** caller_table_new() - Accepts callers on the listening socket @fd, which the table owns. */
CallerTable *caller_table_new (TALLOC_CTX *parent, Worker *worker, int fd);

/** caller_table_worker_of() - Index of the worker encoded in the process id of a cancel key. */
uint32_t caller_table_worker_of (uint32_t pid);

/** caller_table_cancel() - Cancels the running statement of (pid, key), if this table has it. */
void caller_table_cancel (CallerTable *table, uint32_t pid, uint32_t key);

/**
 * caller_table_request_cancel() - Forwards a cancel request for (pid, key) to its host and worker.
 */
void caller_table_request_cancel (CallerTable *table, uint32_t pid, uint32_t key);

/** caller_table_closed() - Removes and frees @caller, whose connection has ended. */
void caller_table_closed (CallerTable *table, Caller *caller);
