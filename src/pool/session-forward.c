#include "pool/session-forward.h"

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "pool/forward.pb-c.h"
#include "pool/session-state.h"

/* An owner that has not opened the session by then is avoided. */
#define OPEN_TIMEOUT_MS 350
/* Owners tried before this host serves the session itself. */
#define OWNER_ATTEMPTS 2
/* The owner ends each statement at its time limit; it is lost if that takes this much longer. */
#define ANSWER_MARGIN_MS 300

/**
 * struct SessionForward - A session's connection to an owner.
 * @state: transaction state of the session at the owner: 'I', 'T' or 'E'.
 * @wrote: the open transaction, or the single statement, may have written.
 * @lost: the owner was lost within a transaction, which the caller has not been told.
 */
struct SessionForward
{
  PoolSession *session;
  Stream *stream;
  GBytes *open_message;
  uint64_t owner;
  char service[CATALOG_NAME_BYTES];
  uint32_t attempt;
  bool open;
  char state;
  bool wrote;
  bool lost;
};

static void try_next_owner (SessionForward *forward);

static int
forward_destroy (SessionForward *forward)
{
  g_bytes_unref (forward->open_message);
  return 0;
}

/* The caller's session ends after the answer: its values are gone with the owner. */
static void
answer_and_end (PoolSession *session, SessionEnd end, AnswerCode code, const char *reason)
{
  session->reason = reason;
  session_record_outcome (session, code, reason);
  session->options->codec->write_error (session_output (session), code, reason);
  session->options->codec->write_ready (session_output (session), 'I', (SessionToken){ 0 });
  session->transaction = TRANSACTION_NONE;
  session->active = false;
  statement_done (&session->statement);
  session_notify_end (session, end);
}

/* Whether the statement that the owner was running may have run for good. The owner's connections
 * close with it, which rolls back a transaction whose commit it did not receive. */
static AnswerCode
lost_answer (const SessionForward *forward)
{
  const bool single = forward->state == 'I';
  const PoolSession *session = forward->session;

  if (!forward->wrote)
    return ANSWER_ROLLED_BACK;
  return single || session->statement.kind == STATEMENT_COMMIT ? ANSWER_IN_DOUBT
                                                               : ANSWER_ROLLED_BACK;
}

void
session_forward_answer_unfinished (PoolSession *session, const char *reason)
{
  const SessionForward *forward = session->forward;

  if (forward->open)
    {
      answer_and_end (session, SESSION_END_DRAIN, lost_answer (forward), reason);
      return;
    }
  session->options->codec->write_error (session_output (session), ANSWER_OVERLOADED, reason);
  pool_session_finish (session, SESSION_END_DRAIN);
}

static void
lose_owner (SessionForward *forward, const char *reason)
{
  PoolSession *session = forward->session;

  log_event (LOG_LEVEL_INFO, "owner_lost",
             "session=%" PRIu64 " database=%s service=%s owner=%016" PRIx64
             " reason=%s open=%d active=%d state=%c",
             session->id, session->database_name, forward->service, forward->owner, reason,
             forward->open, session->active, forward->state);
  timer_clear (&session->timer);
  TALLOC_FREE (forward->stream);
  pool_server_avoid_owner (session->server, forward->owner);
  if (!forward->open)
    try_next_owner (forward);
  else if (session->active)
    answer_and_end (session, SESSION_END_OWNER, lost_answer (forward),
                    "the owner of the service was lost");
  else if (forward->state == 'I')
    session_notify_end (session, SESSION_END_OWNER);
  else
    forward->lost = true;
}

static void
on_answer_timeout (void *data)
{
  PoolSession *session = data;
  const bool outermost = session_enter (session);

  lose_owner (session->forward, "unanswered");
  session_leave (session, outermost);
}

static void
on_closed (void *data)
{
  SessionForward *forward = data;
  PoolSession *session = forward->session;
  const bool outermost = session_enter (session);

  lose_owner (forward, "closed");
  session_leave (session, outermost);
}

static void
on_drained (void *data)
{
}

static void
end_statement (SessionForward *forward, char state)
{
  PoolSession *session = forward->session;

  timer_clear (&session->timer);
  statement_done (&session->statement);
  forward->state = state;
  if (state == 'I')
    forward->wrote = false;
  session->transaction = state == 'I' ? TRANSACTION_NONE : TRANSACTION_BOUND;
  session->active = false;
}

