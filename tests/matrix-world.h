/**
 * DOC: A small world for the fault matrix: one request on its way through an entry host and
 * an owner to a group of three, with the real policies deciding and time moving by steps.
 * Links, hosts and connections are flags; the group is the stand-in's replicated log.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/request-fate.h"

/** enum Fault - The brief's failures, as they touch one request. */
typedef enum
{
  FAULT_NONE,
  FAULT_PRIMARY_ISOLATED, /* from the rest of its group */
  FAULT_PRIMARY_DEAD,
  FAULT_REPLICA_BEHIND, /* both replicas apply late */
  FAULT_REPLICA_DEAD,   /* one of two */
  FAULT_REPLICAS_DEAD,  /* no majority is left, for good */
  FAULT_ENTRY_DEAD,     /* the caller's proxy */
  FAULT_OWNER_DEAD,
  FAULT_OWNER_PAUSED, /* and it wakes up after the request is over */
  FAULT_FLOOD,        /* the owner's queue is full */
  FAULT_STORE_DOWN,
  FAULT_STORE_SLOW,
  FAULT_BACKEND_SILENT, /* the connection in use goes silent; new ones work */
  FAULT_LINK_SILENT,
  FAULT_DOMAIN_LOST,        /* owner and primary stand in it */
  FAULT_REGION_PARTITION,   /* one replica is on the far side */
  FAULT_MINORITY_PARTITION, /* owner and primary together, from all others */
  FAULT_CONFIG_RACE,        /* a new configuration arrives */
  FAULT_COUNT
} Fault;

/** enum Step - How far the request has come when the fault strikes. */
typedef enum
{
  STEP_RECEIVED,
  STEP_FORWARDED,  /* frame on the link */
  STEP_QUEUED,     /* in the owner's queue */
  STEP_EXECUTING,  /* sent to the backend server */
  STEP_COMMITTED,  /* in the primary's log only */
  STEP_REPLICATED, /* a majority holds it */
  STEP_ANSWERED,   /* the owner's answer is on the link */
  STEP_COUNT
} Step;

/** struct SimulationResult - How the request ended. */
typedef struct
{
  bool answered;     /* the caller was told anything */
  Verdict outcome;   /* what the caller was told */
  unsigned int runs; /* times it is in the final primary's log */
  bool stale;        /* a read was answered without a write acknowledged before it began */
} SimulationResult;

/** simulation_run() - Runs a request of @kind, with two faults struck as it reaches their steps. */
SimulationResult simulation_run (RequestKind kind, Fault first, Step first_step, Fault second,
                                 Step second_step);

/** fault_name() - Name for the table. */
const char *fault_name (Fault fault);

/** step_name() - Name for the table. */
const char *step_name (Step step);
