/**
 * DOC: What is handed out under a customer's limit, and what one host may start.
 */
#include <inttypes.h>
#include <string.h>

#include "policy/limit-ledger.h"
#include "policy/limit-stock.h"
#include "script.h"

typedef struct
{
  LimitLedger *ledger;
  LimitStock stock;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->ledger = limit_ledger_new ();
  return state;
}

static void
end (void *data)
{
  State *state = data;

  limit_ledger_free (state->ledger);
  g_free (state);
}

/* limit CUSTOMER RATE BURST INITIAL AT; take CUSTOMER COUNT AT; left CUSTOMER AT: the host that
 * hands out. ask COUNT AT; answer ASKED-AT GRANTED AT [more]; start COUNT AT; due AT: a host that
 * asks. */
static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  const guint64 customer = (guint64) script_number (words, 1);

  if (strcmp (verb, "limit") == 0)
    limit_ledger_set (state->ledger, customer, (double) script_number (words, 2),
                      (double) script_number (words, 3), (double) script_number (words, 4),
                      script_number (words, 5));
  else if (strcmp (verb, "take") == 0)
    g_string_append_printf (out, "%u\n",
                            limit_ledger_take (state->ledger, customer,
                                               (guint) script_number (words, 2),
                                               script_number (words, 3)));
  else if (strcmp (verb, "left") == 0)
    g_string_append_printf (out, "%g\n",
                            limit_ledger_level (state->ledger, customer, script_number (words, 2)));
  else if (strcmp (verb, "ask") == 0)
    limit_stock_ask (&state->stock, (guint) script_number (words, 1), script_number (words, 2));
  else if (strcmp (verb, "answer") == 0)
    g_string_append_printf (out, "%u over the limit\n",
                            limit_stock_answer (&state->stock, script_number (words, 1),
                                                (guint) script_number (words, 2),
                                                strcmp (script_word (words, 4), "more") == 0,
                                                script_number (words, 3)));
  else if (strcmp (verb, "start") == 0)
    {
      guint started = 0;

      while (started < script_number (words, 1)
             && limit_stock_take (&state->stock, script_number (words, 2)))
        started++;
      g_string_append_printf (out, "%u\n", started);
    }
  else if (strcmp (verb, "due") == 0)
    g_string_append (out, limit_stock_is_due (&state->stock, script_number (words, 1)) ? "yes\n"
                                                                                       : "no\n");
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_limit = { "limit", start, command, end };
