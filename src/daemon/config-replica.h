/**
 * DOC: A daemon's copy of the configuration: applies parts from the store and from peers in order,
 * and keeps recent patches to send to peers.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "config/config-document.h"
#include "config/config-store.h"
#include "link/frame.h"

typedef struct ConfigReplica ConfigReplica;

/** config_replica_new() - Creates a replica at version 0. */
ConfigReplica *config_replica_new (void);

/** config_replica_free() - Frees the replica. */
void config_replica_free (ConfigReplica *replica);

/** config_replica_version() - Current version. */
uint64_t config_replica_version (const ConfigReplica *replica);

/** config_replica_document() - New reference to the current document. */
ConfigDocument *config_replica_document (const ConfigReplica *replica);

/**
 * config_replica_apply() - Applies @part if it is the next patch or a newer document; never goes
 * back to an older version. Returns whether it was applied.
 */
bool config_replica_apply (ConfigReplica *replica, const ConfigPart *part);

/** config_replica_frames() - Frames that update a peer from version @have; frame_free() each. */
GPtrArray *config_replica_frames (const ConfigReplica *replica, uint64_t have);

/** config_part_from_frame() - Decodes the part of a ConfigPart frame; %NULL if malformed. */
ConfigPart *config_part_from_frame (const Frame *frame);
