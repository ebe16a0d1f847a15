/**
 * DOC: Stand-in for the platform: a transactional table, an object store and a lagging host
 * list over HTTP/1.1 and JSON, with outages on command. The interface is docs/PLATFORM.md.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct PlatformStore PlatformStore;

/**
 * struct PlatformStoreOptions - Where it listens and what it emulates.
 * @port: TCP port on 127.0.0.1; 0 takes any.
 * @host_lag_ms: time until a change shows in the host list.
 * @command: handles POST /v1/standin; returns a new JSON answer, or %NULL for a bad request.
 */
typedef struct
{
  uint16_t port;
  uint32_t host_lag_ms;
  json_t *(*command) (const json_t *request, void *data);
  void *command_data;
} PlatformStoreOptions;

/** enum StoreFault - Failures of the store on command. */
typedef enum
{
  STORE_FAULT_DOWN,         /* connections are closed without an answer */
  STORE_FAULT_SLOW,         /* answers take the given time in milliseconds */
  STORE_FAULT_LOSE_ANSWERS, /* changes take effect, their answers are lost */
  STORE_FAULT_COUNT
} StoreFault;

/** platform_store_new() - Starts serving in threads of its own; %NULL if the port is taken. */
PlatformStore *platform_store_new (const PlatformStoreOptions *options);

/** platform_store_free() - Stops serving. */
void platform_store_free (PlatformStore *store);

/** platform_store_port() - Its port. */
uint16_t platform_store_port (const PlatformStore *store);

/** platform_store_set_fault() - Starts (@value > 0) or ends (0) a failure. */
void platform_store_set_fault (PlatformStore *store, StoreFault fault, int64_t value);

/**
 * platform_store_schedule_fault() - Makes only @count requests, from number @request on (0 is the
 * next), fail with @fault, %STORE_FAULT_DOWN or %STORE_FAULT_LOSE_ANSWERS.
 */
void platform_store_schedule_fault (PlatformStore *store, StoreFault fault, int64_t request,
                                    int64_t count);

/** platform_store_fault_triggered() - Whether such a fault has struck since it was set. */
bool platform_store_fault_triggered (PlatformStore *store);

/** store_fault_parse() - Fault called @name; false if there is none. */
bool store_fault_parse (const char *name, StoreFault *fault);
