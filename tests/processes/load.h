/* Consumers that write and read through the hosts all the time, and what they were told. Each write
 * has an item of its own; a read is of the write that was acknowledged last. */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#define LOAD_SERVICES 2

typedef struct
{
  const char *database;
  const char *service;
} LoadTarget;

/* Starts @per_host writers at every host for each of @targets. A consumer stays on its
 * connection until that ends, and connects to the same host again. It waits @wait_ms after a
 * request. */
void load_start (const LoadTarget *targets, int count, int per_host, int64_t wait_ms);

/* Starts a reader at every host for each target. */
void load_start_readers (void);

/* Number of writes acknowledged at @target that were sent after @since_ms. */
int load_served_since (int target, int64_t since_ms);

/* An acknowledged write that is not in the log of the newest primary of its service, if a promotion
 * made it one: the number of the write, and the instance; -1 for none. */
int load_find_lost (int *instance);

/* An acknowledged write that a primary accepted after another one had replaced it; -1 for none. Not
 * counted are those sent less than @margin_ms after @disturbed_ms of their host. */
int load_find_late (const int64_t *disturbed_ms, int64_t margin_ms);

/* A write that a read lacked, though it was acknowledged before the read was sent and is in the log
 * of the newest primary; -1 for none. */
int load_find_stale (void);

/* Number of reads that were answered. */
int load_reads (void);
