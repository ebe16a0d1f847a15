#include "config/merge-patch.h"

#include <string.h>

json_t *
merge_patch_apply (const json_t *target, const json_t *patch)
{
  json_t *result;
  const char *key;
  json_t *value;

  if (!json_is_object (patch))
    return json_deep_copy (patch);

  result = json_is_object (target) ? json_deep_copy (target) : json_object ();
  json_object_foreach ((json_t *) patch, key, value)
    {
      if (json_is_null (value))
        json_object_del (result, key);
      else
        json_object_set_new (result, key, merge_patch_apply (json_object_get (result, key), value));
    }
  return result;
}

static void
append_escaped (GString *path, const char *key)
{
  for (const char *c = key; *c != '\0'; c++)
    {
      if (*c == '~')
        g_string_append (path, "~0");
      else if (*c == '/')
        g_string_append (path, "~1");
      else
        g_string_append_c (path, *c);
    }
}

static void
collect_paths (const json_t *patch, GString *prefix, GPtrArray *paths)
{
  const char *key;
  json_t *value;
  gsize length = prefix->len;

  if (!json_is_object (patch) || json_object_size (patch) == 0)
    {
      g_ptr_array_add (paths, g_strdup (prefix->str));
      return;
    }
  json_object_foreach ((json_t *) patch, key, value)
    {
      g_string_append_c (prefix, '/');
      append_escaped (prefix, key);
      collect_paths (value, prefix, paths);
      g_string_truncate (prefix, length);
    }
}

GPtrArray *
merge_patch_paths (const json_t *patch)
{
  GPtrArray *paths = g_ptr_array_new_with_free_func (g_free);
  GString *prefix = g_string_new ("");

  collect_paths (patch, prefix, paths);
  g_string_free (prefix, true);
  return paths;
}

bool
merge_patch_paths_overlap (const char *a, const char *b)
{
  size_t a_length = strlen (a);
  size_t b_length = strlen (b);
  size_t shorter = MIN (a_length, b_length);

  if (strncmp (a, b, shorter) != 0)
    return false;
  if (a_length == b_length)
    return true;
  return (a_length > b_length ? a : b)[shorter] == '/';
}
