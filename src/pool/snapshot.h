/**
 * DOC: The data of one daemon as one message: configuration, instance list and host list. A daemon
 * that can't read the store takes it from another one.
 */
#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "pool/catalog.h"
#include "pool/directory.h"

/** Largest accepted message, in bytes; room for a configuration of more than 10000 databases. */
#define SNAPSHOT_LIMIT_BYTES (4u * 1024 * 1024)

/**
 * struct Snapshot - The parts; zeroed is empty.
 * @catalog: %NULL if the sender has none; owns one reference.
 * @infos: &struct InstanceInfo; %NULL if the sender has no list.
 * @fresh: the sender read that list lately.
 * @hosts: &struct HostEntry without names: the sender and the hosts that it knows.
 */
typedef struct
{
  Catalog *catalog;
  GArray *infos;
  bool fresh;
  GArray *hosts;
} Snapshot;

/** enum SnapshotReadResult - Result of snapshot_read(). */
typedef enum
{
  SNAPSHOT_INCOMPLETE,
  SNAPSHOT_COMPLETE,
  SNAPSHOT_MALFORMED
} SnapshotReadResult;

/** snapshot_append() - Appends the message, prefixed with its length, to @out. */
void snapshot_append (const Snapshot *snapshot, GByteArray *out);

/** snapshot_read() - Parses a message at the start of @input; snapshot_done() frees the result. */
SnapshotReadResult snapshot_read (const uint8_t *input, size_t length, Snapshot *snapshot);

/** snapshot_done() - Frees the contents. */
void snapshot_done (Snapshot *snapshot);
