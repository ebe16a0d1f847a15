/**
 * DOC: An open-loop load run: arrivals by a seeded schedule, whatever the answers' pace.
 */
#pragma once

#include "load/load-record.h"

/** load_run() - Runs to the end; false if the set-up failed, with the reason on stderr. */
bool load_run (const LoadOptions *options, LoadRecord *record);

/** load_check() - Reads every write back and compares; false if the reading failed. */
bool load_check (const LoadOptions *options, LoadRecord *record);
