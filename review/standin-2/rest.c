/* Consumers that rest inside transactions take all places of two machines.
 *
 *   WORLD_BINARY=target/peridotstep WORLD_DIRECTORY=DIRECTORY rest RECORD TROUBLE
 *
 * With TROUBLE 0 the same consumers rest outside transactions. Exits with 1 if no ordinary request is
 * served while they are there, 0 if one is at each machine, and 2 if the case can't run. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 2
/* Leaves each machine (340 - 250) / 2 = 45 places. */
#define DESCRIPTOR_LIMIT 340
#define CROWD 60
/* Over the limit for an idle transaction, 3 s. */
#define SETTLE_MS 8000
#define WATCH_MS 45000
#define READY_MS 2000
#define LIMIT_MS 3000

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":50,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static Client crowd[HOSTS][CROWD];

static void
send_crowd (bool trouble)
{
  int opened = 0;

  for (int i = 0; i < CROWD; i++)
    for (int host = 0; host < HOSTS; host++)
      {
        Client *client = &crowd[host][i];

        if (!client_connect (client, host, "shop"))
          continue;
        if (client_read (client, 300).state != 'I')
          continue;
        opened++;
        if (trouble)
          client_query (client, "QUERY b1 BEGIN", LIMIT_MS);
      }
  world_record ("trouble  %d consumers are in, and rest%s", opened,
                trouble ? " inside their transactions" : "");
}

/* Whether an ordinary consumer is served at @host. */
static bool
serve_ordinary (int host, int number)
{
  Client client = { .fd = -1 };
  bool served = false;
  char text[64];

  if (client_connect (&client, host, "shop") && client_read (&client, READY_MS).state == 'I')
    {
      snprintf (text, sizeof text, "QUERY o%d%03d READ item-1", host, number);
      served = client_query (&client, text, LIMIT_MS).complete;
    }
  else
    world_record ("answered START at %s: no READY within %d ms", world.hosts[host].name, READY_MS);
  client_close (&client);
  return served;
}

int
main (int count, char **arguments)
{
  int64_t since_ms;
  int served[HOSTS] = { 0 }, tried[HOSTS] = { 0 }, all = 0;
  bool trouble;

  if (count < 3)
    return 2;
  trouble = atoi (arguments[2]) != 0;
  world_add_instance ("orders", "i-a", 0, 0);
  world_add_instance ("orders", "i-b", 2, 20);
  world_add_instance ("orders", "i-c", 2, 20);
  for (int i = 0; i < HOSTS; i++)
    world_add_host ((const char *[]){ "front-1", "front-2" }[i]);
  world.memory_limit_mb = 260;
  world.descriptor_limit = DESCRIPTOR_LIMIT;
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (2500);
  send_crowd (trouble);
  world_sleep_ms (SETTLE_MS);
  since_ms = world_now_ms ();
  while (world_now_ms () - since_ms < WATCH_MS && (served[0] == 0 || served[1] == 0))
    for (int host = 0; host < HOSTS; host++)
      {
        tried[host]++;
        served[host] += serve_ordinary (host, tried[host]);
      }
  for (int host = 0; host < HOSTS; host++)
    {
      all += served[host];
      world_record ("result   %s served %d of %d ordinary requests; ready: %s",
                    world.hosts[host].name, served[host], tried[host],
                    world_host_ready (host) ? "yes" : "no");
      printf ("%s served %d of %d\n", world.hosts[host].name, served[host], tried[host]);
    }
  fflush (stdout);
  world_end (all == 0 ? 1 : 0);
}
