/**
 * DOC: Results of a load run: outcomes and latencies by class, and the outcome of every write.
 */
#pragma once

#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <jansson.h>

#include "load/load-options.h"

/** enum LoadOutcome - Outcome of a statement as reported to its caller. */
typedef enum
{
  LOAD_ANSWERED,
  LOAD_NOT_RUN,
  LOAD_IN_DOUBT,
  LOAD_RAN_UNANSWERED, /* took effect, but its result was lost */
  LOAD_FAILED,         /* any other error of the backend server */
  LOAD_OUTCOME_COUNT
} LoadOutcome;

typedef struct LoadResults LoadResults;

/** load_results_new() - Empty results of a run with @options, which must outlive them. */
LoadResults *load_results_new (const LoadOptions *options);

/** load_results_free() - Frees the results. */
void load_results_free (LoadResults *results);

/** load_results_sent() - Counts a new statement of class @index. */
void load_results_sent (LoadResults *results, uint32_t index);

/**
 * load_results_finished() - Records the outcome of a statement of class @index, which ended @at_ms
 * after the start of the run and @latency_us after its arrival.
 */
void load_results_finished (LoadResults *results, uint32_t index, LoadOutcome outcome,
                            int64_t latency_us, int64_t at_ms);

/** load_results_error() - Counts an error by SQLSTATE and message. */
void load_results_error (LoadResults *results, const char *sqlstate, const char *message);

/** load_results_write() - Records the outcome of the write @id. */
void load_results_write (LoadResults *results, const char *id, LoadOutcome outcome);

/**
 * load_results_stale_read() - Counts a read that did not see its session's last write; @description
 * is printed as an example.
 */
void load_results_stale_read (LoadResults *results, const char *description);

/** load_results_found() - Records that the final check found @count rows of the write @id. */
void load_results_found (LoadResults *results, const char *id, uint64_t count);

/**
 * load_results_verify() - Compares the outcomes with the rows found, after the last
 * load_results_found(). Returns the number of violations.
 */
uint64_t load_results_verify (LoadResults *results);

/** load_results_print() - Prints a table by class, the violations and the errors. */
void load_results_print (LoadResults *results, FILE *out);

/** load_results_json() - All figures as JSON, with latencies and successes over time. */
json_t *load_results_json (LoadResults *results);
