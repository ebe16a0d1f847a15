/**
 * DOC: Whether a position of the primary covers the commits of host processes that have ended.
 */
#include <inttypes.h>
#include <string.h>

#include "policy/acknowledged-bound.h"
#include "script.h"

static void *
start (void)
{
  return acknowledged_bound_new (100);
}

static void
end (void *data)
{
  acknowledged_bound_free (data);
}

static SessionToken
position (char **words, guint index)
{
  return (SessionToken){ 1, (guint64) script_number (words, index) };
}

/* covered TIME: whether a position that was asked for then covers the ended processes */
static void
print_covered (const AcknowledgedBound *bound, char **words, GString *out)
{
  const SessionToken committed = acknowledged_bound_committed (bound);

  g_string_append_printf (
      out, "%s, committed %" PRIu64 ".%" PRIu64 "\n",
      acknowledged_bound_is_covered (bound, script_number (words, 1)) ? "covered" : "not covered",
      committed.term, committed.position);
}

/*
 * started HOST TIME
 * left TIME COMMITTED [final]
 * lost HOST COMMITTED
 */
static void
command (void *data, char **words, GString *out)
{
  AcknowledgedBound *bound = data;
  const char *verb = words[0];

  if (strcmp (verb, "started") == 0)
    acknowledged_bound_host_started (bound, (guint64) script_number (words, 1),
                                     script_number (words, 2));
  else if (strcmp (verb, "left") == 0)
    acknowledged_bound_host_left (bound, position (words, 2),
                                  strcmp (script_word (words, 3), "final") == 0,
                                  script_number (words, 1));
  else if (strcmp (verb, "lost") == 0)
    acknowledged_bound_host_lost (bound, (guint64) script_number (words, 1), position (words, 2));
  else if (strcmp (verb, "covered") == 0)
    print_covered (bound, words, out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_acknowledged = { "acknowledged", start, command, end };
