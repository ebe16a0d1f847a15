#include "pipeline/local-statement.h"

#include <string.h>

#include "adapter/pgwire.h"

#define VALUE_BYTES 128

/* Settings that drivers send and that have no effect here; only the listed values are accepted. */
static const struct
{
  const char *name;
  const char *value; /* NULL accepts any */
} ignored_settings[] = {
  { "application_name", NULL },
  { "client_encoding", "utf8" },
  { "client_min_messages", NULL },
  { "datestyle", "iso" },
  { "extra_float_digits", NULL },
  { "intervalstyle", "postgres" },
  { "standard_conforming_strings", "on" },
  { "timezone", "utc" },
  { "bytea_output", "hex" },
  { "escape_string_warning", NULL },
};

static bool
is_ignored_setting (const char *name, const char *value)
{
  for (size_t i = 0; i < G_N_ELEMENTS (ignored_settings); i++)
    {
      const char *accepted = ignored_settings[i].value;

      if (strcmp (ignored_settings[i].name, name) != 0)
        continue;
      return accepted == NULL || g_ascii_strncasecmp (value, accepted, strlen (accepted)) == 0;
    }
  return false;
}

static bool
set_class (Session *session, const ServiceConfig *service, const char *value)
{
  if (strcmp (value, "default") == 0)
    {
      session->class_name[0] = '\0';
      return true;
    }
  if (service_config_class (service, value) == NULL)
    return false;
  g_strlcpy (session->class_name, value, sizeof session->class_name);
  return true;
}

static bool
set_token (Session *session, const char *value)
{
  SessionToken token;

  if (!session_token_parse (value, &token))
    return false;
  session_token_advance (&session->token, token);
  session->token_known = true;
  return true;
}

bool
local_statement_setting (Session *session, const ServiceConfig *service, const char *name,
                         const char *value)
{
  if (strcmp (name, "peridotstep.class") == 0)
    return set_class (session, service, value);
  if (strcmp (name, "peridotstep.session") == 0)
    return set_token (session, value);
  return is_ignored_setting (name, value);
}

static LocalResult
refuse (GByteArray *out, const char *sqlstate, const char *message)
{
  pgwire_put_error (out, "ERROR", sqlstate, message, "not run");
  return LOCAL_REFUSED;
}

static LocalResult
answer_set (Session *session, const ServiceConfig *service, const char *sql, GByteArray *out)
{
  char name[NAME_BYTES], value[VALUE_BYTES];

  if (sql_text_assignment (sql, name, sizeof name, value, sizeof value))
    {
      if (local_statement_setting (session, service, name, value))
        {
          pgwire_put_complete (out, "SET");
          return LOCAL_ANSWERED;
        }
      if (strcmp (name, "peridotstep.class") == 0)
        return refuse (out, "22023", "the service has no such class");
      if (strcmp (name, "peridotstep.session") == 0)
        return refuse (out, "22023", "invalid session token");
    }
  // Inside a transaction the connection is pinned to the caller, and it is reset afterwards.
  if (session->transaction != TRANSACTION_NONE)
    return LOCAL_FORWARD;
  return refuse (out, "0A000", "this setting can't be kept between transactions; use SET LOCAL");
}

static void
put_setting (GByteArray *out, const char *name, const char *value)
{
  pgwire_put_text_columns (out, &name, 1);
  pgwire_put_text_row (out, &value, 1);
  pgwire_put_complete (out, "SHOW");
}

static LocalResult
answer_show (const Session *session, const ServiceConfig *service, const char *sql, GByteArray *out)
{
  char name[NAME_BYTES];
  char token[SESSION_TOKEN_TEXT_BYTES];

  sql_text_word (sql, 1, name, sizeof name);
  if (strcmp (name, "peridotstep.session") == 0)
    {
      session_token_print (session->token, token);
      put_setting (out, name, token);
      return LOCAL_ANSWERED;
    }
  if (strcmp (name, "peridotstep.class") == 0)
    {
      put_setting (out, name,
                   session->class_name[0] != '\0' ? session->class_name
                                                  : service->classes[service->default_class].name);
      return LOCAL_ANSWERED;
    }
  return LOCAL_FORWARD;
}

LocalResult
local_statement (Session *session, const ServiceConfig *service, const char *sql, GByteArray *out)
{
  switch (sql_text_verb (sql))
    {
    case SQL_VERB_SET:
      return answer_set (session, service, sql, out);
    case SQL_VERB_SHOW:
      return answer_show (session, service, sql, out);
    case SQL_VERB_RESET:
    case SQL_VERB_DISCARD:
      session->class_name[0] = '\0';
      pgwire_put_complete (out, sql_text_verb (sql) == SQL_VERB_RESET ? "RESET" : "DISCARD ALL");
      return LOCAL_ANSWERED;
    case SQL_VERB_DEALLOCATE:
      pgwire_put_complete (out, "DEALLOCATE");
      return LOCAL_ANSWERED;
    case SQL_VERB_COPY:
      return refuse (out, "0A000", "COPY is not supported");
    case SQL_VERB_LISTEN:
    case SQL_VERB_UNLISTEN:
    case SQL_VERB_NOTIFY:
      return refuse (out, "0A000", "LISTEN and NOTIFY are not supported");
    case SQL_VERB_PREPARE:
    case SQL_VERB_EXECUTE:
      return refuse (out, "0A000",
                     "SQL-level PREPARE is not supported; use prepared statements of the protocol");
    case SQL_VERB_LOAD:
      return refuse (out, "0A000", "LOAD is not supported");
    case SQL_VERB_CREATE_TEMPORARY:
      return refuse (out, "0A000", "temporary tables are not supported");
    case SQL_VERB_CHAIN:
      return refuse (out, "0A000", "AND CHAIN and prepared transactions are not supported");
    default:
      return LOCAL_FORWARD;
    }
}
