#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "policy/drain.h"
#include "pool/session-forward.h"
#include "pool/session-state.h"

/* A caller that was told that its session ends closes it within this time, or the host does. */
#define NOTICE_MS 500
/* Interval at which a session that has ended is checked; one whose answers are sent waits as long
 * for its caller to close. */
#define FINISH_CHECK_MS 1000
/* Checks without progress until a caller that does not take its answers is given up. */
#define FINISH_STALLS_MAX 5
static const char *const end_names[SESSION_END_COUNT] = {
  [SESSION_END_CALLER] = "caller_ended", [SESSION_END_CALLER_LOST] = "caller_lost",
  [SESSION_END_PROTOCOL] = "malformed",  [SESSION_END_REFUSED] = "refused",
  [SESSION_END_OWNER] = "owner",         [SESSION_END_ROUTE] = "route",
  [SESSION_END_MEMORY] = "memory",       [SESSION_END_SLOW] = "slow",
  [SESSION_END_ROOM] = "room",           [SESSION_END_KEY] = "key_revoked",
  [SESSION_END_DRAIN] = "drain",         [SESSION_END_PROCESS] = "process_ends",
};

static const char *const step_names[] = {
  [STEP_NONE] = "none",
  [STEP_LIMITING] = "limiting",
  [STEP_ROUTING] = "routing",
  [STEP_BACKING_OFF] = "backing_off",
  [STEP_CONNECTING] = "connecting",
  [STEP_BEGINNING] = "beginning",
  [STEP_RUNNING] = "running",
};

static bool
is_ended_by_caller (SessionEnd reason)
{
  return reason == SESSION_END_CALLER || reason == SESSION_END_CALLER_LOST;
}

/* Logs and counts a session that this host ends: one with an answer owed, and any during a drain.
 */
static void
record_end (const PoolSession *session, SessionEnd reason, bool cut)
{
  const guint unsent = stream_pending (session->stream);
  const guint unread = stream_unread (session->stream);
  const int64_t now_ms = clock_now_ms ();
  uint32_t dropped;

  if (cut)
    pool_metrics_count (session->options->metrics, POOL_COUNT_ANSWERS_CUT);
  if (is_ended_by_caller (reason) || (!cut && pool_server_drain_age_ms (session->server) < 0)
      || !pool_server_may_log_end (session->server, now_ms, &dropped))
    return;
  log_event (cut ? LOG_LEVEL_NOTICE : LOG_LEVEL_INFO, "session_ended",
             "session=%" PRIu64 " reason=%s drain_age_ms=%" PRId64
             " request=%s step=%s transaction=%c active_ms=%" PRId64
             " instance=%s unsent_bytes=%u unread_bytes=%u forwarded=%d cut=%d suppressed=%u",
             session->id, end_names[reason], pool_server_drain_age_ms (session->server),
             session->statement.id == NULL ? "-" : session->statement.id, step_names[session->step],
             session_caller_state (session), session->active ? now_ms - session->started_ms : 0,
             *session->instance == '\0' ? "-" : session->instance, unsent, unread,
             session->forwarded || session->forward != NULL, cut, dropped);
}

void
pool_session_close (PoolSession *session, SessionEnd reason)
{
  const bool owed = session->active || stream_pending (session->stream) > 0;

  if (!session->closing && !session->finishing)
    record_end (session, reason, owed && !is_ended_by_caller (reason));
  session->closing = true;
  if (!session->processing)
    talloc_free (session);
}

/* Frees the session unless the caller is still taking its answers. */
static void
on_finish_timer (void *data)
{
  PoolSession *session = data;
  const guint unsent = stream_pending (session->stream);

  session->finish_stalls = unsent < session->finish_unsent ? 0 : session->finish_stalls + 1;
  session->finish_unsent = unsent;
  if (unsent > 0 && session->finish_stalls < FINISH_STALLS_MAX)
    {
      timer_set (session->options->timers, &session->end_timer, FINISH_CHECK_MS);
      return;
    }
  if (unsent > 0)
    record_end (session, session->end, true);
  pool_session_close (session, session->end);
}

