/* Pool daemons as processes, around a primary that is replaced while some hosts don't hear of it in
 * time. Prints whether a read lacked a commit that was acknowledged before the read was sent (on
 * the bounded route: longer before it than the bound), and whether all hosts serve reads and writes
 * once the trouble has ended. CASE is old-list or resumed.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-stale-reads CASE RECORD */
#include "world.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 4
/* The hosts from this one on read the copy of the store. */
#define FIRST_BEHIND 2
#define FROZEN 1
#define KINDS 3
#define MAX_ITEMS 65536
#define SETTLE_MS 2500
#define JOIN_MS 2500
/* How long a replica that knows the old primary follows it. */
#define LEARN_MS 600
/* The replicas receive commits so late that the one that joins is promoted. */
#define FAR_MS 300
#define BOUND_MS 300
#define CHANGE_LIMIT_MS 6000
#define OLD_LIST_MS 2000
#define SERVED_LIMIT_MS 8000
#define SERVED_COUNT 20
#define PAUSE_MS 10
#define ANSWER_LIMIT_MS 4000

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2},"
      "{\"name\":\"r2\",\"host\":\"browse\",\"prefix\":\"/"
      "\",\"type\":\"bounded\",\"max_staleness_ms\":300,\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":64,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

typedef enum
{
  WRITES,
  READS_PRIMARY,
  READS_BOUNDED
} Kind;

typedef struct
{
  int host;
  Kind kind;
  int served; /* since the trouble has ended */
} Consumer;

static Instance *primary, *joining, *quick;
/* Guarded by the lock of the world. */
static Consumer consumers[HOSTS * KINDS];
static int64_t acknowledged_ms[MAX_ITEMS]; /* 0 for not acknowledged */
static int item_count;
static int stale_reads[KINDS];
static int64_t healed_ms;

/* The newest item that was acknowledged @age_ms ago or earlier; -1 for none. */
static int
newest_item (int64_t age_ms)
{
  const int64_t until_ms = world_now_ms () - age_ms;
  int item = item_count - 1;

  while (item >= 0 && (acknowledged_ms[item] == 0 || acknowledged_ms[item] > until_ms))
    item--;
  return item;
}

static bool
ask (Consumer *consumer, Client *client, int item)
{
  const int64_t sent_ms = world_now_ms ();
  const bool writes = consumer->kind == WRITES;
  char text[2 * WORLD_TEXT], name[WORLD_TEXT];
  Answer answer;

  snprintf (name, sizeof name, "w%d", item);
  snprintf (text, sizeof text, "QUERY 01 %s %s%s", writes ? "WRITE" : "READ", name,
            writes ? " x" : "");
  client_send (client, text);
  answer = client_read (client, ANSWER_LIMIT_MS);
  world_lock ();
  if (answer.complete && healed_ms != 0 && sent_ms > healed_ms)
    consumer->served++;
  if (answer.complete && writes)
    acknowledged_ms[item] = world_now_ms ();
  else if (answer.complete && strcmp (answer.row, "none") == 0
           && world_find_entry (joining, name) >= 0) // not lost, but missing where the read ran
    {
      stale_reads[consumer->kind]++;
      world_record ("stale    %s read sent at %s %lld ms after %s was acknowledged: COMPLETE %s",
                    consumer->kind == READS_BOUNDED ? "bounded" : "primary",
                    world.hosts[consumer->host].name, (long long) (sent_ms - acknowledged_ms[item]),
                    name, answer.receipt);
    }
  world_unlock ();
  return !answer.closed && !answer.timed_out && answer.state == 'I';
}

/* Hosts that are behind get no writes before the trouble has ended: a refused one tells them. */
static int
next_item (const Consumer *consumer)
{
  int item = -1;

  world_lock ();
  if (consumer->kind == READS_PRIMARY)
    item = newest_item (0);
  else if (consumer->kind == READS_BOUNDED)
    item = newest_item (BOUND_MS);
  else if ((consumer->host < FIRST_BEHIND || healed_ms != 0) && item_count < MAX_ITEMS)
    item = item_count++;
  world_unlock ();
  return item;
}

