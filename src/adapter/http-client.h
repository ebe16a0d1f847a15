/**
 * DOC: HTTP calls in an event loop; the only user of libcurl's multi interface.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"

typedef struct HttpClient HttpClient;
typedef struct HttpCall HttpCall;

/**
 * HttpDone - A call ended. @status is 0 when no answer came: the call may have been carried
 * out, unless @unsent says that no connection was made.
 */
typedef void (*HttpDone) (void *data, long status, bool unsent, const char *body, size_t length);

/**
 * struct HttpRequest - One call; all is copied but @data.
 * @method: "GET" or "POST". @url: whole URL. @body: JSON, or %NULL.
 * @headers: more headers, ends with %NULL; may be %NULL.
 * @timeout_ms: for all of it; after it the connection is closed.
 * @abort_unsent: bytes that the other end has not got are dropped when the call times out,
 *   so that it can't be carried out later.
 */
typedef struct
{
  const char *method;
  const char *url;
  const char *body;
  const char *const *headers;
  int64_t timeout_ms;
  bool abort_unsent;
  HttpDone done;
  void *data;
} HttpRequest;

/** http_client_new() - Client with its own connections; %NULL without memory. */
HttpClient *http_client_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers);

/** http_client_send() - Starts a call. */
void http_client_send (HttpClient *client, const HttpRequest *request);
