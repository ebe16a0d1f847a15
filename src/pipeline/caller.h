/**
 * DOC: One caller's connection: startup, statements and responses.
 */
#pragma once

#include <stdint.h>

#include "runtime/worker.h"

typedef struct Caller Caller;

/** struct CallerOptions - A new connection on socket @fd. @pid and @key form its cancel key. */
typedef struct
{
  Worker *worker;
  CallerTable *table;
  int fd;
  uint32_t pid;
  uint32_t key;
} CallerOptions;

/** caller_new() - Creates the connection, which takes ownership of the socket. */
Caller *caller_new (TALLOC_CTX *parent, const CallerOptions *options);

/** caller_matches() - Whether (pid, key) is the connection's cancel key. */
bool caller_matches (const Caller *caller, uint32_t pid, uint32_t key);

/** caller_cancel() - Cancels its running statement. */
void caller_cancel (Caller *caller);

/**
 * caller_end_if_idle() - Ends the connection with 57P01 if it has been idle since @since_ms,
 * outside a transaction.
 */
void caller_end_if_idle (Caller *caller, int64_t since_ms);

/**
 * caller_end_now() - Ends the connection; a statement in flight is answered without its result, and
 * an open transaction is rolled back.
 */
void caller_end_now (Caller *caller);
