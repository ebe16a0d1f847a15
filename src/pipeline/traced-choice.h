/**
 * DOC: Wrappers of the entry host's decisions that record them in the trace, if one is written: the
 * choice of an instance, and the action after a failed attempt.
 */
#pragma once

#include "base/trace.h"
#include "policy/replica-choice.h"
#include "policy/request-failure.h"

/** struct ChoiceInput - Everything on which a choice depends. @read is false for writes. */
typedef struct
{
  bool read;
  ReadRequirement need;
  uint32_t tried;
  int64_t now_ms;
  uint32_t count;
  const InstanceView *views;
} ChoiceInput;

/** traced_choice() - Calls and records replica_choice_read() or replica_choice_write(). */
int traced_choice (Trace *trace, const ChoiceInput *input);

/** traced_failure_action() - Calls and records request_failure_action(). */
FailureAction traced_failure_action (Trace *trace, const RequestState *state, FailureKind failure);
