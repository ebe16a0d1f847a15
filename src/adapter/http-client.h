/**
 * DOC: Asynchronous HTTP client for an event loop; the only module that uses libcurl's multi
 * interface.
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
 * struct HttpResponse - Outcome of a request.
 * @status: HTTP status, or 0 if there was no response; the server may then have executed the
 *   request, unless @unsent is set: no connection was established.
 * @header: value of the header named in the request; %NULL if the response lacks it.
 * @body: @length bytes.
 */
typedef struct
{
  long status;
  bool unsent;
  const char *header;
  const char *body;
  size_t length;
} HttpResponse;

/** HttpDone - Completion callback; @response is valid during the call. */
typedef void (*HttpDone) (void *data, const HttpResponse *response);

/**
 * struct HttpRequest - One request; everything but @data is copied.
 * @method: "GET" or "POST". @url: absolute URL. @body: JSON, or %NULL.
 * @headers: additional headers, %NULL-terminated; may be %NULL.
 * @response_header: static name of the response header to return; may be %NULL.
 * @timeout_ms: limit for the whole request; then the connection is closed.
 * @abort_unsent: on a timeout, data that the server has not received is discarded, so that it
 *   can't execute the request later.
 */
typedef struct
{
  const char *method;
  const char *url;
  const char *body;
  const char *const *headers;
  const char *response_header;
  int64_t timeout_ms;
  bool abort_unsent;
  HttpDone done;
  void *data;
} HttpRequest;

/** http_client_new() - Client with its own connections; %NULL if out of memory. */
HttpClient *http_client_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers);

/** http_client_send() - Starts a request; @request->done is called when it completes. */
void http_client_send (HttpClient *client, const HttpRequest *request);
