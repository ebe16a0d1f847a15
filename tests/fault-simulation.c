#include "fault-simulation.h"

#include <string.h>

#include "policy/admission-queue.h"
#include "policy/commit-gate.h"
#include "policy/failover.h"
#include "standin/group-log.h"

#define INSTANCES 3
#define TICK_MS 50
#define DEADLINE_MS 5000
#define ANSWER_GRACE_MS 400
#define RESOLVE_TIMEOUT_MS 12000
#define UNRESPONSIVE_MS 1600
#define GATE_TIMEOUT_MS 1500
#define OWNERS 2

/* Progress of an attempt at one owner. */
typedef enum
{
  WORK_NONE,
  WORK_ON_LINK,
  WORK_QUEUED,
  WORK_EXECUTING,
  WORK_GATED,
  WORK_ANSWER_ON_LINK
} WorkState;

/* One attempt; each has its own transaction id. */
typedef struct
{
  WorkState state;
  guint owner;
  uint32_t instance;
  char id[16];
  SessionToken position;
  gint64 started_ms;
  bool failed;
  FailureKind failure;
  RefusalKind refusal;
} Attempt;

typedef enum
{
  ENTRY_ROUTING,
  ENTRY_WAITING,
  ENTRY_RESOLVING,
  ENTRY_DONE
} EntryState;

typedef struct
{
  GroupLog *log;
  CommitGate *gates[OWNERS];
  Failover *failovers[OWNERS];
  bool instance_down[INSTANCES];
  bool instance_unreachable[OWNERS][INSTANCES]; /* by owner */
  SessionToken later_write; /* acknowledged by another primary before the read began */
  bool owner_down[OWNERS];
  bool owner_paused[OWNERS];
  bool owner_overloaded[OWNERS];
  bool link_unresponsive[OWNERS];
  bool connection_unresponsive;
  gint64 link_lost_ms[OWNERS];
  bool entry_down;
  RequestKind kind;
  Attempt attempts[256];
  guint attempt_count;
  EntryState entry;
  gint64 now_ms;
  gint64 deadline_ms;
  gint64 resolve_until_ms;
  RefusalKind last_refusal;
  guint refusals;
  bool done;
  SimulationResult result;
  Step reached;
  bool injected[2];
} Simulation;

static bool
apply (void *data, uint32_t instance, const LogRecord *record)
{
  return true;
}

static void
ignore_event (void *data, uint32_t instance)
{
}

static const GroupLogEvents events = { apply, ignore_event, ignore_event };

static const char *const fault_names[FAULT_COUNT] = {
  "none",
  "primary-isolated",
  "primary-dead",
  "replica-behind",
  "replica-dead",
  "replicas-dead",
  "entry-dead",
  "owner-dead",
  "owner-paused",
  "flood",
  "store-down",
  "store-slow",
  "conn-unresponsive",
  "link-unresponsive",
  "domain-lost",
  "region-partition",
  "minority-partition",
  "config-race",
};

static const char *const step_names[STEP_COUNT] = {
  "received", "forwarded", "queued", "executing", "committed", "replicated", "answered",
};

const char *
fault_name (Fault fault)
{
  return fault_names[fault];
}

const char *
step_name (Step step)
{
  return step_names[step];
}

static bool
reachable (const Simulation *sim, guint owner, uint32_t instance)
{
  return !sim->instance_down[instance] && !sim->instance_unreachable[owner][instance];
}

static void
isolate_instance (Simulation *sim, uint32_t instance)
{
  group_log_set_partitioned (sim->log, instance, true);
}

static void
kill_instance (Simulation *sim, uint32_t instance)
{
  sim->instance_down[instance] = true;
  isolate_instance (sim, instance);
}

static void
kill_owner (Simulation *sim, guint owner)
{
  sim->owner_down[owner] = true;
  sim->link_lost_ms[owner] = sim->now_ms;
}

