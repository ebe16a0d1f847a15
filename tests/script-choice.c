/**
 * DOC: Choice of replicas, and ownership.
 */
#include <string.h>

#include "policy/ownership.h"
#include "policy/replica-choice.h"
#include "script.h"

#define HOSTS_MAX 64

typedef struct
{
  InstanceView views[3];
  HostView *hosts;
} State;

static void *
start (void)
{
  State *state = g_new0 (State, 1);

  state->hosts = g_malloc0 (sizeof (HostView) + HOSTS_MAX * sizeof (Host));
  for (int i = 0; i < 3; i++)
    state->views[i] = (InstanceView){ .distance = (Distance) i, .owned = true, .age_ms = -1 };
  return state;
}

static void
end (void *data)
{
  State *state = data;

  g_free (state->hosts);
  g_free (state);
}

/* view INSTANCE KEY VALUE */
static void
set_view (InstanceView *view, const char *key, const char *value)
{
  gint64 number = g_ascii_strtoll (value, NULL, 10);

  if (strcmp (key, "primary") == 0)
    view->primary = number != 0;
  else if (strcmp (key, "term") == 0)
    view->term = (guint64) number;
  else if (strcmp (key, "applied") == 0)
    session_token_parse (value, &view->applied);
  else if (strcmp (key, "age") == 0)
    view->age_ms = number;
  else if (strcmp (key, "wait") == 0)
    view->wait_us = number;
  else if (strcmp (key, "seen") == 0)
    view->seen_ms = number;
  else if (strcmp (key, "refused") == 0)
    view->refused_until_ms = number;
  else if (strcmp (key, "leaving") == 0)
    view->leaving = number != 0;
  else if (strcmp (key, "owned") == 0)
    view->owned = number != 0;
}

static void
add_host (State *state, char **words)
{
  Host *host = &state->hosts->hosts[state->hosts->count++];

  g_strlcpy (host->id, script_word (words, 1), NAME_BYTES);
  g_strlcpy (host->failure_domain, script_word (words, 2), NAME_BYTES);
  g_strlcpy (host->region, script_word (words, 3), NAME_BYTES);
  host->id_hash = host_hash (host->id);
}

static void
print_owner (State *state, char **words, GString *out)
{
  int picked = ownership_pick (
      state->hosts, instance_hash (script_word (words, 1), script_word (words, 2)),
      script_word (words, 3), script_word (words, 4), (guint32) script_number (words, 5));

  g_string_append_printf (out, "%s\n", picked < 0 ? "none" : state->hosts->hosts[picked].id);
}

static void
remove_host (State *state, const char *id)
{
  state->hosts->by_domain = false;
  for (guint i = 0; i < state->hosts->count; i++)
    if (strcmp (state->hosts->hosts[i].id, id) == 0)
      state->hosts->hosts[i] = state->hosts->hosts[--state->hosts->count];
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  ReadRequirement requirement = { { 0, 0 }, script_number (words, 2) };

  if (strcmp (verb, "view") == 0)
    set_view (&state->views[script_number (words, 1)], script_word (words, 2),
              script_word (words, 3));
  else if (strcmp (verb, "read") == 0)
    {
      session_token_parse (script_word (words, 1), &requirement.token);
      g_string_append_printf (out, "%d\n",
                              replica_choice_read (state->views, 3, &requirement,
                                                   (guint32) script_number (words, 3),
                                                   script_number (words, 4)));
    }
  else if (strcmp (verb, "write") == 0)
    g_string_append_printf (out, "%d\n",
                            replica_choice_write (state->views, 3,
                                                  (guint32) script_number (words, 1),
                                                  script_number (words, 2)));
  else if (strcmp (verb, "host") == 0)
    add_host (state, words);
  else if (strcmp (verb, "remove") == 0)
    remove_host (state, script_word (words, 1));
  else if (strcmp (verb, "sort") == 0)
    host_view_sort (state->hosts);
  else if (strcmp (verb, "owner") == 0)
    print_owner (state, words, out);
  else
    g_string_append (out, "unknown command\n");
}

const ScriptKind script_choice = { "choice", start, command, end };
