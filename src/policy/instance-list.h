/**
 * DOC: List of the instances, read from a store that drops instances which could not reach it, and
 * that may come back from a backup. Right after that an instance that is missing may not have
 * registered again yet, and an entry may be older than the one that was read before.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "policy/instance-info.h"

/**
 * struct InstanceList - The instances considered present. Zeroed is empty.
 * @infos: &struct InstanceInfo.
 * @failed: the last read failed. @recovered_ms: first successful read after a failure, or when the
 *   store was found to be restored; 0 for never.
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

/** instance_list_restored() - At @now_ms the store was found to be back from a backup. */
void instance_list_restored (InstanceList *list, int64_t now_ms);

/**
 * instance_list_update() - Updates @list->infos to the store's list as read at @now_ms. Shortly
 * after an outage or a restore it keeps instances that are missing from there, later incarnations,
 * and that an instance is leaving.
 */
void instance_list_update (InstanceList *list, const GArray *listed, int64_t now_ms);

/** instance_list_replace() - The same with the list of another host. */
void instance_list_replace (InstanceList *list, const GArray *received, int64_t now_ms);

/** instance_list_hash() - Hash to compare lists by; 0 for a list that was never read. */
uint32_t instance_list_hash (const InstanceList *list);