static void
inject_fault (Simulation *sim, Fault fault)
{
  switch (fault)
    {
    case FAULT_PRIMARY_ISOLATED:
      isolate_instance (sim, 0);
      break;
    case FAULT_PRIMARY_DEAD:
      kill_instance (sim, 0);
      break;
    case FAULT_REPLICA_BEHIND:
      group_log_set_lag (sim->log, 1, 3000);
      group_log_set_lag (sim->log, 2, 3000);
      break;
    case FAULT_REPLICA_DEAD:
      kill_instance (sim, 1);
      break;
    case FAULT_REPLICAS_DEAD:
      kill_instance (sim, 1);
      kill_instance (sim, 2);
      break;
    case FAULT_ENTRY_DEAD:
      sim->entry_down = true;
      break;
    case FAULT_OWNER_DEAD:
      kill_owner (sim, 0);
      break;
    case FAULT_OWNER_PAUSED:
      sim->owner_paused[0] = true;
      sim->link_lost_ms[0] = sim->now_ms + UNRESPONSIVE_MS;
      break;
    case FAULT_FLOOD:
      sim->owner_overloaded[0] = true;
      break;
    case FAULT_CONNECTION_UNRESPONSIVE:
      sim->connection_unresponsive = true;
      break;
    case FAULT_LINK_UNRESPONSIVE:
      sim->link_unresponsive[0] = true;
      sim->link_lost_ms[0] = sim->now_ms + UNRESPONSIVE_MS;
      break;
    case FAULT_DOMAIN_LOST:
      kill_owner (sim, 0);
      kill_instance (sim, 0);
      break;
    case FAULT_REGION_PARTITION:
      sim->instance_unreachable[0][2] = sim->instance_unreachable[1][2] = true;
      isolate_instance (sim, 2);
      break;
    case FAULT_MINORITY_PARTITION:
      sim->instance_unreachable[0][1] = sim->instance_unreachable[0][2] = true;
      sim->instance_unreachable[1][0] = true;
      isolate_instance (sim, 0);
      break;
    default:
      // No request depends on the store or on a configuration change.
      break;
    }
}

static guint
current_owner (const Simulation *sim)
{
  bool link_lost = sim->link_lost_ms[0] != 0 && sim->now_ms >= sim->link_lost_ms[0];

  // After a refusal the owner of another instance is tried.
  return link_lost ? 1 : sim->refusals % OWNERS;
}

static bool
owner_runs (const Simulation *sim, guint owner)
{
  return !sim->owner_down[owner] && !sim->owner_paused[owner];
}

static void
finish (Simulation *sim, Verdict verdict)
{
  sim->entry = ENTRY_DONE;
  if (sim->done)
    return;
  sim->done = true;
  sim->result.answered = !sim->entry_down;
  sim->result.outcome = verdict;
}

static RequestState
request_state (const Simulation *sim, RequestStep step)
{
  const RequestState state = {
    .kind = sim->kind,
    .step = step,
    .first_in_transaction = false,
    .retryable = refusal_info (sim->last_refusal)->retryable,
    .time_left = sim->now_ms < sim->deadline_ms,
  };

  return state;
}

static void
apply_action (Simulation *sim, FailureAction action)
{
  switch (action)
    {
    case FAILURE_ACTION_RETRY:
      sim->entry = ENTRY_ROUTING;
      return;
    case FAILURE_ACTION_NOT_RUN:
      finish (sim, VERDICT_NOT_RUN);
      return;
    case FAILURE_ACTION_RESOLVE:
      sim->entry = ENTRY_RESOLVING;
      sim->resolve_until_ms = sim->now_ms + RESOLVE_TIMEOUT_MS;
      return;
    case FAILURE_ACTION_IN_DOUBT:
    case FAILURE_ACTION_DISCONNECT:
      finish (sim, VERDICT_MAY_HAVE_RUN);
      return;
    }
}

