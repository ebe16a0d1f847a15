/**
 * DOC: The record of a service's log holders outside of the processes, in a store that may be out
 * of reach: when a host reads it, and when one brings it up to date. Without I/O and clock.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "policy/log-holders.h"

/** enum HolderRecordCall - What to do now. */
typedef enum
{
  HOLDER_RECORD_NONE,
  HOLDER_RECORD_READ,
  HOLDER_RECORD_WRITE
} HolderRecordCall;

/**
 * struct HolderRecord - The record as this host knows it; zeroed is unknown.
 * @known: it held @entries, under @version (0 for no record), in the last answer of the store,
 * which was of era @era.
 * @readable: its content could be read. @pending: a call is in progress.
 * @called_ms: when the last call began, if it has not succeeded; 0 for none.
 */
typedef struct
{
  bool known;
  bool readable;
  bool pending;
  int64_t called_ms;
  uint64_t era;
  uint64_t version;
  uint64_t entries[LOG_HOLDERS_MAX];
  uint32_t count;
} HolderRecord;

/**
 * struct HolderRecordUse - What this host does with the record.
 * @needed: it has to know which instances count, to change the primary.
 * @reads_early: it reads the record before that, as long as it does not know.
 * @writes: it is the one that keeps the record up to date.
 * @era: of the store, which rises when that comes back without its latest changes; 0 for unknown.
 */
typedef struct
{
  bool needed;
  bool reads_early;
  bool writes;
  uint64_t era;
} HolderRecordUse;

/** holder_record_next() - The call that begins now. */
HolderRecordCall holder_record_next (HolderRecord *record, LogHolders *holders,
                                     const HolderRecordUse *use, int64_t now_ms);

/**
 * struct HolderRecordState - The record in an answer of the store; see &struct HolderRecord.
 * @entries: may be %NULL if there are none.
 */
typedef struct
{
  bool readable;
  uint64_t era;
  uint64_t version;
  const uint64_t *entries;
  uint32_t count;
} HolderRecordState;

/** holder_record_found() - The record is @state, which is added to @holders. */
void holder_record_found (HolderRecord *record, LogHolders *holders,
                          const HolderRecordState *state);

/** holder_record_written() - This host made it @state. */
void holder_record_written (HolderRecord *record, const HolderRecordState *state);

/** holder_record_failed() - The call was refused, or it is unknown whether it was done. */
void holder_record_failed (HolderRecord *record);