void
pool_session_finish (PoolSession *session, SessionEnd reason)
{
  if (session->finishing)
    return;
  if (!session->notified)
    record_end (session, reason, false);
  session->finishing = true;
  session->end = reason;
  session->active = false;
  session_stop_opening (session);
  waiter_cancel (&session->waiter);
  limit_exchange_cancel (&session->limit_waiter);
  instance_pool_cancel (&session->request);
  session_drop_connection (session);
  TALLOC_FREE (session->forward);
  session->finish_unsent = stream_pending (session->stream);
  timer_clear (&session->timer);
  session->end_timer.fired = on_finish_timer;
  timer_set (session->options->timers, &session->end_timer, FINISH_CHECK_MS);
  stream_finish (session->stream);
}

static void
on_notice_timer (void *data)
{
  PoolSession *session = data;

  pool_session_finish (session, session->end);
}

static AnswerCode
notice_code (const PoolSession *session)
{
  if (session->transaction != TRANSACTION_NONE)
    return ANSWER_ROLLED_BACK;
  return session->end == SESSION_END_KEY ? ANSWER_UNAUTHENTICATED : ANSWER_OVERLOADED;
}

static void
write_notice (PoolSession *session)
{
  session->options->codec->write_error (
      session_output (session), notice_code (session),
      session->end == SESSION_END_DRAIN ? "this host is shutting down" : "the session ends");
}

void
session_notify_end (PoolSession *session, SessionEnd reason)
{
  if (session->notified || session->finishing || session->closing)
    return;
  record_end (session, reason, false);
  session->notified = true;
  session->end = reason;
  timer_clear (&session->timer);
  session_drop_connection (session);
  TALLOC_FREE (session->forward);
  if (session->transaction != TRANSACTION_NONE)
    session->transaction = TRANSACTION_FAILED;
  write_notice (session);
  session->end_timer.fired = on_notice_timer;
  timer_set (session->options->timers, &session->end_timer, NOTICE_MS);
}

void
session_complete_notice (PoolSession *session)
{
  session->started_ms = clock_now_ms ();
  session->reason = "the session ends";
  session_record_outcome (session, notice_code (session), session->reason);
  session_fail_transaction (session);
  session->options->codec->write_ready (session_output (session), session_caller_state (session),
                                        (SessionToken){ 0 });
  session_end_statement (session);
  write_notice (session);
}

static DrainSession
drain_state (const PoolSession *session)
{
  return (DrainSession){
    .statement = session->active,
    .transaction = session->transaction != TRANSACTION_NONE,
    .late = session->late,
  };
}

bool
session_may_start (const PoolSession *session)
{
  return !session->notified
         && drain_may_start (pool_server_drain_phase (session->server), drain_state (session));
}

static void
answer_unfinished (PoolSession *session)
{
  static const char reason[] = "this host is shutting down";

  if (session->opening != NULL)
    session_end_with_error (session, SESSION_END_DRAIN, ANSWER_OVERLOADED, reason);
  else if (session->forward != NULL)
    session_forward_answer_unfinished (session, reason);
  else
    session_answer_unfinished (session, reason);
}

void
session_apply_drain (PoolSession *session)
{
  if (session->notified || session->finishing || session->closing)
    return;
  switch (drain_session_action (pool_server_drain_phase (session->server), drain_state (session)))
    {
    case DRAIN_KEEP:
      return;
    case DRAIN_ANSWER:
      answer_unfinished (session);
      break;
    case DRAIN_END:
      break;
    }
  session_notify_end (session, SESSION_END_DRAIN);
}

void
pool_session_drain (PoolSession *session)
{
  const bool outermost = session_enter (session);

  session_apply_drain (session);
  session_leave (session, outermost);
}
