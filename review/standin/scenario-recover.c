/* A primary goes dark for a moment. While the hosts have both replicas paused and wait for the lease of a
 * host that is away, all host processes are killed; the primary answers again before they are back. */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
/* Of the three hosts, one is away from before the primary goes dark. */
#define LIVE 2
#define SESSIONS 4
#define DARK_LIMIT_MS 7000
#define DOWN_MS 800
#define RECOVERY_MS 12000
#define JUDGED_MS 15000

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"till\",\"prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2},"
      "{\"name\":\"r2\",\"host\":\"browse\",\"prefix\":\"/\",\"type\":\"bounded\",\"timeout_ms\":3000,"
      "\"slo_ms\":2500,\"priority\":2,\"service\":\"orders\",\"max_attempts\":2,"
      "\"max_staleness_ms\":1500}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":32,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static Client sessions[LIVE][SESSIONS];

static const char *
database_of (int session)
{
  return session % 2 == 0 ? "till" : "browse";
}

/* Each session asks once and waits; returns how many were served of *asked. */
static int
ask_all (int *asked)
{
  int served = 0;

  for (int host = 0; host < LIVE; host++)
    for (int i = 0; i < SESSIONS; i++)
      {
        Client *client = &sessions[host][i];
        Answer answer;

        if (client->fd < 0 && !client_open (client, host, database_of (i)))
          continue;
        answer = client_query (client, i == 0 ? "QUERY 1 WRITE wand one" : "QUERY 2 READ wand", 3500);
        (*asked)++;
        served += answer.complete;
        if (answer.closed || answer.timed_out || answer.state != 'I')
          client_close (client);
      }
  return served;
}

/* Asks for @for_ms; returns the share served, in percent. */
static int
serve_for (int64_t for_ms, const char *what)
{
  const int64_t until_ms = world_now_ms () + for_ms;
  int asked = 0, served = 0;

  while (world_now_ms () < until_ms)
    {
      served += ask_all (&asked);
      world_sleep_ms (20);
    }
  world_record ("result   %s: served %d of %d", what, served, asked);
  return asked == 0 ? 0 : served * 100 / asked;
}

static bool
both_paused (void)
{
  bool paused = true;

  world_lock ();
  for (int i = 1; i < world.instance_count; i++)
    paused &= world.instances[i].pause_token != 0 && world.instances[i].promote_at_ms == 0;
  world_unlock ();
  return paused;
}

int
main (int count, char **arguments)
{
  const bool trouble = getenv ("TROUBLE") == NULL || strcmp (getenv ("TROUBLE"), "0") != 0;
  Instance *primary;
  int64_t dark_ms;
  int before, after;

  if (count < 2)
    return 2;
  primary = world_add_instance ("orders", "i-primary", 0, 0);
  world_add_instance ("orders", "i-one", 2, 60);
  world_add_instance ("orders", "i-two", 3, 60);
  world_add_host ("front-1");
  world_add_host ("front-2");
  world_add_host ("front-3");
  world.promote_ms = 300;
  for (int host = 0; host < LIVE; host++)
    for (int i = 0; i < SESSIONS; i++)
      sessions[host][i].fd = -1;
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int host = 0; host < HOSTS; host++)
    world_start_host (host);
  world_wait_ready ();
  world_sleep_ms (1500);
  before = serve_for (3000, "before");
  if (trouble)
    {
      world_signal_host (LIVE, SIGKILL);
      world_sleep_ms (500);
      world_lock ();
      primary->dark = true;
      world_unlock ();
      dark_ms = world_now_ms ();
      world_record ("trouble  i-primary is dark");
      for (int host = 0; host < LIVE; host++)
        for (int i = 0; i < SESSIONS; i++)
          if (sessions[host][i].fd >= 0)
            client_send (&sessions[host][i], i % 2 == 0 ? "QUERY 3 WRITE wand two" : "QUERY 4 READ wand");
      while (!both_paused ())
        {
          if (world_now_ms () - dark_ms > DARK_LIMIT_MS)
            {
              world_record ("the hosts did not pause the replicas");
              world_end (2);
            }
          world_sleep_ms (1);
        }
      world_sleep_ms (300);
      if (!both_paused ())
        {
          world_record ("a replica was promoted too soon for this case");
          world_end (2);
        }
      world_record ("trouble  both replicas are paused: all processes are killed");
    }
  for (int host = 0; trouble && host < LIVE; host++)
    {
      world_signal_host (host, SIGKILL);
      for (int i = 0; i < SESSIONS; i++)
        client_close (&sessions[host][i]);
    }
  if (trouble)
    {
      world_sleep_ms (DOWN_MS / 2);
      world_lock ();
      primary->dark = false;
      world_unlock ();
      world_record ("trouble  i-primary answers again, after %lld ms",
                    (long long) (world_now_ms () - dark_ms));
      world_sleep_ms (DOWN_MS / 2);
      for (int host = 0; host < HOSTS; host++)
        world_start_host (host);
    }
  serve_for (RECOVERY_MS, "in the time for recovery");
  after = serve_for (JUDGED_MS, "after it");
  if (before >= 25 && after < 25)
    {
      world_record ("BROKEN   RECOVER: less than a quarter is served");
      world_end (1);
    }
  world_record ("held     %d percent served before, %d percent after", before, after);
  world_end (before >= 25 ? 0 : 2);
}