/* Returns false if the owner did not open the session and another one is being tried. */
static bool
handle_open_reply (SessionForward *forward, const Reply *reply)
{
  if (reply->kind != REPLY_READY)
    {
      lose_owner (forward, "refused");
      return false;
    }
  forward->open = true;
  end_statement (forward, 'I');
  return true;
}

/* The owner may know sooner than this host's check that the key is gone. */
static SessionEnd
owner_end_reason (PoolSession *session)
{
  const Database *database
      = catalog_database (pool_server_catalog (session->server), session->database_name);

  return session_check_access (session, database) == SESSION_NO_KEY ? SESSION_END_KEY
                                                                    : SESSION_END_OWNER;
}

static void
relay_replies (SessionForward *forward)
{
  PoolSession *session = forward->session;
  bool ended = false;

  for (;;)
    {
      const GByteArray *input = stream_input (forward->stream);
      Reply reply;
      const size_t used = session->options->codec->read_reply (input->data, input->len, &reply);
      const ReplyKind kind = reply.kind;
      const char state = reply.state;

      if (used == 0)
        break;
      reply_done (&reply);
      // Between two statements: the owner tells that it ends the session.
      if (kind == REPLY_ERROR && forward->open && !session->active)
        {
          session_notify_end (session, owner_end_reason (session));
          return;
        }
      if (!forward->open && !handle_open_reply (forward, &reply))
        return;
      g_byte_array_append (session_output (session), input->data, (guint) used);
      stream_consume (forward->stream, (guint) used);
      if (kind == REPLY_MALFORMED)
        {
          lose_owner (forward, "malformed");
          return;
        }
      if (kind != REPLY_READY)
        continue;
      end_statement (forward, state);
      ended = true;
    }
  stream_flush (session->stream);
  if (ended)
    stream_pause (session->stream, false);
}

static void
on_readable (void *data)
{
  SessionForward *forward = data;
  PoolSession *session = forward->session;
  const bool outermost = session_enter (session);

  relay_replies (forward);
  session_leave (session, outermost);
}

static const StreamEvents owner_events = { on_readable, on_drained, on_closed };

static void
append_preface (const SessionForward *forward, GByteArray *out)
{
  const PoolSession *session = forward->session;
  Pool__ForwardOpen message = POOL__FORWARD_OPEN__INIT;
  guint8 bytes[4 * CATALOG_NAME_BYTES];
  guint32 length;

  message.service = (char *) forward->service;
  message.host = (char *) session->options->host;
  message.session = session->id;
  length = (guint32) pool__forward_open__pack (&message, bytes);
  length = GUINT32_TO_BE (length);
  g_byte_array_append (out, (const guint8 *) &length, sizeof length);
  g_byte_array_append (out, bytes, GUINT32_FROM_BE (length));
}

static bool
connect_owner (SessionForward *forward, const Host *owner)
{
  PoolSession *session = forward->session;
  gsize length;
  const guint8 *open = g_bytes_get_data (forward->open_message, &length);
  const int fd = stream_connect (owner->address, owner->link_port);

  if (fd < 0)
    return false;
  forward->owner = owner->id_hash;
  forward->stream
      = stream_new (forward, pool_server_events (session->server), fd, &owner_events, forward);
  append_preface (forward, stream_output (forward->stream));
  g_byte_array_append (stream_output (forward->stream), open, (guint) length);
  stream_flush (forward->stream);
  session->active = true;
  session->timer.fired = on_answer_timeout;
  timer_set (session->options->timers, &session->timer, OPEN_TIMEOUT_MS);
  return true;
}

/* Serves the session on this host, which becomes an owner by that. */
static void
serve_here (PoolSession *session)
{
  timer_clear (&session->timer);
  TALLOC_FREE (session->forward);
  session->active = false;
  session->options->codec->write_ready (session_output (session), 'I', (SessionToken){ 0 });
  stream_flush (session->stream);
}

