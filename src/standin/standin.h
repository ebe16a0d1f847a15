/**
 * DOC: Stand-ins for the external systems of a deployment: database groups, which share a
 * thread, and the platform's service.
 */
#pragma once

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "standin/deployment.h"

typedef struct Standin Standin;

/**
 * struct StandinOptions - What to emulate.
 * @address: address that the instances listen on.
 * @platform_port: port of the platform's service; 0 picks a free one.
 * @database_port: first port of the instances; 0 picks free ones.
 * @emulate_network: delay traffic between failure domains.
 * @command: handles further commands of POST /v1/standin; may be %NULL.
 */
typedef struct
{
  const Deployment *deployment;
  const char *address;
  uint16_t platform_port;
  uint16_t database_port;
  uint32_t connect_delay_ms;
  uint32_t service_us;
  uint32_t lag_ms;
  bool emulate_network;
  json_t *(*command) (const json_t *request, void *data);
  void *command_data;
} StandinOptions;

/** standin_start() - Starts all stand-ins. Errors: %PERIDOTSTEP_ERROR_IO. */
Standin *standin_start (const StandinOptions *options, GError **error);

/** standin_stop() - Stops and frees all stand-ins. */
void standin_stop (Standin *standin);

/** standin_platform_url() - Base URL of the platform's service. */
const char *standin_platform_url (const Standin *standin);

/** standin_config() - Configuration document for this deployment; a new reference. */
json_t *standin_config (const Standin *standin);
