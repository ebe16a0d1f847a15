#include "policy/holder-record.h"

#include <string.h>

#include <glib.h>

/* Time to the next call after one that failed, while a change of primary waits for the record ...
 */
#define NEEDED_RETRY_MS 250
/* ... and otherwise: the store may be down for long. */
#define RETRY_MS 4000

HolderRecordCall
holder_record_next (HolderRecord *record, LogHolders *holders, const HolderRecordUse *use,
                    int64_t now_ms)
{
  HolderRecordCall call = HOLDER_RECORD_NONE;
  bool awaited;

  if (record->known && use->era > record->era)
    {
      record->known = false;
      log_holders_record_lost (holders);
    }
  awaited = use->needed && !holders->complete;
  if (record->pending)
    return HOLDER_RECORD_NONE;
  if (record->called_ms != 0 && now_ms - record->called_ms < (awaited ? NEEDED_RETRY_MS : RETRY_MS))
    return HOLDER_RECORD_NONE;
  if (awaited || (use->reads_early && !holders->complete))
    call = HOLDER_RECORD_READ;
  else if (use->writes && holders->complete && holders->count > 0)
    {
      if (!record->known)
        call = HOLDER_RECORD_READ;
      else if (!record->readable
               || !log_holders_is_recorded (holders, record->entries, record->count))
        call = HOLDER_RECORD_WRITE;
    }
  if (call == HOLDER_RECORD_NONE)
    return call;
  record->pending = true;
  record->called_ms = now_ms;
  return call;
}

static void
set_record (HolderRecord *record, const HolderRecordState *state)
{
  record->known = true;
  record->pending = false;
  record->era = state->era;
  record->version = state->version;
  record->readable = state->readable;
  record->count = record->readable ? MIN (state->count, LOG_HOLDERS_MAX) : 0;
  if (record->count > 0)
    memcpy (record->entries, state->entries, record->count * sizeof *state->entries);
  if (record->readable)
    record->called_ms = 0;
}

void
holder_record_found (HolderRecord *record, LogHolders *holders, const HolderRecordState *state)
{
  set_record (record, state);
  if (record->readable)
    log_holders_add_recorded (holders, state->entries, state->count);
}

void
holder_record_written (HolderRecord *record, const HolderRecordState *state)
{
  set_record (record, state);
}

void
holder_record_failed (HolderRecord *record)
{
  record->pending = false;
  record->known = false;
}
