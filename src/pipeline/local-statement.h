/**
 * DOC: Statements that the entry host answers itself: its own settings, harmless settings
 * that drivers send, and what is refused because a pooled connection can't keep it.
 */
#pragma once

#include <glib.h>

#include "base/sql-text.h"
#include "config/service-config.h"
#include "pipeline/session.h"

/** enum LocalResult - What became of a statement. */
typedef enum
{
  LOCAL_FORWARD,  /* goes on to a backend server */
  LOCAL_ANSWERED, /* the answer is in the output */
  LOCAL_REFUSED   /* the error is in the output */
} LocalResult;

/** local_statement() - Answers @sql here if it is one of these; the answer goes to @out. */
LocalResult local_statement (Session *session, const ServiceConfig *service, const char *sql,
                             GByteArray *out);

/** local_statement_setting() - Applies a setting given at startup; false if unknown or wrong. */
bool local_statement_setting (Session *session, const ServiceConfig *service, const char *name,
                              const char *value);
