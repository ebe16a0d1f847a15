/**
 * DOC: Admin HTTP server of a daemon: /metrics, /status, /healthz.
 */
#pragma once

#include <stdint.h>

#include "runtime/daemon-state.h"

typedef struct AdminHttp AdminHttp;

/**
 * admin_http_new() - Starts the server on @port, in its own thread; %NULL if the port is in use.
 */
AdminHttp *admin_http_new (Daemon *daemon, const char *address, uint16_t port);

/** admin_http_free() - Stops the server. */
void admin_http_free (AdminHttp *admin);

/** admin_http_port() - Port the server listens on. */
uint16_t admin_http_port (const AdminHttp *admin);
