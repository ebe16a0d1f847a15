/**
 * DOC: What a daemon knows of the deployment, as one message: configuration, instances and
 * hosts. A daemon that can't read the store takes it from another.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "pool/catalog.h"
#include "pool/directory.h"

/** Largest message taken, in bytes: a configuration of 10000 databases and more fits. */
#define SNAPSHOT_LIMIT_BYTES (4u * 1024 * 1024)

/**
 * struct Snapshot - The parts; zeroed is empty.
 * @catalog: %NULL if the sender has none; one reference.
 * @infos: &struct InstanceInfo; %NULL if the sender has no list.
 * @fresh: the sender read that list lately.
 * @hosts: &struct HostEntry, without names: the sender and those that it knows.
 */
typedef struct
{
  Catalog *catalog;
  GArray *infos;
  bool fresh;
  GArray *hosts;
} Snapshot;

/** enum SnapshotReadResult - Result of looking for a message. */
typedef enum
{
  SNAPSHOT_INCOMPLETE,
  SNAPSHOT_COMPLETE,
  SNAPSHOT_MALFORMED
} SnapshotReadResult;

/** snapshot_append() - Appends the message, with its length before it, to @out. */
void snapshot_append (const Snapshot *snapshot, GByteArray *out);

/** snapshot_read() - Reads a message from the start of @input; snapshot_done() frees it. */
SnapshotReadResult snapshot_read (const uint8_t *input, size_t length, Snapshot *snapshot);

/** snapshot_done() - Frees what it holds. */
void snapshot_done (Snapshot *snapshot);
