/* Consumers read a large result; each retry goes to another machine.
 *
 *   WORLD_BINARY=target/peridotstep WORLD_DIRECTORY=DIRECTORY large RECORD TROUBLE
 *
 * With TROUBLE 0 the result has a single row. The harness kills and restarts a process that exceeds
 * the memory of its machine, as the platform does. Exits with 1 if the processes of at least two
 * machines end three times, 0 if they don't, and 2 if the case can't run. */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define HOSTS 3
#define MEMORY_MB 260
#define LARGE_ROWS 150
#define OPERATIONS 3
#define RETRIES 2
#define STATEMENT_MS 3000
#define RESTART_MS 500

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"bounded\",\"max_staleness_ms\":1500,\"timeout_ms\":3000,"
      "\"slo_ms\":2500,\"priority\":2,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":50,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static int ends[HOSTS];
static long peak_mb[HOSTS];

static long
resident_mb (pid_t pid)
{
  char path[64];
  long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int) pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*d %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages / 256;
}

/* Ends processes that exceed the memory of their machines; true if one ended. */
static bool
check_memory (void)
{
  bool ended = false;

  for (int i = 0; i < HOSTS; i++)
    {
      HostProcess *host = &world.hosts[i];
      const long mb = host->pid > 0 ? resident_mb (host->pid) : 0;

      if (mb > peak_mb[i])
        peak_mb[i] = mb;
      if (mb <= MEMORY_MB)
        continue;
      world_record ("platform %s holds %ld MB of %d MB and is killed", host->name, mb, MEMORY_MB);
      world_signal_host (i, SIGKILL);
      ends[i]++;
      ended = true;
    }
  return ended;
}

static void
restart_hosts (void)
{
  world_sleep_ms (RESTART_MS);
  for (int i = 0; i < HOSTS; i++)
    if (world.hosts[i].pid == 0)
      world_start_host (i);
  world_wait_ready ();
}

/* One attempt of an operation at @host; whether it succeeded. */
static bool
read_result (int host, int number)
{
  Client client = { .fd = -1 };
  const int64_t until_ms = world_now_ms () + STATEMENT_MS + 500;
  Answer answer = { .timed_out = true };
  char text[64];

  if (!client_open (&client, host, "shop"))
    return false;
  snprintf (text, sizeof text, "QUERY a%02d%d READ big", number, host);
  world_record ("sent     %s at %s", text, world.hosts[host].name);
  client_send (&client, text);
  while (answer.timed_out && world_now_ms () < until_ms)
    {
      answer = client_read (&client, 5);
      if (check_memory ())
        break;
    }
  world_record ("answered %s: %s%s%s", text, answer.complete ? "COMPLETE" : answer.code,
                answer.closed ? "connection closed" : "", answer.timed_out ? "no answer" : "");
  client_close (&client);
  return answer.complete;
}

int
main (int count, char **arguments)
{
  Instance *primary;
  int machines = 0;
  bool trouble, served = false;

  if (count < 3)
    return 2;
  trouble = atoi (arguments[2]) != 0;
  primary = world_add_instance ("orders", "i-a", 0, 0);
  world_add_instance ("orders", "i-b", 2, 60);
  world_add_instance ("orders", "i-c", 2, 60);
  for (int i = 0; i < world.instance_count; i++)
    world.instances[i].big_rows = trouble ? LARGE_ROWS : 1;
  for (int i = 0; i < HOSTS; i++)
    world_add_host ((const char *[]){ "front-1", "front-2", "front-3" }[i]);
  (void) primary;
  world.memory_limit_mb = MEMORY_MB;
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (2500);
  for (int number = 0; number < OPERATIONS; number++)
    for (int attempt = 0; attempt <= RETRIES; attempt++)
      {
        if (read_result ((number + attempt) % HOSTS, number))
          {
            served = true;
            break;
          }
        restart_hosts ();
        world_sleep_ms (1500);
      }
  for (int i = 0; i < HOSTS; i++)
    {
      machines += ends[i] >= 3;
      printf ("%s: %d ends, at most %ld MB\n", world.hosts[i].name, ends[i], peak_mb[i]);
      world_record ("result   %s ended %d times, and held %ld MB at most", world.hosts[i].name,
                    ends[i], peak_mb[i]);
    }
  fflush (stdout);
  if (!trouble && !served)
    world_end (2);
  world_end (machines >= 2 ? 1 : 0);
}
