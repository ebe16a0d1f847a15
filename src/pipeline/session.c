#include "pipeline/session.h"

#include <string.h>

#include <glib.h>

void
session_init (Session *session, uint64_t id)
{
  memset (session, 0, sizeof *session);
  session->id = id;
}

void
session_done (Session *session)
{
  g_free (session->begin_sql);
  session->begin_sql = NULL;
}

char
session_status (const Session *session)
{
  static const char statuses[] = {
    [TRANSACTION_NONE] = 'I',
    [TRANSACTION_BEGUN] = 'T',
    [TRANSACTION_OPEN] = 'T',
    [TRANSACTION_FAILED] = 'E',
  };

  return statuses[session->transaction];
}

void
session_begin (Session *session, const char *sql)
{
  g_free (session->begin_sql);
  session->begin_sql = g_strdup (sql);
  session->transaction = TRANSACTION_BEGUN;
  session->has_run = false;
  session->pinned = false;
}

void
session_end_transaction (Session *session)
{
  session_done (session);
  session->transaction = TRANSACTION_NONE;
  session->has_run = false;
  session->pinned = false;
}
