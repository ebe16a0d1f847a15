/**
 * DOC: Class of a statement: by its leading tag, the session's setting, or the service's
 * default.
 */
#pragma once

#include "config/service-config.h"
#include "pipeline/session.h"

/** classify_statement() - Class of @sql; %NULL if it names one that does not exist. */
const ClassConfig *classify_statement (const ServiceConfig *service, const Session *session,
                                       const char *sql);
