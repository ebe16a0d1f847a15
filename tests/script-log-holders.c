/**
 * DOC: Which instances' logs are needed to find every acknowledged commit, and when the record of
 * them is read and written.
 */
#include <string.h>

#include "policy/holder-record.h"
#include "policy/log-holders.h"
#include "script.h"

#define NAMES_MAX 8
#define SYNCHRONOUS 1

typedef struct
{
  char name[16];
  guint64 key;
  bool leaving;
  bool down;
  SessionToken received;
} Instance;

typedef struct
{
  LogHolders holders;
  HolderRecord record;
  Instance instances[NAMES_MAX];
  guint32 instance_count;
  guint64 primary;
  guint64 era;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  log_holders_init (&state->holders, 0);
  return state;
}

static Instance *
find_instance (State *state, const char *name)
{
  Instance *instance;

  for (guint32 i = 0; i < state->instance_count; i++)
    if (strcmp (state->instances[i].name, name) == 0)
      return &state->instances[i];
  instance = &state->instances[state->instance_count++];
  g_strlcpy (instance->name, name, sizeof instance->name);
  instance->key = log_holder_key (1, 2 * state->instance_count);
  return instance;
}

/* list TIME NAME... */
static void
set_listed (State *state, char **words)
{
  ListedInstance listed[NAMES_MAX];
  guint32 count = 0;

  for (guint i = 2; words[i] != NULL; i++)
    {
      const Instance *instance = find_instance (state, words[i]);

      listed[count++] = (ListedInstance){
        .key = instance->key,
        .leaving = instance->leaving,
        .down = instance->down,
        .received = instance->received,
      };
    }
  log_holders_set_listed (&state->holders, listed, count, script_number (words, 1));
}

static const char *
name_of (const State *state, guint64 key)
{
  for (guint32 i = 0; i < state->instance_count; i++)
    if (state->instances[i].key == key)
      return state->instances[i].name;
  return "?";
}

static void
print_holders (State *state, GString *out)
{
  const LogHolders *holders = &state->holders;

  log_holders_settle (&state->holders, state->primary, SYNCHRONOUS);
  for (guint32 i = 0; i < holders->count; i++)
    g_string_append_printf (out, "%s%s ", name_of (state, holders->items[i].key),
                            holders->items[i].listed ? "" : " (gone)");
  g_string_append (out, holders->complete ? "and no others\n" : "and perhaps others\n");
}

/* The record names the instances from word 1 on. */
static HolderRecordState
make_record (State *state, char **words, guint64 *keys)
{
  guint32 count = 0;

  for (guint i = 1; words[i] != NULL; i++)
    {
      const Instance *instance = find_instance (state, words[i]);

      keys[count++] = instance->key | instance->leaving;
    }
  return (HolderRecordState){
    .readable = true,
    .era = state->era,
    .version = count,
    .entries = count == 0 ? NULL : keys,
    .count = count,
  };
}

/* call TIME [needed] [early] [writer]: the call to the store that begins */
static void
print_call (State *state, char **words, GString *out)
{
  static const char *const names[] = { "none", "read", "write" };
  const char *const *options = (const char *const *) words;

  const HolderRecordUse use = {
    .needed = g_strv_contains (options, "needed"),
    .reads_early = g_strv_contains (options, "early"),
    .writes = g_strv_contains (options, "writer"),
    .era = state->era,
  };

  g_string_append_printf (
      out, "%s\n",
      names[holder_record_next (&state->record, &state->holders, &use, script_number (words, 1))]);
}

/*
 * leaving NAME; down NAME: it refuses connections; received NAME POSITION
 * restarted NAME: its next run begins at the same address, with an empty log
 * primary NAME
 * position TIME POSITION: of the primary, asked for at TIME
 * found [NAME...]: the record was read; unreadable; failed: the call was
 * written [NAME...]
 * era NUMBER: of the store, from now on
 * show: the instances that count
 */
static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  guint64 keys[NAMES_MAX];
  HolderRecordState record;

  if (strcmp (verb, "list") == 0)
    set_listed (state, words);
  else if (strcmp (verb, "leaving") == 0)
    find_instance (state, script_word (words, 1))->leaving = true;
  else if (strcmp (verb, "down") == 0)
    find_instance (state, script_word (words, 1))->down = true;
  else if (strcmp (verb, "received") == 0)
    find_instance (state, script_word (words, 1))->received
        = (SessionToken){ 1, (guint64) script_number (words, 2) };
  else if (strcmp (verb, "restarted") == 0)
    {
      Instance *instance = find_instance (state, script_word (words, 1));

      instance->key += log_holder_key (1, 0);
      instance->received = (SessionToken){ 0 };
    }
  else if (strcmp (verb, "primary") == 0)
    {
      state->primary = find_instance (state, script_word (words, 1))->key;
      log_holders_primary_changed (&state->holders);
    }
  else if (strcmp (verb, "position") == 0)
    log_holders_record_position (&state->holders,
                                 (SessionToken){ 1, (guint64) script_number (words, 2) },
                                 script_number (words, 1));
  else if (strcmp (verb, "show") == 0)
    print_holders (state, out);
  else if (strcmp (verb, "call") == 0)
    print_call (state, words, out);
  else if (strcmp (verb, "found") == 0)
    {
      record = make_record (state, words, keys);
      holder_record_found (&state->record, &state->holders, &record);
    }
  else if (strcmp (verb, "unreadable") == 0)
    {
      record = (HolderRecordState){ .era = state->era, .version = 1 };
      holder_record_found (&state->record, &state->holders, &record);
    }
  else if (strcmp (verb, "written") == 0)
    {
      record = make_record (state, words, keys);
      holder_record_written (&state->record, &record);
    }
  else if (strcmp (verb, "era") == 0)
    state->era = (guint64) script_number (words, 1);
  else if (strcmp (verb, "failed") == 0)
    holder_record_failed (&state->record);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_log_holders = { "log-holders", start, command, g_free };
