/**
 * DOC: Admin pages of a daemon: /metrics, /status, /healthz.
 */
#pragma once

#include <stdint.h>

#include "runtime/daemon-state.h"

typedef struct AdminHttp AdminHttp;

/** admin_http_new() - Serves on @port in a thread of its own; %NULL if the port is taken. */
AdminHttp *admin_http_new (Daemon *daemon, const char *address, uint16_t port);

/** admin_http_free() - Stops serving. */
void admin_http_free (AdminHttp *admin);

/** admin_http_port() - Its port. */
uint16_t admin_http_port (const AdminHttp *admin);
