/* The route of a database moves to another service and back while the replicas are behind. A session
 * writes at both services, and then reads what it wrote first. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 2
#define LAG_MS 1500
#define USUAL_LAG_MS 60

static const char services[]
    = "[{\"name\":\"east\",\"health_path\":\"/health\",\"max_conns\":32,\"protocol\":\"h1\","
      "\"tls\":false,\"sync_replicas\":1},"
      "{\"name\":\"west\",\"health_path\":\"/health\",\"max_conns\":32,\"protocol\":\"h1\","
      "\"tls\":false,\"sync_replicas\":1}]";

/* Route "stock" leads to @service; "till" is used by another consumer and stays. */
static void
put_config (uint64_t version, const char *service)
{
  char routes[1024];

  snprintf (routes, sizeof routes,
            "[{\"name\":\"r1\",\"host\":\"stock\",\"prefix\":\"/\",\"type\":\"read_your_writes\","
            "\"timeout_ms\":1000,\"slo_ms\":1000,\"priority\":1,\"service\":\"%s\","
            "\"max_attempts\":2,\"max_staleness_ms\":2500},"
            "{\"name\":\"r2\",\"host\":\"till\",\"prefix\":\"/\",\"type\":\"primary\","
            "\"timeout_ms\":1000,\"slo_ms\":500,\"priority\":0,\"service\":\"east\","
            "\"max_attempts\":2}]",
            service);
  world_put_config (version, routes, services);
}

/* Sends @text until the answer comes from an instance whose id begins with @service. */
static Answer
query_at (Client *client, const char *text, const char *service)
{
  Answer answer = { 0 };
  char part[32];

  snprintf (part, sizeof part, ".%s-", service);
  for (int tries = 0; tries < 40; tries++)
    {
      answer = client_query (client, text, 2500);
      if (answer.complete && strstr (answer.receipt, part) != NULL)
        return answer;
      if (answer.closed || answer.timed_out)
        break;
      world_sleep_ms (25);
    }
  world_record ("the route did not lead to %s", service);
  world_end (2);
}

static void
use_till (Client *till, int64_t for_ms)
{
  const int64_t until_ms = world_now_ms () + for_ms;

  while (world_now_ms () < until_ms)
    {
      client_query (till, "QUERY 20 READ seed", 2500);
      world_sleep_ms (40);
    }
}

int
main (int count, char **arguments)
{
  const bool trouble = getenv ("TROUBLE") == NULL || strcmp (getenv ("TROUBLE"), "0") != 0;
  const int64_t lag_ms = trouble ? LAG_MS : USUAL_LAG_MS;
  static Client stock, till;
  Answer answer;

  if (count < 2)
    return 2;
  world_add_instance ("east", "east-p", 0, 0);
  world_add_instance ("east", "east-r1", 2, lag_ms);
  world_add_instance ("east", "east-r2", 2, lag_ms);
  world_add_instance ("west", "west-p", 0, 0);
  world_add_instance ("west", "west-r1", 2, lag_ms);
  world_add_instance ("west", "west-r2", 2, lag_ms);
  world_add_host ("front-1");
  world_add_host ("front-2");
  world.promote_ms = 300;
  world_start (arguments[1]);
  put_config (1, "east");
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (2000);
  if (!client_open (&stock, 0, "stock") || !client_open (&till, 0, "till"))
    {
      world_record ("a consumer can't open a session");
      world_end (2);
    }
  answer = client_query (&till, "QUERY 10 WRITE seed one", 2500);
  use_till (&till, 3000);
  answer = query_at (&stock, "QUERY 11 WRITE wand forty", "east");
  if (trouble)
    put_config (2, "west");
  answer = query_at (&stock, "QUERY 12 WRITE hoop seven", trouble ? "west" : "east");
  if (trouble)
    put_config (4, "east");
  answer = query_at (&stock, "QUERY 13 READ wand", "east");
  if (strcmp (answer.row, "forty") == 0)
    {
      world_record ("held     the session read its own write");
      world_end (0);
    }
  world_record ("BROKEN   STALE: the session read \"%s\" from a log that lacks its own acknowledged write",
                answer.row);
  world_end (1);
}