static void *
run_consumer (void *data)
{
  Consumer *consumer = data;
  const char *database = consumer->kind == READS_BOUNDED ? "browse" : "shop";
  Client *client = calloc (1, sizeof *client);

  client->fd = -1;
  for (;;)
    {
      const int item = next_item (consumer);

      if ((client->fd >= 0 || client_open (client, consumer->host, database)) && item >= 0
          && !ask (consumer, client, item))
        client_close (client);
      world_sleep_ms (PAUSE_MS);
    }
  return NULL;
}

static void
start_world (const char *record)
{
  primary = world_add_instance ("orders", "i-primary", 60, 60);
  primary->learn_ms = LEARN_MS;
  world_add_instance ("orders", "i-slow", FAR_MS, 60)->learn_ms = LEARN_MS;
  quick = world_add_instance ("orders", "i-quick", FAR_MS, 60);
  joining = world_add_instance ("orders", "i-joining", 0, 60);
  joining->absent = true;
  for (int i = 0; i < HOSTS; i++)
    {
      char name[WORLD_TEXT];

      snprintf (name, sizeof name, "front-%d", i + 1);
      world_add_host (name);
      world.hosts[i].store_behind = i >= FIRST_BEHIND;
    }
  world.promote_ms = 300;
  world.quiet = true;
  world_start (record);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  for (int i = 0; i < HOSTS * KINDS; i++)
    {
      pthread_t thread;

      consumers[i] = (Consumer){ i / KINDS, (Kind) (i % KINDS), 0 };
      pthread_create (&thread, NULL, run_consumer, &consumers[i]);
    }
  world_sleep_ms (SETTLE_MS);
}

/* Once it is, i-quick receives commits at once, so that they can be acknowledged. */
static bool
is_promoted (void)
{
  bool promoted;

  world_lock ();
  promoted = joining->primary;
  quick->link_ms = promoted ? 0 : FAR_MS;
  world_unlock ();
  return promoted;
}

/* The primary leaves, and an instance takes over that only some hosts list. With @frozen a host
 * does not acknowledge the change, so that the replicas are paused for it and resumed. */
static void
replace_primary (bool frozen)
{
  world_hold_store_copy (true);
  world_restore_instance (joining);
  world_list_instance (joining, true);
  world_record ("change   i-joining joins");
  world_sleep_ms (JOIN_MS);
  if (frozen)
    world_signal_host (FROZEN, SIGSTOP);
  primary->leaving = true;
  world_list_instance (primary, true);
  world_record ("change   i-primary is leaving");
  for (int tries = 0; tries < CHANGE_LIMIT_MS / PAUSE_MS && !is_promoted (); tries++)
    world_sleep_ms (PAUSE_MS);
  if (!is_promoted ())
    printf ("the case did not run: i-joining was not promoted\n");
  world_sleep_ms (OLD_LIST_MS);
  if (frozen)
    world_signal_host (FROZEN, SIGCONT);
}

static bool
all_served (void)
{
  bool served = true;

  world_lock ();
  for (int i = 0; i < HOSTS * KINDS; i++)
    served &= consumers[i].served >= SERVED_COUNT;
  world_unlock ();
  return served;
}

static void
end_trouble (void)
{
  world_hold_store_copy (false);
  world_lock ();
  healed_ms = world_now_ms ();
  world_unlock ();
  while (!all_served () && world_now_ms () - healed_ms < SERVED_LIMIT_MS)
    world_sleep_ms (PAUSE_MS);
  world_record ("stale reads: %d on the primary route, %d on the bounded route",
                stale_reads[READS_PRIMARY], stale_reads[READS_BOUNDED]);
  printf ("stale reads: %s\n", stale_reads[READS_PRIMARY] > 0 ? "yes" : "no");
  printf ("stale bounded reads: %s\n", stale_reads[READS_BOUNDED] > 0 ? "yes" : "no");
  printf ("reads and writes served again: %s\n", all_served () ? "yes" : "no");
}

int
main (int count, char **arguments)
{
  if (count < 3)
    return 2;
  start_world (arguments[2]);
  replace_primary (strcmp (arguments[1], "resumed") == 0);
  end_trouble ();
  fflush (stdout);
  world_end (0);
}
