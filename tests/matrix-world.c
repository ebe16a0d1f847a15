#include "matrix-world.h"

#include <string.h>

#include "policy/admission-queue.h"
#include "policy/commit-gate.h"
#include "policy/failover.h"
#include "standin/group-log.h"

#define INSTANCES 3
#define TICK_MS 50
#define DEADLINE_MS 5000
#define GRACE_MS 400
#define RESOLVE_MS 12000
#define SILENT_MS 1600
#define GATE_MS 1500
#define OWNERS 2

/* A frame's and a statement's progress at one owner. */
typedef enum
{
  WORK_NONE,
  WORK_ON_LINK,
  WORK_QUEUED,
  WORK_EXECUTING,
  WORK_GATED,
  WORK_ANSWER_ON_LINK
} WorkState;

/* One attempt: each has its own transaction id. */
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
  bool instance_far[OWNERS][INSTANCES]; /* out of the owner's reach */
  SessionToken later_write;             /* acknowledged by another primary before the read began */
  bool owner_down[OWNERS];
  bool owner_paused[OWNERS];
  bool owner_flooded[OWNERS];
  bool link_silent[OWNERS];
  bool connection_silent;
  gint64 link_broke_ms[OWNERS];
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
  bool struck[2];
} World;

static bool
apply (void *data, uint32_t instance, const LogRecord *record)
{
  return true;
}

static void
nothing (void *data, uint32_t instance)
{
}

static const GroupLogEvents events = { apply, nothing, nothing };

static const char *const fault_names[FAULT_COUNT] = {
  "none",        "primary-cut", "primary-dead", "replica-behind", "replica-dead", "replicas-dead",
  "entry-dead",  "owner-dead",  "owner-paused", "flood",          "store-down",   "store-slow",
  "conn-silent", "link-silent", "domain-lost",  "region-cut",     "side-cut",     "config-race",
};

