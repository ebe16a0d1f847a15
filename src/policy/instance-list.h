/**
 * DOC: List of the instances, read from a store that drops instances which could not reach it.
 * An instance missing right after an outage of the store may not have registered again yet.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "policy/instance-info.h"

/**
 * struct InstanceList - The instances considered present. Zeroed is empty.
 * @infos: &struct InstanceInfo.
 * @failed: the last read failed. @recovered_ms: first successful read after a failure; 0 for
 *   none.
 */
typedef struct
{
  GArray *infos;
  bool failed;
  int64_t recovered_ms;
} InstanceList;

/** instance_list_clear() - Frees the contents. */
void instance_list_clear (InstanceList *list);

/** instance_list_failed() - Reading the store failed. */
void instance_list_failed (InstanceList *list);

/**
 * instance_list_update() - Updates @list->infos to the store's list as read at @now_ms.
 * Shortly after an outage it keeps the instances that are missing from there.
 */
void instance_list_update (InstanceList *list, const GArray *listed, int64_t now_ms);

/** instance_list_replace() - Replaces the list by another host's while the store can't be read. */
void instance_list_replace (InstanceList *list, const GArray *received);

/** instance_list_hash() - Hash to compare lists by; 0 for a list that was never read. */
uint32_t instance_list_hash (const InstanceList *list);
