/**
 * DOC: The instances whose logs may be needed to find every acknowledged commit. An instance that
 * is gone still counts until enough of those that stay have all that it can have confirmed. A
 * process that has just started does not know which instances are gone: its set is complete once
 * the staying logs cover everything from before its start, or once a set that was recorded
 * outside of the processes has been added. Without I/O and clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/session-token.h"

/** Maximum number of instances tracked. */
#define LOG_HOLDERS_MAX 32

/**
 * log_holder_key() - Names one run of an instance, the same on every host: @run is a hash of its
 * identifier and start, @address one of the address that it listens at.
 */
uint64_t log_holder_key (uint32_t run, uint32_t address);

/**
 * struct LogHolder - One instance, in one run: one that restarts without its log is another holder.
 * @key: see log_holder_key().
 * @listed: it is in the list of instances. @leaving: it has announced that it leaves.
 * @down: it refused connections when it was listed last.
 * @released_ms: it confirms no commit from then on; 0 while it may.
 * @received: the most advanced log position that it has reported.
 */
typedef struct
{
  uint64_t key;
  bool listed;
  bool leaving;
  bool down;
  int64_t released_ms;
  SessionToken received;
} LogHolder;

/**
 * struct LogHolders - The instances of a group.
 * @items: those that count. @complete: no other instance counts.
 * @from_record: that is known from the record only.
 * @unknown_until_ms: instances unknown to this process may have confirmed commits until then.
 * @mark: position of the primary, asked for at @mark_ms, that the staying logs are compared with;
 *   time 0 for none.
 */
typedef struct
{
  LogHolder items[LOG_HOLDERS_MAX];
  uint32_t count;
  bool complete;
  bool from_record;
  int64_t unknown_until_ms;
  SessionToken mark;
  int64_t mark_ms;
} LogHolders;

/** log_holders_init() - This process begins to follow the list of instances at @now_ms. */
void log_holders_init (LogHolders *holders, int64_t now_ms);

/** struct ListedInstance - An instance in the list; see &struct LogHolder. */
typedef struct
{
  uint64_t key;
  bool leaving;
  bool down;
  SessionToken received;
} ListedInstance;

/** log_holders_set_listed() - The list of instances is now @listed. */
void log_holders_set_listed (LogHolders *holders, const ListedInstance *listed, uint32_t count,
                             int64_t now_ms);

/**
 * log_holders_fill_record() - Sets @entries, which holds %LOG_HOLDERS_MAX, to what a record outside
 * of the processes has to keep; returns their number.
 */
uint32_t log_holders_fill_record (const LogHolders *holders, uint64_t *entries);

/**
 * log_holders_add_recorded() - Such a record, read since the start of this process, has @entries.
 * Every instance that counts is in it or in the list.
 */
void log_holders_add_recorded (LogHolders *holders, const uint64_t *entries, uint32_t count);

/** log_holders_record_lost() - The record that was added may have lacked its latest changes. */
void log_holders_record_lost (LogHolders *holders);

/**
 * log_holders_record_position() - The primary's log ended at @position in its answer to a request
 * sent at @asked_ms.
 */
void log_holders_record_position (LogHolders *holders, SessionToken position, int64_t asked_ms);

/** log_holders_primary_changed() - Positions of another primary can't be compared any more. */
void log_holders_primary_changed (LogHolders *holders);

/**
 * log_holders_settle() - Concludes from what is known whether the staying logs cover those of the
 * instances that are gone, which then no longer count. A commit is acknowledged when the primary,
 * whose key is @primary, and @synchronous others have it.
 * Returns whether the instances that count, or whether they are all known, changed.
 */
bool log_holders_settle (LogHolders *holders, uint64_t primary, uint32_t synchronous);

/** log_holders_is_recorded() - Whether a record with @entries is up to date. */
bool log_holders_is_recorded (const LogHolders *holders, const uint64_t *entries, uint32_t count);

/** log_holders_gone_count() - Number of instances that count and are no longer listed. */
uint32_t log_holders_gone_count (const LogHolders *holders);
