/**
 * DOC: Pauses of replicas that nobody ends: the host that made them is gone, or its command to
 * resume was lost. Without I/O and clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Maximum number of instances watched. */
#define PAUSE_WATCH_MAX 16

/**
 * struct WatchedPause - A pause that @instance reported.
 * @token: its fencing token. @since_ms: time of the first report of it, or of the last change of
 * primary; @reported_ms: time of the last report.
 */
typedef struct
{
  uint32_t instance;
  uint64_t token;
  int64_t since_ms;
  int64_t reported_ms;
} WatchedPause;

/** struct PauseWatch - The pauses of a group; zeroed is empty. */
typedef struct
{
  WatchedPause items[PAUSE_WATCH_MAX];
  uint32_t count;
} PauseWatch;

/** pause_watch_record() - @instance reported a pause under @token, 0 for none. */
void pause_watch_record (PauseWatch *watch, uint32_t instance, uint64_t token, int64_t reported_ms);

/** pause_watch_remove() - @instance is gone. */
void pause_watch_remove (PauseWatch *watch, uint32_t instance);

/** pause_watch_restart() - A change of primary is in progress, to which the pauses may belong. */
void pause_watch_restart (PauseWatch *watch, int64_t now_ms);

/** pause_watch_is_empty() - Whether no instance reported a pause last. */
bool pause_watch_is_empty (const PauseWatch *watch);

/**
 * pause_watch_abandoned() - Greatest fencing token of the pauses that were reported again after a
 * time in which a change of primary would have ended; 0 for none.
 */
uint64_t pause_watch_abandoned (const PauseWatch *watch, int64_t now_ms);
