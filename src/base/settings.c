#include "base/settings.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#define SETTINGS_MAX 40
#define ERRORS_MAX 20

struct Settings
{
  const SettingInfo *table;
  char *values[SETTINGS_MAX];
  int64_t numbers[SETTINGS_MAX];
};

char *
settings_variable (const char *name)
{
  char *variable = g_strdup_printf ("PERIDOTSTEP_%s", name);

  for (char *c = variable; *c != '\0'; c++)
    *c = *c == '-' ? '_' : g_ascii_toupper (*c);
  return variable;
}

static int
find_index (const Settings *settings, const char *name)
{
  for (int i = 0; settings->table[i].name != NULL; i++)
    if (strcmp (settings->table[i].name, name) == 0)
      return i;
  g_error ("unknown setting %s", name);
}

const char *
settings_text (const Settings *settings, const char *name)
{
  return settings->values[find_index (settings, name)];
}

int64_t
settings_number (const Settings *settings, const char *name)
{
  return settings->numbers[find_index (settings, name)];
}

bool
settings_flag (const Settings *settings, const char *name)
{
  return settings->values[find_index (settings, name)] != NULL;
}

void
settings_free (Settings *settings)
{
  for (int i = 0; i < SETTINGS_MAX; i++)
    g_free (settings->values[i]);
  g_free (settings);
}

/* Builds the argtable: one entry per setting, then --help, then the end marker. Returns the number
 * of settings. */
static int
build_entries (const SettingInfo *table, void **entries)
{
  int count = 0;

  for (; table[count].name != NULL; count++)
    {
      const SettingInfo *info = &table[count];

      switch (info->kind)
        {
        case SETTING_FLAG:
          entries[count] = arg_lit0 (NULL, info->name, info->help);
          break;
        case SETTING_ARGUMENT:
          entries[count] = arg_str0 (NULL, NULL, info->name, info->help);
          break;
        case SETTING_TEXT:
        case SETTING_NUMBER:
          entries[count]
              = arg_str0 (NULL, info->name, info->kind == SETTING_TEXT ? "TEXT" : "N", info->help);
          break;
        }
    }
  entries[count] = arg_lit0 (NULL, "help", "print this help and exit");
  entries[count + 1] = arg_end (ERRORS_MAX);
  return count;
}

static void
print_help (const char *command, const char *summary, const SettingInfo *table, void **entries)
{
  printf ("peridotstep %s - %s\n\nUsage: peridotstep %s", command, summary, command);
  arg_print_syntax (stdout, entries, "\n\n");
  for (const SettingInfo *info = table; info->name != NULL; info++)
    {
      char *variable = settings_variable (info->name);

      if (info->kind == SETTING_ARGUMENT)
        printf ("  %s\n      %s\n", info->name, info->help);
      else if (info->kind == SETTING_NUMBER)
        printf ("  --%s=N  (%s, default %s, %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                ")\n      %s\n",
                info->name, variable, info->default_value == NULL ? "none" : info->default_value,
                info->min, info->max, info->help);
      else if (info->kind == SETTING_TEXT)
        printf ("  --%s=TEXT  (%s, default %s)\n      %s\n", info->name, variable,
                info->default_value == NULL ? "none, required" : info->default_value, info->help);
      else
        printf ("  --%s  (%s=1)\n      %s\n", info->name, variable, info->help);
      g_free (variable);
    }
  printf ("\nExit codes: 0 success, 1 failure, 2 invalid settings, 3 rejected because of a "
          "conflict.\n");
}

static char *
lookup_value (const SettingInfo *info, void *entry)
{
  char *variable;
  char *value = NULL;
  const char *from_environment;

  if (info->kind == SETTING_FLAG && ((struct arg_lit *) entry)->count > 0)
    return g_strdup ("1");
  if (info->kind != SETTING_FLAG && ((struct arg_str *) entry)->count > 0)
    return g_strdup (((struct arg_str *) entry)->sval[0]);
  variable = settings_variable (info->name);
  from_environment = getenv (variable);
  if (info->kind != SETTING_ARGUMENT && from_environment != NULL && from_environment[0] != '\0')
    value = g_strdup (from_environment);
  g_free (variable);
  return value == NULL ? g_strdup (info->default_value) : value;
}

static bool check_value (const SettingInfo *info, const char *value, int64_t *number);

static void
parse_line (Settings *settings, char *line, GString *ignored)
{
  char *value = strchr (line, '=');
  int64_t number = 0;
  int index = 0;

  if (value == NULL)
    return;
  *value++ = '\0';
  g_strstrip (line);
  g_strstrip (value);
  while (settings->table[index].name != NULL && strcmp (settings->table[index].name, line) != 0)
    index++;
  if (settings->table[index].name == NULL || !check_value (&settings->table[index], value, &number))
    {
      g_string_append_printf (ignored, "%s%s", ignored->len == 0 ? "" : ",", line);
      return;
    }
  g_free (settings->values[index]);
  settings->values[index] = g_strdup (value);
  settings->numbers[index] = number;
}

bool
settings_read_file (Settings *settings, const char *path, GString *ignored)
{
  char *text = NULL;
  char **lines;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    return false;
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      (*line)[strcspn (*line, "#")] = '\0';
      parse_line (settings, *line, ignored);
    }
  g_strfreev (lines);
  g_free (text);
  return true;
}

static bool
check_value (const SettingInfo *info, const char *value, int64_t *number)
{
  char *end;

  if (info->kind == SETTING_FLAG)
    {
      if (value == NULL || strcmp (value, "1") == 0)
        return true;
      fprintf (stderr, "peridotstep: --%s is a flag: its environment variable must be 1 or unset\n",
               info->name);
      return false;
    }
  if (value == NULL)
    {
      fprintf (stderr, "peridotstep: %s%s is required: %s\n",
               info->kind == SETTING_ARGUMENT ? "" : "--", info->name, info->help);
      return false;
    }
  if (info->kind != SETTING_NUMBER)
    return true;
  errno = 0;
  *number = strtoll (value, &end, 10);
  if (errno == 0 && end != value && *end == '\0' && *number >= info->min && *number <= info->max)
    return true;
  fprintf (stderr,
           "peridotstep: --%s is '%s', but must be a whole number from %" G_GINT64_FORMAT
           " to %" G_GINT64_FORMAT "\n",
           info->name, value, info->min, info->max);
  return false;
}

SettingsResult
settings_parse (const char *command, const char *summary, const SettingInfo *table, int argc,
                char **argv, Settings **settings)
{
  void *entries[SETTINGS_MAX + 2] = { NULL };
  int count = build_entries (table, entries);
  int errors = arg_parse (argc, argv, entries);
  SettingsResult result = SETTINGS_OK;

  *settings = g_new0 (Settings, 1);
  (*settings)->table = table;
  if (((struct arg_lit *) entries[count])->count > 0)
    {
      print_help (command, summary, table, entries);
      result = SETTINGS_HELP;
    }
  else if (errors > 0)
    {
      arg_print_errors (stderr, entries[count + 1], "peridotstep");
      fprintf (stderr, "peridotstep: see 'peridotstep %s --help'\n", command);
      result = SETTINGS_INVALID;
    }
  for (int i = 0; result == SETTINGS_OK && i < count; i++)
    {
      (*settings)->values[i] = lookup_value (&table[i], entries[i]);
      if (!check_value (&table[i], (*settings)->values[i], &(*settings)->numbers[i]))
        result = SETTINGS_INVALID;
    }
  arg_freetable (entries, (size_t) count + 2);
  if (result == SETTINGS_OK)
    return result;
  settings_free (*settings);
  *settings = NULL;
  return result;
}
