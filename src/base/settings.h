/**
 * DOC: Settings of a subcommand, from flags and PERIDOTSTEP_* environment variables, each
 * validated against its range. A flag takes precedence over the environment variable.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** enum SettingKind - Type of a setting. */
typedef enum
{
  SETTING_TEXT,
  SETTING_NUMBER,
  SETTING_FLAG,
  SETTING_ARGUMENT /* positional; required unless it has a default */
} SettingKind;

/**
 * struct SettingInfo - Description of one setting; a table ends with a %NULL @name.
 * @name: long flag; the environment variable is PERIDOTSTEP_ plus the name in upper case, with "_"
 *   for "-".
 * @default_value: value if not given; %NULL makes a text or number required.
 * @min, @max: inclusive range of a number.
 * @help: one-line description, with the unit.
 */
typedef struct
{
  const char *name;
  SettingKind kind;
  const char *default_value;
  int64_t min;
  int64_t max;
  const char *help;
} SettingInfo;

typedef struct Settings Settings;

/** enum SettingsResult - Result of parsing the command line. */
typedef enum
{
  SETTINGS_OK,
  SETTINGS_HELP,   /* help was printed */
  SETTINGS_INVALID /* an error was printed */
} SettingsResult;

/**
 * settings_parse() - Parses @argv (subcommand first) and the environment according to @table;
 * prints help or errors. @settings is %NULL unless the result is %SETTINGS_OK.
 */
SettingsResult settings_parse (const char *command, const char *summary, const SettingInfo *table,
                               int argc, char **argv, Settings **settings);

/**
 * settings_read_file() - Reads settings from the file @path: lines of "name = value"; "#" starts a
 * comment. They override the values in @settings. Unknown names and names with an invalid value
 * are skipped and appended to @ignored, separated by commas. False if the file can't be read.
 */
bool settings_read_file (Settings *settings, const char *path, GString *ignored);

/** settings_free() - Frees the settings. */
void settings_free (Settings *settings);

/** settings_text() - Value of a text setting or argument. */
const char *settings_text (const Settings *settings, const char *name);

/** settings_number() - Value of a number setting. */
int64_t settings_number (const Settings *settings, const char *name);

/** settings_flag() - Whether a flag was given. */
bool settings_flag (const Settings *settings, const char *name);

/** settings_variable() - Environment variable of the setting @name; g_free() it. */
char *settings_variable (const char *name);
