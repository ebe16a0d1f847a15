/**
 * DOC: Choice of the instance that serves a statement, made by the entry host from what
 * the owners' answers told it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/commit-gate.h"
#include "policy/session-token.h"

/** enum Distance - From the entry host to an instance. */
typedef enum
{
  DISTANCE_DOMAIN,
  DISTANCE_REGION,
  DISTANCE_REMOTE
} Distance;

/**
 * struct InstanceView - What an entry host knows of an instance.
 * @distance: where it stands.
 * @leaving: takes no new work.
 * @owned: a live host owns it.
 * @primary: it said it was the primary in @term.
 * @term: greatest term it was seen in.
 * @applied: last entry it was seen to have applied.
 * @age_ms: age of its data when seen; -1 when unknown.
 * @wait_us: expected wait in its queue when seen.
 * @seen_ms: when that was; 0 for never.
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
 * struct ReadRequirement - What a read asks of the instance that serves it.
 * @token: position that must be applied.
 * @max_age_ms: greatest age of data; 0 accepts none, so the primary must serve.
 */
typedef struct
{
  SessionToken token;
  int64_t max_age_ms;
} ReadRequirement;

/** replica_choice_primary() - Index of the likely primary; -1 when none is known. */
int replica_choice_primary (const InstanceView *views, uint32_t count);

/**
 * replica_choice_read() - Index of the instance to ask first for a read at @now_ms, or -1
 * when no instance can be asked. @tried is a bit mask of instances that refused already.
 */
int replica_choice_read (const InstanceView *views, uint32_t count, const ReadRequirement *need,
                         uint32_t tried, int64_t now_ms);

/** replica_choice_write() - The same for a write or a transaction. */
int replica_choice_write (const InstanceView *views, uint32_t count, uint32_t tried,
                          int64_t now_ms);
