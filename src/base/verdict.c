#include "base/verdict.h"

static const RefusalInfo refusal_table[REFUSAL_COUNT] = {
  [REFUSAL_NONE] = { "none", "00000", "", VERDICT_RAN, false },
  [REFUSAL_OVERLOAD]
  = { "overload", "53300", "overloaded, cannot answer in time", VERDICT_NOT_RUN, false },
  [REFUSAL_DEADLINE]
  = { "deadline", "57014", "deadline passed before the statement started", VERDICT_NOT_RUN, false },
  [REFUSAL_NOT_OWNER]
  = { "not_owner", "57P03", "instance moved to another host", VERDICT_NOT_RUN, true },
  [REFUSAL_NOT_PRIMARY]
  = { "not_primary", "57P03", "no primary in the current term", VERDICT_NOT_RUN, true },
  [REFUSAL_BEHIND]
  = { "behind", "57P03", "no instance has recent enough data", VERDICT_NOT_RUN, true },
  [REFUSAL_NO_MAJORITY]
  = { "no_majority", "57P03", "no majority of the group responds", VERDICT_NOT_RUN, true },
  [REFUSAL_BACKEND_DOWN]
  = { "backend_down", "57P03", "backend server does not respond", VERDICT_NOT_RUN, true },
  [REFUSAL_DRAINING]
  = { "draining", "57P03", "host or backend server is draining", VERDICT_NOT_RUN, true },
  [REFUSAL_ISOLATED]
  = { "isolated", "57P03", "this host may hold an outdated configuration", VERDICT_NOT_RUN, false },
  [REFUSAL_CANCELLED]
  = { "cancelled", "57014", "canceling statement due to user request", VERDICT_NOT_RUN, false },
  [REFUSAL_ROLLED_BACK]
  = { "rolled_back", "40001", "transaction rolled back", VERDICT_NOT_RUN, false },
  [REFUSAL_NOT_SUPPORTED] = { "not_supported", "0A000", "not supported", VERDICT_NOT_RUN, false },
  [REFUSAL_IN_DOUBT] = { "in_doubt", "08007", "outcome unknown", VERDICT_MAY_HAVE_RUN, false },
  [REFUSAL_ANSWER_LOST]
  = { "answer_lost", "08007", "the statement took effect, but its answer was lost", VERDICT_RAN,
      false },
  [REFUSAL_UNKNOWN_SERVICE]
  = { "unknown_service", "3D000", "no such service", VERDICT_NOT_RUN, false },
};

const RefusalInfo *
refusal_info (RefusalKind kind)
{
  if ((unsigned) kind >= REFUSAL_COUNT)
    kind = REFUSAL_IN_DOUBT;
  return &refusal_table[kind];
}

const char *
verdict_name (Verdict verdict)
{
  static const char *const names[] = {
    [VERDICT_RAN] = "ran",
    [VERDICT_NOT_RUN] = "not run",
    [VERDICT_MAY_HAVE_RUN] = "may have run",
  };

  return names[verdict];
}

GQuark
peridotstep_error_quark (void)
{
  return g_quark_from_static_string ("peridotstep-error");
}
