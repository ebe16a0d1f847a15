/**
 * DOC: State of a caller's connection, shared by the modules that serve it: caller.c (the
 * connection, simple statements) and caller-extended.c (the extended protocol).
 */
#pragma once

#include "adapter/pgwire.h"
#include "base/stream.h"
#include "pipeline/caller.h"
#include "pipeline/prepared.h"
#include "pipeline/request.h"

/**
 * struct Running - The statement in progress.
 * @strip_parameters: leave the parameters out of its description.
 * @answer_started: part of its answer went to the caller.
 */
typedef struct
{
  Peridotstep__Operation operation;
  bool extended;
  bool strip_parameters;
  bool answer_started;
} Running;

/**
 * struct Caller - One caller's connection.
 * @request: statement in progress, or %NULL.
 * @processing: messages are being taken off the input.
 * @skip_to_sync: an error ended the batch; the rest of it is passed over.
 * @describe_pending: @describe_portal is to be described along with its execution.
 * @reported: token last reported.
 * @uncredited_bytes: part of the answer that has not been credited.
 * @active_ms: when it last did anything.
 */
struct Caller
{
  CallerOptions options;
  Stream *stream;
  Session session;
  PreparedStore *prepared;
  Request *request;
  Running running;
  bool started;
  bool ending;
  bool processing;
  bool skip_to_sync;
  bool describe_pending;
  char describe_portal[NAME_BYTES];
  SessionToken reported;
  uint32_t uncredited_bytes;
  int64_t active_ms;
};

/** caller_output() - Output buffer. */
GByteArray *caller_output (Caller *caller);

/** caller_end_malformed() - Ends the connection over input that can't be read. Frees @caller. */
void caller_end_malformed (Caller *caller, const char *message);

/** caller_refuse_statement() - Answers with an error of the entry host's own. */
void caller_refuse_statement (Caller *caller, bool extended, const char *sqlstate,
                              const char *message);

/** caller_refuse_early() - Refuses what can't run now; true if it did. */
bool caller_refuse_early (Caller *caller, const char *sql, bool extended);

/** caller_run_locally() - Answers transaction verbs and the like; false for the rest. */
bool caller_run_locally (Caller *caller, const char *sql, bool extended);

/** caller_send_request() - Hands a statement on. */
void caller_send_request (Caller *caller, const char *sql, RequestOptions *options,
                          bool strip_parameters);

/** caller_extended_message() - Handles a message of the extended protocol; false for others. */
bool caller_extended_message (Caller *caller, const PgwireMessage *message);

/**
 * caller_extended_flush_describe() - Before @next is handled: describes a portal whose Execute does
 * not follow. Returns whether that was started.
 */
bool caller_extended_flush_describe (Caller *caller, const PgwireMessage *next);
