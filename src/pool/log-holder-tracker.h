/**
 * DOC: Tracks which instances of a service may hold acknowledged commits that the others lack, and
 * keeps a record of them in the platform's store for processes that start later.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "policy/holder-record.h"
#include "policy/log-holders.h"
#include "pool/directory.h"
#include "pool/service-group.h"

typedef struct LogHolderTracker LogHolderTracker;

/** log_holder_tracker_new() - Follows the list of instances of @group from now on. */
LogHolderTracker *log_holder_tracker_new (TALLOC_CTX *parent, ServiceGroup *group,
                                          const Directory *directory);

/** log_holder_tracker_restart() - The list was not followed until now. */
void log_holder_tracker_restart (LogHolderTracker *tracker);

/**
 * log_holder_tracker_update() - Applies what @tracker's group knows. A commit is acknowledged when
 * the primary and @synchronous other instances have it.
 */
void log_holder_tracker_update (LogHolderTracker *tracker, uint32_t synchronous, int64_t now_ms);

/** log_holder_tracker_sync() - Reads or writes the record, if it is time to. */
void log_holder_tracker_sync (LogHolderTracker *tracker, const HolderRecordUse *use,
                              int64_t now_ms);

/** log_holder_tracker_holders() - The instances that count. */
const LogHolders *log_holder_tracker_holders (const LogHolderTracker *tracker);
