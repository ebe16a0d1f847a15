/**
 * DOC: Builds the statement that an owner sends to the backend server from an Execute frame.
 */
#pragma once

#include "adapter/backend-connection.h"
#include "link/frame.h"

typedef struct JobStatement JobStatement;

/**
 * job_statement_new() - Builds the statement, with the transaction id where the platform expects
 * it.
 */
JobStatement *job_statement_new (const Peridotstep__Execute *execute);

/** job_statement_free() - Frees the statement. */
void job_statement_free (JobStatement *statement);

/** job_statement_get() - The statement; valid until it is freed. */
const BackendStatement *job_statement_get (const JobStatement *statement);
