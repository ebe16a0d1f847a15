/**
 * DOC: The statement that an owner's job sends to the backend server, made from its frame.
 */
#pragma once

#include "adapter/backend-connection.h"
#include "link/frame.h"

typedef struct JobStatement JobStatement;

/** job_statement_new() - Statement of @execute, its transaction id where the platform looks for it.
 */
JobStatement *job_statement_new (const Peridotstep__Execute *execute);

/** job_statement_free() - Frees it. */
void job_statement_free (JobStatement *statement);

/** job_statement_get() - The statement; valid until it is freed. */
const BackendStatement *job_statement_get (const JobStatement *statement);
