/**
 * DOC: A daemon's copy of the configuration chain: takes parts in order from the store and
 * from peers, keeps recent patches to pass on.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "config/config-document.h"
#include "config/config-store.h"
#include "link/frame.h"

typedef struct ConfigReplica ConfigReplica;

/** config_replica_new() - Holds version 0. */
ConfigReplica *config_replica_new (void);

/** config_replica_free() - Frees it. */
void config_replica_free (ConfigReplica *replica);

/** config_replica_version() - Version held. */
uint64_t config_replica_version (const ConfigReplica *replica);

/** config_replica_document() - New reference to the document held. */
ConfigDocument *config_replica_document (const ConfigReplica *replica);

/** config_replica_apply() - Takes @part if it leads on; never goes back. Returns whether it did. */
bool config_replica_apply (ConfigReplica *replica, const ConfigPart *part);

/** config_replica_frames() - Frames that bring a holder of @have up to date; frame_free() each. */
GPtrArray *config_replica_frames (const ConfigReplica *replica, uint64_t have);

/** config_part_from_frame() - Part in a ConfigPart frame; %NULL if malformed. */
ConfigPart *config_part_from_frame (const Frame *frame);
