#include "policy/commit-gate.h"

#include <string.h>

#include <glib.h>

struct CommitGate
{
  uint32_t instance_count;
  GateReport reports[GROUP_INSTANCES_MAX];
  uint64_t greatest_term;
  GArray *responses;
};

CommitGate *
commit_gate_new (uint32_t instance_count)
{
  CommitGate *gate = g_new0 (CommitGate, 1);

  gate->instance_count = instance_count;
  gate->responses = g_array_new (false, false, sizeof (GatedResponse));
  return gate;
}

void
commit_gate_free (CommitGate *gate)
{
  g_array_free (gate->responses, true);
  g_free (gate);
}

static uint32_t
majority (const CommitGate *gate)
{
  return gate->instance_count / 2 + 1;
}

static bool
has_replicated (const GateReport *report, SessionToken position)
{
  return report->received.term == position.term && report->received.position >= position.position;
}

static bool
confirms (const GateReport *report, uint64_t term, int64_t after_us)
{
  return report->term == term && report->began_us >= after_us;
}

static uint32_t
count_replicated (const CommitGate *gate, SessionToken position)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < gate->instance_count; i++)
    if (has_replicated (&gate->reports[i], position))
      count++;
  return count;
}

static uint32_t
count_confirmations (const CommitGate *gate, uint64_t term, int64_t after_us)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < gate->instance_count; i++)
    if (confirms (&gate->reports[i], term, after_us))
      count++;
  return count;
}

static bool
response_is_satisfied (const CommitGate *gate, const GatedResponse *response)
{
  if (count_replicated (gate, response->position) < majority (gate))
    return false;
  if (response->confirm_after_us == 0)
    return true;
  return count_confirmations (gate, response->position.term, response->confirm_after_us)
         >= majority (gate);
}

void
commit_gate_report (CommitGate *gate, const GateReport *report)
{
  GateReport *known = &gate->reports[report->instance];

  // An answer on a retired connection may arrive after a newer one.
  if (report->began_us < known->began_us)
    return;
  *known = *report;
  if (report->term > gate->greatest_term)
    gate->greatest_term = report->term;
}

void
commit_gate_record_position (CommitGate *gate, uint32_t instance, SessionToken position)
{
  session_token_advance (&gate->reports[instance].received, position);
}

void
commit_gate_add (CommitGate *gate, const GatedResponse *response)
{
  g_array_append_val (gate->responses, *response);
}

static bool
response_leaves (const CommitGate *gate, const GatedResponse *response, int64_t now_ms,
                 GateResult *result)
{
  if (response_is_satisfied (gate, response))
    *result = GATE_RELEASED;
  else if (gate->greatest_term > response->position.term)
    *result = GATE_SUPERSEDED;
  else if (now_ms >= response->expires_ms)
    *result = GATE_EXPIRED;
  else
    return false;
  return true;
}

bool
commit_gate_pop (CommitGate *gate, int64_t now_ms, GatedResponse *response, GateResult *result)
{
  for (guint i = 0; i < gate->responses->len; i++)
    {
      const GatedResponse *held = &g_array_index (gate->responses, GatedResponse, i);

      if (!response_leaves (gate, held, now_ms, result))
        continue;
      *response = *held;
      g_array_remove_index (gate->responses, i);
      return true;
    }
  return false;
}

uint32_t
commit_gate_waiting (const CommitGate *gate)
{
  return gate->responses->len;
}

bool
commit_gate_awaited_position (const CommitGate *gate, uint32_t instance, SessionToken *position)
{
  bool found = false;

  for (guint i = 0; i < gate->responses->len; i++)
    {
      const GatedResponse *held = &g_array_index (gate->responses, GatedResponse, i);

      if (has_replicated (&gate->reports[instance], held->position))
        continue;
      if (!found || session_token_compare (held->position, *position) < 0)
        *position = held->position;
      found = true;
    }
  return found;
}

bool
commit_gate_needs_confirmation (const CommitGate *gate, uint32_t instance)
{
  for (guint i = 0; i < gate->responses->len; i++)
    {
      const GatedResponse *held = &g_array_index (gate->responses, GatedResponse, i);

      if (held->confirm_after_us > gate->reports[instance].began_us)
        return true;
    }
  return false;
}

bool
commit_gate_majority_position (const CommitGate *gate, int64_t after_us, SessionToken *position)
{
  uint32_t polled = 0;

  *position = (SessionToken){ 0, 0 };
  for (uint32_t i = 0; i < gate->instance_count; i++)
    {
      if (gate->reports[i].began_us < after_us)
        continue;
      polled++;
      session_token_advance (position, gate->reports[i].received);
    }
  return polled >= majority (gate);
}

int64_t
commit_gate_confirmed_us (const CommitGate *gate, uint64_t term)
{
  int64_t best_us = 0;

  for (uint32_t i = 0; i < gate->instance_count; i++)
    {
      int64_t began_us = gate->reports[i].began_us;

      if (began_us <= best_us)
        continue;
      if (count_confirmations (gate, term, began_us) >= majority (gate))
        best_us = began_us;
    }
  return best_us;
}