static void
handle_failure (Simulation *sim, FailureKind failure)
{
  const RequestState state = request_state (sim, REQUEST_FORWARDED);

  apply_action (sim, request_failure_action (&state, failure));
}

static Attempt *
last_attempt (Simulation *sim)
{
  return &sim->attempts[sim->attempt_count - 1];
}

static void
send_attempt (Simulation *sim)
{
  Attempt *attempt;
  // A transaction stays with the owner that has its connection.
  guint owner = sim->kind == REQUEST_COMMIT ? 0 : current_owner (sim);
  int32_t primary = failover_primary (sim->failovers[owner]);

  if (sim->now_ms >= sim->deadline_ms)
    {
      finish (sim, VERDICT_NOT_RUN);
      return;
    }
  if (primary < 0 || sim->attempt_count == G_N_ELEMENTS (sim->attempts))
    return;
  attempt = &sim->attempts[sim->attempt_count++];
  attempt->state = WORK_ON_LINK;
  attempt->owner = owner;
  attempt->instance = (uint32_t) primary;
  attempt->started_ms = sim->now_ms;
  g_snprintf (attempt->id, sizeof attempt->id, "t%u", sim->attempt_count);
  sim->entry = ENTRY_WAITING;
}

static void
answer (Attempt *attempt, RefusalKind refusal, bool failed, FailureKind failure)
{
  attempt->state = WORK_ANSWER_ON_LINK;
  attempt->refusal = refusal;
  attempt->failed = failed;
  attempt->failure = failure;
}

/* Reads write no log entry; writes commit here. */
static void
execute (Simulation *sim, Attempt *attempt)
{
  const char *id = attempt->id;
  GPtrArray *statements;

  if (sim->kind == REQUEST_READ)
    {
      attempt->position = group_log_status (sim->log, attempt->instance, sim->now_ms).received;
      attempt->state = WORK_GATED;
      return;
    }
  if (group_log_check_commit (sim->log, attempt->instance, id) != COMMIT_ALLOWED)
    {
      answer (attempt, REFUSAL_NOT_PRIMARY, false, 0);
      return;
    }
  statements = g_ptr_array_new_with_free_func (g_free);
  attempt->position = group_log_commit (sim->log, attempt->instance, id, statements, sim->now_ms);
  attempt->state = WORK_GATED;
}

static void
hold_response (Simulation *sim, Attempt *attempt)
{
  const GatedResponse response
      = { attempt->position, (attempt->started_ms - 1) * 1000,
          MIN (sim->deadline_ms + 1000, sim->now_ms + GATE_TIMEOUT_MS), attempt };

  commit_gate_record_position (sim->gates[attempt->owner], attempt->instance, attempt->position);
  commit_gate_add (sim->gates[attempt->owner], &response);
}

static void
advance_attempt (Simulation *sim, Attempt *attempt)
{
  guint owner = attempt->owner;
  bool newest = attempt == last_attempt (sim);

  switch (attempt->state)
    {
    case WORK_ON_LINK:
      if (!owner_runs (sim, owner) || sim->link_unresponsive[owner])
        return;
      attempt->state = WORK_QUEUED;
      if (newest)
        sim->reached = MAX (sim->reached, STEP_QUEUED);
      return;
    case WORK_QUEUED:
      if (!owner_runs (sim, owner))
        return;
      if (sim->owner_overloaded[owner])
        answer (attempt, REFUSAL_OVERLOAD, false, 0);
      else if (failover_primary (sim->failovers[owner]) != (int32_t) attempt->instance)
        answer (attempt, REFUSAL_NOT_PRIMARY, false, 0);
      else if (!failover_is_responding (sim->failovers[owner], attempt->instance, sim->now_ms))
        answer (attempt, REFUSAL_BACKEND_DOWN, false, 0);
      else if (!failover_majority_is_responding (sim->failovers[owner], sim->now_ms))
        answer (attempt, REFUSAL_NO_MAJORITY, false, 0);
      else
        attempt->state = WORK_EXECUTING;
      if (newest && attempt->state == WORK_EXECUTING)
        sim->reached = MAX (sim->reached, STEP_EXECUTING);
      return;
    case WORK_EXECUTING:
      if (!reachable (sim, owner, attempt->instance) || sim->connection_unresponsive)
        {
          // The connection is lost or retired, but the statement may still reach the server.
          if (sim->now_ms - attempt->started_ms >= UNRESPONSIVE_MS && owner_runs (sim, owner))
            answer (attempt, REFUSAL_NONE, true, FAILURE_BACKEND_LOST);
          if (sim->connection_unresponsive && sim->now_ms - attempt->started_ms >= UNRESPONSIVE_MS)
            sim->connection_unresponsive = false;
          return;
        }
      execute (sim, attempt);
      if (attempt->state != WORK_GATED)
        return;
      hold_response (sim, attempt);
      if (newest)
        sim->reached = MAX (sim->reached, STEP_COMMITTED);
      return;
    default:
      return;
    }
}

