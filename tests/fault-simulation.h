/**
 * DOC: Simulation for the fault matrix: one request on its way through an entry host and an
 * owner to a group of three instances. The real policies decide, and time advances by steps.
 * Links, hosts and connections are flags; the group is the replicated log of the stand-in.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/request-failure.h"

/** enum Fault - The faults of the fault matrix, as they affect one request. */
typedef enum
{
  FAULT_NONE,
  FAULT_PRIMARY_ISOLATED, /* partitioned from the rest of its group */
  FAULT_PRIMARY_DEAD,
  FAULT_REPLICA_BEHIND, /* both replicas lag */
  FAULT_REPLICA_DEAD,   /* one of two replicas */
  FAULT_REPLICAS_DEAD,  /* no majority is left, permanently */
  FAULT_ENTRY_DEAD,     /* the entry host of the caller */
  FAULT_OWNER_DEAD,
  FAULT_OWNER_PAUSED, /* it resumes after the request has ended */
  FAULT_FLOOD,        /* the owner's queue is full */
  FAULT_STORE_DOWN,
  FAULT_STORE_SLOW,
  FAULT_CONNECTION_UNRESPONSIVE, /* the connection in use stops responding; new ones work */
  FAULT_LINK_UNRESPONSIVE,
  FAULT_DOMAIN_LOST,        /* the failure domain of the owner and the primary */
  FAULT_REGION_PARTITION,   /* one replica is in the other region */
  FAULT_MINORITY_PARTITION, /* owner and primary together are partitioned from all others */
  FAULT_CONFIG_RACE,        /* a new configuration arrives during the request */
  FAULT_COUNT
} Fault;

/** enum Step - Progress of the request at the time of the fault. */
typedef enum
{
  STEP_RECEIVED,
  STEP_FORWARDED,  /* frame on the link */
  STEP_QUEUED,     /* in the owner's queue */
  STEP_EXECUTING,  /* sent to the backend server */
  STEP_COMMITTED,  /* in the primary's log only */
  STEP_REPLICATED, /* a majority has replicated it */
  STEP_ANSWERED,   /* the owner's answer is on the link */
  STEP_COUNT
} Step;

/** struct SimulationResult - How the request ended. */
typedef struct
{
  bool answered;     /* a verdict was reported to the caller */
  Verdict outcome;   /* the verdict reported to the caller */
  unsigned int runs; /* number of times it is in the log of the last primary */
  bool stale;        /* a read missed a write that was acknowledged before it began */
} SimulationResult;

/**
 * simulation_run() - Runs a request of @kind; each of two faults is injected when the request
 * reaches its step.
 */
SimulationResult simulation_run (RequestKind kind, Fault first, Step first_step, Fault second,
                                 Step second_step);

/** fault_name() - Name for the table. */
const char *fault_name (Fault fault);

/** step_name() - Name for the table. */
const char *step_name (Step step);
