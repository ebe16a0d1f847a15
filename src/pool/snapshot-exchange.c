#include "pool/snapshot-exchange.h"

#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/stream.h"
#include "base/verdict.h"

/* Time for an answer, with connecting: several links of the slow kind. */
#define ASK_LIMIT_MS 400
/* Time for a host that asked to take its answer. */
#define SERVE_LIMIT_MS 3000
/* Hosts served at once; others find nobody and ask elsewhere. */
#define SERVED_MAX 16

/* One host that is being sent a snapshot. */
typedef struct
{
  SnapshotExchange *exchange;
  Stream *stream;
  Timer limit;
} Serving;

struct SnapshotExchange
{
  SnapshotExchangeOptions options;
  int listen_fd;
  struct tevent_fd *listen_fde;
  uint32_t served;
  char preferred[CATALOG_NAME_BYTES];
  char asked[CATALOG_NAME_BYTES];
  Stream *stream; /* to the host being asked; %NULL for none */
  Timer limit;
};

static int
exchange_destroy (SnapshotExchange *exchange)
{
  timer_clear (&exchange->limit);
  TALLOC_FREE (exchange->listen_fde);
  if (exchange->listen_fd >= 0)
    close (exchange->listen_fd);
  return 0;
}

static int
serving_destroy (Serving *serving)
{
  timer_clear (&serving->limit);
  serving->exchange->served--;
  return 0;
}

static void
on_served (void *data)
{
  talloc_free (data);
}

static void
on_ignored (void *data)
{
}

static void
on_question (void *data)
{
  Serving *serving = data;

  // Nothing is expected; the other end closes when it has read all.
  stream_consume (serving->stream, stream_input (serving->stream)->len);
}

static const StreamEvents serving_events = { on_question, on_ignored, on_served };

static void
serve (SnapshotExchange *exchange, int fd)
{
  Serving *serving = talloc_zero (exchange, Serving);
  Snapshot snapshot = { 0 };

  serving->exchange = exchange;
  exchange->served++;
  talloc_set_destructor (serving, serving_destroy);
  serving->limit.fired = on_served;
  serving->limit.data = serving;
  timer_set (exchange->options.timers, &serving->limit, SERVE_LIMIT_MS);
  serving->stream = stream_new (serving, exchange->options.events, fd, &serving_events, serving);
  exchange->options.fill (exchange->options.data, &snapshot);
  snapshot_append (&snapshot, stream_output (serving->stream));
  snapshot_done (&snapshot);
  stream_flush (serving->stream);
}

static void
on_accept (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  SnapshotExchange *exchange = data;
  int fd;

  while ((fd = stream_accept (exchange->listen_fd)) >= 0)
    if (exchange->served < SERVED_MAX)
      serve (exchange, fd);
    else
      close (fd);
}

static void
end_asking (SnapshotExchange *exchange, const char *result)
{
  log_event (LOG_LEVEL_INFO, "snapshot_asked", "host=%s result=%s", exchange->asked, result);
  timer_clear (&exchange->limit);
  TALLOC_FREE (exchange->stream);
}

static void
on_answer (void *data)
{
  SnapshotExchange *exchange = data;
  const GByteArray *input = stream_input (exchange->stream);
  Snapshot snapshot;

  switch (snapshot_read (input->data, input->len, &snapshot))
    {
    case SNAPSHOT_INCOMPLETE:
      return;
    case SNAPSHOT_MALFORMED:
      end_asking (exchange, "malformed");
      return;
    case SNAPSHOT_COMPLETE:
      end_asking (exchange, snapshot.catalog == NULL ? "empty" : "taken");
      exchange->options.received (exchange->options.data, &snapshot);
      snapshot_done (&snapshot);
      return;
    }
}

static void
on_answer_closed (void *data)
{
  end_asking (data, "closed");
}

static void
on_ask_limit (void *data)
{
  end_asking (data, "unanswered");
}

static const StreamEvents asking_events = { on_answer, on_ignored, on_answer_closed };

SnapshotExchange *
snapshot_exchange_new (TALLOC_CTX *parent, const SnapshotExchangeOptions *options, GError **error)
{
  SnapshotExchange *exchange = talloc_zero (parent, SnapshotExchange);

  exchange->options = *options;
  exchange->listen_fd = -1;
  exchange->limit.fired = on_ask_limit;
  exchange->limit.data = exchange;
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
  g_strlcpy (exchange->preferred, address, sizeof exchange->preferred);
}

void
snapshot_exchange_request (SnapshotExchange *exchange)
{
  int fd;

  if (exchange->stream != NULL || *exchange->preferred == '\0')
    return;
  // It is asked once; it may be gone by now, and others will tell.
  g_strlcpy (exchange->asked, exchange->preferred, sizeof exchange->asked);
  *exchange->preferred = '\0';
  fd = stream_connect (exchange->asked, exchange->options.port);
  if (fd < 0)
    {
      end_asking (exchange, "unreached");
      return;
    }
  exchange->stream = stream_new (exchange, exchange->options.events, fd, &asking_events, exchange);
  timer_set (exchange->options.timers, &exchange->limit, ASK_LIMIT_MS);
}
