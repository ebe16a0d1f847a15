/* A rolling restart reaches a machine that serves sessions for another one, which stands still.
 *
 *   WORLD_BINARY=target/peridotstep WORLD_DIRECTORY=DIRECTORY owner RECORD TROUBLE
 *
 * With TROUBLE 0 no machine stands still. Exits with 1 if a consumer gets more than one COMPLETE or
 * ERROR for a statement, 0 if none does, and 2 if the case can't run. */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sessions are forwarded in fleets of 33 machines and more. */
#define HOSTS 34
/* Machines that stand still: a share of 0.11. */
#define ENTRIES 3
#define SESSIONS 6
#define ROUNDS 3
#define FREEZE_MS 3500
#define TERM_MS 200
/* Consumers send their statements, after the standstill has begun. */
#define SEND_MS 700
#define LIMIT_MS 8000
#define RESTART_MS 8000

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":151,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static Client clients[ENTRIES][SESSIONS];
static int entries[ENTRIES];
static int broken, answered;

/* Opens sessions at machines that forward them; returns the machine that serves most, or -1. */
static int
open_sessions (void)
{
  int served[HOSTS] = { 0 };
  int owner = -1, count = 0;

  for (int host = 0; host < HOSTS && count < ENTRIES; host++)
    {
      int found = 0;

      if (world.hosts[host].pid == 0)
        continue;
      for (int i = 0; i < SESSIONS; i++)
        {
          if (!client_open (&clients[count][i], host, "shop"))
            return -1;
          client_query (&clients[count][i], "QUERY b1 READ item", LIMIT_MS);
        }
      for (int i = 0; i < HOSTS; i++)
        if (i != host && world.hosts[i].pid > 0 && world_forwards (host, i))
          {
            served[i]++;
            found++;
          }
      if (found > 0)
        entries[count++] = host;
      else
        for (int i = 0; i < SESSIONS; i++)
          client_close (&clients[count][i]);
    }
  for (int i = 0; i < HOSTS; i++)
    if (served[i] > 0 && (owner < 0 || served[i] > served[owner]))
      owner = i;
  return count == ENTRIES ? owner : -1;
}

static void
signal_entries (int number, const char *what)
{
  for (int k = 0; k < ENTRIES; k++)
    {
      kill (world.hosts[entries[k]].pid, number);
      world_record ("trouble  %s %s", world.hosts[entries[k]].name, what);
    }
}

/* Whether the machine is one of those that stand still. */
static bool
is_entry (int host)
{
  for (int k = 0; k < ENTRIES; k++)
    if (entries[k] == host)
      return true;
  return false;
}

static void
run_round (int round, bool trouble)
{
  const int owner = open_sessions ();
  int64_t frozen_ms;
  char text[64];

  if (owner < 0 || is_entry (owner))
    world_end (2);
  world_record ("sessions are served by %s", world.hosts[owner].name);
  world_sleep_ms (500);
  frozen_ms = world_now_ms ();
  if (trouble)
    signal_entries (SIGSTOP, "stands still");
  world_sleep_ms (TERM_MS);
  world_signal_host (owner, SIGTERM);
  world_sleep_ms (SEND_MS - TERM_MS);
  for (int k = 0; k < ENTRIES; k++)
    for (int i = 0; i < SESSIONS; i++)
      {
        snprintf (text, sizeof text, "QUERY c%d%d%02d WRITE item-%d-%d-%d one", round, k, i, round, k,
                  i);
        world_record ("sent     %s", text);
        client_send (&clients[k][i], text);
      }
  world_sleep_ms (FREEZE_MS - (world_now_ms () - frozen_ms));
  if (trouble)
    signal_entries (SIGCONT, "goes on");
  for (int k = 0; k < ENTRIES; k++)
    for (int i = 0; i < SESSIONS; i++)
      {
        const Answer answer = client_read (&clients[k][i], LIMIT_MS);

        world_record ("answered c%d%d%02d: %s, state %c, %d messages that end it", round, k, i,
                      answer.complete ? answer.receipt : answer.code,
                      answer.state == '\0' ? '-' : answer.state, answer.ends);
        answered += answer.state != '\0';
        client_close (&clients[k][i]);
        if (answer.ends <= 1)
          continue;
        broken++;
        world_record ("BROKEN   MIXED: this is no answer in the protocol");
      }
  if (broken > 0 || round + 1 == ROUNDS)
    return;
  world_sleep_ms (RESTART_MS);
  world_reap_host (owner);
  world_start_host (owner);
  world_sleep_ms (RESTART_MS);
}

int
main (int count, char **arguments)
{
  char name[16];
  bool trouble;

  if (count < 3)
    return 2;
  trouble = atoi (arguments[2]) != 0;
  world_add_instance ("orders", "i-a", 0, 0);
  world_add_instance ("orders", "i-b", 2, 20);
  world_add_instance ("orders", "i-c", 2, 20);
  for (int i = 0; i < HOSTS; i++)
    {
      snprintf (name, sizeof name, "front-%d", i + 1);
      world_add_host (name);
    }
  world.memory_limit_mb = 160;
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (RESTART_MS);
  for (int round = 0; round < ROUNDS && broken == 0; round++)
    run_round (round, trouble);
  printf ("answered: %d, not in the protocol: %d\n", answered, broken);
  fflush (stdout);
  world_end (broken > 0 ? 1 : 0);
}
