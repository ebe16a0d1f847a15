/**
 * DOC: Blocking client of the platform's HTTP API: table rows, transactions, objects, host list.
 * Each HTTP request may block for the whole timeout, and platform_client_commit() may send several,
 * so the client is used only from dedicated threads and from subcommands.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

typedef struct PlatformClient PlatformClient;

/** platform_client_new() - Creates a client for the API at @url, e.g. "http://127.0.0.1:8080". */
PlatformClient *platform_client_new (const char *url, int64_t timeout_ms);

/** platform_client_free() - Frees the client. */
void platform_client_free (PlatformClient *client);

/**
 * platform_client_get_row() - Reads a row and its version. A row that does not exist has version 0
 * and no value. Errors: %PERIDOTSTEP_ERROR_STORE.
 */
bool platform_client_get_row (PlatformClient *client, const char *key, uint64_t *version,
                              json_t **value, GError **error);

/** enum PlatformCommit - Outcome of a transaction. */
typedef enum
{
  PLATFORM_COMMITTED,
  PLATFORM_CONFLICT, /* a precondition failed; nothing was written */
  PLATFORM_UNKNOWN   /* no response, and the look-up by id failed too */
} PlatformCommit;

/**
 * platform_client_commit() - Commits a transaction: {"id", "conditions": [{"key", "version"}],
 * "puts": [{"key", "value"}]}. If the response is lost, the outcome is looked up by id.
 */
PlatformCommit platform_client_commit (PlatformClient *client, const json_t *transaction,
                                       GError **error);

/** platform_client_get_object() - Reads an object; %NULL without an error if it does not exist. */
GBytes *platform_client_get_object (PlatformClient *client, const char *name, GError **error);

/** platform_client_put_object() - Writes an object. */
bool platform_client_put_object (PlatformClient *client, const char *name, GBytes *bytes,
                                 GError **error);

/** platform_client_get_hosts() - Reads the platform's host list: {"hosts": [...]}. */
json_t *platform_client_get_hosts (PlatformClient *client, GError **error);

/** platform_client_put_host() - Registers this host in the platform's host list. */
bool platform_client_put_host (PlatformClient *client, const char *id, const json_t *host,
                               GError **error);

/** platform_client_get_json() - Reads any page that returns JSON. */
json_t *platform_client_get_json (PlatformClient *client, const char *path, GError **error);

/**
 * platform_client_standin() - Sends a command (inject a fault, read counts) to the platform
 * stand-in; returns its response.
 */
json_t *platform_client_standin (PlatformClient *client, const json_t *command, GError **error);
