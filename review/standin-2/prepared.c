/* Two consumers prepare different statements, whose shapes one of them has chosen with care.
 *
 *   WORLD_BINARY=target/peridotstep WORLD_DIRECTORY=DIRECTORY prepared RECORD TROUBLE
 *
 * With TROUBLE 0 the second shape is any other one. Exits with 1 if a consumer's prepared name ran
 * the shape of the other consumer, 0 if not, and 2 if the case can't run. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 2
#define ROUNDS 5
#define LIMIT_MS 3000
#define SHOWN 20

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":32,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";
/* XXH64 with seed 1 is the same for the first two. */
static const char first_shape[]
    = "3v8rmqo32in8pfsblx0gtuzwivry1zr4ebd9lfgkvyt22xb939fwlnhdeogm1n0g";
static const char chosen_shape[]
    = "4wiz1rpb2in8pfsblx0gtuzwivry1zr4wguuh67wvyt22xb939fwlnhdeogm1n0g";
static const char other_shape[]
    = "5wiz1rpb2in8pfsblx0gtuzwivry1zr4wguuh67wvyt22xb939fwlnhdeogm1n0g";

static int asked, foreign;

/* A consumer's session prepares @shape and executes it; whether the answer is of that shape. */
static void
run_consumer (int host, int number, const char *shape)
{
  Client client = { .fd = -1 };
  char text[256], wanted[128];
  Answer answer;

  if (!client_open (&client, host, "shop"))
    return;
  snprintf (text, sizeof text, "QUERY p%03d PREPARE s1 READ %s", number, shape);
  answer = client_query (&client, text, LIMIT_MS);
  if (answer.complete)
    {
      snprintf (text, sizeof text, "QUERY e%03d EXECUTE s1 1a4", number);
      answer = client_query (&client, text, LIMIT_MS);
      snprintf (wanted, sizeof wanted, "%.*s of 1a4", SHOWN, shape);
      if (answer.complete)
        {
          asked++;
          world_record ("consumer of %.*s got the row \"%s\"", SHOWN, shape, answer.row);
          if (strcmp (answer.row, wanted) != 0)
            {
              foreign++;
              world_record ("BROKEN   PINNED: its prepared name ran another shape");
            }
        }
    }
  client_close (&client);
}

int
main (int count, char **arguments)
{
  bool trouble;

  if (count < 3)
    return 2;
  trouble = atoi (arguments[2]) != 0;
  world_add_instance ("orders", "i-a", 0, 0);
  world_add_instance ("orders", "i-b", 2, 60);
  world_add_instance ("orders", "i-c", 2, 60);
  for (int i = 0; i < HOSTS; i++)
    world_add_host ((const char *[]){ "front-1", "front-2" }[i]);
  world_start (arguments[1]);
  world_put_config (1, routes, services);
  for (int i = 0; i < HOSTS; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (2500);
  for (int i = 0; i < ROUNDS; i++)
    {
      run_consumer (0, 2 * i, trouble ? chosen_shape : other_shape);
      run_consumer (0, 2 * i + 1, first_shape);
    }
  printf ("executed: %d, of another consumer's shape: %d\n", asked, foreign);
  fflush (stdout);
  if (asked < 2 * ROUNDS)
    world_end (2);
  world_end (foreign > 0 ? 1 : 0);
}
