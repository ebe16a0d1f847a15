/**
 * DOC: The startup packet of a caller: user, service and settings.
 */
#pragma once

#include <stdbool.h>

#include "adapter/pgwire.h"
#include "config/service-config.h"
#include "pipeline/session.h"

/**
 * struct Startup - Contents of the packet; the strings point into it. Class and token are %NULL if
 * not given, the others empty.
 */
typedef struct
{
  const char *user;
  const char *database;
  const char *options;
  const char *class_name;
  const char *token;
} Startup;

/** startup_read() - Reads the parameters that follow the protocol version; false if malformed. */
bool startup_read (PgwireCursor *cursor, Startup *startup);

/** startup_service() - Name of the requested service. */
const char *startup_service (const Startup *startup);

/**
 * startup_apply() - Applies the settings. Returns the name of the first invalid one (free with
 * g_free()), or %NULL.
 */
char *startup_apply (const Startup *startup, Session *session, const ServiceConfig *service);
