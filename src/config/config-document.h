/**
 * DOC: One version of the configuration: immutable, checked whole. A new version shares
 * every service that its patch does not touch. Each service is kept as compact text beside
 * its parsed form, so that a fleet's worth of services fits a small host.
 */
#pragma once

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "config/service-config.h"

/** struct FleetConfig - Settings that hold for all daemons. */
typedef struct
{
  uint32_t pollers_per_failure_domain;
  uint32_t poll_interval_ms;
  uint32_t isolated_after_ms;
  uint32_t drain_limit_ms;
} FleetConfig;

typedef struct ConfigDocument ConfigDocument;

/**
 * config_document_new() - Checks @json whole as @version.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG with one line per fault.
 */
ConfigDocument *config_document_new (uint64_t version, const json_t *json, GError **error);

/** config_document_empty() - Version 0, with nothing in it. */
ConfigDocument *config_document_empty (void);

/**
 * config_document_patch() - The next version: @base with the merge patch @patch.
 * Errors: %PERIDOTSTEP_ERROR_CONFIG with one line per fault.
 */
ConfigDocument *config_document_patch (const ConfigDocument *base, uint64_t version,
                                       const json_t *patch, GError **error);

/** config_document_ref() - Takes a reference; safe from any thread. */
ConfigDocument *config_document_ref (ConfigDocument *document);

/** config_document_unref() - Drops a reference. */
void config_document_unref (ConfigDocument *document);

/** config_document_version() - Its number. */
uint64_t config_document_version (const ConfigDocument *document);

/** config_document_digest() - Hash of its content, whatever the order of patches. */
uint64_t config_document_digest (const ConfigDocument *document);

/** config_document_fleet() - Settings for all daemons. */
const FleetConfig *config_document_fleet (const ConfigDocument *document);

/** config_document_service() - The service called @name, or %NULL; owned by @document. */
ServiceConfig *config_document_service (const ConfigDocument *document, const char *name);

/** config_document_foreach() - Calls @each for every service. */
void config_document_foreach (const ConfigDocument *document,
                              void (*each) (ServiceConfig *service, void *data), void *data);

/** config_document_service_count() - Number of services. */
uint32_t config_document_service_count (const ConfigDocument *document);

/** config_document_region() - Region of @failure_domain, or %NULL. */
const char *config_document_region (const ConfigDocument *document, const char *failure_domain);

/** config_document_json() - The whole document as a new JSON value. */
json_t *config_document_json (const ConfigDocument *document);
