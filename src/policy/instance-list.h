/**
 * DOC: Which instances are there, when their list comes from a store that forgets those that
 * could not reach it: an entry that is missing right after an outage may only be late.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "policy/instance-info.h"

/**
 * struct InstanceList - The instances taken to be there. Zeroed is empty.
 * @infos: &struct InstanceInfo.
 * @failed: the last reading failed. @recovered_ms: first reading after a failure; 0 for none.
 */
typedef struct
{
  GArray *infos;
  bool failed;
  int64_t recovered_ms;
} InstanceList;

/** instance_list_clear() - Frees what it holds. */
void instance_list_clear (InstanceList *list);

/** instance_list_failed() - The store could not be read. */
void instance_list_failed (InstanceList *list);

/** instance_list_update() - The store's list, read at @now_ms; the result is @list->infos. */
void instance_list_update (InstanceList *list, const GArray *listed, int64_t now_ms);

/** instance_list_replace() - Another host's list, while the store can't be read. */
void instance_list_replace (InstanceList *list, const GArray *told);

/** instance_list_hash() - Tells two lists apart; 0 for a list that was never read. */
uint32_t instance_list_hash (const InstanceList *list);
