/**
 * DOC: An open-loop load run: arrivals by a seeded schedule, whatever the answers' pace.
 */
#pragma once

#include "load/load-record.h"

/** load_run() - Runs to the end; false if the set-up failed, with the reason on stderr. */
bool load_run (const LoadOptions *options, LoadResults *record);

/** load_read_back() - Reads every write back and compares; false if the reading failed. */
bool load_read_back (const LoadOptions *options, LoadResults *record);
