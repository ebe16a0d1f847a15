/**
 * DOC: Emulates the platform's service: a transactional table, an object store and an eventually
 * consistent host list over HTTP/1.1 and JSON, with fault injection. docs/PLATFORM.md specifies
 * the interface.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

typedef struct PlatformStore PlatformStore;

/**
 * struct PlatformStoreOptions - Address and behaviour of the store.
 * @port: TCP port on 127.0.0.1; 0 picks a free one.
 * @host_lag_ms: delay until a new host appears in the host list.
 * @command: handles POST /v1/standin; returns a new JSON value, or %NULL for a bad request.
 */
typedef struct
{
  uint16_t port;
  uint32_t host_lag_ms;
  json_t *(*command) (const json_t *request, void *data);
  void *command_data;
} PlatformStoreOptions;

/** enum StoreFault - Faults that can be injected into the store. */
typedef enum
{
  STORE_FAULT_DOWN,         /* closes connections without a response or an effect */
  STORE_FAULT_SLOW,         /* delays each request by the given milliseconds */
  STORE_FAULT_LOSE_ANSWERS, /* writes take effect, but their responses are lost */
  STORE_FAULT_COUNT
} StoreFault;

/** platform_store_new() - Starts serving in its own threads; %NULL if the port is unavailable. */
PlatformStore *platform_store_new (const PlatformStoreOptions *options);

/** platform_store_free() - Stops serving and frees @store. */
void platform_store_free (PlatformStore *store);

/** platform_store_port() - Port that the store listens on. */
uint16_t platform_store_port (const PlatformStore *store);

/** platform_store_set_fault() - Starts (@value > 0) or ends (0) a fault of all requests. */
void platform_store_set_fault (PlatformStore *store, StoreFault fault, int64_t value);

/**
 * platform_store_schedule_fault() - Applies @fault, %STORE_FAULT_DOWN or %STORE_FAULT_LOSE_ANSWERS,
 * to @count requests only, starting with request number @request (0 is the next one).
 */
void platform_store_schedule_fault (PlatformStore *store, StoreFault fault, int64_t request,
                                    int64_t count);

/** platform_store_fault_triggered() - Whether the scheduled fault has hit a request yet. */
bool platform_store_fault_triggered (PlatformStore *store);

/** store_fault_parse() - Looks up the fault named @name; false if there is none. */
bool store_fault_parse (const char *name, StoreFault *fault);
