/* Pool daemons as processes, around a replica that is leaving: while the staying replicas receive
 * nothing it alone confirms commits, then it is gone, and a host starts that never knew it. Prints
 * whether an acknowledged write was lost and whether the service is served again.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-departure CASE RECORD */
#include "load.h"
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define HOSTS 3
#define STAYING 2
#define SETTLE_MS 2500
#define PAUSE_MS 40
#define JOIN_MS 3000
#define ALONE_MS 1500
#define ALONE_LIMIT_MS 20000
/* Writes that only the primary and the leaving replica have. */
#define ALONE_WRITES 20
#define STOP_LIMIT_MS 30000
#define DARK_MS 6000
#define CUT_MS 12000
#define SERVED_LIMIT_MS 30000
#define CHECK_MS 20

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":64,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static Instance *primary, *leaving, *staying[STAYING];

static void
start_world (const char *record, int first_hosts)
{
  const LoadTarget target = { "shop", "orders" };

  primary = world_add_instance ("orders", "i-primary", 0, 0);
  leaving = world_add_instance ("orders", "i-leaving", 2, 60);
  staying[0] = world_add_instance ("orders", "i-staying", 5, 60);
  staying[1] = world_add_instance ("orders", "i-new", 3, 60);
  staying[1]->absent = true;
  for (int i = 1; i <= HOSTS + 1; i++)
    {
      char name[WORLD_TEXT];

      snprintf (name, sizeof name, "front-%d", i);
      world_add_host (name);
    }
  world.promote_ms = 300;
  world.quiet = true;
  world_start (record);
  world_put_config (1, routes, services);
  for (int i = 0; i < first_hosts; i++)
    world_start_host (i);
  world_wait_ready ();
  load_start (&target, 1, 2, PAUSE_MS);
  world_sleep_ms (SETTLE_MS);
}

static void
require (bool condition, const char *what)
{
  if (condition)
    return;
  world_record ("the case can't run: %s", what);
  printf ("the case can't run: %s\n", what);
  fflush (stdout);
  world_end (2);
}

static void
set_deaf (bool deaf)
{
  world_lock ();
  for (int i = 0; i < STAYING; i++)
    staying[i]->deaf = deaf;
  world_unlock ();
  world_record ("trouble  the staying replicas receive %s", deaf ? "nothing" : "again");
}

static void
set_dark (bool dark)
{
  world_lock ();
  primary->dark = dark;
  world_unlock ();
  world_record ("trouble  i-primary is %s", dark ? "dark" : "back");
}

/* A new replica joins, the old one announces that it leaves, and confirms writes alone. */
static void
replace_replica (void)
{
  int64_t since_ms;

  world_restore_instance (staying[1]);
  world_list_instance (staying[1], true);
  world_record ("change   i-new joins");
  world_sleep_ms (JOIN_MS);
  leaving->leaving = true;
  world_list_instance (leaving, true);
  world_record ("change   i-leaving is leaving");
  world_sleep_ms (JOIN_MS);
  set_deaf (true);
  since_ms = world_now_ms ();
  while (world_now_ms () - since_ms < ALONE_MS
         || (load_served_since (0, since_ms) < ALONE_WRITES
             && world_now_ms () - since_ms < ALONE_LIMIT_MS))
    world_sleep_ms (50);
  require (load_served_since (0, since_ms) >= ALONE_WRITES, "too few writes were acknowledged");
}

static void
lose_leaving (void)
{
  world_lock ();
  world_crash_instance (leaving);
  world_unlock ();
  world_list_instance (leaving, false);
  world_record ("change   i-leaving is gone");
}

static void
stop_host (int host)
{
  const int64_t start_ms = world_now_ms ();

  world_signal_host (host, SIGTERM);
  while (waitpid (world.hosts[host].pid, NULL, WNOHANG) == 0)
    {
      require (world_now_ms () - start_ms < STOP_LIMIT_MS, "a host does not end");
      world_sleep_ms (20);
    }
  world.hosts[host].pid = 0;
}

static void
restart_hosts (const char *how)
{
  if (strcmp (how, "killed") == 0 || strcmp (how, "all-killed") == 0)
    for (int i = 0; i < (strcmp (how, "killed") == 0 ? 1 : HOSTS); i++)
      world_signal_host (i, SIGKILL);
  else if (strcmp (how, "stopped") == 0)
    stop_host (0);
  for (int i = 0; i < HOSTS + (strcmp (how, "added") == 0); i++)
    if (world.hosts[i].pid == 0)
      world_start_host (i);
}

static void
watch (bool is_dark)
{
  const int64_t start_ms = world_now_ms ();
  int64_t healed_ms = 0;
  bool served = false;
  int lost = -1, instance = 0;

  while (lost < 0 && !served && (healed_ms == 0 || world_now_ms () - healed_ms < SERVED_LIMIT_MS))
    {
      const int64_t since_ms = world_now_ms () - start_ms;

      if (is_dark && since_ms >= DARK_MS)
        {
          set_dark (false);
          is_dark = false;
        }
      if (healed_ms == 0 && since_ms >= CUT_MS)
        {
          set_deaf (false);
          healed_ms = world_now_ms ();
        }
      lost = load_find_lost (&instance);
      served = healed_ms > 0 && load_served_since (0, healed_ms) >= ALONE_WRITES;
      world_sleep_ms (CHECK_MS);
    }
  if (lost >= 0)
    world_record ("lost     w%d is not in the log of %s", lost, world.instances[instance].id);
  printf ("acknowledged write lost: %s\n", lost >= 0 ? "yes" : "no");
  printf ("writes served again: %s\n", served ? "yes" : "no");
}

/* The cases: how a host starts anew, and whether the primary is dark for some time. */
static const struct
{
  const char *name;
  const char *how;
  bool is_dark;
} cases[] = {
  { "killed", "killed", false },
  { "stopped", "stopped", false },
  { "all-killed", "all-killed", false },
  { "added", "added", false },
  { "killed-dark", "killed", true },
  { "stopped-dark", "stopped", true },
  { "all-killed-dark", "all-killed", true },
  { "added-dark", "added", true },
};

int
main (int count, char **arguments)
{
  for (size_t i = 0; count >= 3 && i < sizeof cases / sizeof *cases; i++)
    if (strcmp (cases[i].name, arguments[1]) == 0)
      {
        start_world (arguments[2], HOSTS);
        replace_replica ();
        lose_leaving ();
        if (cases[i].is_dark)
          set_dark (true);
        restart_hosts (cases[i].how);
        watch (cases[i].is_dark);
        fflush (stdout);
        world_end (0);
      }
  fprintf (stderr, "usage: pool-departure CASE RECORD\n");
  return 2;
}
