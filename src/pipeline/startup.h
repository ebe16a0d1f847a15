/**
 * DOC: The startup packet of a caller: who it is, which service, which settings.
 */
#pragma once

#include <stdbool.h>

#include "adapter/pgwire.h"
#include "config/service-config.h"
#include "pipeline/session.h"

/** struct Startup - What the packet said; texts lie in the packet. %NULL where not given. */
typedef struct
{
  const char *user;
  const char *database;
  const char *options;
  const char *class_name;
  const char *token;
} Startup;

/** startup_read() - Reads the parameters behind the version; false if malformed. */
bool startup_read (PgwireCursor *cursor, Startup *startup);

/** startup_service() - Name of the service asked for. */
const char *startup_service (const Startup *startup);

/** startup_apply() - Applies its settings. Returns the first wrong one (g_free() it), or %NULL. */
char *startup_apply (const Startup *startup, Session *session, const ServiceConfig *service);