static void
release_responses (Simulation *sim, guint owner)
{
  GatedResponse response;
  GateResult result;

  while (commit_gate_pop (sim->gates[owner], sim->now_ms, &response, &result))
    {
      Attempt *attempt = response.data;

      if (attempt->state != WORK_GATED)
        continue;
      if (result == GATE_RELEASED)
        answer (attempt, REFUSAL_NONE, false, 0);
      else
        answer (attempt, REFUSAL_NONE, true,
                result == GATE_SUPERSEDED ? FAILURE_SUPERSEDED : FAILURE_NO_MAJORITY);
      if (attempt == last_attempt (sim) && result == GATE_RELEASED)
        sim->reached = MAX (sim->reached, STEP_REPLICATED);
    }
}

static void
poll_group (Simulation *sim, guint owner)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      InstanceStatus status = group_log_status (sim->log, i, sim->now_ms);
      const GateReport report = { i, status.term, status.received, sim->now_ms * 1000 };

      if (!reachable (sim, owner, i))
        continue;
      failover_record_status (sim->failovers[owner], i, &status);
      commit_gate_report (sim->gates[owner], &report);
    }
}

static void
run_failover_policy (Simulation *sim, guint owner)
{
  Failover *failover = sim->failovers[owner];
  FailoverCommand command;

  failover_tick (failover, sim->now_ms);
  while (failover_next_command (failover, &command))
    {
      bool accepted = false;

      if (reachable (sim, owner, command.instance))
        switch (command.kind)
          {
          case FAILOVER_ADVANCE_TERM:
            accepted = group_log_advance_term (sim->log, command.instance, command.term);
            break;
          case FAILOVER_PROMOTE:
            accepted = group_log_promote (sim->log, command.instance, command.term, sim->now_ms);
            break;
          case FAILOVER_FOLLOW:
            accepted = group_log_follow (sim->log, command.instance, command.term, command.primary);
            break;
          }
      failover_command_done (failover, &command, accepted, sim->now_ms);
      failover_tick (failover, sim->now_ms);
    }
}

static void
handle_answer (Simulation *sim, Attempt *attempt)
{
  if (!owner_runs (sim, attempt->owner) || sim->link_unresponsive[attempt->owner])
    return;
  if (attempt->failed)
    {
      handle_failure (sim, attempt->failure);
      return;
    }
  if (attempt->refusal != REFUSAL_NONE)
    {
      sim->last_refusal = attempt->refusal;
      sim->refusals++;
      handle_failure (sim, FAILURE_REFUSED);
      return;
    }
  sim->reached = STEP_ANSWERED;
  if (sim->kind == REQUEST_READ && !session_token_covers (attempt->position, sim->later_write))
    sim->result.stale = true;
  finish (sim, VERDICT_RAN);
}

