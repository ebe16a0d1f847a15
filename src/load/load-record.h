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

typedef struct LoadResults LoadResults;

/** load_results_new() - Empty record of a run with @options, which must outlive it. */
LoadResults *load_results_new (const LoadOptions *options);

/** load_results_free() - Frees it. */
void load_results_free (LoadResults *record);

/** load_results_sent() - A statement of class @index arrived. */
void load_results_sent (LoadResults *record, uint32_t index);

/** load_results_finished() - It ended at @at_ms of the run, @latency_us after its arrival. */
void load_results_finished (LoadResults *record, uint32_t index, LoadOutcome outcome,
                            int64_t latency_us, int64_t at_ms);

/** load_results_error() - An error was seen, as "SQLSTATE message". */
void load_results_error (LoadResults *record, const char *sqlstate, const char *message);

/** load_results_write() - Outcome of the write called @id. */
void load_results_write (LoadResults *record, const char *id, LoadOutcome outcome);

/** load_results_stale_read() - A read did not include its session's last write. */
void load_results_stale_read (LoadResults *record, const char *id);

/** load_results_found() - The final check found @id in the database @count times. */
void load_results_found (LoadResults *record, const char *id, uint64_t count);

/** load_results_verify() - All was found: compares. Returns the number of breaches. */
uint64_t load_results_verify (LoadResults *record);

/** load_results_print() - Prints the table by class and the breaches. */
void load_results_print (LoadResults *record, FILE *out);

/** load_results_json() - All figures, with latencies and successes over time. */
json_t *load_results_json (LoadResults *record);
