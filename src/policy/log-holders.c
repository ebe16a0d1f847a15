#include "policy/log-holders.h"

#include <string.h>

#include <glib.h>

/* An instance may confirm commits for this time after it has left the list. */
#define REMOVAL_LAG_MS 1000
/* The same for one that may be alive, and cut off from the store alone. */
#define SILENT_MS 30000
/* Bits of a key; the last one is free for what a record says of the instance. */
#define ADDRESS_MASK UINT64_C (0xfffffffe)
#define RECORDED_LEAVING UINT64_C (1)

uint64_t
log_holder_key (uint32_t run, uint32_t address)
{
  return (uint64_t) run << 32 | (address & ADDRESS_MASK);
}

void
log_holders_init (LogHolders *holders, int64_t now_ms)
{
  memset (holders, 0, sizeof *holders);
  holders->unknown_until_ms = now_ms + REMOVAL_LAG_MS;
}

static LogHolder *
find_holder (LogHolders *holders, uint64_t key)
{
  for (uint32_t i = 0; i < holders->count; i++)
    if (holders->items[i].key == key)
      return &holders->items[i];
  return NULL;
}

static LogHolder *
add_holder (LogHolders *holders, uint64_t key)
{
  LogHolder *holder;

  if (holders->count == LOG_HOLDERS_MAX)
    {
      // One that is not tracked counts like one that this process never knew.
      holders->complete = false;
      return NULL;
    }
  holder = &holders->items[holders->count++];
  *holder = (LogHolder){ .key = key };
  return holder;
}

static bool
is_listed (const ListedInstance *listed, uint32_t count, uint64_t key)
{
  for (uint32_t i = 0; i < count; i++)
    if (listed[i].key == key)
      return true;
  return false;
}

/* Whether another instance listens at the address of @holder, which has ended then. */
static bool
is_displaced (const ListedInstance *listed, uint32_t count, const LogHolder *holder)
{
  for (uint32_t i = 0; i < count; i++)
    if (listed[i].key != holder->key
        && (listed[i].key & ADDRESS_MASK) == (holder->key & ADDRESS_MASK))
      return true;
  return false;
}

static void
set_unlisted (LogHolder *holder, bool displaced, int64_t now_ms)
{
  const bool ended = holder->leaving || holder->down || displaced;

  if (holder->listed)
    holder->released_ms = now_ms + (ended ? REMOVAL_LAG_MS : SILENT_MS);
  else if (displaced)
    holder->released_ms = MIN (holder->released_ms, now_ms + REMOVAL_LAG_MS);
  holder->listed = false;
}

void
log_holders_set_listed (LogHolders *holders, const ListedInstance *listed, uint32_t count,
                        int64_t now_ms)
{
  for (uint32_t i = 0; i < holders->count; i++)
    {
      LogHolder *holder = &holders->items[i];

      if (!is_listed (listed, count, holder->key))
        set_unlisted (holder, is_displaced (listed, count, holder), now_ms);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      LogHolder *holder = find_holder (holders, listed[i].key);

      if (holder == NULL)
        holder = add_holder (holders, listed[i].key);
      if (holder == NULL)
        continue;
      holder->listed = true;
      holder->released_ms = 0;
      holder->leaving = listed[i].leaving;
      holder->down = listed[i].down;
      holder->received = listed[i].received;
    }
}

uint32_t
log_holders_fill_record (const LogHolders *holders, uint64_t *entries)
{
  for (uint32_t i = 0; i < holders->count; i++)
    entries[i] = holders->items[i].key | (holders->items[i].leaving ? RECORDED_LEAVING : 0);
  return holders->count;
}

void
log_holders_add_recorded (LogHolders *holders, const uint64_t *entries, uint32_t count)
{
  if (!holders->complete)
    holders->complete = holders->from_record = true;
  for (uint32_t i = 0; i < count; i++)
    {
      const uint64_t key = entries[i] & ~RECORDED_LEAVING;
      LogHolder *holder = find_holder (holders, key);

      if (holder != NULL)
        continue;
      holder = add_holder (holders, key);
      if (holder == NULL)
        continue;
      // This process has never seen it listed.
      holder->leaving = (entries[i] & RECORDED_LEAVING) != 0;
      holder->released_ms
          = holders->unknown_until_ms + (holder->leaving ? 0 : SILENT_MS - REMOVAL_LAG_MS);
    }
}

void
log_holders_record_lost (LogHolders *holders)
{
  if (!holders->from_record)
    return;
  holders->complete = holders->from_record = false;
}

/* Whether a position asked for at @at_ms covers more than is known to be covered. */
static bool
is_useful (const LogHolders *holders, int64_t at_ms)
{
  if ((!holders->complete || holders->from_record) && at_ms >= holders->unknown_until_ms)
    return true;
  for (uint32_t i = 0; i < holders->count; i++)
    if (!holders->items[i].listed && at_ms >= holders->items[i].released_ms)
      return true;
  return false;
}

void
log_holders_record_position (LogHolders *holders, SessionToken position, int64_t asked_ms)
{
  if (holders->mark_ms != 0 || position.term == 0 || !is_useful (holders, asked_ms))
    return;
  holders->mark = position;
  holders->mark_ms = asked_ms;
}

void
log_holders_primary_changed (LogHolders *holders)
{
  holders->mark_ms = 0;
}

static bool
is_covered (const LogHolders *holders, uint64_t primary, uint32_t synchronous)
{
  uint32_t copies = 0;

  for (uint32_t i = 0; i < holders->count; i++)
    {
      const LogHolder *holder = &holders->items[i];

      copies += holder->listed && !holder->leaving && holder->key != primary
                && session_token_compare (holder->received, holders->mark) >= 0;
    }
  return copies >= synchronous;
}

bool
log_holders_settle (LogHolders *holders, uint64_t primary, uint32_t synchronous)
{
  const bool was_complete = holders->complete;
  const uint32_t count = holders->count;
  const int64_t covered_ms = holders->mark_ms;
  uint32_t kept = 0;

  if (covered_ms == 0 || !is_covered (holders, primary, synchronous))
    return false;
  holders->mark_ms = 0;
  if (covered_ms >= holders->unknown_until_ms)
    {
      holders->complete = true;
      holders->from_record = false;
    }
  for (uint32_t i = 0; i < count; i++)
    if (holders->items[i].listed || covered_ms < holders->items[i].released_ms)
      holders->items[kept++] = holders->items[i];
  holders->count = kept;
  return kept != count || holders->complete != was_complete;
}

bool
log_holders_is_recorded (const LogHolders *holders, const uint64_t *entries, uint32_t count)
{
  uint64_t wanted[LOG_HOLDERS_MAX];

  if (log_holders_fill_record (holders, wanted) != count)
    return false;
  for (uint32_t i = 0; i < count; i++)
    {
      bool found = false;

      for (uint32_t k = 0; k < count && !found; k++)
        found = wanted[k] == entries[i];
      if (!found)
        return false;
    }
  return true;
}

uint32_t
log_holders_gone_count (const LogHolders *holders)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < holders->count; i++)
    count += !holders->items[i].listed;
  return count;
}
