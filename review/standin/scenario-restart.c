/* A host acknowledges a commit and is killed; the primary crashes while one replica receives
 * nothing, and the replica that has the commit is dark for some seconds. */
#include "world.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 3
/* The host that acknowledges the commit. */
#define ACKNOWLEDGER 2
#define DARK_MS 3800
#define RESTART_MS 400

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":32,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

int
main (int count, char **arguments)
{
  const bool trouble = getenv ("TROUBLE") == NULL || strcmp (getenv ("TROUBLE"), "0") != 0;
  static Client clients[HOSTS];
  Instance *primary, *behind, *holder;
  Answer answer;
  int64_t crashed_ms = 0;
  bool restarted = false, lit = false;
  int lost_at = -1;

  if (count < 2)
    return 2;
  primary = world_add_instance ("orders", "i-primary", 0, 0);
  behind = world_add_instance ("orders", "i-behind", 5, 60);
  holder = world_add_instance ("orders", "i-holder", 2, 60);
  world_add_host ("front-1");
  world_add_host ("front-2");
  world_add_host ("front-3");
  world.promote_ms = 300;
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (2500);
  for (int i = 0; i < HOSTS; i++)
    if (!client_open (&clients[i], i, "shop"))
      {
        world_record ("a consumer can't open a session");
        world_end (2);
      }
  /* Every host learns a position of the primary. */
  client_query (&clients[0], "QUERY 01 WRITE first one", 3000);
  for (int i = 0; i < HOSTS; i++)
    client_query (&clients[i], "QUERY 02 READ first", 3000);
  world_sleep_ms (1500);
  world_lock ();
  behind->deaf = trouble;
  world_unlock ();
  if (trouble)
    world_record ("trouble  i-behind receives nothing from now on");
  world_sleep_ms (300);
  answer = client_query (&clients[ACKNOWLEDGER], "QUERY 03 WRITE order crate", 3000);
  if (!answer.complete)
    {
      world_record ("the write was not acknowledged");
      world_end (2);
    }
  if (trouble)
    {
      world_lock ();
      world_crash_instance (primary);
      holder->dark = true;
      world_unlock ();
      world_signal_host (ACKNOWLEDGER, SIGKILL);
      world_record ("trouble  i-primary crashed, i-holder is dark");
    }
  crashed_ms = world_now_ms ();
  client_close (&clients[ACKNOWLEDGER]);
  while (world_now_ms () - crashed_ms < 15000)
    {
      const int64_t since_ms = world_now_ms () - crashed_ms;

      if (trouble && !restarted && since_ms >= RESTART_MS)
        {
          world_start_host (ACKNOWLEDGER);
          restarted = true;
        }
      if (trouble && !lit && since_ms >= DARK_MS)
        {
          world_lock ();
          holder->dark = false;
          behind->deaf = false;
          world_unlock ();
          world_record ("trouble  i-holder answers again, i-behind receives again");
          lit = true;
        }
      for (int i = 0; i < ACKNOWLEDGER; i++)
        {
          if (clients[i].fd < 0 && !client_open (&clients[i], i, "shop"))
            continue;
          answer = client_query (&clients[i], "QUERY 04 READ order", 2500);
          if (answer.closed || answer.timed_out || answer.state != 'I')
            client_close (&clients[i]);
        }
      world_lock ();
      for (int i = 0; i < world.instance_count; i++)
        if (world.instances[i].primary && world.instances[i].term > 1
            && world_find_entry (&world.instances[i], "order") < 0)
          lost_at = i;
      world_unlock ();
      if (lost_at >= 0)
        {
          world_record ("BROKEN   LOST: the acknowledged write of \"order\" isn't in the log of %s, "
                        "which was promoted",
                        world.instances[lost_at].id);
          world_end (1);
        }
      world_sleep_ms (50);
    }
  world_record ("held     the acknowledged write of \"order\" is in the log of the primary");
  world_end (0);
}
