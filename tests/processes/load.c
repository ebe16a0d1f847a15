#include "load.h"
#include "world.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ITEMS 65536
#define ANSWER_LIMIT_MS 60000
/* What an instance does this long after a fault that held it up is not held against the hosts. */
#define DISTURBED_MS 10000

typedef struct
{
  int host;
  int target;
  bool reads;
} Consumer;

typedef struct
{
  bool acknowledged;
  bool late; /* accepted by a primary that had been replaced */
  int8_t target;
  int8_t host;
  int64_t sent_ms;
} Item;

static LoadTarget targets[LOAD_SERVICES];
static int target_count, pause_ms;
/* Guarded by the lock of the world. */
static Item items[MAX_ITEMS];
static int item_count;
static int newest_item[LOAD_SERVICES]; /* that was acknowledged; -1 for none */
static int stale_item = -1, read_count;
/* What the log of the newest primary was last searched for. */
static struct
{
  int instance;
  uint64_t term;
  int received;
  bool present[MAX_ITEMS];
} searched[LOAD_SERVICES];

static int
add_item (const Consumer *consumer)
{
  int number = -1;

  world_lock ();
  if (item_count < MAX_ITEMS)
    {
      number = item_count++;
      items[number].target = (int8_t) consumer->target;
      items[number].host = (int8_t) consumer->host;
      items[number].sent_ms = world_now_ms ();
    }
  world_unlock ();
  return number;
}

static void
write_once (Client *client, const Consumer *consumer)
{
  const int number = add_item (consumer);
  char text[WORLD_TEXT];
  Answer answer;

  if (number < 0)
    return;
  snprintf (text, sizeof text, "QUERY %08x WRITE w%d x", (unsigned) number, number);
  client_send (client, text);
  answer = client_read (client, ANSWER_LIMIT_MS);
  if (answer.complete)
    {
      world_lock ();
      items[number].acknowledged = true;
      newest_item[consumer->target] = number;
      world_unlock ();
      world_record ("answered w%d by %s: COMPLETE %s", number, world.hosts[consumer->host].name,
                    answer.receipt);
    }
  else
    world_record ("answered w%d by %s: %s", number, world.hosts[consumer->host].name,
                  answer.closed ? "connection closed" : answer.code);
  if (answer.closed || answer.timed_out || answer.state != 'I')
    client_close (client);
}

static int
item_number (const char *item)
{
  const int number = *item == 'w' ? atoi (item + 1) : -1;

  return number < item_count ? number : -1;
}

/* The instance of @target that was promoted last; -1 for none. */
static int
find_promoted (int target)
{
  int best = -1;

  for (int i = 0; i < world.instance_count; i++)
    if (strcmp (world.instances[i].service, targets[target].service) == 0
        && world.instances[i].promoted_term > 0
        && (best < 0 || world.instances[i].promoted_term > world.instances[best].promoted_term))
      best = i;
  return best;
}

static void
search_log (int target, int index)
{
  const Instance *instance = &world.instances[index];

  if (searched[target].instance != index || searched[target].term != instance->promoted_term)
    {
      memset (&searched[target], 0, sizeof searched[target]);
      searched[target].instance = index;
      searched[target].term = instance->promoted_term;
    }
  for (; searched[target].received < instance->received; searched[target].received++)
    {
      const int number = item_number (instance->log[searched[target].received].item);

      if (number >= 0)
        searched[target].present[number] = true;
    }
}

/* A read of the write that was acknowledged last. It may be missing if no promoted log has it. */
static void
read_once (Client *client, const Consumer *consumer)
{
  char text[WORLD_TEXT];
  Answer answer;
  int number, promoted;

  world_lock ();
  number = newest_item[consumer->target];
  world_unlock ();
  if (number < 0)
    return;
  snprintf (text, sizeof text, "QUERY 0 READ w%d", number);
  client_send (client, text);
  answer = client_read (client, ANSWER_LIMIT_MS);
  world_lock ();
  read_count += answer.complete;
  promoted = find_promoted (consumer->target);
  if (answer.complete && strcmp (answer.row, "none") == 0 && promoted >= 0)
    {
      search_log (consumer->target, promoted);
      world_record ("answered read of w%d by %s: none, COMPLETE %s", number,
                    world.hosts[consumer->host].name, answer.receipt);
      if (searched[consumer->target].present[number])
        stale_item = number;
    }
  world_unlock ();
  if (answer.closed || answer.timed_out || answer.state != 'I')
    client_close (client);
}

static void *
run_consumer (void *data)
{
  const Consumer *consumer = data;
  Client *client = calloc (1, sizeof *client);

  client->fd = -1;
  for (;;)
    {
      if (client->fd >= 0
          || (world.hosts[consumer->host].pid != 0
              && client_open (client, consumer->host, targets[consumer->target].database)))
        {
          if (consumer->reads)
            read_once (client, consumer);
          else
            write_once (client, consumer);
        }
      world_sleep_ms (pause_ms);
    }
  return NULL;
}

static void
on_commit (const Instance *instance, const Entry *entry)
{
  const int number = item_number (entry->item);

  if (number < 0 || world_now_ms () - instance->disturbed_ms < DISTURBED_MS)
    return;
  for (int i = 0; i < world.instance_count; i++)
    if (strcmp (world.instances[i].service, instance->service) == 0
        && world.instances[i].promoted_term > instance->term)
      items[number].late = true;
}

static void
start_consumer (int index, bool reads)
{
  Consumer *consumer = malloc (sizeof *consumer);
  pthread_t thread;

  *consumer
      = (Consumer){ index % world.host_count, index / world.host_count % target_count, reads };
  pthread_create (&thread, NULL, run_consumer, consumer);
}

void
load_start (const LoadTarget *list, int count, int per_host, int64_t wait_ms)
{
  world.on_commit = on_commit;
  pause_ms = (int) wait_ms;
  memcpy (targets, list, (size_t) count * sizeof *list);
  target_count = count;
  for (int i = 0; i < count; i++)
    newest_item[i] = -1;
  for (int i = 0; i < world.host_count * count * per_host; i++)
    start_consumer (i, false);
}

void
load_start_readers (void)
{
  for (int i = 0; i < world.host_count * target_count; i++)
    start_consumer (i, true);
}

int
load_served_since (int target, int64_t since_ms)
{
  int count = 0;

  world_lock ();
  for (int i = 0; i < item_count; i++)
    count += items[i].acknowledged && items[i].target == target && items[i].sent_ms > since_ms;
  world_unlock ();
  return count;
}

int
load_find_lost (int *instance)
{
  int lost = -1;

  world_lock ();
  for (int target = 0; target < target_count && lost < 0; target++)
    {
      const int index = find_promoted (target);

      if (index < 0 || world.instances[index].commits_alone)
        continue;
      search_log (target, index);
      *instance = index;
      for (int i = 0; i < item_count && lost < 0; i++)
        if (items[i].acknowledged && items[i].target == target && !searched[target].present[i])
          lost = i;
    }
  world_unlock ();
  return lost;
}

int
load_find_late (const int64_t *disturbed_ms, int64_t margin_ms)
{
  int late = -1;

  world_lock ();
  for (int i = 0; i < item_count && late < 0; i++)
    if (items[i].acknowledged && items[i].late
        && items[i].sent_ms > disturbed_ms[items[i].host] + margin_ms)
      late = i;
  world_unlock ();
  return late;
}

int
load_find_stale (void)
{
  int item;

  world_lock ();
  item = stale_item;
  world_unlock ();
  return item;
}

int
load_reads (void)
{
  int count;

  world_lock ();
  count = read_count;
  world_unlock ();
  return count;
}
