/**
 * DOC: Small policies: connection health, drain, pauses left behind, retry budget, session token,
 * failed requests.
 */
#include <string.h>

#include "policy/commit-floor.h"
#include "policy/config-proof.h"
#include "policy/reader-order.h"
#include "policy/conn-health.h"
#include "policy/drain.h"
#include "policy/ended-fence.h"
#include "policy/memory-budget.h"
#include "policy/pause-watch.h"
#include "policy/request-failure.h"
#include "policy/retry-budget.h"
#include "policy/session-token.h"
#include "policy/store-clock.h"
#include "script.h"

typedef struct
{
  ConnHealth health;
  Drain drain;
  PauseWatch pauses;
  EndedFence ended_fence;
  RetryBudget budget;
  SessionToken token;
  ConfigProof proof;
  StoreClock store_clock;
  MemoryBudget memory;
  CommitFloor commit_floor;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->drain.options = (DrainOptions){ .announce_ms = 1500, .limit_ms = 60000 };
  retry_budget_init (&state->budget);
  return state;
}

static int
index_of (const char *const *names, const char *name)
{
  for (int i = 0; names[i] != NULL; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return 0;
}

/* failure KIND STEP FAILURE [idempotent] [first] [retryable] [late] [unresolved...] */
static void
print_failure_action (char **words, GString *out)
{
  static const char *const kinds[] = { "read", "write", "in-transaction", "commit", NULL };
  static const char *const steps[] = { "received", "forwarded", "responding", "done", NULL };
  static const char *const failures[]
      = { "refused", "link-lost", "backend-lost", "superseded", "no-majority", "deadline", NULL };
  RequestState request = { .kind = (RequestKind) index_of (kinds, script_word (words, 1)),
                           .step = (RequestStep) index_of (steps, script_word (words, 2)),
                           .time_left = true };

  for (guint i = 4; i < g_strv_length (words); i++)
    {
      request.idempotent |= strcmp (words[i], "idempotent") == 0;
      request.first_in_transaction |= strcmp (words[i], "first") == 0;
      request.unresolved_attempts += strcmp (words[i], "unresolved") == 0 ? 1 : 0;
      request.retryable |= strcmp (words[i], "retryable") == 0;
      if (strcmp (words[i], "late") == 0)
        request.time_left = false;
    }
  g_string_append_printf (
      out, "%s\n",
      failure_action_name (request_failure_action (
          &request, (FailureKind) index_of (failures, script_word (words, 3)))));
}

/* drain-sessions: what becomes of each kind of session, and of its next statement; new ones */
static void
print_drain_sessions (const Drain *drain, GString *out)
{
  static const char *const actions[] = { "keep", "end", "answer" };
  static const char *const names[] = { "outside a transaction", "in a transaction", "opened late" };

  for (int i = 0; i < 6; i++)
    {
      const DrainSession session
          = { .statement = i % 2 == 1, .transaction = i / 2 == 1, .late = i / 2 == 2 };

      g_string_append_printf (out, "%s%s: %s, next statement %s\n", names[i / 2],
                              session.statement ? ", statement running" : "",
                              actions[drain_session_action (drain->phase, session)],
                              drain_may_start (drain->phase, session) ? "runs" : "does not");
    }
  g_string_append (out, drain_may_open (drain->phase) ? "new ones open\n" : "no new ones\n");
}

static void
print_abandoned (const PauseWatch *watch, gint64 now_ms, GString *out)
{
  const guint64 token = pause_watch_abandoned (watch, now_ms);

  if (token == 0)
    g_string_append (out, "none\n");
  else
    g_string_append_printf (out, "%" G_GUINT64_FORMAT "\n", token);
}

/* ID ok|lost: a host, and whether its last call to the store failed */
static ReaderCandidate
read_candidate (char **words, guint first)
{
  return (ReaderCandidate){
    .store_lost = strcmp (script_word (words, first + 1), "lost") == 0,
    .id = (guint64) script_number (words, first),
  };
}

static void
command (void *data, char **words, GString *out)
{
  static const char *const conn_actions[] = { "use", "probe", "wait", "retire" };
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "position-known") == 0)
    commit_floor_record (&state->commit_floor,
                         (SessionToken){ 1, (guint64) script_number (words, 2) },
                         script_number (words, 1));
  else if (strcmp (verb, "commit-floor") == 0)
    g_string_append_printf (
        out, "%" G_GUINT64_FORMAT "\n",
        commit_floor_of (&state->commit_floor, script_number (words, 1)).position);
  else if (strcmp (verb, "memory-host") == 0)
    g_string_append_printf (out, "%" G_GUINT64_FORMAT " bytes\n",
                            state->memory.limit_bytes
                            = memory_budget_for_host ((guint64) script_number (words, 1)));
  else if (strcmp (verb, "memory-charge") == 0)
    {
      memory_budget_charge (&state->memory, (guint64) script_number (words, 1),
                            (guint64) script_number (words, 2));
      g_string_append_printf (out, "%" G_GUINT64_FORMAT " held%s%s\n", state->memory.used_bytes,
                              memory_budget_is_exceeded (&state->memory) ? ", exceeded" : "",
                              memory_budget_is_relieved (&state->memory) ? ", relieved" : "");
    }
  else if (strcmp (verb, "proof") == 0)
    config_proof_record (&state->proof, (guint64) script_number (words, 1),
                         script_number (words, 2));
  else if (strcmp (verb, "own-version") == 0)
    config_proof_set_version (&state->proof, (guint64) script_number (words, 1),
                              CONFIG_SOURCE_READ);
  else if (strcmp (verb, "current") == 0)
    g_string_append (out, config_proof_is_current (&state->proof, script_number (words, 1),
                                                   script_number (words, 2))
                              ? "yes\n"
                              : "no\n");
  else if (strcmp (verb, "hear") == 0)
    config_proof_hear (&state->proof, (guint64) script_number (words, 1), script_number (words, 2));
  else if (strcmp (verb, "knows-absence") == 0)
    g_string_append (out, config_proof_covers_absence (&state->proof, script_number (words, 1),
                                                       script_number (words, 2))
                              ? "yes\n"
                              : "no\n");
  else if (strcmp (verb, "proof-due") == 0)
    g_string_append (out, config_proof_due_ms (&state->proof, script_number (words, 1),
                                               (guint) script_number (words, 2),
                                               script_number (words, 3))
                                  == 0
                              ? "yes\n"
                              : "no\n");
  else if (strcmp (verb, "proof-watch") == 0)
    g_string_append_printf (out, "%" G_GINT64_FORMAT " ms\n",
                            config_proof_watch_ms (script_number (words, 1)));
  else if (strcmp (verb, "new-proof") == 0)
    state->proof = (ConfigProof){ .started_ms = script_number (words, 1) };
  else if (strcmp (verb, "reads-before") == 0)
    {
      const ReaderCandidate first = read_candidate (words, 1);
      const ReaderCandidate second = read_candidate (words, 3);

      g_string_append (out, reader_order_precedes (&first, &second) ? "yes\n" : "no\n");
    }
  else if (strcmp (verb, "retry") == 0)
    g_string_append_printf (
        out, "%" G_GINT64_FORMAT " ms\n",
        reader_order_retry_ms (script_number (words, 1), (guint) script_number (words, 2)));
  else if (strcmp (verb, "store-answer") == 0)
    g_string_append_printf (out, "made at %" G_GINT64_FORMAT "\n",
                            store_clock_record (&state->store_clock, script_number (words, 1),
                                                script_number (words, 2),
                                                script_number (words, 3)));
  else if (strcmp (verb, "request-sent") == 0)
    conn_health_request_sent (&state->health, script_number (words, 1));
  else if (strcmp (verb, "data-received") == 0)
    conn_health_received (&state->health, script_number (words, 1));
  else if (strcmp (verb, "health") == 0)
    {
      const ConnHealthOptions options = { 2000, 400 };

      g_string_append_printf (
          out, "%s\n",
          conn_actions[conn_health_check (&state->health, &options, script_number (words, 2),
                                          script_number (words, 1))]);
    }
  else if (strcmp (verb, "drain") == 0)
    drain_begin (&state->drain, script_number (words, 1));
  else if (strcmp (verb, "drain-tick") == 0)
    {
      const DrainLoad load
          = { (guint64) script_number (words, 2), (guint64) script_number (words, 3) };

      g_string_append_printf (
          out, "%s\n",
          drain_phase_name (drain_tick (&state->drain, load, script_number (words, 1))));
    }
  else if (strcmp (verb, "drain-limit") == 0)
    state->drain.options = drain_options_for_limit (script_number (words, 1));
  else if (strcmp (verb, "drain-sessions") == 0)
    print_drain_sessions (&state->drain, out);
  else if (strcmp (verb, "retries") == 0)
    {
      gint64 granted = 0;

      for (gint64 i = 0; i < script_number (words, 1); i++)
        granted += retry_budget_take (&state->budget) ? 1 : 0;
      g_string_append_printf (out, "%" G_GINT64_FORMAT " granted\n", granted);
    }
  else if (strcmp (verb, "successes") == 0)
    for (gint64 i = 0; i < script_number (words, 1); i++)
      retry_budget_success (&state->budget);
  else if (strcmp (verb, "token") == 0)
    {
      char text[SESSION_TOKEN_TEXT_BYTES];
      SessionToken parsed;

      if (!session_token_parse (script_word (words, 1), &parsed))
        g_string_append (out, "not a token\n");
      else
        session_token_advance (&state->token, parsed);
      session_token_print (state->token, text);
      g_string_append_printf (out, "%s\n", text);
    }
  else if (strcmp (verb, "failure") == 0)
    print_failure_action (words, out);
  else if (strcmp (verb, "pause") == 0)
    pause_watch_record (&state->pauses, (guint32) script_number (words, 1),
                        (guint64) script_number (words, 2), script_number (words, 3));
  else if (strcmp (verb, "pause-restart") == 0)
    pause_watch_restart (&state->pauses, script_number (words, 1));
  else if (strcmp (verb, "abandoned") == 0)
    print_abandoned (&state->pauses, script_number (words, 1), out);
  else if (strcmp (verb, "ended-fence") == 0)
    ended_fence_record (&state->ended_fence, (guint64) script_number (words, 1),
                        script_number (words, 2));
  else if (strcmp (verb, "ended-fence-at") == 0)
    g_string_append_printf (out, "%" G_GUINT64_FORMAT "\n",
                            ended_fence_token (&state->ended_fence, script_number (words, 1)));
  else if (strcmp (verb, "resolved") == 0)
    g_string_append_printf (
        out, "%s\n",
        verdict_name (request_resolved_verdict ((ResolvedOutcome) script_number (words, 1),
                                                (guint) script_number (words, 2))));
  else
    g_string_append (out, "unknown command\n");
}

const ScriptKind script_small = { "small", start, command, g_free };
