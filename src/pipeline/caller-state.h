/**
 * DOC: State of a caller's connection, shared by the modules that serve it: caller.c (connection
 * and simple queries) and caller-extended.c (extended query protocol).
 */
#pragma once

#include "adapter/pgwire.h"
#include "base/stream.h"
#include "pipeline/caller.h"
#include "pipeline/prepared.h"
#include "pipeline/request.h"

/**
 * struct RunningStatement - The statement in progress.
 * @strip_parameters: omit the parameter description from the response to Describe.
 * @answer_started: part of the response has been sent to the caller.
 */
typedef struct
{
  Peridotstep__Operation operation;
  bool extended;
  bool strip_parameters;
  bool answer_started;
} RunningStatement;

/**
 * struct Caller - One caller's connection.
 * @request: request in flight, or %NULL.
 * @processing: input messages are being processed; guards against recursion.
 * @skip_to_sync: an error ended the batch; messages are ignored until Sync.
 * @describe_pending: the description of @describe_portal is deferred to its execution.
 * @reported_token: session token last reported to the caller.
 * @uncredited_bytes: relayed bytes of the response that have not been credited to the owner yet.
 * @active_ms: time of the last activity.
 */
struct Caller
{
  CallerOptions options;
  Stream *stream;
  Session session;
  PreparedStore *prepared;
  Request *request;
  RunningStatement running;
  bool started;
  bool ending;  /* the rest of its output is being sent */
  guint unsent; /* bytes at the last look, while it is ending */
  bool processing;
  bool skip_to_sync;
  bool between; /* the last message was answered with ReadyForQuery */
  bool describe_pending;
  char describe_portal[NAME_BYTES];
  SessionToken reported_token;
  uint32_t uncredited_bytes;
  int64_t active_ms;
};

/** caller_output() - Output buffer. */
GByteArray *caller_output (Caller *caller);

/** caller_end_malformed() - Ends the connection because of malformed input. */
void caller_end_malformed (Caller *caller, const char *message);

/** caller_refuse_statement() - Responds with an error raised by the entry host itself. */
void caller_refuse_statement (Caller *caller, bool extended, const char *sqlstate,
                              const char *message);

/**
 * caller_refuse_early() - Refuses a statement that can't run in the current state; true if it did.
 */
bool caller_refuse_early (Caller *caller, const char *sql, bool extended);

/**
 * caller_run_locally() - Handles transaction control and the statements that the entry host answers
 * itself; false for all others.
 */
bool caller_run_locally (Caller *caller, const char *sql, bool extended);

/** caller_send_request() - Starts a request for a statement. */
void caller_send_request (Caller *caller, const char *sql, RequestOptions *options,
                          bool strip_parameters);

/**
 * caller_extended_message() - Handles a message of the extended query protocol; false for others.
 */
bool caller_extended_message (Caller *caller, const PgwireMessage *message);

/**
 * caller_extended_flush_describe() - Called before @next is handled: unless @next executes the
 * portal whose description is pending, requests the description separately. Returns whether a
 * request was started.
 */
bool caller_extended_flush_describe (Caller *caller, const PgwireMessage *next);
