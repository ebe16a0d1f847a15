#include "pool/status-http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include <microhttpd.h>

#include "base/verdict.h"

/* Timeout of idle connections. */
#define CONNECTION_TIMEOUT_S 5u
#define CONNECTIONS_MAX 64u
/* Longest interval at which the library checks its timeouts. */
#define TICK_MS 1000

struct StatusHttp
{
  StatusHttpOptions options;
  TimerQueue *timers;
  struct MHD_Daemon *server;
  struct tevent_fd *fde;
  Timer tick;
};

static enum MHD_Result
respond (struct MHD_Connection *connection, unsigned int status, GString *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (text->len, text->str, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  MHD_add_response_header (response, "Content-Type", "text/plain; version=0.0.4");
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  g_string_free (text, true);
  return result;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **request)
{
  StatusHttp *http = data;
  const StatusHttpOptions *options = &http->options;
  GString *text = g_string_new ("");

  if (strcmp (url, options->ready_path) == 0)
    {
      const bool ready = options->ready (options->data);

      g_string_append (text, ready ? "ready\n" : "not ready\n");
      return respond (connection, ready ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE, text);
    }
  if (strcmp (url, STATUS_METRICS_PATH) == 0)
    {
      options->metrics (options->data, text);
      return respond (connection, MHD_HTTP_OK, text);
    }
  return respond (connection, MHD_HTTP_NOT_FOUND, text);
}

static void
on_ready (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  StatusHttp *http = data;

  MHD_run (http->server);
}

static void
on_tick (void *data)
{
  StatusHttp *http = data;

  timer_set (http->timers, &http->tick, TICK_MS);
  MHD_run (http->server);
}

static int
status_http_destroy (StatusHttp *http)
{
  timer_clear (&http->tick);
  TALLOC_FREE (http->fde);
  MHD_stop_daemon (http->server);
  return 0;
}

StatusHttp *
status_http_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers,
                 const StatusHttpOptions *options, GError **error)
{
  struct sockaddr_in address = { .sin_family = AF_INET, .sin_port = htons (options->port) };
  StatusHttp *http = talloc_zero (parent, StatusHttp);
  const union MHD_DaemonInfo *info;

  http->options = *options;
  http->timers = timers;
  if (inet_pton (AF_INET, options->address, &address.sin_addr) == 1)
    http->server = MHD_start_daemon (
        MHD_USE_EPOLL, options->port, NULL, NULL, on_request, http, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, MHD_OPTION_CONNECTION_LIMIT,
        CONNECTIONS_MAX, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
  if (http->server == NULL)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot listen on %s port %u",
                   options->address, options->port);
      talloc_free (http);
      return NULL;
    }
  info = MHD_get_daemon_info (http->server, MHD_DAEMON_INFO_EPOLL_FD);
  http->fde = tevent_add_fd (events, http, info->epoll_fd, TEVENT_FD_READ, on_ready, http);
  http->tick.fired = on_tick;
  http->tick.data = http;
  timer_set (timers, &http->tick, TICK_MS);
  talloc_set_destructor (http, status_http_destroy);
  return http;
}
