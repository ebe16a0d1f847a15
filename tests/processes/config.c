/* Pool daemons as processes, while the configuration changes and most of them don't reach the
 * store.
 *
 * CASE silent or refused: what all hosts but one get from the store. Prints how many versions were
 * not in force in time at that one, and how many hosts did not get the last one; an instance joins
 * too. CASE unproved: no host reaches the store when a version comes; prints how many hosts refuse
 * a database of it as unknown all the same. CASE stopped: the same for hosts that stand still
 * meanwhile, at the moment when they go on. CASE a number: a soak with that seed, in which the
 * store fails for some hosts or for all, and hosts are killed and frozen, all of it overlapping.
 * Prints how many versions were not in force in time at a host in touch, one that ran and reached
 * the store for some seconds, or refused as unknown at any.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-config CASE RECORD */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 9
/* The one whose id is the greatest, so that all others go before it. */
#define REACHES_STORE 0
#define VERSIONS 7
/* Databases of a version. */
#define DATABASES 12
#define SOAK_VERSIONS 256
/* At most so many hosts reach the store in a soak, whatever happens to the others. */
#define SOAK_REACHING 3
#define SOAK_MS 30000
/* Hosts that stand still. */
#define STOPPED 4
/* Callers give up opening a session after this time. */
#define OPEN_LIMIT_MS 2000
/* A host is in touch once it was undisturbed for so long. */
#define STABLE_MS 5000
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
} Version;

static Instance *joining;
/* A host, or how the store serves some of them. */
typedef struct
{
  int64_t disturbed_ms; /* last change */
  int64_t ends_ms;      /* of a disturbance; 0 for none under way */
} Disturbance;

static Version versions[SOAK_VERSIONS];
static int last_version;
static Disturbance host_trouble[HOSTS], store_trouble, behind_trouble;
static uint64_t random_state;
static int late, checks;

/* Version @number has the last databases up to shop@number. */
static void
put_version (int number)
{
  const int first = number < DATABASES ? 0 : number + 1 - DATABASES;
  char routes[4096] = "[";
  size_t length = 1;

  for (int i = first; i <= number; i++)
    length
        += (size_t) snprintf (routes + length, sizeof routes - length,
                              "%s{\"name\":\"r%d\",\"host\":\"shop%d\",\"prefix\":\"/\",\"type\":"
                              "\"primary\",\"timeout_ms\":1000,\"slo_ms\":500,\"priority\":0,"
                              "\"service\":\"orders\",\"max_attempts\":2}",
                              i == first ? "" : ",", i, i);
  snprintf (routes + length, sizeof routes - length, "]");
  world_put_config ((uint64_t) number + 1, routes, services);
  versions[number].acknowledged_ms = world_now_ms ();
  last_version = number;
  world_record ("change   version %d is acknowledged", number);
}

/* "" if the session was opened. */
static void
take_code (const Answer *answer, char *code, size_t size)
{
  snprintf (code, size, "%s",
            answer->state == 'I'    ? ""
            : *answer->code != '\0' ? answer->code
                                    : "?");
}

/* How a session for the last database of version @number opens at @host: "" if it does. */
static void
open_session (int number, int host, char *code, size_t size)
{
  static Client client;
  Answer answer = { .state = '\0' };
  char name[WORLD_TEXT];

  snprintf (name, sizeof name, "shop%d", number);
  client.fd = -1;
  if (client_connect (&client, host, name))
    answer = client_read (&client, OPEN_LIMIT_MS);
  client_close (&client);
  take_code (&answer, code, size);
  world_record ("check    version %d at %s: %s", number, world.hosts[host].name,
                *code == '\0' ? "in force" : code);
}

static bool
is_in_force (int number, int host)
{
  char code[WORLD_TEXT];

  open_session (number, host, code, sizeof code);
  return *code == '\0';
}

static bool
is_stable (const Disturbance *disturbance)
{
  return disturbance->ends_ms == 0 && world_now_ms () - disturbance->disturbed_ms >= STABLE_MS;
}

static bool
is_in_touch (int host)
{
  return is_stable (&host_trouble[host]) && is_stable (&store_trouble)
         && (!world.hosts[host].store_behind || is_stable (&behind_trouble));
}

/* No host may refuse the database as unknown, and a host in touch has no reason not to know. One
 * that can't open the session for another reason does not count. */