static void
resolve (Simulation *sim)
{
  // Owners are tried in turn, so that an unresponsive one does not block the look-up.
  guint owner = (guint) (sim->now_ms / TICK_MS) % OWNERS;
  int32_t primary = failover_primary (sim->failovers[owner]);
  Attempt *attempt = last_attempt (sim);
  bool committed;
  SessionToken token;
  uint32_t replicated_count = 0;

  if (sim->now_ms >= sim->resolve_until_ms)
    {
      finish (sim, VERDICT_MAY_HAVE_RUN);
      return;
    }
  if (primary < 0 || !owner_runs (sim, owner) || sim->link_unresponsive[owner]
      || !reachable (sim, owner, (uint32_t) primary)
      || !group_log_resolve (sim->log, (uint32_t) primary, attempt->id, sim->now_ms, &committed,
                             &token))
    return;
  // The outcome is valid once a majority has replicated it in the current term.
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      const InstanceStatus status = group_log_status (sim->log, i, sim->now_ms);

      if (reachable (sim, owner, i) && status.received.term == token.term
          && session_token_covers (status.received, token))
        replicated_count++;
    }
  if (replicated_count < INSTANCES / 2 + 1)
    return;
  if (committed)
    {
      finish (sim, VERDICT_RAN);
      return;
    }
  sim->last_refusal = REFUSAL_NOT_PRIMARY;
  apply_action (sim, sim->kind == REQUEST_WRITE && sim->now_ms < sim->deadline_ms
                         ? FAILURE_ACTION_RETRY
                         : FAILURE_ACTION_NOT_RUN);
}

static void
advance_entry (Simulation *sim)
{
  Attempt *attempt;

  if (sim->entry_down)
    return;
  switch (sim->entry)
    {
    case ENTRY_ROUTING:
      send_attempt (sim);
      return;
    case ENTRY_WAITING:
      attempt = last_attempt (sim);
      if (attempt->state == WORK_ANSWER_ON_LINK)
        handle_answer (sim, attempt);
      if (sim->entry != ENTRY_WAITING)
        return;
      if (sim->link_lost_ms[attempt->owner] != 0
          && sim->now_ms >= sim->link_lost_ms[attempt->owner])
        handle_failure (sim, FAILURE_LINK_LOST);
      else if (sim->now_ms >= sim->deadline_ms + ANSWER_GRACE_MS)
        handle_failure (sim, FAILURE_DEADLINE);
      return;
    case ENTRY_RESOLVING:
      resolve (sim);
      return;
    case ENTRY_DONE:
      return;
    }
}

static bool
is_fault_due (const Simulation *sim, Step step)
{
  const Attempt *attempt = sim->attempt_count == 0 ? NULL : &sim->attempts[0];

  switch (step)
    {
    case STEP_RECEIVED:
      return true;
    case STEP_FORWARDED:
      return attempt != NULL;
    case STEP_ANSWERED:
      return attempt != NULL && attempt->state == WORK_ANSWER_ON_LINK;
    default:
      return sim->reached >= step;
    }
}

static void
advance_time (Simulation *sim)
{
  group_log_tick (sim->log, sim->now_ms);
  for (guint i = 0; i < OWNERS; i++)
    if (owner_runs (sim, i))
      {
        poll_group (sim, i);
        run_failover_policy (sim, i);
        release_responses (sim, i);
      }
  for (guint i = 0; i < sim->attempt_count; i++)
    advance_attempt (sim, &sim->attempts[i]);
  for (guint i = 0; i < OWNERS; i++)
    if (owner_runs (sim, i))
      release_responses (sim, i);
}

static void
inject_due_faults (Simulation *sim, const Fault *faults, const Step *steps)
{
  for (int i = 0; i < 2; i++)
    if (!sim->injected[i] && is_fault_due (sim, steps[i]))
      {
        sim->injected[i] = true;
        inject_fault (sim, faults[i]);
      }
}

