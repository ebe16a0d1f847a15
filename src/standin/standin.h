/**
 * DOC: All stand-ins of a deployment in one thread: database groups and the platform.
 */
#pragma once

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "standin/deployment.h"

typedef struct Standin Standin;

/**
 * struct StandinOptions - What to emulate.
 * @address: address to listen on.
 * @platform_port: port of the platform's service; 0 takes any.
 * @database_port: first port of the instances; 0 takes any.
 * @emulate_network: delay what crosses failure domains.
 * @command: further commands of POST /v1/standin; may be %NULL.
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

/** standin_start() - Starts all. Errors: %PERIDOTSTEP_ERROR_IO. */
Standin *standin_start (const StandinOptions *options, GError **error);

/** standin_stop() - Ends and frees all. */
void standin_stop (Standin *standin);

/** standin_platform_url() - Address of the platform's service. */
const char *standin_platform_url (const Standin *standin);

/** standin_config() - Configuration document for this deployment; new reference. */
json_t *standin_config (const Standin *standin);