static const char *const step_names[STEP_COUNT] = {
  "received", "handed", "queued", "executing", "committed", "held", "answered",
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
reachable (const World *world, guint owner, uint32_t instance)
{
  return !world->instance_down[instance] && !world->instance_far[owner][instance];
}

static void
cut_instance (World *world, uint32_t instance)
{
  group_log_set_partitioned (world->log, instance, true);
}

static void
kill_instance (World *world, uint32_t instance)
{
  world->instance_down[instance] = true;
  cut_instance (world, instance);
}

static void
kill_owner (World *world, guint owner)
{
  world->owner_down[owner] = true;
  world->link_broke_ms[owner] = world->now_ms;
}

static void
strike (World *world, Fault fault)
{
  switch (fault)
    {
    case FAULT_PRIMARY_ISOLATED:
      cut_instance (world, 0);
      break;
    case FAULT_PRIMARY_DEAD:
      kill_instance (world, 0);
      break;
    case FAULT_REPLICA_BEHIND:
      group_log_set_lag (world->log, 1, 3000);
      group_log_set_lag (world->log, 2, 3000);
      break;
    case FAULT_REPLICA_DEAD:
      kill_instance (world, 1);
      break;
    case FAULT_REPLICAS_DEAD:
      kill_instance (world, 1);
      kill_instance (world, 2);
      break;
    case FAULT_ENTRY_DEAD:
      world->entry_down = true;
      break;
    case FAULT_OWNER_DEAD:
      kill_owner (world, 0);
      break;
    case FAULT_OWNER_PAUSED:
      world->owner_paused[0] = true;
      world->link_broke_ms[0] = world->now_ms + SILENT_MS;
      break;
    case FAULT_FLOOD:
      world->owner_flooded[0] = true;
      break;
    case FAULT_BACKEND_SILENT:
      world->connection_silent = true;
      break;
    case FAULT_LINK_SILENT:
      world->link_silent[0] = true;
      world->link_broke_ms[0] = world->now_ms + SILENT_MS;
      break;
    case FAULT_DOMAIN_LOST:
      kill_owner (world, 0);
      kill_instance (world, 0);
      break;
    case FAULT_REGION_PARTITION:
      world->instance_far[0][2] = world->instance_far[1][2] = true;
      cut_instance (world, 2);
      break;
    case FAULT_MINORITY_PARTITION:
      world->instance_far[0][1] = world->instance_far[0][2] = true;
      world->instance_far[1][0] = true;
      cut_instance (world, 0);
      break;
    default:
      // The store and the configuration are on no request's path.
      break;
    }
}

static guint
current_owner (const World *world)
{
  bool broken = world->link_broke_ms[0] != 0 && world->now_ms >= world->link_broke_ms[0];

  // After a refusal the owner of another instance is asked.
  return broken ? 1 : world->refusals % OWNERS;
}

static bool
owner_runs (const World *world, guint owner)
{
  return !world->owner_down[owner] && !world->owner_paused[owner];
}

static void
finish (World *world, Verdict told)
{
  world->entry = ENTRY_DONE;
  if (world->done)
    return;
  world->done = true;
  world->result.answered = !world->entry_down;
  world->result.outcome = told;
}

static RequestState
request_state (const World *world, RequestStep step)
{
  const RequestState state = {
    .kind = world->kind,
    .step = step,
    .first_in_transaction = false,
    .retryable = refusal_info (world->last_refusal)->retryable,
    .time_left = world->now_ms < world->deadline_ms,
  };

  return state;
}

static void
act (World *world, FailureAction action)
{
  switch (action)
    {
    case FAILURE_ACTION_RETRY:
      world->entry = ENTRY_ROUTING;
      return;
    case FAILURE_ACTION_NOT_RUN:
      finish (world, VERDICT_NOT_RUN);
      return;
    case FAILURE_ACTION_RESOLVE:
      world->entry = ENTRY_RESOLVING;
      world->resolve_until_ms = world->now_ms + RESOLVE_MS;
      return;
    case FAILURE_ACTION_IN_DOUBT:
    case FAILURE_ACTION_DISCONNECT:
      finish (world, VERDICT_MAY_HAVE_RUN);
      return;
    }
}

static void
entry_failed (World *world, FailureKind failure)
{
  const RequestState state = request_state (world, REQUEST_FORWARDED);

  act (world, request_failure_action (&state, failure));
}

static Attempt *
last_attempt (World *world)
{
  return &world->attempts[world->attempt_count - 1];
}

static void
send_attempt (World *world)
{
  Attempt *attempt;
  // A transaction stays with the owner that holds its connection.
  guint owner = world->kind == REQUEST_COMMIT ? 0 : current_owner (world);
  int32_t primary = failover_primary (world->failovers[owner]);

  if (world->now_ms >= world->deadline_ms)
    {
      finish (world, VERDICT_NOT_RUN);
      return;
    }
  if (primary < 0 || world->attempt_count == G_N_ELEMENTS (world->attempts))
    return;
  attempt = &world->attempts[world->attempt_count++];
  attempt->state = WORK_ON_LINK;
  attempt->owner = owner;
  attempt->instance = (uint32_t) primary;
  attempt->started_ms = world->now_ms;
  g_snprintf (attempt->id, sizeof attempt->id, "t%u", world->attempt_count);
  world->entry = ENTRY_WAITING;
}

static void
answer (Attempt *attempt, RefusalKind refusal, bool failed, FailureKind failure)
{
  attempt->state = WORK_ANSWER_ON_LINK;
  attempt->refusal = refusal;
  attempt->failed = failed;
  attempt->failure = failure;
}

/* Reads leave nothing in the log; writes commit here. */
static void
execute (World *world, Attempt *attempt)
{
  const char *id = attempt->id;
  GPtrArray *statements;

  if (world->kind == REQUEST_READ)
    {
      attempt->position = group_log_status (world->log, attempt->instance, world->now_ms).received;
      attempt->state = WORK_GATED;
      return;
    }
  if (group_log_check_commit (world->log, attempt->instance, id) != COMMIT_ALLOWED)
    {
      answer (attempt, REFUSAL_NOT_PRIMARY, false, 0);
      return;
    }
  statements = g_ptr_array_new_with_free_func (g_free);
  attempt->position
      = group_log_commit (world->log, attempt->instance, id, statements, world->now_ms);
  attempt->state = WORK_GATED;
}

static void
hold (World *world, Attempt *attempt)
{
  const GatedResponse ticket
      = { attempt->position, (attempt->started_ms - 1) * 1000,
          MIN (world->deadline_ms + 1000, world->now_ms + GATE_MS), attempt };

  commit_gate_record_position (world->gates[attempt->owner], attempt->instance, attempt->position);
  commit_gate_add (world->gates[attempt->owner], &ticket);
}

static void
move_attempt (World *world, Attempt *attempt)
{
  guint owner = attempt->owner;
  bool newest = attempt == last_attempt (world);

  switch (attempt->state)
    {
    case WORK_ON_LINK:
      if (!owner_runs (world, owner) || world->link_silent[owner])
        return;
      attempt->state = WORK_QUEUED;
      if (newest)
        world->reached = MAX (world->reached, STEP_QUEUED);
      return;
    case WORK_QUEUED:
      if (!owner_runs (world, owner))
        return;
      if (world->owner_flooded[owner])
        answer (attempt, REFUSAL_OVERLOAD, false, 0);
      else if (failover_primary (world->failovers[owner]) != (int32_t) attempt->instance)
        answer (attempt, REFUSAL_NOT_PRIMARY, false, 0);
      else if (!failover_is_responding (world->failovers[owner], attempt->instance, world->now_ms))
        answer (attempt, REFUSAL_BACKEND_DOWN, false, 0);
      else if (!failover_majority_is_responding (world->failovers[owner], world->now_ms))
        answer (attempt, REFUSAL_NO_MAJORITY, false, 0);
      else
        attempt->state = WORK_EXECUTING;
      if (newest && attempt->state == WORK_EXECUTING)
        world->reached = MAX (world->reached, STEP_EXECUTING);
      return;
    case WORK_EXECUTING:
      if (!reachable (world, owner, attempt->instance) || world->connection_silent)
        {
          // Lost or retired; the statement itself may still be on its way to the server.
          if (world->now_ms - attempt->started_ms >= SILENT_MS && owner_runs (world, owner))
            answer (attempt, REFUSAL_NONE, true, FAILURE_BACKEND_LOST);
          if (world->connection_silent && world->now_ms - attempt->started_ms >= SILENT_MS)
            world->connection_silent = false;
          return;
        }
      execute (world, attempt);
      if (attempt->state != WORK_GATED)
        return;
      hold (world, attempt);
      if (newest)
        world->reached = MAX (world->reached, STEP_COMMITTED);
      return;
    default:
      return;
    }
}

static void
release (World *world, guint owner)
{
  GatedResponse ticket;
  GateResult result;

  while (commit_gate_pop (world->gates[owner], world->now_ms, &ticket, &result))
    {
      Attempt *attempt = ticket.data;

      if (attempt->state != WORK_GATED)
        continue;
      if (result == GATE_RELEASED)
        answer (attempt, REFUSAL_NONE, false, 0);
      else
        answer (attempt, REFUSAL_NONE, true,
                result == GATE_SUPERSEDED ? FAILURE_SUPERSEDED : FAILURE_NO_MAJORITY);
      if (attempt == last_attempt (world) && result == GATE_RELEASED)
        world->reached = MAX (world->reached, STEP_REPLICATED);
    }
}

static void
poll_group (World *world, guint owner)
{
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      InstanceStatus status = group_log_status (world->log, i, world->now_ms);
      const GateReport report = { i, status.term, status.received, world->now_ms * 1000 };

      if (!reachable (world, owner, i))
        continue;
      failover_record_status (world->failovers[owner], i, &status);
      commit_gate_report (world->gates[owner], &report);
    }
}

