/**
 * DOC: Configuration history in the platform store: a sequence of versioned patches in the table
 * rows "config-N", the latest version in the row "config-head", and snapshots in the object store.
 * Daemons read it; the command line appends to it.
 */
#pragma once

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "adapter/platform-client.h"
#include "config/config-document.h"

/**
 * struct ConfigPart - One update of a configuration: a complete document or a patch.
 * @version: version that it results in.
 * @whole: @json is the complete document; otherwise a merge patch for the previous version.
 * @digest: digest of the resulting document.
 */
typedef struct
{
  uint64_t version;
  bool whole;
  uint64_t digest;
  json_t *json;
} ConfigPart;

/** config_part_new() - Creates a part; takes ownership of @json. */
ConfigPart *config_part_new (uint64_t version, bool whole, uint64_t digest, json_t *json);

/** config_part_free() - Frees a part. */
void config_part_free (ConfigPart *part);

/**
 * config_part_apply() - Applies @part to @base and returns the new document.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG if it does not apply to the version of @base, is invalid, or
 * its digest does not match.
 */
ConfigDocument *config_part_apply (const ConfigDocument *base, const ConfigPart *part,
                                   GError **error);

/** config_store_head() - Reads the latest version number; 0 if there is none yet. */
bool config_store_head (PlatformClient *client, uint64_t *version, GError **error);

/**
 * config_store_fetch() - Reads the parts that lead from version @have to @want, in order. %NULL on
 * error.
 */
GPtrArray *config_store_fetch (PlatformClient *client, uint64_t have, uint64_t want,
                               GError **error);

/** config_store_load() - Reads the document of @version. */
ConfigDocument *config_store_load (PlatformClient *client, uint64_t version, GError **error);

/**
 * config_store_record() - Reads the table row of @version, with author, reason and patch; new
 * reference.
 */
json_t *config_store_record (PlatformClient *client, uint64_t version, GError **error);

/**
 * struct ConfigChange - A change submitted by an operator.
 * @base: version that the patch was written for.
 * @id: unique id of the change; a change with the same id is never applied twice.
 */
typedef struct
{
  uint64_t base;
  const char *id;
  const char *author;
  const char *reason;
  const json_t *patch;
} ConfigChange;

/**
 * config_store_apply() - Validates @change and appends it as the next version. It is rejected,
 * with the conflicting paths, if a version after its base changed a path that it changes too.
 * Returns the new version, or 0 on error.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG, %PERIDOTSTEP_ERROR_CONFLICT, %PERIDOTSTEP_ERROR_STORE.
 */
uint64_t config_store_apply (PlatformClient *client, const ConfigChange *change, GError **error);
