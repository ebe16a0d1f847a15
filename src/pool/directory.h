/**
 * DOC: The platform as the pool sees it: where the configuration and the list of instances
 * are kept, and who changes primaries. An adapter supplies the implementation.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "pool/catalog.h"

/** enum DirectoryResult - How a call to the platform ended. */
typedef enum
{
  DIRECTORY_OK,
  DIRECTORY_CONFLICT,  /* refused: what the call requires does not hold */
  DIRECTORY_REFUSED,   /* refused: nothing was done */
  DIRECTORY_COMPACTED, /* the changes asked for are no longer kept */
  DIRECTORY_UNKNOWN    /* no answer; it may have been done */
} DirectoryResult;

/** directory_result_name() - Name for logs. */
const char *directory_result_name (DirectoryResult result);

/**
 * ConfigurationCallback - @catalog is %NULL if there is none, or nothing new; the receiver takes a
 * reference if it keeps it. @revision is where to watch on from.
 */
typedef void (*ConfigurationCallback) (void *data, DirectoryResult result, Catalog *catalog,
                                       uint64_t revision);

/** InstancesCallback - @infos holds &struct InstanceInfo; unreadable entries are left out. */
typedef void (*InstancesCallback) (void *data, DirectoryResult result, const GArray *infos);

/** struct HostEntry - A host of this system as listed. @address: where other hosts reach it. */
typedef struct
{
  char id[CATALOG_NAME_BYTES];
  char address[CATALOG_NAME_BYTES];
  uint16_t port;
} HostEntry;

/** HostsCallback - @hosts holds &struct HostEntry. */
typedef void (*HostsCallback) (void *data, DirectoryResult result, const GArray *hosts);

/** DirectoryCallback - The call ended. */
typedef void (*DirectoryCallback) (void *data, DirectoryResult result);

/**
 * struct PromoteRequest - Makes @instance the primary of @service. @holder is this host,
 * @fencing_token a number that is greater than that of any holder before.
 */
typedef struct
{
  const char *service;
  const char *instance;
  const char *holder;
  uint64_t fencing_token;
  int64_t timeout_ms;
} PromoteRequest;

/** struct Directory - The calls; @self is passed to each. */
typedef struct
{
  void *self;
  void (*get_configuration) (void *self, int64_t timeout_ms, ConfigurationCallback done,
                             void *data);
  void (*watch_configuration) (void *self, uint64_t revision, int64_t wait_ms,
                               ConfigurationCallback done, void *data);
  void (*get_instances) (void *self, int64_t timeout_ms, InstancesCallback done, void *data);
  void (*get_hosts) (void *self, int64_t timeout_ms, HostsCallback done, void *data);
  void (*put_host) (void *self, const HostEntry *host, bool gone, int64_t timeout_ms,
                    DirectoryCallback done, void *data);
  void (*promote) (void *self, const PromoteRequest *order, DirectoryCallback done, void *data);
} Directory;
