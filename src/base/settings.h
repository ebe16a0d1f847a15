/**
 * DOC: Settings of a subcommand from flags and PERIDOTSTEP_* environment variables, each
 * checked against its range. A flag goes before the variable.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** enum SettingKind - Sort of value. */
typedef enum
{
  SETTING_TEXT,
  SETTING_NUMBER,
  SETTING_FLAG,
  SETTING_ARGUMENT /* positional; required unless it has a fallback */
} SettingKind;

/**
 * struct SettingInfo - One setting; a table ends with a %NULL name.
 * @name: long flag; the variable is PERIDOTSTEP_ and the name in upper case.
 * @default_value: value when not given; %NULL makes a text or number required.
 * @min, @max: range of a number.
 * @help: one line, with the unit.
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

/** enum SettingsResult - What became of the command line. */
typedef enum
{
  SETTINGS_OK,
  SETTINGS_HELP,   /* help was printed */
  SETTINGS_INVALID /* what was wrong was printed */
} SettingsResult;

/** settings_parse() - Reads @argv (subcommand first) and the environment against @table. */
SettingsResult settings_parse (const char *command, const char *summary, const SettingInfo *table,
                               int argc, char **argv, Settings **settings);

/**
 * settings_read_file() - Takes the settings of the file @path, lines of "name = value"; "#" begins
 * a comment. They go before what @settings held. Names that are not settings, and values out of
 * range, change nothing and are appended to @ignored. False if the file can't be read.
 */
bool settings_read_file (Settings *settings, const char *path, GString *ignored);

/** settings_free() - Frees the values. */
void settings_free (Settings *settings);

/** settings_text() - Value of a text or argument. */
const char *settings_text (const Settings *settings, const char *name);

/** settings_number() - Value of a number. */
int64_t settings_number (const Settings *settings, const char *name);

/** settings_flag() - Whether a flag was given. */
bool settings_flag (const Settings *settings, const char *name);

/** settings_variable() - Name of the environment variable of @name; g_free() it. */
char *settings_variable (const char *name);