/* Everything paused or unresponsive resumes; delayed actions must not break the invariants. */
static void
resume_all (Simulation *sim)
{
  memset (sim->owner_paused, 0, sizeof sim->owner_paused);
  memset (sim->link_unresponsive, 0, sizeof sim->link_unresponsive);
  sim->connection_unresponsive = false;
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      sim->instance_down[i] = false;
      sim->instance_unreachable[0][i] = sim->instance_unreachable[1][i] = false;
      group_log_set_partitioned (sim->log, i, false);
      group_log_set_lag (sim->log, i, 0);
    }
  for (int i = 0; i < 200; i++)
    {
      sim->now_ms += TICK_MS;
      advance_time (sim);
    }
}

static unsigned int
count_runs (Simulation *sim)
{
  int32_t primary = failover_primary (sim->failovers[1]);
  unsigned int runs = 0;

  for (guint i = 0; i < sim->attempt_count; i++)
    {
      bool committed = false;
      SessionToken token;

      if (group_log_resolve (sim->log, (uint32_t) primary, sim->attempts[i].id, sim->now_ms,
                             &committed, &token)
          && committed)
        runs++;
    }
  return runs;
}

static Simulation *
simulation_new (RequestKind kind)
{
  Simulation *sim = g_new0 (Simulation, 1);

  sim->kind = kind;
  sim->log = group_log_new (INSTANCES, &events, sim);
  group_log_set_delay (sim->log, 0, 1, TICK_MS);
  group_log_set_delay (sim->log, 0, 2, 2 * TICK_MS);
  for (guint i = 0; i < OWNERS; i++)
    {
      const FailoverOptions failover = { INSTANCES, 1500, 800, 700, i + 1 };

      sim->gates[i] = commit_gate_new (INSTANCES);
      sim->failovers[i] = failover_new (&failover);
      failover_set_rank (sim->failovers[i], i);
    }
  sim->now_ms = 1000;
  for (int i = 0; i < 20; i++, sim->now_ms += TICK_MS)
    advance_time (sim);
  return sim;
}

static void
simulation_free (Simulation *sim)
{
  for (guint i = 0; i < OWNERS; i++)
    {
      failover_free (sim->failovers[i]);
      commit_gate_free (sim->gates[i]);
    }
  group_log_free (sim->log);
  g_free (sim);
}

/*
 * Lets the read begin after another primary has been promoted and has acknowledged a write, while
 * the first owner may still have older information.
 */
static void
run_failover_before_read (Simulation *sim)
{
  for (int i = 0; i < 120; i++, sim->now_ms += TICK_MS)
    advance_time (sim);
  for (uint32_t i = 1; i < INSTANCES; i++)
    if (group_log_status (sim->log, i, sim->now_ms).role == ROLE_PRIMARY)
      sim->later_write = group_log_commit (sim->log, i, "later",
                                           g_ptr_array_new_with_free_func (g_free), sim->now_ms);
  for (int i = 0; i < 10; i++, sim->now_ms += TICK_MS)
    advance_time (sim);
}

SimulationResult
simulation_run (RequestKind kind, Fault first, Step first_step, Fault second, Step second_step)
{
  const Fault faults[2] = { first, second };
  const Step steps[2] = { first_step, second_step };
  Simulation *sim = simulation_new (kind);
  SimulationResult result;

  if (kind == REQUEST_READ && first_step == STEP_RECEIVED)
    {
      inject_fault (sim, first);
      sim->injected[0] = true;
      run_failover_before_read (sim);
    }
  sim->deadline_ms = sim->now_ms + DEADLINE_MS;
  for (gint64 end_ms = sim->now_ms + 30000; sim->now_ms < end_ms && !sim->done;
       sim->now_ms += TICK_MS)
    {
      inject_due_faults (sim, faults, steps);
      advance_entry (sim);
      inject_due_faults (sim, faults, steps);
      advance_time (sim);
    }
  resume_all (sim);
  sim->result.runs = count_runs (sim);
  result = sim->result;
  simulation_free (sim);
  return result;
}
