/* A zone loses power, with a primary and a machine in it, and the machine that changes the primary
 * stands still meanwhile.
 *
 *   WORLD_BINARY=target/peridotstep WORLD_DIRECTORY=DIRECTORY freeze RECORD TROUBLE
 *
 * TROUBLE 0 leaves out the standstill. Exits with 1 if the platform was sent a lower generation
 * number than it had seen, 0 if it was not, and 2 if the case can't run. */
#include "world.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 4
/* In the zone that loses power. */
#define DARK_HOST 3
#define DARK_MS 3500
#define CRASH_MS 7000
#define FREEZE_MS 5600
/* To an instance and back. */
#define COMMAND_MS 2
/* From the pauses on: the answers to them have come. */
#define SETTLED_MS 100
#define STATEMENT_LIMIT_MS 2500

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":32,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static Instance *primary;
static bool trouble, ending;
static int64_t paused_ms, frozen_ms;
static int pauser = -1, frozen = -1;

/* The machine stands still while the answer to its question is on its way. */
static void
on_command (const Instance *instance, const char *text, int port)
{
  if (instance == primary || !trouble || frozen >= 0)
    return;
  if (strncmp (text, "PAUSE", 5) == 0 && paused_ms == 0)
    {
      paused_ms = world_now_ms ();
      pauser = world_find_host (instance, port);
    }
  if (paused_ms == 0 || pauser < 0 || strcmp (text, "STATUS") != 0
      || world_now_ms () - paused_ms < SETTLED_MS || world_find_host (instance, port) != pauser)
    return;
  world_sleep_ms (1);
  frozen_ms = world_now_ms ();
  frozen = pauser;
  kill (world.hosts[frozen].pid, SIGSTOP);
  world_record ("trouble  %s stands still; its question has reached %s", world.hosts[frozen].name,
                instance->id);
}

/* The callers of this service are at two machines; a third one is the first to change its primary. */
static const int caller_hosts[] = { 0, 2 };
#define CALLERS 2

static void *
run_caller (void *data)
{
  const int host = (int) (intptr_t) data;
  Client client = { .fd = -1 };
  char text[96];

  for (int number = 0; !ending; number++)
    {
      Answer answer;

      if (client.fd < 0 && !client_open (&client, host, "shop"))
        {
          client.fd = -1;
          world_sleep_ms (100);
          continue;
        }
      snprintf (text, sizeof text, "QUERY %d%06d WRITE item-%d-%d one", host + 1, number, host,
                number);
      answer = client_query (&client, text, STATEMENT_LIMIT_MS);
      if (answer.closed || answer.timed_out || answer.state != 'I')
        client_close (&client);
      world_sleep_ms (answer.complete ? 20 : 60);
    }
  return NULL;
}

int
main (int count, char **arguments)
{
  pthread_t callers[CALLERS];
  bool back = false, restored = false, awake = false;
  int64_t since_ms;

  if (count < 3)
    return 2;
  trouble = atoi (arguments[2]) != 0;
  primary = world_add_instance ("orders", "i-a", 0, 0);
  world_add_instance ("orders", "i-b", 2, 60);
  world_add_instance ("orders", "i-c", 2, 60);
  for (int i = 0; i < HOSTS; i++)
    world_add_host ((const char *[]){ "front-1", "front-2", "front-3", "front-4" }[i]);
  world.promote_ms = 600;
  world.command_ms = COMMAND_MS;
  world.on_command = on_command;
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (2000);
  for (int i = 0; i < CALLERS; i++)
    pthread_create (&callers[i], NULL, run_caller, (void *) (intptr_t) caller_hosts[i]);
  world_sleep_ms (3000);
  world_lock ();
  world_crash_instance (primary);
  world_unlock ();
  world_signal_host (DARK_HOST, SIGKILL);
  world_record ("trouble  a zone has lost power: i-a and front-4");
  since_ms = world_now_ms ();
  while (world_now_ms () - since_ms < 14000)
    {
      const int64_t now_ms = world_now_ms ();

      world_sleep_ms (5);
      if (!back && now_ms - since_ms >= DARK_MS)
        {
          world_start_host (DARK_HOST);
          back = true;
        }
      if (!restored && now_ms - since_ms >= CRASH_MS)
        {
          world_restore_instance (primary);
          world_record ("trouble  i-a is back");
          restored = true;
        }
      if (frozen >= 0 && !awake && now_ms - frozen_ms >= FREEZE_MS)
        {
          kill (world.hosts[frozen].pid, SIGCONT);
          world_record ("trouble  %s goes on", world.hosts[frozen].name);
          awake = true;
        }
    }
  ending = true;
  world_sleep_ms (300);
  printf ("promotions: %d, lower generations: %d, shared: %d\n", world.promotions,
          world.lower_tokens, world.shared_tokens);
  fflush (stdout);
  if (world.promotions == 0 || (trouble && frozen < 0))
    world_end (2);
  world_end (world.lower_tokens > 0 || world.shared_tokens > 0 ? 1 : 0);
}
