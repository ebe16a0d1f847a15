/**
 * DOC: Scripted tests: a script has commands ("> ..."), each followed by its expected output.
 * The transcript of a run must equal the script.
 */
#pragma once

#include <glib.h>

/** struct ScriptKind - An interpreter; its scripts are tests/scripts/NAME-*.txt. */
typedef struct
{
  const char *name;
  void *(*start) (void);
  void (*command) (void *state, char **words, GString *out);
  void (*end) (void *state);
} ScriptKind;

/** script_number() - Word @index as a number; 0 if it is none. */
gint64 script_number (char **words, unsigned int index);

/** script_word() - Word @index, or "". */
const char *script_word (char **words, unsigned int index);

extern const ScriptKind script_failover;
extern const ScriptKind script_queue;
extern const ScriptKind script_membership;
extern const ScriptKind script_gate;
extern const ScriptKind script_choice;
extern const ScriptKind script_sync;
extern const ScriptKind script_small;
extern const ScriptKind script_text;
extern const ScriptKind script_config;
extern const ScriptKind script_primary_change;
extern const ScriptKind script_place;
extern const ScriptKind script_pool;
extern const ScriptKind script_store;
extern const ScriptKind script_load;
extern const ScriptKind script_snapshot;
extern const ScriptKind script_owners;
extern const ScriptKind script_format;
extern const ScriptKind script_acknowledged;
extern const ScriptKind script_limit;
extern const ScriptKind script_outlier;
extern const ScriptKind script_speed;
extern const ScriptKind script_log_holders;
extern const ScriptKind script_lease;
