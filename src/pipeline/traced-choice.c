#include "pipeline/traced-choice.h"

#include <inttypes.h>

#include <glib.h>

static int
choose (const ChoiceInput *input)
{
  if (input->read)
    return replica_choice_read (input->views, input->count, &input->need, input->tried,
                                input->now_ms);
  return replica_choice_write (input->views, input->count, input->tried, input->now_ms);
}

static void
append_view (GString *line, const InstanceView *view)
{
  g_string_append_printf (line,
                          " %d %d %d %d %" PRIu64 " %" PRIu64 " %" PRIu64 " %" PRId64 " %" PRId64
                          " %" PRId64 " %" PRId64,
                          view->distance, view->leaving, view->owned, view->primary, view->term,
                          view->applied.term, view->applied.position, view->age_ms, view->wait_us,
                          view->seen_ms, view->refused_until_ms);
}

int
traced_choice (Trace *trace, const ChoiceInput *input)
{
  int chosen = choose (input);
  GString *line;

  if (trace == NULL)
    return chosen;
  line = g_string_new ("");
  g_string_append_printf (line, "choice %d %" PRIu64 " %" PRIu64 " %" PRId64 " %u %" PRId64 " %u",
                          input->read, input->need.token.term, input->need.token.position,
                          input->need.max_age_ms, input->tried, input->now_ms, input->count);
  for (uint32_t i = 0; i < input->count; i++)
    append_view (line, &input->views[i]);
  trace_line (trace, "%s = %d", line->str, chosen);
  g_string_free (line, true);
  return chosen;
}

FailureAction
traced_failure_action (Trace *trace, const RequestState *state, FailureKind failure)
{
  FailureAction action = request_failure_action (state, failure);

  trace_line (trace, "fate %d %d %d %d %d %d %u %d = %d", state->kind, state->step,
              state->idempotent, state->first_in_transaction, state->retryable, state->time_left,
              state->unresolved_attempts, failure, action);
  return action;
}
