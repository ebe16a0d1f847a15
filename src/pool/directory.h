/**
 * DOC: The platform as the pool sees it: where the configuration and the list of instances
 * are kept, and who changes primaries. An adapter supplies the implementation.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "pool/catalog.h"

/** enum CallResult - How a call to the platform ended. */
typedef enum
{
  CALL_DONE,
  CALL_CONFLICT, /* refused: what the call requires does not hold */
  CALL_REFUSED,  /* refused: nothing was done */
  CALL_OUTDATED, /* the changes asked for are no longer kept */
  CALL_UNKNOWN   /* no answer; it may have been done */
} CallResult;

/** call_result_name() - Name for logs. */
const char *call_result_name (CallResult result);

/**
 * ConfigurationDone - @catalog is %NULL if there is none, or nothing new; the receiver takes a
 * reference if it keeps it. @revision is where to watch on from.
 */
typedef void (*ConfigurationDone) (void *data, CallResult result, Catalog *catalog,
                                   uint64_t revision);

/** InstancesDone - @infos holds &struct InstanceInfo; unreadable entries are left out. */
typedef void (*InstancesDone) (void *data, CallResult result, const GArray *infos);

/** struct HostEntry - A host of this system as listed. @address: where other hosts reach it. */
typedef struct
{
  char id[CATALOG_NAME_BYTES];
  char address[CATALOG_NAME_BYTES];
  uint16_t port;
} HostEntry;

/** HostsDone - @hosts holds &struct HostEntry. */
typedef void (*HostsDone) (void *data, CallResult result, const GArray *hosts);

/** CallDone - The call ended. */
typedef void (*CallDone) (void *data, CallResult result);

/**
 * struct PromoteOrder - Makes @instance the primary of @service. @holder is this host, @fence
 * a number that is greater than that of any holder before.
 */
typedef struct
{
  const char *service;
  const char *instance;
  const char *holder;
  uint64_t fence;
  int64_t timeout_ms;
} PromoteOrder;

/** struct Directory - The calls; @self is passed to each. */
typedef struct
{
  void *self;
  void (*get_configuration) (void *self, int64_t timeout_ms, ConfigurationDone done, void *data);
  void (*watch_configuration) (void *self, uint64_t revision, int64_t wait_ms,
                               ConfigurationDone done, void *data);
  void (*get_instances) (void *self, int64_t timeout_ms, InstancesDone done, void *data);
  void (*get_hosts) (void *self, int64_t timeout_ms, HostsDone done, void *data);
  void (*put_host) (void *self, const HostEntry *host, bool gone, int64_t timeout_ms, CallDone done,
                    void *data);
  void (*promote) (void *self, const PromoteOrder *order, CallDone done, void *data);
} Directory;
