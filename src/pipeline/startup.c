#include "pipeline/startup.h"

#include <string.h>

#include "pipeline/local-statement.h"

bool
startup_read (PgwireCursor *cursor, Startup *startup)
{
  *startup = (Startup){ "", "", "", NULL, NULL };
  for (;;)
    {
      const char *name = pgwire_get_string (cursor);
      const char *value;

      if (name[0] == '\0')
        return !cursor->failed;
      value = pgwire_get_string (cursor);
      if (strcmp (name, "user") == 0)
        startup->user = value;
      else if (strcmp (name, "database") == 0)
        startup->database = value;
      else if (strcmp (name, "options") == 0)
        startup->options = value;
      else if (strcmp (name, "peridotstep.class") == 0)
        startup->class_name = value;
      else if (strcmp (name, "peridotstep.session") == 0)
        startup->token = value;
    }
}

const char *
startup_service (const Startup *startup)
{
  return startup->database[0] != '\0' ? startup->database : startup->user;
}

/* Applies settings of the form "-c name=value". Returns the first invalid one, or %NULL. */
static char *
apply_options (Session *session, const ServiceConfig *service, const char *options)
{
  char **words = g_strsplit_set (options, " \t", -1);
  char *invalid = NULL;

  for (char **word = words; *word != NULL && invalid == NULL; word++)
    {
      char *setting = *word;
      char *equals;

      if (setting[0] == '\0' || strcmp (setting, "-c") == 0)
        continue;
      if (g_str_has_prefix (setting, "--") || g_str_has_prefix (setting, "-c"))
        setting += 2;
      equals = strchr (setting, '=');
      if (equals == NULL)
        {
          invalid = g_strdup (setting);
          break;
        }
      *equals = '\0';
      if (!local_statement_setting (session, service, setting, equals + 1))
        invalid = g_strdup (setting);
    }
  g_strfreev (words);
  return invalid;
}

char *
startup_apply (const Startup *startup, Session *session, const ServiceConfig *service)
{
  if (startup->class_name != NULL
      && !local_statement_setting (session, service, "peridotstep.class", startup->class_name))
    return g_strdup ("peridotstep.class");
  if (startup->token != NULL
      && !local_statement_setting (session, service, "peridotstep.session", startup->token))
    return g_strdup ("peridotstep.session");
  return apply_options (session, service, startup->options);
}
