#include "load.h"
#include "world.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ITEMS 65536
#define ANSWER_LIMIT_MS 60000
#define PAUSE_MS 40

typedef struct
{
  int host;
  int target;
} Consumer;

typedef struct
{
  bool acknowledged;
  int8_t target;
  int64_t sent_ms;
} Item;

static LoadTarget targets[LOAD_SERVICES];
static int target_count;
/* Guarded by the lock of the world. */
static Item items[MAX_ITEMS];
static int item_count;
/* What the log of the newest primary was last searched for. */
static struct
{
  int instance;
  uint64_t term;
  int received;
  bool present[MAX_ITEMS];
} searched[LOAD_SERVICES];

static int
add_item (int target)
{
  int number = -1;

  world_lock ();
  if (item_count < MAX_ITEMS)
    {
      number = item_count++;
      items[number].target = (int8_t) target;
      items[number].sent_ms = world_now_ms ();
    }
  world_unlock ();
  return number;
}

static void
write_once (Client *client, const Consumer *consumer)
{
  const int number = add_item (consumer->target);
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
        write_once (client, consumer);
      world_sleep_ms (PAUSE_MS);
    }
  return NULL;
}

void
load_start (const LoadTarget *list, int count, int per_host)
{
  memcpy (targets, list, (size_t) count * sizeof *list);
  target_count = count;
  for (int i = 0; i < world.host_count * count * per_host; i++)
    {
      Consumer *consumer = malloc (sizeof *consumer);
      pthread_t thread;

      *consumer = (Consumer){ i % world.host_count, i / world.host_count % count };
      pthread_create (&thread, NULL, run_consumer, consumer);
    }
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

/* The instance of @target with the greatest term, if that came with a promotion; -1 for none. */
static int
find_promoted (int target)
{
  int best = -1;

  for (int i = 0; i < world.instance_count; i++)
    if (strcmp (world.instances[i].service, targets[target].service) == 0
        && world.instances[i].primary && world.instances[i].term > 1
        && (best < 0 || world.instances[i].term > world.instances[best].term))
      best = i;
  return best;
}

static void
search_log (int target, int index)
{
  const Instance *instance = &world.instances[index];

  if (searched[target].instance != index || searched[target].term != instance->term)
    {
      memset (&searched[target], 0, sizeof searched[target]);
      searched[target].instance = index;
      searched[target].term = instance->term;
    }
  for (; searched[target].received < instance->received; searched[target].received++)
    {
      const char *item = instance->log[searched[target].received].item;
      const int number = *item == 'w' ? atoi (item + 1) : -1;

      if (number >= 0 && number < MAX_ITEMS)
        searched[target].present[number] = true;
    }
}

int
load_find_lost (int *instance)
{
  int lost = -1;

  world_lock ();
  for (int target = 0; target < target_count && lost < 0; target++)
    {
      const int index = find_promoted (target);

      if (index < 0)
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
