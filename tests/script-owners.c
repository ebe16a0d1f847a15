/**
 * DOC: Owners of services in fleets of any size, and the set of owners that a host knows.
 */
#include <inttypes.h>
#include <string.h>

#include "policy/owner-set.h"
#include "policy/service-owners.h"
#include "script.h"

typedef struct
{
  HostView *view;
  OwnerSet set;
} State;

static void *
start (void)
{
  return g_new0 (State, 1);
}

static void
end (void *data)
{
  State *state = data;

  g_free (state->view);
  g_free (state);
}

static void
fill_host (Host *host, guint index, guint domains)
{
  g_snprintf (host->id, sizeof host->id, "host-%u", index);
  g_snprintf (host->failure_domain, sizeof host->failure_domain, "d%u", index % domains);
  g_snprintf (host->region, sizeof host->region, "r%u", index % domains % 2);
  host->id_hash = host_hash (host->id);
}

/* fleet HOSTS DOMAINS: hosts spread evenly over the domains, which lie in two regions */
static void
make_fleet (State *state, char **words)
{
  const guint hosts = (guint) script_number (words, 1);

  g_free (state->view);
  state->view = g_malloc0 (sizeof (HostView) + hosts * sizeof (Host));
  state->view->count = hosts;
  for (guint i = 0; i < hosts; i++)
    fill_host (&state->view->hosts[i], i, (guint) script_number (words, 2));
  host_view_sort (state->view);
}

/* lose HOST: removes it from the fleet */
static void
lose_host (State *state, const char *id)
{
  for (guint i = 0; i < state->view->count; i++)
    if (strcmp (state->view->hosts[i].id, id) == 0)
      memmove (&state->view->hosts[i], &state->view->hosts[i + 1],
               (--state->view->count - i) * sizeof (Host));
}

static OwnerRequest
make_request (const char *service, const char *domain, guint owners)
{
  return (OwnerRequest){
    .service = service,
    .failure_domain = domain,
    .region = domain[1] % 2 == 0 ? "r0" : "r1",
    .owners = owners,
  };
}

/* pick SERVICE DOMAIN OWNERS SESSION ATTEMPTS: the owners tried one after the other */
static void
pick (const State *state, char **words, GString *out)
{
  OwnerRequest request = make_request (script_word (words, 1), script_word (words, 2),
                                       (guint) script_number (words, 3));

  request.session = (guint64) script_number (words, 4);
  for (guint i = 0; i < script_number (words, 5); i++)
    {
      const int index = service_owners_pick (state->view, &request, i);

      if (index < 0)
        g_string_append (out, "none\n");
      else
        g_string_append_printf (out, "%s in %s\n", state->view->hosts[index].id,
                                state->view->hosts[index].failure_domain);
    }
}

/* spread SERVICES DOMAIN OWNERS SESSIONS: how the sessions of all services spread over the hosts */
static void
print_spread (const State *state, char **words, GString *out)
{
  const guint sessions = (guint) script_number (words, 4);
  guint *counts = g_new0 (guint, state->view->count);
  guint used = 0, most = 0;

  for (guint s = 0; s < script_number (words, 1); s++)
    {
      char *service = g_strdup_printf ("service-%u", s);
      OwnerRequest request
          = make_request (service, script_word (words, 2), (guint) script_number (words, 3));

      for (request.session = 0; request.session < sessions; request.session++)
        counts[service_owners_pick (state->view, &request, 0)]++;
      g_free (service);
    }
  for (guint i = 0; i < state->view->count; i++)
    {
      used += counts[i] > 0;
      most = MAX (most, counts[i]);
    }
  g_string_append_printf (out, "%u hosts, at most %u sessions\n", used, most);
  g_free (counts);
}

static void
print_set (const OwnerSet *set, GString *out)
{
  for (guint i = 0; i < set->count; i++)
    g_string_append_printf (out, "%" PRIu64 "%s", set->addresses[i], i + 1 < set->count ? " " : "");
  g_string_append (out, set->count == 0 ? "empty\n" : "\n");
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "fleet") == 0)
    make_fleet (state, words);
  else if (strcmp (verb, "lose") == 0)
    lose_host (state, script_word (words, 1));
  else if (strcmp (verb, "pick") == 0)
    pick (state, words, out);
  else if (strcmp (verb, "spread") == 0)
    print_spread (state, words, out);
  else if (strcmp (verb, "per_domain") == 0)
    g_string_append_printf (out, "%u\n",
                            service_owners_per_domain ((guint32) script_number (words, 1),
                                                       (guint32) script_number (words, 2)));
  else if (strcmp (verb, "add") == 0)
    owner_set_add (&state->set, (guint64) script_number (words, 1), script_number (words, 2));
  else if (strcmp (verb, "fill") == 0)
    for (guint i = 0; i < script_number (words, 1); i++)
      owner_set_add (&state->set, 1000 + i, script_number (words, 2));
  else if (strcmp (verb, "remove") == 0)
    owner_set_remove (&state->set, (guint64) script_number (words, 1));
  else if (strcmp (verb, "expire") == 0)
    owner_set_expire (&state->set, script_number (words, 1));
  else if (strcmp (verb, "count") == 0)
    g_string_append_printf (out, "%u\n", state->set.count);
  else if (strcmp (verb, "set") == 0)
    print_set (&state->set, out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_owners = { "owners", start, command, end };
