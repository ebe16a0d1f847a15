/**
 * DOC: The instances whose queues this worker runs, by service.
 */
#pragma once

#include "runtime/worker.h"

/** owner_table_new() - Empty table; it takes up the instances that this host owns by itself. */
OwnerTable *owner_table_new (TALLOC_CTX *parent, Worker *worker);

/** owner_table_receive() - A frame for an owner came in; owns it. */
void owner_table_receive (OwnerTable *table, Origin origin, Frame *frame);

/** owner_table_origin_lost() - Nobody is left to take answers to @origin. */
void owner_table_origin_lost (OwnerTable *table, Origin origin);
