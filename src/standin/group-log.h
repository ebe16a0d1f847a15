/**
 * DOC: Emulates the replication of a database group: logs, terms, positions. Does no I/O and takes
 * the time as an argument. The rules are specified in docs/PLATFORM.md.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "policy/failover.h"
#include "policy/session-token.h"

/** enum RecordKind - Type of a log record. */
typedef enum
{
  RECORD_TERM_BEGIN,
  RECORD_COMMIT,
  RECORD_ABORT /* no transaction with this id may commit after this record */
} RecordKind;

/** struct LogRecord - A log record; reference counted, shared by the logs of the instances. */
typedef struct
{
  SessionToken token;
  RecordKind kind;
  char *transaction_id;
  GPtrArray *statements;
  int64_t written_ms;
} LogRecord;

typedef struct GroupLog GroupLog;

/**
 * struct GroupLogEvents - Callbacks that change the database of an instance.
 * @apply: applies a record; returns false to be called again later.
 * @reset: replaces the database by an empty one and closes its connections.
 * @demoted: the instance is no longer the primary; rolls back its open transactions.
 */
typedef struct
{
  bool (*apply) (void *data, uint32_t instance, const LogRecord *record);
  void (*reset) (void *data, uint32_t instance);
  void (*demoted) (void *data, uint32_t instance);
} GroupLogEvents;

/** group_log_new() - Group of @count instances; instance 0 is the primary of term 1. */
GroupLog *group_log_new (uint32_t count, const GroupLogEvents *events, void *data);

/** group_log_free() - Frees @log. */
void group_log_free (GroupLog *log);

/** group_log_set_delay() - Sets the one-way delay from @from to @to, in milliseconds. */
void group_log_set_delay (GroupLog *log, uint32_t from, uint32_t to, int64_t delay_ms);

/**
 * group_log_set_lag() - Sets the time, in milliseconds, from writing a record on the primary until
 * @instance applies it. The network delay is not added to it.
 */
void group_log_set_lag (GroupLog *log, uint32_t instance, int64_t lag_ms);

/** group_log_set_partitioned() - Starts or ends a partition of @instance from its group. */
void group_log_set_partitioned (GroupLog *log, uint32_t instance, bool partitioned);

/** group_log_status() - Status that @instance reports at @now_ms. */
InstanceStatus group_log_status (const GroupLog *log, uint32_t instance, int64_t now_ms);

/** enum CommitCheck - Whether a transaction may commit. */
typedef enum
{
  COMMIT_ALLOWED,
  COMMIT_NOT_PRIMARY,
  COMMIT_ID_RESOLVED /* an outcome look-up aborted the id, or it has already committed */
} CommitCheck;

/**
 * group_log_check_commit() - Whether a transaction may commit on @instance; called before the
 * database commits. @transaction_id may be %NULL.
 */
CommitCheck group_log_check_commit (const GroupLog *log, uint32_t instance,
                                    const char *transaction_id);

/** group_log_commit() - Appends a commit record; takes ownership of @statements. */
SessionToken group_log_commit (GroupLog *log, uint32_t instance, const char *transaction_id,
                               GPtrArray *statements, int64_t now_ms);

/**
 * group_log_advance_term() - Moves @instance to @term and fences it if it is the primary; succeeds
 * only if @term is greater than any term that @instance has seen.
 */
bool group_log_advance_term (GroupLog *log, uint32_t instance, uint64_t term);

/**
 * group_log_promote() - Makes @instance the primary of @term. False if @instance has not accepted
 * that term or cannot apply all of its records yet.
 */
bool group_log_promote (GroupLog *log, uint32_t instance, uint64_t term, int64_t now_ms);

/**
 * group_log_follow() - Makes @instance replicate from @primary in @term. Refuses a term lower than
 * that of @instance, and the same term if @instance is the primary.
 */
bool group_log_follow (GroupLog *log, uint32_t instance, uint64_t term, uint32_t primary);

/**
 * group_log_resolve() - Looks up the outcome of a transaction id on the primary: whether it
 * committed, and the log position that a majority must hold before the outcome is final. Aborts an
 * unknown id for good, so that the outcome cannot change later. False if @instance is not the
 * primary.
 */
bool group_log_resolve (GroupLog *log, uint32_t instance, const char *transaction_id,
                        int64_t now_ms, bool *committed, SessionToken *token);

/** group_log_tick() - Replicates and applies the records that are due at @now_ms. */
void group_log_tick (GroupLog *log, int64_t now_ms);
