/**
 * DOC: Registers this host in the store's host list, again when the store came back from a backup,
 * and reads the other hosts from it.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>

#include "base/timer-queue.h"
#include "pool/directory.h"

typedef struct HostRegistry HostRegistry;

/**
 * struct HostRegistryOptions - Directory, own entry and callback.
 * @hosts: the host list was read; holds &struct HostEntry.
 */
typedef struct
{
  const Directory *directory;
  TimerQueue *timers;
  HostEntry self;
  void (*hosts) (void *data, const GArray *hosts);
  void *data;
} HostRegistryOptions;

/**
 * host_registry_new() - Starts at once. It registers this host before it reads the list, so that of
 * two hosts starting together at least one finds the other.
 */
HostRegistry *host_registry_new (TALLOC_CTX *parent, const HostRegistryOptions *options);

/**
 * host_registry_record_era() - This host's discovery or another host reports @era of the store; if
 * it is a new one, the entry may be lost, and this host registers again.
 */
void host_registry_record_era (HostRegistry *registry, uint64_t era);

/** host_registry_leave() - Unregisters this host without waiting for the answer. */
void host_registry_leave (HostRegistry *registry);