static bool
is_late (const Answer *answer, int host)
{
  return strcmp (answer->code, "NODB") == 0
         || (is_in_touch (host) && strstr (answer->reason, "out of date") != NULL);
}

/* At all hosts that run. */
static void
check_version_at_hosts (int number)
{
  static Client clients[HOSTS];
  char name[WORLD_TEXT];

  snprintf (name, sizeof name, "shop%d", number);
  for (int i = 0; i < HOSTS; i++)
    {
      clients[i].fd = -1;
      if (host_trouble[i].ends_ms == 0)
        client_connect (&clients[i], i, name);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      Answer answer;

      if (clients[i].fd < 0)
        continue;
      answer = client_read (&clients[i], OPEN_LIMIT_MS);
      client_close (&clients[i]);
      world_record ("check    version %d at %s: %s%s", number, world.hosts[i].name, answer.code,
                    answer.reason);
      checks++;
      late += is_late (&answer, i);
    }
}

static void
check_versions (bool soak)
{
  for (int i = 1; i <= last_version; i++)
    {
      Version *version = &versions[i];

      if (version->checked || world_now_ms () < version->acknowledged_ms + LIMIT_MS)
        continue;
      version->checked = true;
      if (soak)
        check_version_at_hosts (i);
      else
        late += !is_in_force (i, REACHES_STORE);
    }
}

static void
run_until (int64_t until_ms)
{
  while (world_now_ms () < until_ms)
    {
      check_versions (false);
      world_sleep_ms (PAUSE_MS);
    }
}

static void
start_world (const char *record, const bool *reaches_store)
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
      world.hosts[i].store_behind = !reaches_store[i];
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

static int
draw (int limit)
{
  uint64_t value = random_state += 0x9e3779b97f4a7c15;

  value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9;
  value = (value ^ value >> 27) * 0x94d049bb133111eb;
  return (int) ((value ^ value >> 31) % (uint64_t) limit);
}

static void
set_store (StoreState *state, Disturbance *disturbance, StoreState value, int64_t ends_ms)
{
  world_lock ();
  *state = value;
  world_unlock ();
  *disturbance = (Disturbance){ world_now_ms (), ends_ms };
  world_record ("change   the store %s %d", state == &world.store ? "is" : "is for some", value);
}

static void
disturb_host (int64_t now_ms)
{
  const int host = draw (HOSTS);
  const bool kill = draw (2) == 0;
  const int64_t duration_ms = kill ? draw (1500) : 300 + draw (2700);

  if (host_trouble[host].ends_ms != 0)
    return;
  world_signal_host (host, kill ? SIGKILL : SIGSTOP);
  host_trouble[host] = (Disturbance){ now_ms, now_ms + duration_ms };
}

static void
end_disturbances (int64_t now_ms, bool all)
{
  for (int i = 0; i < HOSTS; i++)
    {
      if (host_trouble[i].ends_ms == 0 || (now_ms < host_trouble[i].ends_ms && !all))
        continue;
      if (world.hosts[i].pid == 0)
        world_start_host (i);
      else
        world_signal_host (i, SIGCONT);
      host_trouble[i] = (Disturbance){ now_ms, 0 };
    }
  if (store_trouble.ends_ms != 0 && (now_ms >= store_trouble.ends_ms || all))
    set_store (&world.store, &store_trouble, STORE_SERVES, 0);
  if (all)
    set_store (&world.store_behind, &behind_trouble, STORE_SERVES, 0);
}

static void
draw_event (int64_t now_ms)
{
  const int kind = draw (10);
  const StoreState state = (StoreState) draw (3);

  if (kind < 6 && last_version + 1 < SOAK_VERSIONS)
    put_version (last_version + 1);
  else if (kind < 8)
    set_store (&world.store_behind, &behind_trouble, state, state == STORE_SERVES ? 0 : INT64_MAX);
  else if (kind < 9 && draw (3) == 0)
    set_store (&world.store, &store_trouble, draw (2) == 0 ? STORE_REFUSES : STORE_SILENT,
               now_ms + 300 + draw (2000));
  else
    disturb_host (now_ms);
}