static void
run_failover (World *world, guint owner)
{
  Failover *failover = world->failovers[owner];
  FailoverCommand order;

  failover_tick (failover, world->now_ms);
  while (failover_next_command (failover, &order))
    {
      bool accepted = false;

      if (reachable (world, owner, order.instance))
        switch (order.kind)
          {
          case FAILOVER_ADVANCE_TERM:
            accepted = group_log_advance_term (world->log, order.instance, order.term);
            break;
          case FAILOVER_PROMOTE:
            accepted = group_log_promote (world->log, order.instance, order.term, world->now_ms);
            break;
          case FAILOVER_FOLLOW:
            accepted = group_log_follow (world->log, order.instance, order.term, order.primary);
            break;
          }
      failover_command_done (failover, &order, accepted, world->now_ms);
      failover_tick (failover, world->now_ms);
    }
}

static void
take_answer (World *world, Attempt *attempt)
{
  if (!owner_runs (world, attempt->owner) || world->link_silent[attempt->owner])
    return;
  if (attempt->failed)
    {
      entry_failed (world, attempt->failure);
      return;
    }
  if (attempt->refusal != REFUSAL_NONE)
    {
      world->last_refusal = attempt->refusal;
      world->refusals++;
      entry_failed (world, FAILURE_REFUSED);
      return;
    }
  world->reached = STEP_ANSWERED;
  if (world->kind == REQUEST_READ && !session_token_covers (attempt->position, world->later_write))
    world->result.stale = true;
  finish (world, VERDICT_RAN);
}

