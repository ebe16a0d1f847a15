/**
 * DOC: Test runner: runs each script with the interpreter of its kind, and the other test cases.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config-apply-faults.h"
#include "fault-matrix.h"
#include "fuzz.h"
#include "limit-model.h"
#include "primary-change-model.h"
#include "script.h"
#include "end-to-end.h"

#define SCRIPT_FOLDER "tests/scripts"
/* Scripts whose paths stand in this file are run and reported, but not counted. */
#define KNOWN_FAILURES_FILE "KNOWN-RED.txt"

static const ScriptKind *const kinds[] = {
  &script_failover, &script_queue,          &script_membership, &script_gate,
  &script_choice,   &script_sync,           &script_small,      &script_text,
  &script_config,   &script_primary_change, &script_place,      &script_pool,
  &script_store,    &script_load,           &script_snapshot,   &script_owners,
  &script_format,   &script_acknowledged,   &script_limit,      &script_outlier,
  &script_speed,    &script_log_holders,    &script_lease,
};

static GPtrArray *script_paths;
static GPtrArray *known_failure_paths;

const char *
script_word (char **words, unsigned int index)
{
  return index < g_strv_length (words) ? words[index] : "";
}

gint64
script_number (char **words, unsigned int index)
{
  return g_ascii_strtoll (script_word (words, index), NULL, 10);
}

static const ScriptKind *
find_kind (const char *path)
{
  char *name = g_path_get_basename (path);
  const ScriptKind *found = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (g_str_has_prefix (name, kinds[i]->name) && name[strlen (kinds[i]->name)] == '-')
      found = kinds[i];
  g_free (name);
  return found;
}

static char *
run_script (const ScriptKind *kind, const char *script)
{
  char **lines = g_strsplit (script, "\n", -1);
  GString *transcript = g_string_new ("");
  void *state = kind->start ();

  for (char **line = lines; *line != NULL; line++)
    {
      char **words;

      if (g_str_has_prefix (*line, "#") || (**line == '\0' && line[1] != NULL))
        g_string_append_printf (transcript, "%s\n", *line);
      if (!g_str_has_prefix (*line, "> "))
        continue;
      g_string_append_printf (transcript, "%s\n", *line);
      words = g_strsplit_set (*line + 2, " ", -1);
      kind->command (state, words, transcript);
      g_strfreev (words);
    }
  kind->end (state);
  g_strfreev (lines);
  return g_string_free (transcript, FALSE);
}

static void
run_known_failure (const char *path)
{
  const ScriptKind *kind = find_kind (path);
  char *script = NULL;
  char *transcript;

  if (kind == NULL || !g_file_get_contents (path, &script, NULL, NULL))
    g_error ("%s: can't be run", path);
  transcript = run_script (kind, script);
  printf ("known failure: %s %s\n", path,
          strcmp (script, transcript) == 0 ? "passes now" : "fails");
  g_free (transcript);
  g_free (script);
}

START_TEST (test_script)
{
  const char *path = script_paths->pdata[_i];
  const ScriptKind *kind = find_kind (path);
  char *script = NULL;
  char *transcript;

  ck_assert_msg (kind != NULL, "%s: no interpreter", path);
  ck_assert (g_file_get_contents (path, &script, NULL, NULL));
  transcript = run_script (kind, script);
  // SCRIPT_WRITE=1 regenerates the expected output of all scripts; review it before use.
  if (getenv ("SCRIPT_WRITE") != NULL)
    g_file_set_contents (path, transcript, -1, NULL);
  else
    ck_assert_msg (strcmp (script, transcript) == 0, "%s: expected\n%s\ngot\n%s", path, script,
                   transcript);
  g_free (transcript);
  g_free (script);
}
END_TEST

static int
compare_paths (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static void
find_scripts (void)
{
  GDir *folder = g_dir_open (SCRIPT_FOLDER, 0, NULL);
  char *known_failures = NULL;
  const char *name;

  script_paths = g_ptr_array_new_with_free_func (g_free);
  known_failure_paths = g_ptr_array_new_with_free_func (g_free);
  g_file_get_contents (KNOWN_FAILURES_FILE, &known_failures, NULL, NULL);
  while (folder != NULL && (name = g_dir_read_name (folder)) != NULL)
    {
      char *path = g_build_filename (SCRIPT_FOLDER, name, NULL);

      if (known_failures != NULL && strstr (known_failures, path) != NULL)
        g_ptr_array_add (known_failure_paths, path);
      else if (g_str_has_suffix (name, ".txt"))
        g_ptr_array_add (script_paths, path);
      else
        g_free (path);
    }
  if (folder != NULL)
    g_dir_close (folder);
  g_free (known_failures);
  g_ptr_array_sort (script_paths, compare_paths);
  g_ptr_array_sort (known_failure_paths, compare_paths);
}

int
main (void)
{
  Suite *suite = suite_create ("peridotstep");
  TCase *scripts = tcase_create ("scripts");
  SRunner *runner;
  int failed;

  find_scripts ();
  if (script_paths->len == 0)
    g_error ("no scripts in %s: run from the top of the tree", SCRIPT_FOLDER);
  for (guint i = 0; i < known_failure_paths->len; i++)
    run_known_failure (known_failure_paths->pdata[i]);
  tcase_add_loop_test (scripts, test_script, 0, (int) script_paths->len);
  suite_add_tcase (suite, scripts);
  suite_add_tcase (suite, fault_matrix_case ());
  suite_add_tcase (suite, config_apply_faults_case ());
  suite_add_tcase (suite, fuzz_case ());
  suite_add_tcase (suite, limit_model_case ());
  suite_add_tcase (suite, primary_change_model_case ());
  suite_add_tcase (suite, primary_change_restart_case ());
  suite_add_tcase (suite, primary_change_replacement_case ());
  suite_add_tcase (suite, primary_change_reads_case ());
  suite_add_tcase (suite, end_to_end_case ());
  runner = srunner_create (suite);
  srunner_set_fork_status (runner, CK_NOFORK);
  srunner_run_all (runner, CK_NORMAL);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  g_ptr_array_free (script_paths, TRUE);
  g_ptr_array_free (known_failure_paths, TRUE);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
