/**
 * DOC: Commit gate and freshness; reports, responses and samples are given by commands.
 */
#include <string.h>

#include "policy/commit-gate.h"
#include "policy/freshness.h"
#include "script.h"

typedef struct
{
  CommitGate *gate;
  Freshness freshness;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->gate = commit_gate_new (3);
  return state;
}

static void
end (void *data)
{
  State *state = data;

  commit_gate_free (state->gate);
  g_free (state);
}

static SessionToken
token_of (char **words, unsigned int index)
{
  SessionToken token = { 0, 0 };

  session_token_parse (script_word (words, index), &token);
  return token;
}

static void
pop_all (State *state, gint64 now_ms, GString *out)
{
  static const char *const results[] = { "released", "superseded", "expired" };
  GatedResponse response;
  GateResult result;

  while (commit_gate_pop (state->gate, now_ms, &response, &result))
    {
      g_string_append_printf (out, "%s %s\n", (char *) response.data, results[result]);
      g_free (response.data);
    }
}

/* report INSTANCE TERM RECEIVED BEGAN_US; hold NAME POSITION CONFIRM_AFTER_US EXPIRES_MS */
static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "report") == 0)
    {
      const GateReport report
          = { (guint32) script_number (words, 1), (guint64) script_number (words, 2),
              token_of (words, 3), script_number (words, 4) };

      commit_gate_report (state->gate, &report);
    }
  else if (strcmp (verb, "position") == 0)
    commit_gate_record_position (state->gate, (guint32) script_number (words, 1),
                                 token_of (words, 2));
  else if (strcmp (verb, "hold") == 0)
    {
      const GatedResponse response
          = { token_of (words, 2), script_number (words, 3), script_number (words, 4),
              g_strdup (script_word (words, 1)) };

      commit_gate_add (state->gate, &response);
    }
  else if (strcmp (verb, "pop") == 0)
    pop_all (state, script_number (words, 1), out);
  else if (strcmp (verb, "confirmed") == 0)
    g_string_append_printf (
        out, "%" G_GINT64_FORMAT "\n",
        commit_gate_confirmed_us (state->gate, (guint64) script_number (words, 1)));
  else if (strcmp (verb, "majority") == 0)
    {
      char text[SESSION_TOKEN_TEXT_BYTES];
      SessionToken position;
      bool known = commit_gate_majority_position (state->gate, script_number (words, 1), &position);

      session_token_print (position, text);
      g_string_append_printf (out, "%s\n", known ? text : "unknown");
    }
  else if (strcmp (verb, "sample") == 0)
    freshness_sample (&state->freshness, script_number (words, 1), token_of (words, 2));
  else if (strcmp (verb, "age") == 0)
    g_string_append_printf (
        out, "%" G_GINT64_FORMAT " ms\n",
        freshness_age_ms (&state->freshness, token_of (words, 1), script_number (words, 2)));
  else
    g_string_append (out, "unknown command\n");
}

const ScriptKind script_gate = { "gate", start, command, end };
