/* A replica goes dark for some seconds. Consumers whose reads wait give up with TERMINATE and wait
 * for the host to close; those that get answers go on. */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#define HOSTS 2
#define SESSIONS 40
#define ROUNDS 14
#define DARK_MS 3800
#define CALM_MS 2500
/* A consumer gives up when its read has no answer after this time; the route's limit is 3,000 ms. */
#define PATIENCE_MS 1200
#define CLOSE_WAIT_MS 4000

typedef enum
{
  CONSUMER_AWAY,
  CONSUMER_OPENING,
  CONSUMER_IDLE,
  CONSUMER_ASKING,
  CONSUMER_LEAVING
} ConsumerState;

typedef struct
{
  Client client;
  ConsumerState state;
  int64_t since_ms;
  int number;
} Consumer;

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"browse\",\"prefix\":\"/\",\"type\":\"bounded\",\"timeout_ms\":3000,"
      "\"slo_ms\":2500,\"priority\":2,\"service\":\"orders\",\"max_attempts\":2,"
      "\"max_staleness_ms\":1500}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":32,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static Consumer consumers[HOSTS][SESSIONS];
static int ends[HOSTS];
static int64_t restart_at_ms[HOSTS];
static int answered, refused, gave_up, broken;

static void
set_state (Consumer *consumer, ConsumerState state)
{
  consumer->state = state;
  consumer->since_ms = world_now_ms ();
}

static void
leave (Consumer *consumer)
{
  client_close (&consumer->client);
  set_state (consumer, CONSUMER_AWAY);
}

static void
ask (Consumer *consumer)
{
  char text[64];

  snprintf (text, sizeof text, "QUERY %d READ wand", ++consumer->number);
  client_send (&consumer->client, text);
  set_state (consumer, CONSUMER_ASKING);
}

static void
step (Consumer *consumer, int host)
{
  const int64_t now_ms = world_now_ms ();
  const int64_t for_ms = now_ms - consumer->since_ms;
  Answer answer;

  switch (consumer->state)
    {
    case CONSUMER_AWAY:
      if (world.hosts[host].pid != 0 && for_ms > 200 && client_connect (&consumer->client, host, "browse"))
        set_state (consumer, CONSUMER_OPENING);
      return;
    case CONSUMER_IDLE:
      if (for_ms >= 40)
        ask (consumer);
      return;
    case CONSUMER_OPENING:
    case CONSUMER_ASKING:
    case CONSUMER_LEAVING:
      break;
    }
  answer = client_read (&consumer->client, 0);
  if (answer.closed)
    {
      broken += consumer->state == CONSUMER_ASKING;
      leave (consumer);
    }
  else if (!answer.timed_out && consumer->state == CONSUMER_OPENING)
    set_state (consumer, CONSUMER_IDLE);
  else if (!answer.timed_out && consumer->state == CONSUMER_ASKING)
    {
      answered += answer.complete;
      refused += !answer.complete;
      set_state (consumer, CONSUMER_IDLE);
    }
  else if (consumer->state == CONSUMER_ASKING && for_ms >= PATIENCE_MS)
    {
      gave_up++;
      client_send (&consumer->client, "TERMINATE");
      set_state (consumer, CONSUMER_LEAVING);
    }
  else if (consumer->state != CONSUMER_ASKING && for_ms >= CLOSE_WAIT_MS)
    leave (consumer);
}

/* Notes host processes that have ended by themselves, and starts them again after 0.5 s. */
static void
watch_host (int host)
{
  int status;

  if (world.hosts[host].pid == 0)
    {
      if (world_now_ms () >= restart_at_ms[host])
        world_start_host (host);
      return;
    }
  if (waitpid (world.hosts[host].pid, &status, WNOHANG) != world.hosts[host].pid)
    return;
  world.hosts[host].pid = 0;
  ends[host]++;
  restart_at_ms[host] = world_now_ms () + 500;
  world_record ("ended    %s ended by itself, %s %d", world.hosts[host].name,
                WIFSIGNALED (status) ? "signal" : "status",
                WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status));
}

static void
play (int64_t for_ms)
{
  const int64_t until_ms = world_now_ms () + for_ms;

  while (world_now_ms () < until_ms)
    {
      for (int host = 0; host < HOSTS; host++)
        {
          watch_host (host);
          for (int i = 0; i < SESSIONS; i++)
            step (&consumers[host][i], host);
        }
      world_sleep_ms (2);
    }
  world_record ("so far   answered %d, refused %d, gave up %d, broken off %d", answered, refused,
                gave_up, broken);
}

int
main (int count, char **arguments)
{
  const bool trouble = getenv ("TROUBLE") == NULL || strcmp (getenv ("TROUBLE"), "0") != 0;
  Instance *replicas[2];

  if (count < 2)
    return 2;
  world_add_instance ("orders", "i-primary", 0, 0);
  replicas[0] = world_add_instance ("orders", "i-one", 2, 60);
  replicas[1] = world_add_instance ("orders", "i-two", 2, 60);
  for (int host = 0; host < HOSTS; host++)
    {
      char name[32];

      snprintf (name, sizeof name, "front-%d", host + 1);
      world_add_host (name);
    }
  world.promote_ms = 300;
  world.quiet = true;
  for (int host = 0; host < HOSTS; host++)
    for (int i = 0; i < SESSIONS; i++)
      consumers[host][i].client.fd = -1;
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int host = 0; host < HOSTS; host++)
    world_start_host (host);
  world_wait_ready ();
  play (4000);
  for (int round = 0; round < ROUNDS && (ends[0] < 3 || ends[1] < 3); round++)
    {
      Instance *replica = replicas[round % 2];

      if (trouble)
        {
          world_lock ();
          replica->dark = true;
          world_unlock ();
          world_record ("trouble  %s is dark", replica->id);
        }
      play (DARK_MS);
      if (trouble)
        {
          world_lock ();
          replica->dark = false;
          world_unlock ();
          world_record ("trouble  %s answers again", replica->id);
        }
      play (CALM_MS);
    }
  for (int host = 0; host < HOSTS; host++)
    world_record ("result   %s ended by itself %d times", world.hosts[host].name, ends[host]);
  if (ends[0] >= 3 && ends[1] >= 3)
    {
      world_record ("BROKEN   Fault: two processes ended by themselves three times");
      world_end (1);
    }
  world_record ("held     %s", ends[0] + ends[1] == 0 ? "no process ended by itself" : "fewer ends than the rule names");
  world_end (0);
}
