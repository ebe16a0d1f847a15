/**
 * DOC: What a load run saw: outcomes and latencies by class, and the fate of every write.
 */
#pragma once

#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#include "load/load-options.h"

/** enum LoadOutcome - How a statement ended, as its caller was told. */
typedef enum
{
  LOAD_ANSWERED,
  LOAD_NOT_RUN,
  LOAD_IN_DOUBT,
  LOAD_RAN_UNANSWERED, /* took effect, answer lost */
  LOAD_FAILED,         /* any other error of the backend server */
  LOAD_OUTCOME_COUNT
} LoadOutcome;

typedef struct LoadRecord LoadRecord;

/** load_record_new() - Empty record of a run with @options, which must outlive it. */
LoadRecord *load_record_new (const LoadOptions *options);

/** load_record_free() - Frees it. */
void load_record_free (LoadRecord *record);

/** load_record_sent() - A statement of class @index arrived. */
void load_record_sent (LoadRecord *record, uint32_t index);

/** load_record_ended() - It ended at @at_ms of the run, @latency_us after its arrival. */
void load_record_ended (LoadRecord *record, uint32_t index, LoadOutcome outcome, int64_t latency_us,
                        int64_t at_ms);

/** load_record_error() - An error was seen, as "SQLSTATE message". */
void load_record_error (LoadRecord *record, const char *sqlstate, const char *message);

/** load_record_write() - Outcome of the write called @id. */
void load_record_write (LoadRecord *record, const char *id, LoadOutcome outcome);

/** load_record_stale_read() - A read did not include its session's last write. */
void load_record_stale_read (LoadRecord *record, const char *id);

/** load_record_found() - The final check found @id in the database @count times. */
void load_record_found (LoadRecord *record, const char *id, uint64_t count);

/** load_record_close() - All was found: compares. Returns the number of breaches. */
uint64_t load_record_close (LoadRecord *record);

/** load_record_print() - Prints the table by class and the breaches. */
void load_record_print (LoadRecord *record, FILE *out);

/** load_record_json() - All figures, with latencies and successes over time. */
json_t *load_record_json (LoadRecord *record);
