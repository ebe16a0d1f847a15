/**
 * DOC: Choice of the instance that serves a statement, made by the entry host from the states
 * that owners reported with their answers.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/commit-gate.h"
#include "policy/session-token.h"

/** enum Distance - Distance from the entry host to an instance. */
typedef enum
{
  DISTANCE_DOMAIN,
  DISTANCE_REGION,
  DISTANCE_REMOTE
} Distance;

/**
 * struct InstanceView - An instance as known to an entry host.
 * @distance: its distance.
 * @leaving: it takes no new work.
 * @owned: a live host owns it.
 * @primary: it reported that it was the primary in @term.
 * @term: greatest term that it reported.
 * @applied: position of the last entry that it reported as applied.
 * @age_ms: age of its data as of the report; -1 if unknown.
 * @wait_us: expected wait in its queue as of the report.
 * @seen_ms: time of the report; 0 for never.
 * @refused_until_ms: it refused for a reason that lasts until about then.
 */
typedef struct
{
  Distance distance;
  bool leaving;
  bool owned;
  bool primary;
  uint64_t term;
  SessionToken applied;
  int64_t age_ms;
  int64_t wait_us;
  int64_t seen_ms;
  int64_t refused_until_ms;
} InstanceView;

/**
 * struct ReadRequirement - Requirements of a read.
 * @token: position that must be applied.
 * @max_age_ms: maximum age of the data; 0 accepts none, so the primary must serve the read.
 */
typedef struct
{
  SessionToken token;
  int64_t max_age_ms;
} ReadRequirement;

/** replica_choice_primary() - Index of the likely primary; -1 if unknown. */
int replica_choice_primary (const InstanceView *views, uint32_t count);

/**
 * replica_choice_read() - Index of the instance to try first for a read at @now_ms, or -1 if
 * there is none. @tried is a bit mask of the instances that have refused.
 */
int replica_choice_read (const InstanceView *views, uint32_t count,
                         const ReadRequirement *requirement, uint32_t tried, int64_t now_ms);

/** replica_choice_write() - The same for a write or a transaction. */
int replica_choice_write (const InstanceView *views, uint32_t count, uint32_t tried,
                          int64_t now_ms);
