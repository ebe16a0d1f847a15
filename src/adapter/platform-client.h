/**
 * DOC: Client of the platform's service: table rows, transactions, objects, host list. Each
 * call blocks up to its time limit, so it belongs in a thread of its own or a command.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

typedef struct PlatformClient PlatformClient;

/** platform_client_new() - Client of the service at @url, e.g. "http://127.0.0.1:8080". */
PlatformClient *platform_client_new (const char *url, int64_t timeout_ms);

/** platform_client_free() - Frees it. */
void platform_client_free (PlatformClient *client);

/**
 * platform_client_get_row() - Value of a row, with its version. A row that does not exist
 * has version 0 and no value. Errors: %PERIDOTSTEP_ERROR_STORE.
 */
bool platform_client_get_row (PlatformClient *client, const char *key, uint64_t *version,
                              json_t **value, GError **error);

/** enum PlatformCommit - Outcome of a transaction. */
typedef enum
{
  PLATFORM_COMMITTED,
  PLATFORM_CONFLICT, /* a condition did not hold; nothing was written */
  PLATFORM_UNKNOWN   /* no answer, and none could be had by its id */
} PlatformCommit;

/**
 * platform_client_commit() - Runs a transaction: {"id", "conditions": [{"key", "version"}],
 * "puts": [{"key", "value"}]}. A lost answer is settled by reading the outcome back by id.
 */
PlatformCommit platform_client_commit (PlatformClient *client, const json_t *transaction,
                                       GError **error);

/** platform_client_get_object() - An object's bytes; %NULL without error if there is none. */
GBytes *platform_client_get_object (PlatformClient *client, const char *name, GError **error);

/** platform_client_put_object() - Writes an object. */
bool platform_client_put_object (PlatformClient *client, const char *name, GBytes *bytes,
                                 GError **error);

/** platform_client_get_hosts() - The platform's list: {"hosts": [...]}. */
json_t *platform_client_get_hosts (PlatformClient *client, GError **error);

/** platform_client_put_host() - Shows this host to the list. */
bool platform_client_put_host (PlatformClient *client, const char *id, const json_t *host,
                               GError **error);

/** platform_client_get_json() - Any page that answers with JSON. */
json_t *platform_client_get_json (PlatformClient *client, const char *path, GError **error);

/** platform_client_standin() - Command to the stand-in (faults, counts); its answer. */
json_t *platform_client_standin (PlatformClient *client, const json_t *command, GError **error);
