/**
 * DOC: Script commands for the SQL text scanner and for merge patches. The argument of a command
 * is the rest of the line.
 */
#include <string.h>

#include "base/sql-text.h"
#include "config/merge-patch.h"
#include "script.h"

static void *
start (void)
{
  return NULL;
}

static void
end (void *data)
{
}

static void
print_verb (const char *sql, GString *out)
{
  static const char *const names[] = {
    "empty",       "other",      "begin",   "commit", "rollback",
    "rollback-to", "chain",      "set",     "reset",  "show",
    "discard",     "deallocate", "copy",    "listen", "unlisten",
    "notify",      "prepare",    "execute", "load",   "create-temporary",
  };

  g_string_append_printf (out, "%s\n", names[sql_text_verb (sql)]);
}

static void
print_patched (const char *text, GString *out)
{
  char **parts = g_strsplit (text, " + ", 2);
  json_t *target = json_loads (parts[0], JSON_DECODE_ANY, NULL);
  json_t *patch = json_loads (parts[1], JSON_DECODE_ANY, NULL);
  json_t *result = merge_patch_apply (target, patch);
  GPtrArray *paths = merge_patch_paths (patch);
  char *dump = json_dumps (result, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);

  g_string_append_printf (out, "%s\n", dump);
  for (guint i = 0; i < paths->len; i++)
    g_string_append_printf (out, "path %s\n", (char *) paths->pdata[i]);
  free (dump);
  g_ptr_array_free (paths, TRUE);
  json_decref (target);
  json_decref (patch);
  json_decref (result);
  g_strfreev (parts);
}

static void
command (void *data, char **words, GString *out)
{
  char *rest = g_strjoinv (" ", words + 1);
  const char *verb = words[0];
  char value[64], name[64];

  if (strcmp (verb, "verb") == 0)
    print_verb (rest, out);
  else if (strcmp (verb, "single") == 0)
    g_string_append_printf (out, "%s\n", sql_text_is_single (rest) ? "yes" : "no");
  else if (strcmp (verb, "class") == 0)
    g_string_append_printf (out, "%s\n",
                            sql_text_tag (rest, "class", value, sizeof value) ? value : "none");
  else if (strcmp (verb, "assignment") == 0)
    {
      if (sql_text_assignment (rest, name, sizeof name, value, sizeof value))
        g_string_append_printf (out, "%s = %s\n", name, value);
      else
        g_string_append (out, "none\n");
    }
  else if (strcmp (verb, "patch") == 0)
    print_patched (rest, out);
  else if (strcmp (verb, "overlap") == 0)
    g_string_append_printf (out, "%s\n",
                            merge_patch_paths_overlap (words[1], words[2]) ? "yes" : "no");
  else
    g_string_append (out, "unknown command\n");
  g_free (rest);
}

const ScriptKind script_text = { "text", start, command, end };
