/**
 * DOC: Stand-in for a database group's replication: logs, terms, positions. No I/O; time is
 * an argument. The rules are those of docs/PLATFORM.md.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "policy/failover.h"
#include "policy/session-token.h"

/** enum RecordKind - What a log record holds. */
typedef enum
{
  RECORD_TERM_BEGIN,
  RECORD_COMMIT,
  RECORD_ABORT /* the transaction id may never commit from here on */
} RecordKind;

/** struct LogRecord - One record; reference counted, shared between the instances' logs. */
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
 * struct GroupLogEvents - How records reach an instance's database.
 * @apply: applies a record; false to try again later.
 * @reset: the database starts over, empty; its connections are closed.
 * @demoted: it is no longer the primary: open transactions are rolled back.
 */
typedef struct
{
  bool (*apply) (void *data, uint32_t instance, const LogRecord *record);
  void (*reset) (void *data, uint32_t instance);
  void (*demoted) (void *data, uint32_t instance);
} GroupLogEvents;

/** group_log_new() - Group of @count instances; instance 0 starts as the primary of term 1. */
GroupLog *group_log_new (uint32_t count, const GroupLogEvents *events, void *data);

/** group_log_free() - Frees it. */
void group_log_free (GroupLog *log);

/** group_log_set_delay() - One-way delay from @from to @to, in milliseconds. */
void group_log_set_delay (GroupLog *log, uint32_t from, uint32_t to, int64_t delay_ms);

/** group_log_set_lag() - Time between receiving and applying at @instance. */
void group_log_set_lag (GroupLog *log, uint32_t instance, int64_t lag_ms);

/** group_log_set_partitioned() - Cuts @instance off from the rest of its group, or heals it. */
void group_log_set_partitioned (GroupLog *log, uint32_t instance, bool cut);

/** group_log_status() - What @instance would say of itself at @now_ms. */
InstanceStatus group_log_status (const GroupLog *log, uint32_t instance, int64_t now_ms);

/** enum CommitCheck - Whether a transaction may commit. */
typedef enum
{
  COMMIT_ALLOWED,
  COMMIT_NOT_PRIMARY,
  COMMIT_ID_RESOLVED /* an outcome look-up ruled it out, or it has committed before */
} CommitCheck;

/** group_log_check_commit() - Checks before the database commits; @transaction_id may be %NULL. */
CommitCheck group_log_check_commit (const GroupLog *log, uint32_t instance,
                                    const char *transaction_id);

/** group_log_commit() - Appends a commit; takes over @statements. */
SessionToken group_log_commit (GroupLog *log, uint32_t instance, const char *transaction_id,
                               GPtrArray *statements, int64_t now_ms);

/** group_log_advance_term() - Succeeds only if @term is greater than any seen by @instance. */
bool group_log_advance_term (GroupLog *log, uint32_t instance, uint64_t term);

/** group_log_promote() - Makes @instance the primary of @term, if it has accepted that term. */
bool group_log_promote (GroupLog *log, uint32_t instance, uint64_t term, int64_t now_ms);

/** group_log_follow() - @instance replicates from @primary in @term; never for a lower term. */
bool group_log_follow (GroupLog *log, uint32_t instance, uint64_t term, uint32_t primary);

/**
 * group_log_resolve() - Outcome of a transaction id on a primary: whether it committed, and
 * the position that shows it; an unknown id is ruled out for good. False if not the primary.
 */
bool group_log_resolve (GroupLog *log, uint32_t instance, const char *transaction_id,
                        int64_t now_ms, bool *committed, SessionToken *token);

/** group_log_tick() - Moves records along. */
void group_log_tick (GroupLog *log, int64_t now_ms);