static void
run_soak (uint64_t seed)
{
  const int64_t end_ms = world_now_ms () + SOAK_MS;
  int64_t next_ms = 0;

  for (int64_t now_ms = world_now_ms (); now_ms < end_ms; now_ms = world_now_ms ())
    {
      end_disturbances (now_ms, false);
      if (now_ms >= next_ms)
        {
          draw_event (now_ms);
          next_ms = now_ms + 100 + draw (900);
        }
      check_versions (true);
      world_sleep_ms (PAUSE_MS);
    }
  end_disturbances (end_ms, true);
  put_version (last_version + 1);
  world_sleep_ms (STABLE_MS);
  check_versions (true);
  printf ("seed %llu: %s, %d versions late in %d checks of %d versions\n",
          (unsigned long long) seed, late == 0 ? "held" : "broken", late, checks, last_version);
}

static void
run_cut_off (StoreState state)
{
  int lacking = 0;

  change_while_cut_off (state);
  for (int i = 0; i < HOSTS; i++)
    lacking += !is_in_force (VERSIONS, i);
  printf ("versions in force too late: %d\n", late);
  printf ("hosts without the last version: %d\n", lacking);
}

static int
count_hosts (int number, const char *wanted)
{
  char code[WORLD_TEXT];
  int found = 0;

  for (int i = 0; i < HOSTS; i++)
    {
      open_session (number, i, code, sizeof code);
      found += strcmp (code, wanted) == 0;
    }
  return found;
}

static void
run_unproved (void)
{
  set_store (&world.store, &store_trouble, STORE_SILENT, INT64_MAX);
  put_version (1);
  world_sleep_ms (LIMIT_MS + CHANGE_INTERVAL_MS);
  printf ("hosts that refuse an added database as unknown: %d\n", count_hosts (1, "NODB"));
  printf ("hosts that serve another one: %d\n", count_hosts (0, ""));
  set_store (&world.store, &store_trouble, STORE_SERVES, 0);
  world_sleep_ms (STABLE_MS);
  printf ("hosts that serve it when the store is back: %d\n", count_hosts (1, ""));
  printf ("hosts that refuse a database of no version as unknown: %d\n",
          count_hosts (VERSIONS, "NODB"));
}

/* The callers ask while the hosts still stand. */
static void
run_stopped (void)
{
  static Client clients[STOPPED];
  char code[WORLD_TEXT];
  int unknown = 0;
  int opened = 0;

  for (int i = 0; i < STOPPED; i++)
    client_dial (&clients[i], i);
  world_sleep_ms (PAUSE_MS * 10);
  for (int i = 0; i < STOPPED; i++)
    world_signal_host (i, SIGSTOP);
  put_version (1);
  world_sleep_ms (LIMIT_MS + CHANGE_INTERVAL_MS);
  for (int i = 0; i < STOPPED; i++)
    client_start (&clients[i], "shop1");
  for (int i = 0; i < STOPPED; i++)
    world_signal_host (i, SIGCONT);
  for (int i = 0; i < STOPPED; i++)
    {
      const Answer answer = client_read (&clients[i], OPEN_LIMIT_MS);

      take_code (&answer, code, sizeof code);
      world_record ("check    %s: %s", world.hosts[i].name, *code == '\0' ? "in force" : code);
      unknown += strcmp (code, "NODB") == 0;
      opened += *code == '\0';
      client_close (&clients[i]);
    }
  printf ("hosts that refuse an added database as unknown: %d\n", unknown);
  printf ("hosts that open it: %d\n", opened);
}

int
main (int count, char **arguments)
{
  bool reaches_store[HOSTS] = { false };
  uint64_t seed;

  if (count < 3)
    return 2;
  random_state = seed = strtoull (arguments[1], NULL, 10);
  reaches_store[REACHES_STORE] = seed == 0;
  if (strcmp (arguments[1], "unproved") == 0 || strcmp (arguments[1], "stopped") == 0)
    memset (reaches_store, true, sizeof reaches_store);
  for (int i = seed == 0 ? 0 : 1 + draw (SOAK_REACHING); i > 0; i--)
    reaches_store[draw (HOSTS)] = true;
  start_world (arguments[2], reaches_store);
  if (seed != 0)
    run_soak (seed);
  else if (strcmp (arguments[1], "unproved") == 0)
    run_unproved ();
  else if (strcmp (arguments[1], "stopped") == 0)
    run_stopped ();
  else
    run_cut_off (strcmp (arguments[1], "silent") == 0 ? STORE_SILENT : STORE_REFUSES);
  fflush (stdout);
  world_end (0);
}
