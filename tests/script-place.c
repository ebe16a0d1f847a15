/**
 * DOC: Placement of reads, history of positions, share of connections and list of instances.
 */
#include <inttypes.h>
#include <string.h>

#include "policy/connection-share.h"
#include "policy/instance-list.h"
#include "policy/placement.h"
#include "policy/position-history.h"
#include "script.h"

#define VIEWS 3

typedef struct
{
  PlacementView views[VIEWS];
  PositionHistory history;
  InstanceList list;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  for (int i = 0; i < VIEWS; i++)
    state->views[i] = (PlacementView){ .usable = true, .distance = (Distance) i };
  return state;
}

static void
end (void *data)
{
  State *state = data;

  instance_list_clear (&state->list);
  g_free (state);
}

/* NAME[@STARTED][!], where "!" says that the instance is leaving */
static InstanceInfo
parse_info (const char *word)
{
  InstanceInfo info = { .slots = 5, .leaving = g_str_has_suffix (word, "!") };
  const char *started = strchr (word, '@');

  g_strlcpy (info.id, word, MIN (strcspn (word, "@!") + 1, sizeof info.id));
  if (started != NULL)
    info.started_ms = g_ascii_strtoll (started + 1, NULL, 10);
  return info;
}

static void
print_info (const InstanceInfo *info, GString *out)
{
  g_string_append (out, info->id);
  if (info->started_ms != 0)
    g_string_append_printf (out, "@%" PRId64, info->started_ms);
  if (info->leaving)
    g_string_append (out, "!");
}

static GArray *
parse_infos (char **words)
{
  GArray *infos = g_array_new (false, true, sizeof (InstanceInfo));

  for (guint i = 2; words[i] != NULL; i++)
    {
      const InstanceInfo info = parse_info (words[i]);

      g_array_append_val (infos, info);
    }
  return infos;
}

/* listed|received TIME INSTANCE...: the store lists, or another host sends, these instances; prints
 * the resulting list */
static void
update_list (State *state, char **words, GString *out)
{
  GArray *infos = parse_infos (words);
  const gint64 now_ms = script_number (words, 1);

  if (strcmp (words[0], "listed") == 0)
    instance_list_update (&state->list, infos, now_ms);
  else
    instance_list_replace (&state->list, infos, now_ms);
  for (guint i = 0; i < state->list.infos->len; i++)
    {
      g_string_append (out, i == 0 ? "" : " ");
      print_info (&g_array_index (state->list.infos, InstanceInfo, i), out);
    }
  g_string_append (out, "\n");
  g_array_free (infos, true);
}

/* view INSTANCE KEY VALUE */
static void
set_view (PlacementView *view, const char *key, const char *value)
{
  const gint64 number = g_ascii_strtoll (value, NULL, 10);

  if (strcmp (key, "usable") == 0)
    view->usable = number != 0;
  else if (strcmp (key, "leaving") == 0)
    view->leaving = number != 0;
  else if (strcmp (key, "primary") == 0)
    view->primary = number != 0;
  else if (strcmp (key, "seen") == 0)
    session_token_parse (value, &view->seen);
  else if (strcmp (key, "latency") == 0)
    view->latency_ms = number;
  else if (strcmp (key, "wait") == 0)
    view->wait_ms = number;
  else if (strcmp (key, "behind") == 0)
    view->behind_until_ms = number;
  else if (strcmp (key, "refused") == 0)
    view->refused_until_ms = number;
  else
    g_error ("no such key: %s", key);
}

/* since TIME */
static void
print_since (const State *state, char **words, GString *out)
{
  PositionSample sample;

  if (position_history_since (&state->history, script_number (words, 1), &sample))
    g_string_append_printf (out, "%" PRIu64 "/%" PRIu64 " at %" PRId64 "\n", sample.position.term,
                            sample.position.position, sample.at_ms);
  else
    g_string_append (out, "unknown\n");
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  PlacementRequirement requirement = { .after_position_age_ms = script_number (words, 2) };
  SessionToken token = { 0, 0 };
  ConnectionDemand demand;

  if (strcmp (verb, "view") == 0)
    set_view (&state->views[script_number (words, 1)], script_word (words, 2),
              script_word (words, 3));
  else if (strcmp (verb, "read") == 0)
    {
      session_token_parse (script_word (words, 1), &requirement.after);
      g_string_append_printf (out, "%d\n",
                              placement_read (state->views, VIEWS, &requirement,
                                              (guint32) script_number (words, 3),
                                              script_number (words, 4)));
    }
  else if (strcmp (verb, "sample") == 0)
    {
      session_token_parse (script_word (words, 2), &token);
      position_history_add (&state->history, script_number (words, 1), token);
    }
  else if (strcmp (verb, "since") == 0)
    print_since (state, words, out);
  else if (strcmp (verb, "listed") == 0 || strcmp (verb, "received") == 0)
    update_list (state, words, out);
  else if (strcmp (verb, "store-failed") == 0)
    instance_list_failed (&state->list);
  else if (strcmp (verb, "store-restored") == 0)
    instance_list_restored (&state->list, script_number (words, 1));
  else if (strcmp (verb, "share") == 0)
    {
      demand = (ConnectionDemand){
        .limit = (guint32) script_number (words, 1),
        .hosts = (guint32) script_number (words, 2),
        .own = (guint32) script_number (words, 3),
        .others = (guint32) script_number (words, 4),
      };
      g_string_append_printf (out, "%u\n", connection_share (&demand));
    }
  else if (strcmp (verb, "window") == 0)
    {
      demand = (ConnectionDemand){
        .slots = (guint32) script_number (words, 1),
        .statements_percent
        = *script_word (words, 5) == '\0' ? 100 : (guint32) script_number (words, 5),
        .hosts = (guint32) script_number (words, 2),
        .own = (guint32) script_number (words, 3),
        .others = (guint32) script_number (words, 4),
      };
      g_string_append_printf (out, "%u\n", connection_share_statements (&demand));
    }
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_place = { "place", start, command, end };