static void
resolve (World *world)
{
  // Owners are asked in turn, so that a silent one is no obstacle.
  guint owner = (guint) (world->now_ms / TICK_MS) % OWNERS;
  int32_t primary = failover_primary (world->failovers[owner]);
  Attempt *attempt = last_attempt (world);
  bool committed;
  SessionToken token;
  uint32_t holders = 0;

  if (world->now_ms >= world->resolve_until_ms)
    {
      finish (world, VERDICT_MAY_HAVE_RUN);
      return;
    }
  if (primary < 0 || !owner_runs (world, owner) || world->link_silent[owner]
      || !reachable (world, owner, (uint32_t) primary)
      || !group_log_resolve (world->log, (uint32_t) primary, attempt->id, world->now_ms, &committed,
                             &token))
    return;
  // The outcome counts once a majority holds it in the current term.
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      const InstanceStatus status = group_log_status (world->log, i, world->now_ms);

      if (reachable (world, owner, i) && status.received.term == token.term
          && session_token_covers (status.received, token))
        holders++;
    }
  if (holders < INSTANCES / 2 + 1)
    return;
  if (committed)
    {
      finish (world, VERDICT_RAN);
      return;
    }
  world->last_refusal = REFUSAL_NOT_PRIMARY;
  act (world, world->kind == REQUEST_WRITE && world->now_ms < world->deadline_ms
                  ? FAILURE_ACTION_RETRY
                  : FAILURE_ACTION_NOT_RUN);
}

static void
move_entry (World *world)
{
  Attempt *attempt;

  if (world->entry_down)
    return;
  switch (world->entry)
    {
    case ENTRY_ROUTING:
      send_attempt (world);
      return;
    case ENTRY_WAITING:
      attempt = last_attempt (world);
      if (attempt->state == WORK_ANSWER_ON_LINK)
        take_answer (world, attempt);
      if (world->entry != ENTRY_WAITING)
        return;
      if (world->link_broke_ms[attempt->owner] != 0
          && world->now_ms >= world->link_broke_ms[attempt->owner])
        entry_failed (world, FAILURE_LINK_LOST);
      else if (world->now_ms >= world->deadline_ms + GRACE_MS)
        entry_failed (world, FAILURE_DEADLINE);
      return;
    case ENTRY_RESOLVING:
      resolve (world);
      return;
    case ENTRY_DONE:
      return;
    }
}

static bool
strike_due (const World *world, Step step)
{
  const Attempt *attempt = world->attempt_count == 0 ? NULL : &world->attempts[0];

  switch (step)
    {
    case STEP_RECEIVED:
      return true;
    case STEP_FORWARDED:
      return attempt != NULL;
    case STEP_ANSWERED:
      return attempt != NULL && attempt->state == WORK_ANSWER_ON_LINK;
    default:
      return world->reached >= step;
    }
}

static void
tick (World *world)
{
  group_log_tick (world->log, world->now_ms);
  for (guint i = 0; i < OWNERS; i++)
    if (owner_runs (world, i))
      {
        poll_group (world, i);
        run_failover (world, i);
        release (world, i);
      }
  for (guint i = 0; i < world->attempt_count; i++)
    move_attempt (world, &world->attempts[i]);
  for (guint i = 0; i < OWNERS; i++)
    if (owner_runs (world, i))
      release (world, i);
}

