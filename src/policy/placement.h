/**
 * DOC: Which instance of a group serves a read. Answers the loads in which replicas differ:
 * one region busier than the other, an instance slow or behind, a primary that writes need.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/replica-choice.h"
#include "policy/session-token.h"

/**
 * struct PlacementView - What this host knows of an instance.
 * @usable: takes new work. @leaving: not for long. @primary: leads the group.
 * @distance: from this host.
 * @seen: last log position it showed.
 * @latency_ms: averaged time of its recent answers.
 * @wait_ms: expected wait for one of this host's connections to it.
 * @behind_until_ms: it lacked a position that others had; not asked before then.
 * @refused_until_ms: it refused for load; others go before it until then.
 */
typedef struct
{
  bool usable;
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
 * struct PlacementRequirement - What a read asks for.
 * @after: position that must be in the log.
 * @after_position_age_ms: time since the primary was seen at it.
 */
typedef struct
{
  SessionToken after;
  int64_t after_position_age_ms;
} PlacementRequirement;

/**
 * placement_read() - Index of the instance to ask, or -1. @tried is a bit mask of those that
 * refused this read already.
 */
int placement_read (const PlacementView *views, uint32_t count, const PlacementRequirement *need,
                    uint32_t tried, int64_t now_ms);
