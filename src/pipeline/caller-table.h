/**
 * DOC: The caller connections of a worker: accepting, cancelling, ending them for shutdown.
 */
#pragma once

#include "runtime/worker.h"

typedef struct Caller Caller;

/** caller_table_new() - Accepts callers on the listening socket @fd, which it owns. */
CallerTable *caller_table_new (TALLOC_CTX *parent, Worker *worker, int fd);

/** caller_table_worker_of() - Worker that a cancel key's process id names. */
uint32_t caller_table_worker_of (uint32_t pid);

/** caller_table_cancel() - Cancels the running statement of (pid, key), if it is here. */
void caller_table_cancel (CallerTable *table, uint32_t pid, uint32_t key);

/** caller_table_request_cancel() - A caller asks to cancel (pid, key), wherever it is. */
void caller_table_request_cancel (CallerTable *table, uint32_t pid, uint32_t key);

/** caller_table_closed() - @caller is gone: frees it. */
void caller_table_closed (CallerTable *table, Caller *caller);
