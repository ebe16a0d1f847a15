/* Pool daemons as processes, while the configuration changes and most of them don't reach the
 * store. Prints how many versions were not in force in time at the host that reaches it, and how
 * many hosts did not get the last one. An instance joins too. CASE is silent or refused: what the
 * others get from the store.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-config CASE RECORD */
#include "world.h"

#include <stdio.h>
#include <string.h>

#define HOSTS 9
/* The one whose id is the greatest, so that all others go before it. */
#define REACHES_STORE 0
#define VERSIONS 7
#define SETTLE_MS 2500
#define CUT_OFF_MS 300
#define CHANGE_INTERVAL_MS 1100
/* In which a change has to be in force. */
#define LIMIT_MS 3000
#define PAUSE_MS 10

static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":64,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

typedef struct
{
  int64_t acknowledged_ms; /* 0 for not yet */
  bool checked;
  bool in_force;
} Version;

static Instance *joining;
static Version versions[VERSIONS + 1];

/* Version @number has the databases shop0 up to shop@number. */
static void
put_version (int number)
{
  char routes[4096] = "[";
  size_t length = 1;

  for (int i = 0; i <= number; i++)
    length
        += (size_t) snprintf (routes + length, sizeof routes - length,
                              "%s{\"name\":\"r%d\",\"host\":\"shop%d\",\"prefix\":\"/\",\"type\":"
                              "\"primary\",\"timeout_ms\":1000,\"slo_ms\":500,\"priority\":0,"
                              "\"service\":\"orders\",\"max_attempts\":2}",
                              i == 0 ? "" : ",", i, i);
  snprintf (routes + length, sizeof routes - length, "]");
  world_put_config ((uint64_t) number + 1, routes, services);
  versions[number].acknowledged_ms = world_now_ms ();
  world_record ("change   version %d is acknowledged", number);
}

static bool
is_in_force (int number, int host)
{
  static Client client;
  char name[WORLD_TEXT];
  bool opened;

  snprintf (name, sizeof name, "shop%d", number);
  client.fd = -1;
  opened = client_open (&client, host, name);
  client_close (&client);
  world_record ("check    version %d at %s: %s", number, world.hosts[host].name,
                opened ? "in force" : "refused");
  return opened;
}

static void
check_versions (void)
{
  for (int i = 1; i <= VERSIONS; i++)
    {
      Version *version = &versions[i];

      if (version->acknowledged_ms == 0 || version->checked
          || world_now_ms () < version->acknowledged_ms + LIMIT_MS)
        continue;
      version->checked = true;
      version->in_force = is_in_force (i, REACHES_STORE);
    }
}

static void
run_until (int64_t until_ms)
{
  while (world_now_ms () < until_ms)
    {
      check_versions ();
      world_sleep_ms (PAUSE_MS);
    }
}

static void
start_world (const char *record)
{
  world_add_instance ("orders", "i-primary", 0, 0);
  world_add_instance ("orders", "i-replica", 0, 0);
  joining = world_add_instance ("orders", "i-joining", 0, 0);
  joining->absent = true;
  for (int i = 0; i < HOSTS; i++)
    {
      char name[WORLD_TEXT];

      snprintf (name, sizeof name, "front-%d", i + 1);
      world_add_host (name);
      world.hosts[i].store_behind = i != REACHES_STORE;
    }
  world.owners_from = 2;
  world.quiet = true;
  world_start (record);
  put_version (0);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (SETTLE_MS);
}

static void
change_while_cut_off (StoreState state)
{
  world_lock ();
  world.store_behind = state;
  world_unlock ();
  world_record ("change   the store is out of reach for all hosts but one");
  world_sleep_ms (CUT_OFF_MS);
  world_restore_instance (joining);
  world_list_instance (joining, true);
  for (int i = 1; i <= VERSIONS; i++)
    {
      put_version (i);
      run_until (versions[i].acknowledged_ms + CHANGE_INTERVAL_MS);
    }
  run_until (versions[VERSIONS].acknowledged_ms + LIMIT_MS + CHANGE_INTERVAL_MS);
}

int
main (int count, char **arguments)
{
  int late = 0, lacking = 0;

  if (count < 3)
    return 2;
  start_world (arguments[2]);
  change_while_cut_off (strcmp (arguments[1], "silent") == 0 ? STORE_SILENT : STORE_REFUSES);
  for (int i = 1; i <= VERSIONS; i++)
    late += !versions[i].in_force;
  for (int i = 0; i < HOSTS; i++)
    lacking += !is_in_force (VERSIONS, i);
  printf ("versions in force too late: %d\n", late);
  printf ("hosts without the last version: %d\n", lacking);
  fflush (stdout);
  world_end (0);
}
