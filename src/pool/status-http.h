/**
 * DOC: HTTP pages of a pooling daemon, served from its event loop: readiness and metrics.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

#include "base/timer-queue.h"

/** Path of the metrics page. */
#define STATUS_METRICS_PATH "/metrics"

typedef struct StatusHttp StatusHttp;

/**
 * struct StatusHttpOptions - Address and pages.
 * @ready_path: page that answers 200 or 503 according to @ready.
 * @metrics: appends the text of the metrics page.
 */
typedef struct
{
  const char *address;
  uint16_t port;
  const char *ready_path;
  bool (*ready) (void *data);
  void (*metrics) (void *data, GString *out);
  void *data;
} StatusHttpOptions;

/** status_http_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
StatusHttp *status_http_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers,
                             const StatusHttpOptions *options, GError **error);