static void
try_next_owner (SessionForward *forward)
{
  PoolSession *session = forward->session;
  Host owner;

  while (forward->attempt < OWNER_ATTEMPTS)
    switch (pool_server_find_owner (session->server, forward->service, session->id,
                                    forward->attempt++, &owner))
      {
      case OWNER_SELF:
      case OWNER_NONE:
        serve_here (session);
        return;
      case OWNER_AVOIDED:
        break;
      case OWNER_OTHER:
        if (connect_owner (forward, &owner))
          return;
        break;
      }
  serve_here (session);
}

void
session_forward_open (PoolSession *session, GBytes *open)
{
  const Database *database
      = catalog_database (pool_server_catalog (session->server), session->database_name);
  SessionForward *forward = talloc_zero (session, SessionForward);

  forward->session = session;
  forward->open_message = g_bytes_ref (open);
  forward->state = 'I';
  g_strlcpy (forward->service, database->service, sizeof forward->service);
  talloc_set_destructor (forward, forward_destroy);
  session->forward = forward;
  try_next_owner (forward);
}

static bool
may_write (const Statement *statement)
{
  return statement->kind == STATEMENT_WRITE || statement->kind == STATEMENT_EXECUTE;
}

/* Whether the route of an idle session still leads to the service that it was forwarded for. */
static bool
route_is_unchanged (const PoolSession *session, const Database *database)
{
  return database != NULL && strcmp (database->service, session->forward->service) == 0;
}

/* Returns whether the caller may go on; otherwise the statement is answered, and not run. */
static bool
check_access (PoolSession *session, const Database *database)
{
  switch (session_check_access (session, database))
    {
    case SESSION_ALLOWED:
    case SESSION_NO_DATABASE:
      return true;
    case SESSION_NO_KEY:
      answer_and_end (session, SESSION_END_KEY, ANSWER_UNAUTHENTICATED, "unknown key");
      return false;
    case SESSION_OUT_OF_DATE:
      session->reason = "the configuration may be out of date";
      session_record_outcome (session, ANSWER_OVERLOADED, session->reason);
      session->options->codec->write_error (session_output (session), ANSWER_OVERLOADED,
                                            session->reason);
      session->options->codec->write_ready (session_output (session), 'I', (SessionToken){ 0 });
      statement_done (&session->statement);
      return false;
    }
  return false;
}

void
session_forward_message (PoolSession *session, CallerMessage *message, const guint8 *bytes,
                         size_t length)
{
  SessionForward *forward = session->forward;
  const Database *database
      = catalog_database (pool_server_catalog (session->server), session->database_name);

  if (message->kind != CALLER_MESSAGE_STATEMENT)
    {
      // Ends the session at the owner too.
      g_free (message->database);
      g_free (message->key);
      pool_session_finish (session, SESSION_END_CALLER);
      return;
    }
  session->statement = message->statement;
  session->started_ms = clock_now_ms ();
  counter_add (session->options->counters, COUNTER_STATEMENTS_FORWARDED, 1);
  if (forward->lost)
    {
      answer_and_end (session, SESSION_END_OWNER, ANSWER_ROLLED_BACK,
                      "the owner of the service was lost");
      return;
    }
  if (forward->state == 'I' && !check_access (session, database))
    return;
  if (forward->state == 'I' && !route_is_unchanged (session, database))
    {
      answer_and_end (session, SESSION_END_ROUTE,
                      database == NULL ? session_absence_code (session) : ANSWER_OVERLOADED,
                      "the route has changed");
      return;
    }
  forward->wrote |= may_write (&session->statement);
  session->active = true;
  session->late = false;
  session->timer.fired = on_answer_timeout;
  timer_set (session->options->timers, &session->timer,
             (database == NULL ? 0 : database->statement_ms) + ANSWER_MARGIN_MS);
  g_byte_array_append (stream_output (forward->stream), bytes, (guint) length);
  stream_flush (forward->stream);
}

gsize
session_forward_buffered (const SessionForward *forward)
{
  return forward->stream == NULL ? 0 : stream_buffered (forward->stream);
}

void
session_forward_check (PoolSession *session)
{
  const SessionForward *forward = session->forward;
  const Database *database;

  if (!forward->open || session->active || forward->state != 'I')
    return;
  database = catalog_database (pool_server_catalog (session->server), session->database_name);
  if (!route_is_unchanged (session, database))
    session_notify_end (session, SESSION_END_ROUTE);
  else if (pool_server_is_draining_owner (session->server, forward->owner))
    session_notify_end (session, SESSION_END_OWNER);
}
