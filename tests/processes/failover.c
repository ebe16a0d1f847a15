/* Pool daemons as processes, while instances fail and the hosts that know what was acknowledged, or
 * that change the primary, end. Prints whether an acknowledged commit was lost and whether the
 * service is served again.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-failover CASE RECORD
 * [GAP_MS] */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
/* The host that acknowledges the commit. */
#define ACKNOWLEDGER 2
#define RESTART_MS 400
#define DARK_MS 3800
#define WATCH_MS 12000
#define STATEMENT_LIMIT_MS 2500
/* Fencing token of a change from term 1 to 2. */
#define LEFT_TOKEN ((uint64_t) 2 << 32 | 1 << 16 | 7)

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":32,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static Client clients[HOSTS];
static Instance *primary, *behind, *holder;

static void
start_world (const char *record)
{
  primary = world_add_instance ("orders", "i-primary", 0, 0);
  behind = world_add_instance ("orders", "i-behind", 5, 60);
  holder = world_add_instance ("orders", "i-holder", 2, 60);
  world_add_host ("front-1");
  world_add_host ("front-2");
  world_add_host ("front-3");
  world.promote_ms = 300;
  world_start (record);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    {
      clients[i].fd = -1;
      world_start_host (i);
    }
  world_wait_ready ();
  world_sleep_ms (2500);
}

/* Runs @text at @host, in a session that is opened if needed; whether it succeeded. */
static bool
ask (int host, const char *text)
{
  Client *client = &clients[host];
  Answer answer;

  if (client->fd < 0 && !client_open (client, host, "shop"))
    return false;
  answer = client_query (client, text, STATEMENT_LIMIT_MS);
  if (answer.closed || answer.timed_out || answer.state != 'I')
    client_close (client);
  return answer.complete;
}

static void
require (bool condition, const char *what)
{
  if (condition)
    return;
  world_record ("the case can't run: %s", what);
  printf ("the case can't run: %s\n", what);
  world_end (2);
}

/* Leaves a commit that only the primary, i-holder and one host know of. */
static void
acknowledge_write (void)
{
  require (ask (0, "QUERY 01 WRITE first one"), "the first write failed");
  for (int i = 0; i < HOSTS; i++)
    ask (i, "QUERY 02 READ first");
  world_sleep_ms (1500);
  world_lock ();
  behind->deaf = true;
  world_unlock ();
  world_sleep_ms (300);
  require (ask (ACKNOWLEDGER, "QUERY 03 WRITE order crate"), "the write was not acknowledged");
}

static void
lose_primary (void)
{
  world_lock ();
  world_crash_instance (primary);
  holder->dark = true;
  world_unlock ();
  world_record ("trouble  i-primary crashed, i-holder is dark");
}

static bool
is_write_lost (void)
{
  bool lost = false;

  world_lock ();
  for (int i = 0; i < world.instance_count; i++)
    lost |= world.instances[i].primary && world.instances[i].term > 1
            && world_find_entry (&world.instances[i], "order") < 0;
  world_unlock ();
  return lost;
}

/* Callers of the hosts that stay go on until i-holder has been back for some time. */
static void
watch (bool restart)
{
  const int64_t start_ms = world_now_ms ();
  bool restarted = !restart, lit = false, lost = false, served = false;

  while (!lost && world_now_ms () - start_ms < WATCH_MS)
    {
      const int64_t since_ms = world_now_ms () - start_ms;

      if (!restarted && since_ms >= RESTART_MS)
        {
          world_start_host (ACKNOWLEDGER);
          restarted = true;
        }
      if (!lit && since_ms >= DARK_MS)
        {
          world_lock ();
          holder->dark = behind->deaf = false;
          world_unlock ();
          lit = true;
        }
      served = false;
      for (int i = 0; i < ACKNOWLEDGER; i++)
        served |= ask (i, "QUERY 04 WRITE next one");
      lost = is_write_lost ();
      world_sleep_ms (50);
    }
  printf ("acknowledged write lost: %s\n", lost ? "yes" : "no");
  printf ("writes served again: %s\n", served ? "yes" : "no");
}

/* The host that acknowledged the write is killed and starts again. */
static void
kill_acknowledger (int gap_ms)
{
  acknowledge_write ();
  lose_primary ();
  world_signal_host (ACKNOWLEDGER, SIGKILL);
  client_close (&clients[ACKNOWLEDGER]);
  watch (true);
}

/* It leaves by SIGTERM; the primary is lost meanwhile. */
static void
end_acknowledger (int gap_ms)
{
  acknowledge_write ();
  client_close (&clients[ACKNOWLEDGER]);
  world_signal_host (ACKNOWLEDGER, SIGTERM);
  world_sleep_ms (gap_ms);
  lose_primary ();
  watch (false);
}

/* Pauses @instance the way that a host does which is gone by now. */
static void
leave_paused (Instance *instance)
{
  world_lock ();
  instance->pause_token = LEFT_TOKEN;
  world_unlock ();
}

/* Callers write at all hosts until every replica replicates again. */
static void
watch_pauses (void)
{
  const int64_t start_ms = world_now_ms ();
  bool paused = true, served = false;

  while ((paused || !served) && world_now_ms () - start_ms < WATCH_MS)
    {
      served = false;
      for (int i = 0; i < HOSTS; i++)
        served |= ask (i, "QUERY 05 WRITE next one");
      world_lock ();
      paused = behind->pause_token != 0 || holder->pause_token != 0;
      world_unlock ();
      world_sleep_ms (50);
    }
  printf ("replicas paused: %s\n", paused ? "yes" : "no");
  printf ("writes served again: %s\n", served ? "yes" : "no");
}

/* All hosts are killed while both replicas are paused, and the primary answers when they are back.
 */
static void
kill_while_paused (int gap_ms)
{
  require (ask (0, "QUERY 01 WRITE first one"), "the first write failed");
  for (int i = 0; i < HOSTS; i++)
    {
      world_signal_host (i, SIGKILL);
      client_close (&clients[i]);
    }
  leave_paused (behind);
  leave_paused (holder);
  world_sleep_ms (RESTART_MS);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  watch_pauses ();
}

/* One of two replicas stays paused: its host is gone, or its command to resume was lost. */
static void
leave_one_paused (int gap_ms)
{
  require (ask (0, "QUERY 01 WRITE first one"), "the first write failed");
  leave_paused (behind);
  watch_pauses ();
}

typedef struct
{
  const char *name;
  void (*run) (int gap_ms);
} Case;

static const Case cases[] = {
  { "killed", kill_acknowledger },
  { "ended", end_acknowledger },
  { "paused", kill_while_paused },
  { "one-paused", leave_one_paused },
};

int
main (int count, char **arguments)
{
  const int gap_ms = count < 4 ? 0 : atoi (arguments[3]);

  for (size_t i = 0; count >= 3 && i < sizeof cases / sizeof *cases; i++)
    if (strcmp (cases[i].name, arguments[1]) == 0)
      {
        start_world (arguments[2]);
        cases[i].run (gap_ms);
        fflush (stdout);
        world_end (0);
      }
  fprintf (stderr, "usage: pool-failover CASE RECORD [GAP_MS]\n");
  return 2;
}
