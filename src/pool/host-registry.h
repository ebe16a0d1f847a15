/**
 * DOC: Lists this host in the directory and finds the others there.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>

#include "base/timer-queue.h"
#include "pool/directory.h"

typedef struct HostRegistry HostRegistry;

/** struct HostRegistryOptions - @hosts: the list was read; holds &struct HostEntry. */
typedef struct
{
  const Directory *directory;
  TimerQueue *timers;
  HostEntry self;
  void (*hosts) (void *data, const GArray *hosts);
  void *data;
} HostRegistryOptions;

/** host_registry_new() - Starts at once: lists itself first, so that two that start together
 * find each other at least one way. */
HostRegistry *host_registry_new (TALLOC_CTX *parent, const HostRegistryOptions *options);

/** host_registry_leave() - Takes this host off the list, without waiting for the answer. */
void host_registry_leave (HostRegistry *registry);
