#include "base/clock.h"
#include "pool/session-forward.h"
#include "pool/session-state.h"

/* A statement under way is held as the caller's line, its parsed parts and the line to the
 * instance. */
#define STATEMENT_COPIES 3

gsize
pool_session_memory (const PoolSession *session)
{
  gsize bytes = stream_buffered (session->stream) + session->values.bytes;

  if (session->active)
    bytes += STATEMENT_COPIES * session->statement_bytes;
  if (session->forward != NULL)
    bytes += session_forward_buffered (session->forward);
  return bytes;
}

void
session_charge (PoolSession *session)
{
  const gsize bytes = pool_session_memory (session);

  pool_server_charge (session->server, session->charged_bytes, bytes);
  session->charged_bytes = bytes;
}

bool
pool_session_is_open (const PoolSession *session)
{
  return session->database_name != NULL;
}

int64_t
pool_session_idle_since_ms (const PoolSession *session)
{
  if (session->active || session->finishing || session->closing
      || session->transaction != TRANSACTION_NONE)
    return INT64_MAX;
  return session->used_ms;
}

/* Whether the rest of a message, or the first one, is missing for too long. */
static bool
is_sending_slowly (PoolSession *session, int64_t now_ms)
{
  const bool partial
      = !session->active
        && (stream_input (session->stream)->len > 0 || session->database_name == NULL);

  if (!partial)
    session->partial_ms = 0;
  else if (session->partial_ms == 0)
    session->partial_ms = now_ms;
  return partial && now_ms - session->partial_ms >= session->options->message_limit_ms;
}

static bool
is_reading_slowly (PoolSession *session, int64_t now_ms)
{
  const guint unsent = stream_pending (session->stream);

  if (unsent == 0)
    session->stalled_ms = 0;
  else if (session->stalled_ms == 0 || unsent != session->stalled_unsent)
    session->stalled_ms = now_ms;
  session->stalled_unsent = unsent;
  return unsent > 0 && now_ms - session->stalled_ms >= session->options->answer_limit_ms;
}

void
session_check_progress (PoolSession *session)
{
  const int64_t now_ms = clock_now_ms ();

  if (session->closing || session->finishing || session->notified)
    return;
  if (!is_sending_slowly (session, now_ms) && !is_reading_slowly (session, now_ms))
    return;
  pool_metrics_count (session->options->metrics, POOL_COUNT_ENDED_SLOW);
  pool_session_close (session, SESSION_END_SLOW);
}
