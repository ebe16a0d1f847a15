/**
 * DOC: Selects the class of a statement: from the tag in its leading comment, else from the
 * session's setting, else the service's default.
 */
#pragma once

#include "config/service-config.h"
#include "pipeline/session.h"

/** classify_statement() - Class of @sql; %NULL if it names a class that does not exist. */
const ClassConfig *classify_statement (const ServiceConfig *service, const Session *session,
                                       const char *sql);
