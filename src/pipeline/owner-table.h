/**
 * DOC: The owned instances whose queues this worker runs, by service.
 */
#pragma once

#include "runtime/worker.h"

/**
 * owner_table_new() - Creates a table that follows the ownership of instances in the current view.
 */
OwnerTable *owner_table_new (TALLOC_CTX *parent, Worker *worker);

/** owner_table_receive() - Passes a frame on to its owner and takes ownership of the frame. */
void owner_table_receive (OwnerTable *table, Origin origin, Frame *frame);

/**
 * owner_table_origin_lost() - Ends the work of @origin, to which no response can be sent any more.
 */
void owner_table_origin_lost (OwnerTable *table, Origin origin);
