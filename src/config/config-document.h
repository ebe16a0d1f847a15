/**
 * DOC: One version of the configuration: immutable and completely validated. A new version shares
 * every service that its patch does not change. Services are kept as compact JSON text in addition
 * to their parsed form, so that all services of a fleet fit into the memory of a small host.
 */
#pragma once

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "config/service-config.h"

/** struct FleetConfig - Settings common to all daemons. */
typedef struct
{
  uint32_t pollers_per_failure_domain;
  uint32_t poll_interval_ms;
  uint32_t isolated_after_ms;
  uint32_t drain_limit_ms;
} FleetConfig;

typedef struct ConfigDocument ConfigDocument;

/**
 * config_document_new() - Parses and validates @json as version @version.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG, one line per error found.
 */
ConfigDocument *config_document_new (uint64_t version, const json_t *json, GError **error);

/** config_document_empty() - Version 0: default settings, no regions, no services. */
ConfigDocument *config_document_empty (void);

/**
 * config_document_patch() - Creates version @version by applying the merge patch @patch to @base.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG, one line per error found.
 */
ConfigDocument *config_document_patch (const ConfigDocument *base, uint64_t version,
                                       const json_t *patch, GError **error);

/** config_document_ref() - Takes a reference; thread-safe. */
ConfigDocument *config_document_ref (ConfigDocument *document);

/** config_document_unref() - Drops a reference; thread-safe. */
void config_document_unref (ConfigDocument *document);

/** config_document_version() - Version number. */
uint64_t config_document_version (const ConfigDocument *document);

/** config_document_digest() - Hash of the content; does not depend on the order of patches. */
uint64_t config_document_digest (const ConfigDocument *document);

/** config_document_fleet() - Settings common to all daemons. */
const FleetConfig *config_document_fleet (const ConfigDocument *document);

/** config_document_service() - The service @name, or %NULL; owned by @document. */
ServiceConfig *config_document_service (const ConfigDocument *document, const char *name);

/** config_document_foreach() - Calls @each for every service. */
void config_document_foreach (const ConfigDocument *document,
                              void (*each) (ServiceConfig *service, void *data), void *data);

/** config_document_service_count() - Number of services. */
uint32_t config_document_service_count (const ConfigDocument *document);

/** config_document_region() - Region of @failure_domain, or %NULL. */
const char *config_document_region (const ConfigDocument *document, const char *failure_domain);

/** config_document_json() - The complete document as a new JSON value. */
json_t *config_document_json (const ConfigDocument *document);
