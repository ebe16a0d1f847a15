#include "pool/snapshot-exchange.h"

#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/stream.h"
#include "base/verdict.h"

/* Timeout of a request, including connecting; allows for several slow round trips. */
#define REQUEST_TIMEOUT_MS 400
/* Time for the other host to read the snapshot. */
#define SEND_TIMEOUT_MS 3000
/* Snapshots sent at once; further connections are closed, and those hosts ask another one. */
#define SENDS_MAX 16

/* A snapshot being sent to another host. */
typedef struct
{
  SnapshotExchange *exchange;
  Stream *stream;
  Timer timeout;
} SnapshotSend;

struct SnapshotExchange
{
  SnapshotExchangeOptions options;
  int listen_fd;
  struct tevent_fd *listen_fde;
  uint32_t active_sends;
  char preferred_host[CATALOG_NAME_BYTES];
  char requested_host[CATALOG_NAME_BYTES];
  Stream *stream; /* to the host being asked; %NULL for none */
  Timer timeout;
};

static int
exchange_destroy (SnapshotExchange *exchange)
{
  timer_clear (&exchange->timeout);
  TALLOC_FREE (exchange->listen_fde);
  if (exchange->listen_fd >= 0)
    close (exchange->listen_fd);
  return 0;
}

static int
send_destroy (SnapshotSend *send)
{
  timer_clear (&send->timeout);
  send->exchange->active_sends--;
  return 0;
}

static void
on_send_ended (void *data)
{
  talloc_free (data);
}

static void
on_drained (void *data)
{
}

static void
on_unexpected_input (void *data)
{
  SnapshotSend *send = data;

  // No input is expected; the other host closes once it has read everything.
  stream_consume (send->stream, stream_input (send->stream)->len);
}

static const StreamEvents send_events = { on_unexpected_input, on_drained, on_send_ended };

static void
send_snapshot (SnapshotExchange *exchange, int fd)
{
  SnapshotSend *send = talloc_zero (exchange, SnapshotSend);
  Snapshot snapshot = { 0 };

  send->exchange = exchange;
  exchange->active_sends++;
  talloc_set_destructor (send, send_destroy);
  send->timeout.fired = on_send_ended;
  send->timeout.data = send;
  timer_set (exchange->options.timers, &send->timeout, SEND_TIMEOUT_MS);
  send->stream = stream_new (send, exchange->options.events, fd, &send_events, send);
  exchange->options.fill (exchange->options.data, &snapshot);
  snapshot_append (&snapshot, stream_output (send->stream));
  snapshot_done (&snapshot);
  stream_flush (send->stream);
}

static void
on_accept (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  SnapshotExchange *exchange = data;
  int fd;

  while ((fd = stream_accept (exchange->listen_fd)) >= 0)
    if (exchange->active_sends < SENDS_MAX)
      send_snapshot (exchange, fd);
    else
      close (fd);
}

static void
end_request (SnapshotExchange *exchange, const char *result)
{
  log_event (LOG_LEVEL_INFO, "snapshot_asked", "host=%s result=%s", exchange->requested_host,
             result);
  timer_clear (&exchange->timeout);
  TALLOC_FREE (exchange->stream);
}

static void
on_response (void *data)
{
  SnapshotExchange *exchange = data;
  const GByteArray *input = stream_input (exchange->stream);
  Snapshot snapshot;

  switch (snapshot_read (input->data, input->len, &snapshot))
    {
    case SNAPSHOT_INCOMPLETE:
      return;
    case SNAPSHOT_MALFORMED:
      end_request (exchange, "malformed");
      return;
    case SNAPSHOT_COMPLETE:
      end_request (exchange, snapshot.catalog == NULL ? "empty" : "taken");
      exchange->options.received (exchange->options.data, &snapshot);
      snapshot_done (&snapshot);
      return;
    }
}

static void
on_response_closed (void *data)
{
  end_request (data, "closed");
}

static void
on_request_timeout (void *data)
{
  end_request (data, "unanswered");
}

static const StreamEvents request_events = { on_response, on_drained, on_response_closed };

SnapshotExchange *
snapshot_exchange_new (TALLOC_CTX *parent, const SnapshotExchangeOptions *options, GError **error)
{
  SnapshotExchange *exchange = talloc_zero (parent, SnapshotExchange);

  exchange->options = *options;
  exchange->listen_fd = -1;
  exchange->timeout.fired = on_request_timeout;
  exchange->timeout.data = exchange;
  talloc_set_destructor (exchange, exchange_destroy);
  exchange->listen_fd = stream_listen (options->address, options->port, false);
  if (exchange->listen_fd < 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO, "cannot listen on %s port %u",
                   options->address, options->port);
      talloc_free (exchange);
      return NULL;
    }
  exchange->listen_fde = tevent_add_fd (options->events, exchange, exchange->listen_fd,
                                        TEVENT_FD_READ, on_accept, exchange);
  return exchange;
}

void
snapshot_exchange_prefer (SnapshotExchange *exchange, const char *address)
{
  g_strlcpy (exchange->preferred_host, address, sizeof exchange->preferred_host);
}

void
snapshot_exchange_request (SnapshotExchange *exchange)
{
  int fd;

  if (exchange->stream != NULL || *exchange->preferred_host == '\0')
    return;
  // Each host is asked once: it may be gone, and later heartbeats name others.
  g_strlcpy (exchange->requested_host, exchange->preferred_host, sizeof exchange->requested_host);
  *exchange->preferred_host = '\0';
  fd = stream_connect (exchange->requested_host, exchange->options.port);
  if (fd < 0)
    {
      end_request (exchange, "unreachable");
      return;
    }
  exchange->stream = stream_new (exchange, exchange->options.events, fd, &request_events, exchange);
  timer_set (exchange->options.timers, &exchange->timeout, REQUEST_TIMEOUT_MS);
}
