/**
 * DOC: Membership policies of many hosts on a simulated network; commands advance the time.
 */
#include <string.h>

#include "policy/membership.h"
#include "script.h"

#define HOSTS_MAX 40
#define STEP_MS 10

typedef struct
{
  Membership *hosts[HOSTS_MAX];
  bool dead[HOSTS_MAX];
  bool partitioned[HOSTS_MAX]; /* in the minority side of a partition */
  guint count;
  gint64 now_ms;
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

  for (guint i = 0; i < state->count; i++)
    membership_free (state->hosts[i]);
  g_free (state);
}

static Host
host_of (guint index)
{
  Host host = { .link_port = (uint16_t) index };

  g_snprintf (host.id, sizeof host.id, "h%u", index);
  g_strlcpy (host.failure_domain, index % 2 == 0 ? "d0" : "d1", sizeof host.failure_domain);
  host.id_hash = host_hash (host.id);
  return host;
}

static Membership *
make_host (guint index, guint64 incarnation)
{
  const MembershipOptions options = { .self = host_of (index),
                                      .incarnation = incarnation,
                                      .probe_interval_ms = 250,
                                      .probe_timeout_ms = 100,
                                      .suspect_ms = 1200,
                                      .indirect_probes = 2,
                                      .seed = index + 1 };

  return membership_new (&options);
}

static void
seed_host (State *state, guint index)
{
  // The platform's list is out of date and names only the first host.
  const Host first = host_of (0);
  const Host second = host_of (1);

  membership_seed (state->hosts[index], index == 0 ? &second : &first);
}

static void
add_hosts (State *state, guint count)
{
  for (guint i = 0; i < count; i++, state->count++)
    state->hosts[state->count] = make_host (state->count, 1);
  for (guint i = 0; i < state->count; i++)
    seed_host (state, i);
}

static void
deliver (State *state, guint from)
{
  GossipMessage message;
  Host to;

  while (membership_next_message (state->hosts[from], &message, &to))
    {
      guint target = to.link_port;

      if (state->dead[from] || state->dead[target]
          || state->partitioned[from] != state->partitioned[target])
        continue;
      membership_receive (state->hosts[target], &message, state->now_ms);
    }
}

static void
run (State *state, gint64 duration_ms)
{
  for (gint64 end_ms = state->now_ms + duration_ms; state->now_ms < end_ms;
       state->now_ms += STEP_MS)
    {
      for (guint i = 0; i < state->count; i++)
        if (!state->dead[i])
          membership_tick (state->hosts[i], state->now_ms);
      for (guint round = 0; round < 3; round++)
        for (guint i = 0; i < state->count; i++)
          deliver (state, i);
    }
}

/* For each size of a view, the number of live hosts that have it. */
static void
print_views (State *state, GString *out)
{
  guint hosts_by_view_size[HOSTS_MAX + 1] = { 0 };

  for (guint i = 0; i < state->count; i++)
    {
      HostView *view = membership_view (state->hosts[i]);

      if (!state->dead[i])
        hosts_by_view_size[view->count]++;
      g_free (view);
    }
  for (guint i = 0; i <= HOSTS_MAX; i++)
    if (hosts_by_view_size[i] > 0)
      g_string_append_printf (out, "%u hosts see %u\n", hosts_by_view_size[i], i);
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];
  guint index = (guint) script_number (words, 1);

  if (strcmp (verb, "hosts") == 0)
    add_hosts (state, index);
  else if (strcmp (verb, "run") == 0)
    run (state, script_number (words, 1));
  else if (strcmp (verb, "views") == 0)
    print_views (state, out);
  else if (strcmp (verb, "kill") == 0)
    state->dead[index] = true;
  else if (strcmp (verb, "restart") == 0)
    {
      membership_free (state->hosts[index]);
      state->hosts[index] = make_host (index, (guint64) script_number (words, 2));
      state->dead[index] = false;
      seed_host (state, index);
    }
  else if (strcmp (verb, "partition") == 0)
    state->partitioned[index] = strcmp (script_word (words, 2), "off") != 0;
  else if (strcmp (verb, "leave") == 0)
    membership_leave (state->hosts[index]);
  else if (strcmp (verb, "state") == 0)
    g_string_append_printf (out, "%s\n",
                            membership_state_name (membership_state_of (
                                state->hosts[script_number (words, 2)], host_of (index).id)));
  else if (strcmp (verb, "recovered") == 0)
    {
      guint count = 0;
      Host peer;

      for (guint i = 0; i < state->count; i++)
        count += membership_take_recovered_peer (state->hosts[i], &peer) ? 1 : 0;
      g_string_append_printf (out, "%s\n", count > 0 ? "some" : "none");
    }
  else if (strcmp (verb, "reaches-majority") == 0)
    g_string_append_printf (out, "%s\n",
                            membership_reaches_majority (state->hosts[index]) ? "yes" : "no");
  else if (strcmp (verb, "version") == 0)
    membership_set_config_version (state->hosts[index], (guint64) script_number (words, 2));
  else if (strcmp (verb, "newer") == 0)
    {
      Host peer;

      g_string_append_printf (out, "%s\n",
                              membership_peer_with_newer_config (
                                  state->hosts[index], (guint64) script_number (words, 2), &peer)
                                  ? "known"
                                  : "none");
    }
  else
    g_string_append (out, "unknown command\n");
}

const ScriptKind script_membership = { "membership", start, command, end };
