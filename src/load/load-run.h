/**
 * DOC: An open-loop load run: a seeded schedule sets the arrivals, however fast the responses come.
 */
#pragma once

#include "load/load-results.h"

/** load_run() - Runs the load; false if the set-up failed, with the reason printed to stderr. */
bool load_run (const LoadOptions *options, LoadResults *results);

/** load_read_back() - Reads back all rows written and records them; false if the read failed. */
bool load_read_back (const LoadOptions *options, LoadResults *results);
