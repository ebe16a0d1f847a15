/**
 * DOC: Which instance of a group serves a read. Covers loads under which replicas differ: one
 * region busier than another, an instance that is slow or lags, a primary needed for writes.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/replica-choice.h"
#include "policy/session-token.h"

/**
 * struct PlacementView - An instance as known to this host.
 * @usable: it takes new work. @leaving: it will soon stop. @primary: it is the primary of the
 *   group.
 * @distance: distance from this host.
 * @seen: latest log position that it reported.
 * @latency_ms: moving average of its response times.
 * @ejected: it fails much of its work; used only if no other can serve.
 * @wait_ms: expected wait for one of the connections of this host to it.
 * @behind_until_ms: it lacked a position that others had; not chosen before then.
 * @refused_until_ms: it refused for overload; others are preferred until then.
 */
typedef struct
{
  bool usable;
  bool ejected;
  bool leaving;
  bool primary;
  Distance distance;
  SessionToken seen;
  int64_t latency_ms;
  int64_t wait_ms;
  int64_t behind_until_ms;
  int64_t refused_until_ms;
} PlacementView;

/**
 * struct PlacementRequirement - Requirements of a read.
 * @after: position that the log must include.
 * @after_position_age_ms: time since the primary was seen at that position.
 */
typedef struct
{
  SessionToken after;
  int64_t after_position_age_ms;
} PlacementRequirement;

/**
 * placement_read() - Index of the instance to use, or -1. @tried is a bit mask of the instances
 * that have refused this read.
 */
int placement_read (const PlacementView *views, uint32_t count,
                    const PlacementRequirement *requirement, uint32_t tried, int64_t now_ms);
