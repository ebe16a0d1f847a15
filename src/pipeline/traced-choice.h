/**
 * DOC: The entry host's decisions as they are made: choice of an instance and fate of a
 * request, with a line in the trace when there is one.
 */
#pragma once

#include "base/trace.h"
#include "policy/replica-choice.h"
#include "policy/request-fate.h"

/** struct ChoiceInput - All that a choice depends on. @read is false for writes. */
typedef struct
{
  bool read;
  ReadRequirement need;
  uint32_t tried;
  int64_t now_ms;
  uint32_t count;
  const InstanceView *views;
} ChoiceInput;

/** traced_choice() - As replica_choice_read() or replica_choice_write(). */
int traced_choice (Trace *trace, const ChoiceInput *input);

/** traced_failure_action() - As request_failure_action(). */
FailureAction traced_failure_action (Trace *trace, const RequestState *state, FailureKind failure);
