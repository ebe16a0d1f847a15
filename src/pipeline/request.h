/**
 * DOC: A request from a caller's session to the owner of an instance and back: routing, sending,
 * retries and resolution of an outcome in doubt.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/verdict.h"
#include "config/service-config.h"
#include "runtime/worker.h"
#include "pipeline/session.h"
#include "policy/request-failure.h"

typedef struct Request Request;

/**
 * struct RequestOutcome - How a request ended.
 * @verdict: whether it may have run.
 * @refusal: why the proxy itself ended it; %REFUSAL_NONE when the backend server responded.
 * @detail: details of the refusal, or "".
 * @failed: the backend server responded with an error, which was relayed as data.
 * @transaction_status: 'I', 'T' or 'E' at the backend server.
 * @host: owner that responded; valid if @transaction_status is not 'I'.
 * @instance: instance that responded.
 * @transaction_key: key of the transaction at that owner.
 */
typedef struct
{
  Verdict verdict;
  RefusalKind refusal;
  const char *detail;
  bool failed;
  char transaction_status;
  const Host *host;
  uint32_t instance;
  uint64_t transaction_key;
} RequestOutcome;

/** struct RequestParam - One bound parameter; @value %NULL is SQL NULL. */
typedef struct
{
  const uint8_t *value;
  uint32_t length;
  uint32_t format;
} RequestParam;

/**
 * struct RequestOptions - A new request. All pointers but @session and the callbacks are copied;
 * the session must outlive the request or end it by request_abandon().
 * @data: part of the response, in whole protocol messages.
 * @done: the request has ended and is freed.
 */
typedef struct
{
  Session *session;
  const ClassConfig *class_config;
  RequestKind kind;
  Peridotstep__Operation operation;
  const char *sql;
  bool extended;
  bool describe;
  uint32_t param_count;
  const RequestParam *params;
  uint32_t type_count;
  const uint32_t *types;
  uint32_t result_format;
  void (*data) (void *user, const uint8_t *bytes, size_t length);
  void (*done) (void *user, const RequestOutcome *outcome);
  void *user;
} RequestOptions;

/** request_start() - Starts a request; @done may be called before it returns. */
void request_start (Worker *worker, const RequestOptions *options, Request **handle);

/** request_end_transaction() - Requests that @host roll back the transaction @key. */
void request_end_transaction (Worker *worker, const Host *host, const char *service, uint64_t key,
                              FrameLane lane);

/** request_credit() - Grants the owner @bytes of credit: the caller has consumed that much. */
void request_credit (Request *request, uint32_t bytes);

/** request_cancel() - Cancels a request; @done is called with its outcome as usual. */
void request_cancel (Request *request);

/** request_is_sent() - Whether an owner may have received it. */
bool request_is_sent (const Request *request);

/** request_abandon() - Frees the request of a caller that has disconnected; @done is not called. */
void request_abandon (Request *request);

/** request_dispatch() - Routes a request, also after it waited for a route or a position. */
void request_dispatch (Request *request);

/** request_sampled() - Continues a request with a position that was sampled after it arrived. */
void request_sampled (Request *request, SessionToken token);

/** request_table_new() - Creates the table of a worker's requests. */
RequestTable *request_table_new (TALLOC_CTX *parent, Worker *worker);

/** request_table_receive() - Handles a Data or Done frame and takes ownership of it. */
void request_table_receive (RequestTable *table, Frame *frame);

/** request_table_host_lost() - Handles the loss of the link to @host_id: no response will come. */
void request_table_host_lost (RequestTable *table, const char *host_id);
