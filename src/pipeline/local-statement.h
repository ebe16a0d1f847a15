/**
 * DOC: Statements that the entry host handles itself: its own settings, settings sent by drivers
 * that have no effect here, and statements refused because a pooled connection can't keep their
 * state.
 */
#pragma once

#include <glib.h>

#include "base/sql-text.h"
#include "config/service-config.h"
#include "pipeline/session.h"

/** enum LocalResult - How a statement was handled. */
typedef enum
{
  LOCAL_FORWARD,  /* to be sent to a backend server */
  LOCAL_ANSWERED, /* the response is in the output */
  LOCAL_REFUSED   /* the error is in the output */
} LocalResult;

/**
 * local_statement() - Handles @sql if it is one of these statements and appends the response to
 * @out.
 */
LocalResult local_statement (Session *session, const ServiceConfig *service, const char *sql,
                             GByteArray *out);

/**
 * local_statement_setting() - Applies a setting from the startup packet or SET; false if it is
 * unknown or its value is invalid.
 */
bool local_statement_setting (Session *session, const ServiceConfig *service, const char *name,
                              const char *value);
