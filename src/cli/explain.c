/**
 * DOC: explain: prints the timeline of one request from the logs of several hosts.
 */
#include <stdio.h>
#include <string.h>

#include "cli/command.h"

/* The timeline includes events this long before and after the request's own lines. */
#define CONTEXT_MS 5000

static const SettingInfo explain_settings[] = {
  { "id", SETTING_ARGUMENT, NULL, 0, 0, "id of the request" },
  { "files", SETTING_ARGUMENT, NULL, 0, 0, "logs of the hosts, separated by commas" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

typedef struct
{
  char *file;
  char *text;
  char *event;
  int64_t time_ms;
} LogLine;

/* Events that change the state of a host or its view of others; shown for every request. */
static const char *const state_events[] = { "primary",
                                            "fenced",
                                            "suspect",
                                            "lead_change",
                                            "log_holders",
                                            "promotion_basis",
                                            "promotion_log",
                                            "promoting",
                                            "promote_ended",
                                            "order_ended",
                                            "peer_lost",
                                            "peer_heard",
                                            "peer_ended",
                                            "store_lost",
                                            "store_regained",
                                            "configuration",
                                            "started",
                                            "stopped",
                                            "draining",
                                            "instance_silent",
                                            "instance_added",
                                            "instance_removed",
                                            "instance_leaving",
                                            "instance_unreached",
                                            "instance_displaced",
                                            "connection_refused",
                                            NULL };

static void
line_free (void *data)
{
  LogLine *line = data;

  g_free (line->file);
  g_free (line->text);
  g_free (line->event);
  g_free (line);
}

/* Value of @key in a line of key=value pairs, to be freed with g_free(); %NULL if missing. */
static char *
field_value (const char *text, const char *key)
{
  char *pattern = g_strdup_printf ("%s=", key);
  const char *at = text;
  char *value = NULL;

  while (value == NULL && (at = strstr (at, pattern)) != NULL)
    {
      const char *start = at + strlen (pattern);

      if (at == text || at[-1] == ' ' || at[-1] == '>')
        value = g_strndup (start, strcspn (start, " "));
      at = start;
    }
  g_free (pattern);
  return value;
}

static int64_t
line_time_ms (const char *text)
{
  char *value = field_value (text, "time");
  GDateTime *time = value == NULL ? NULL : g_date_time_new_from_iso8601 (value, NULL);
  int64_t time_ms = -1;

  if (time != NULL)
    {
      time_ms = g_date_time_to_unix (time) * 1000 + g_date_time_get_microsecond (time) / 1000;
      g_date_time_unref (time);
    }
  g_free (value);
  return time_ms;
}

static bool
read_file (const char *path, GPtrArray *lines)
{
  char *text = NULL;
  char **rows;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      fprintf (stderr, "peridotstep: cannot read %s\n", path);
      return false;
    }
  rows = g_strsplit (text, "\n", -1);
  for (char **row = rows; *row != NULL; row++)
    {
      const int64_t time_ms = line_time_ms (*row);
      LogLine *line;

      if (time_ms < 0)
        continue;
      line = g_new (LogLine, 1);
      *line = (LogLine){ g_path_get_basename (path), g_strdup (*row), field_value (*row, "event"),
                         time_ms };
      g_ptr_array_add (lines, line);
    }
  g_strfreev (rows);
  g_free (text);
  return true;
}

static int
compare_lines (const void *a, const void *b)
{
  const LogLine *first = *(const LogLine *const *) a;
  const LogLine *second = *(const LogLine *const *) b;

  return (first->time_ms > second->time_ms) - (first->time_ms < second->time_ms);
}

static bool
is_of_request (const LogLine *line, const char *id)
{
  char *value = field_value (line->text, "request");
  const bool is_same = g_strcmp0 (value, id) == 0;

  g_free (value);
  return is_same;
}

/* Whether a line is about another service than the request's. */
static bool
is_of_other_service (const LogLine *line, const char *service)
{
  char *value = field_value (line->text, "service");
  const bool is_other = value != NULL && service != NULL && strcmp (value, service) != 0;

  g_free (value);
  return is_other;
}

static bool
print_timeline (const GPtrArray *lines, const char *id)
{
  int64_t first_ms = -1;
  int64_t last_ms = -1;
  char *service = NULL;

  for (guint i = 0; i < lines->len; i++)
    {
      const LogLine *line = lines->pdata[i];

      if (!is_of_request (line, id))
        continue;
      first_ms = first_ms < 0 ? line->time_ms : first_ms;
      last_ms = line->time_ms;
      if (service == NULL)
        service = field_value (line->text, "service");
    }
  for (guint i = 0; i < lines->len && first_ms >= 0; i++)
    {
      const LogLine *line = lines->pdata[i];
      const bool is_own = is_of_request (line, id);

      if (line->time_ms < first_ms - CONTEXT_MS || line->time_ms > last_ms + CONTEXT_MS)
        continue;
      if (!is_own
          && (line->event == NULL || !g_strv_contains (state_events, line->event)
              || is_of_other_service (line, service)))
        continue;
      printf ("%s %+6" G_GINT64_FORMAT " ms  %s  %s\n", is_own ? "*" : " ",
              line->time_ms - first_ms, line->file, line->text);
    }
  g_free (service);
  return first_ms >= 0;
}

static int
run_explain (const Settings *settings)
{
  char **paths = g_strsplit (settings_text (settings, "files"), ",", -1);
  GPtrArray *lines = g_ptr_array_new_with_free_func (line_free);
  int code = EXIT_DONE;

  for (char **path = paths; *path != NULL && code == EXIT_DONE; path++)
    if (!read_file (*path, lines))
      code = EXIT_FAILED;
  g_ptr_array_sort (lines, compare_lines);
  if (code == EXIT_DONE && !print_timeline (lines, settings_text (settings, "id")))
    {
      fprintf (stderr, "peridotstep: no log line mentions request %s\n",
               settings_text (settings, "id"));
      code = EXIT_FAILED;
    }
  g_ptr_array_free (lines, true);
  g_strfreev (paths);
  return code;
}

const Command command_explain = { "explain", "timeline of one request from the logs of the hosts",
                                  explain_settings, run_explain };