static void
strike_all (World *world, const Fault *faults, const Step *steps)
{
  for (int i = 0; i < 2; i++)
    if (!world->struck[i] && strike_due (world, steps[i]))
      {
        world->struck[i] = true;
        strike (world, faults[i]);
      }
}

/* Everything that was paused or silent wakes up; what it still does must do no harm. */
static void
wake_all (World *world)
{
  memset (world->owner_paused, 0, sizeof world->owner_paused);
  memset (world->link_silent, 0, sizeof world->link_silent);
  world->connection_silent = false;
  for (uint32_t i = 0; i < INSTANCES; i++)
    {
      world->instance_down[i] = false;
      world->instance_far[0][i] = world->instance_far[1][i] = false;
      group_log_set_partitioned (world->log, i, false);
      group_log_set_lag (world->log, i, 0);
    }
  for (int i = 0; i < 200; i++)
    {
      world->now_ms += TICK_MS;
      tick (world);
    }
}

static unsigned int
count_runs (World *world)
{
  int32_t primary = failover_primary (world->failovers[1]);
  unsigned int runs = 0;

  for (guint i = 0; i < world->attempt_count; i++)
    {
      bool committed = false;
      SessionToken token;

      if (group_log_resolve (world->log, (uint32_t) primary, world->attempts[i].id, world->now_ms,
                             &committed, &token)
          && committed)
        runs++;
    }
  return runs;
}

static World *
world_new (RequestKind kind)
{
  World *world = g_new0 (World, 1);

  world->kind = kind;
  world->log = group_log_new (INSTANCES, &events, world);
  group_log_set_delay (world->log, 0, 1, TICK_MS);
  group_log_set_delay (world->log, 0, 2, 2 * TICK_MS);
  for (guint i = 0; i < OWNERS; i++)
    {
      const FailoverOptions failover = { INSTANCES, 1500, 800, 700, i + 1 };

      world->gates[i] = commit_gate_new (INSTANCES);
      world->failovers[i] = failover_new (&failover);
      failover_set_rank (world->failovers[i], i);
    }
  world->now_ms = 1000;
  for (int i = 0; i < 20; i++, world->now_ms += TICK_MS)
    tick (world);
  return world;
}

static void
world_free (World *world)
{
  for (guint i = 0; i < OWNERS; i++)
    {
      failover_free (world->failovers[i]);
      commit_gate_free (world->gates[i]);
    }
  group_log_free (world->log);
  g_free (world);
}

/*
 * A read that begins after another primary has taken over and acknowledged a write; what the
 * first owner knows may be from before that.
 */
static void
let_others_take_over (World *world)
{
  for (int i = 0; i < 120; i++, world->now_ms += TICK_MS)
    tick (world);
  for (uint32_t i = 1; i < INSTANCES; i++)
    if (group_log_status (world->log, i, world->now_ms).role == ROLE_PRIMARY)
      world->later_write = group_log_commit (
          world->log, i, "later", g_ptr_array_new_with_free_func (g_free), world->now_ms);
  for (int i = 0; i < 10; i++, world->now_ms += TICK_MS)
    tick (world);
}

SimulationResult
simulation_run (RequestKind kind, Fault first, Step first_step, Fault second, Step second_step)
{
  const Fault faults[2] = { first, second };
  const Step steps[2] = { first_step, second_step };
  World *world = world_new (kind);
  SimulationResult result;

  if (kind == REQUEST_READ && first_step == STEP_RECEIVED)
    {
      strike (world, first);
      world->struck[0] = true;
      let_others_take_over (world);
    }
  world->deadline_ms = world->now_ms + DEADLINE_MS;
  for (gint64 end_ms = world->now_ms + 30000; world->now_ms < end_ms && !world->done;
       world->now_ms += TICK_MS)
    {
      strike_all (world, faults, steps);
      move_entry (world);
      strike_all (world, faults, steps);
      tick (world);
    }
  wake_all (world);
  world->result.runs = count_runs (world);
  result = world->result;
  world_free (world);
  return result;
}
