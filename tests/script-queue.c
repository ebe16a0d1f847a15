/**
 * DOC: Admission queue of one instance; statements have names, and commands advance the time.
 */
#include <string.h>

#include "policy/admission-queue.h"
#include "script.h"

typedef struct
{
  AdmissionItem item;
  char *name;
} Statement;

typedef struct
{
  AdmissionOptions options;
  AdmissionQueue *queue;
  GHashTable *statements;
  gint64 now_ms;
} State;

static void
statement_free (gpointer data)
{
  Statement *statement = data;

  g_free (statement->name);
  g_free (statement);
}

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->options = (AdmissionOptions){
    .slots = 2, .reserved_slots = 1, .queue_limit = 100, .floor_percent = { 0, 20, 10 }
  };
  state->queue = admission_queue_new (&state->options);
  state->statements = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, statement_free);
  return state;
}

static void
end (void *data)
{
  State *state = data;

  admission_queue_free (state->queue);
  g_hash_table_destroy (state->statements);
  g_free (state);
}

static Priority
priority_of (const char *name)
{
  for (int i = 0; i < PRIORITY_COUNT; i++)
    if (name[0] == priority_name ((Priority) i)[0])
      return (Priority) i;
  return PRIORITY_NORMAL;
}

/* push NAME PRIORITY SOURCE DEADLINE [front] */
static void
push (State *state, char **words, GString *out)
{
  Statement *statement = g_new0 (Statement, 1);

  statement->name = g_strdup (script_word (words, 1));
  statement->item.priority = priority_of (script_word (words, 2));
  statement->item.source = (guint64) script_number (words, 3);
  statement->item.deadline_ms = state->now_ms + script_number (words, 4);
  statement->item.front = strcmp (script_word (words, 5), "front") == 0;
  statement->item.data = statement;
  g_hash_table_replace (state->statements, statement->name, statement);
  if (!admission_queue_push (state->queue, &statement->item, state->now_ms))
    g_string_append (out, "refused\n");
}

static void
next (State *state, gboolean urgent_only, GString *out)
{
  AdmissionItem *item = admission_queue_next (state->queue, urgent_only, state->now_ms);

  g_string_append_printf (out, "%s\n", item == NULL ? "none" : ((Statement *) item->data)->name);
}

/*
 * saturate DURATION PRIORITY...: keeps statements of these priorities waiting and all slots busy
 * for DURATION, each statement taking 10 ms; prints the statements served per priority.
 */
static void
saturate (State *state, char **words, GString *out)
{
  guint served[PRIORITY_COUNT] = { 0 };
  GQueue running = G_QUEUE_INIT;
  gint64 end_ms = state->now_ms + script_number (words, 1);

  for (; state->now_ms < end_ms; state->now_ms += 10)
    {
      AdmissionItem *item;

      while ((item = g_queue_pop_head (&running)) != NULL)
        {
          admission_queue_finish (state->queue, item->priority, 10000);
          served[item->priority]++;
          g_free (item);
        }
      for (guint i = 2; i < g_strv_length (words); i++)
        for (int n = 0; n < 4; n++)
          {
            AdmissionItem *more = g_new0 (AdmissionItem, 1);

            more->priority = priority_of (words[i]);
            more->deadline_ms = G_MAXINT64 / 2;
            if (!admission_queue_push (state->queue, more, state->now_ms))
              g_free (more);
          }
      while ((item = admission_queue_next (state->queue, FALSE, state->now_ms)) != NULL)
        g_queue_push_tail (&running, item);
    }
  while (!g_queue_is_empty (&running))
    {
      AdmissionItem *item = g_queue_pop_head (&running);

      admission_queue_finish (state->queue, item->priority, 10000);
      g_free (item);
    }
  for (AdmissionItem *left; (left = admission_queue_drain (state->queue)) != NULL;)
    g_free (left);
  g_string_append_printf (out, "urgent=%u normal=%u background=%u\n", served[0], served[1],
                          served[2]);
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "slots") == 0)
    {
      state->options.slots = (guint) script_number (words, 1);
      state->options.reserved_slots = (guint) script_number (words, 2);
      admission_queue_configure (state->queue, &state->options);
    }
  else if (strcmp (verb, "limit") == 0)
    {
      state->options.queue_limit = (guint) script_number (words, 1);
      admission_queue_configure (state->queue, &state->options);
    }
  else if (strcmp (verb, "push") == 0)
    push (state, words, out);
  else if (strcmp (verb, "next") == 0)
    next (state, FALSE, out);
  else if (strcmp (verb, "next-urgent") == 0)
    next (state, TRUE, out);
  else if (strcmp (verb, "next-front") == 0)
    {
      AdmissionItem *item = admission_queue_next_front (state->queue);

      g_string_append_printf (out, "%s\n",
                              item == NULL ? "none" : ((Statement *) item->data)->name);
    }
  else if (strcmp (verb, "finish") == 0)
    admission_queue_finish (state->queue, priority_of (script_word (words, 1)),
                            script_number (words, 2));
  else if (strcmp (verb, "expire") == 0)
    {
      AdmissionItem *item = admission_queue_expire (state->queue, state->now_ms);

      g_string_append_printf (out, "%s\n",
                              item == NULL ? "none" : ((Statement *) item->data)->name);
    }
  else if (strcmp (verb, "wait") == 0)
    g_string_append_printf (
        out, "%" G_GINT64_FORMAT " us\n",
        admission_queue_expected_wait_us (state->queue, priority_of (script_word (words, 1))));
  else if (strcmp (verb, "advance") == 0)
    state->now_ms += script_number (words, 1);
  else if (strcmp (verb, "saturate") == 0)
    saturate (state, words, out);
  else
    g_string_append (out, "unknown command\n");
}

const ScriptKind script_queue = { "queue", start, command, end };
