/**
 * DOC: The chain of configuration versions in the platform's table: rows "config-head" and
 * "config-N", and snapshots in the object store. Used by daemons to read and by the command
 * line to append.
 */
#pragma once

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "adapter/platform-client.h"
#include "config/config-document.h"

/**
 * struct ConfigPart - One step towards a newer version.
 * @whole: @json is the document itself; otherwise a patch on the version before.
 */
typedef struct
{
  uint64_t version;
  bool whole;
  uint64_t digest;
  json_t *json;
} ConfigPart;

/** config_part_new() - Takes over @json. */
ConfigPart *config_part_new (uint64_t version, bool whole, uint64_t digest, json_t *json);

/** config_part_free() - Frees a part. */
void config_part_free (ConfigPart *part);

/**
 * config_part_apply() - The version that @part leads to from @base.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG if it does not fit or its digest is wrong.
 */
ConfigDocument *config_part_apply (const ConfigDocument *base, const ConfigPart *part,
                                   GError **error);

/** config_store_head() - Greatest version; 0 when there is none yet. */
bool config_store_head (PlatformClient *client, uint64_t *version, GError **error);

/** config_store_fetch() - Parts that lead from @have to @want, in order. %NULL on error. */
GPtrArray *config_store_fetch (PlatformClient *client, uint64_t have, uint64_t want,
                               GError **error);

/** config_store_load() - The document at @version. */
ConfigDocument *config_store_load (PlatformClient *client, uint64_t version, GError **error);

/** config_store_record() - Record of @version as kept in the table; new reference. */
json_t *config_store_record (PlatformClient *client, uint64_t version, GError **error);

/**
 * struct ConfigChange - What an operator submits.
 * @base: version the patch was written against.
 * @id: names the change for good; the same id is never applied twice.
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
 * config_store_apply() - Appends @change to the chain. It is refused with the conflicting
 * paths if versions after its base touched what it touches. Returns the new version, or 0.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG, %PERIDOTSTEP_ERROR_CONFLICT, %PERIDOTSTEP_ERROR_STORE.
 */
uint64_t config_store_apply (PlatformClient *client, const ConfigChange *change, GError **error);
