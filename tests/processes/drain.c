/* Pool daemons as processes, with callers that keep using their connections while hosts are told to
 * end, start again, or have to do with instances and store entries that misbehave. Prints what was
 * left unanswered.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-drain CASE RECORD [SEED
 * [ROUNDS]]
 *
 * The cases "series" and "forwarded" are the soak: the tests run one seed of two rounds of each. */
#include "world.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define CALLERS_MAX 80
#define ANSWER_LIMIT_MS 8000
#define EXIT_LIMIT_MS 8000
#define LINE_BYTES 256
#define PIPELINED 8
#define GIVE_UP_MS 1200
#define SILENT_MS 3800
#define ODD_ROWS 700

typedef enum
{
  CALLER_BUSY,        /* sends the next statement as soon as it has an answer */
  CALLER_PAUSING,     /* waits a moment in between */
  CALLER_PIPELINING,  /* sends several statements at once */
  CALLER_TRANSACTION, /* runs transactions with pauses between their statements */
  CALLER_GIVING_UP,   /* ends the session when a read has no answer in time */
  CALLER_BACKLOG,     /* sends statements with long answers, and reads those later */
  CALLER_SLOW_READER  /* reads long answers slowly, and ends the session behind each statement */
} CallerKind;

typedef struct
{
  int count;
  CallerKind kind;
  int64_t pause_ms;
} CallerGroup;

typedef struct
{
  int number;
  CallerKind kind;
  int host;
  bool roams;
  int64_t pause_ms;
  pthread_t thread;
  int answered, refused, in_doubt;
  int cut;        /* statements whose connection ended before the whole answer */
  int cut_ran;    /* those of them that had run */
  int unanswered; /* no answer within the limit */
  int wrong;      /* acknowledged and not in the log, or refused and there */
} Caller;

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"sales\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":3000,"
      "\"slo_ms\":2500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":60,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

static const char stock_routes[]
    = "[{\"name\":\"r1\",\"host\":\"sales\",\"prefix\":\"/"
      "\",\"type\":\"bounded\",\"timeout_ms\":3000,"
      "\"slo_ms\":2500,\"priority\":2,\"service\":\"orders\",\"max_attempts\":2,"
      "\"max_staleness_ms\":1500}]";

static Caller callers[CALLERS_MAX];
static int caller_count;
static volatile bool stopping;
static int late_exits, bad_exits;
static Instance *primary;

/* Reads one line into @line, cut off if it is longer; false at the end of the connection. */
static bool
read_line (Client *client, char *line, int64_t until_ms, bool *timed_out)
{
  *timed_out = false;
  for (;;)
    {
      char *end = memchr (client->buffer, '\n', (size_t) client->length);
      struct pollfd item = { client->fd, POLLIN, 0 };
      ssize_t got;

      if (end != NULL)
        {
          const int used = (int) (end + 1 - client->buffer);

          snprintf (line, LINE_BYTES, "%.*s", used - 2, client->buffer);
          memmove (client->buffer, client->buffer + used, (size_t) (client->length - used));
          client->length -= used;
          return true;
        }
      if (client->length == (int) sizeof client->buffer)
        client->length = 1024;
      if (poll (&item, 1, (int) (until_ms - world_now_ms () > 0 ? until_ms - world_now_ms () : 0))
          <= 0)
        {
          *timed_out = true;
          return false;
        }
      got = recv (client->fd, client->buffer + client->length,
                  sizeof client->buffer - (size_t) client->length, 0);
      if (got <= 0)
        return false;
      client->length += (int) got;
    }
}

/* Whether the host has ended the session between two statements, with or without a notice. */
static bool
has_ended (Client *client)
{
  char byte;

  return client->length > 0 || recv (client->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

/* The primary of the newest term. */
static const Instance *
newest_primary (void)
{
  const Instance *found = primary;

  for (int i = 0; i < world.instance_count; i++)
    if (world.instances[i].primary && world.instances[i].term > found->term)
      found = &world.instances[i];
  return found;
}

static void
record_cut (Caller *caller, const char *item, const char *code)
{
  bool ran;

  world_lock ();
  ran = world_find_entry (newest_primary (), item) >= 0;
  world_unlock ();
  caller->cut++;
  caller->cut_ran += ran;
  world_record ("CUT      caller %d at %s: %s, %s%s%s", caller->number,
                world.hosts[caller->host].name, item, ran ? "it ran" : "no sign that it ran",
                *code == '\0' ? "" : ", after ERROR ", code);
}

/* Compares what the caller was told of its write with the log of the primary. */
static void
check_write (Caller *caller, const char *item, bool acknowledged)
{
  bool present;

  world_lock ();
  present = world_find_entry (newest_primary (), item) >= 0;
  world_unlock ();
  if (present == acknowledged)
    return;
  caller->wrong++;
  world_record ("WRONG    caller %d: %s is %s, and %s", caller->number, item,
                acknowledged ? "acknowledged" : "refused",
                present ? "in the log" : "not in the log");
}

/* Reads the answer to one statement; false if the session has to be given up. @written: the item
 * that it writes for good, or NULL. */
static bool
read_answer (Caller *caller, Client *client, const char *item, const char *written)
{
  const int64_t until_ms = world_now_ms () + ANSWER_LIMIT_MS;
  char line[LINE_BYTES];
  char code[32] = "";
  bool timed_out;
  bool in_doubt;

  while (read_line (client, line, until_ms, &timed_out))
    {
      if (strncmp (line, "ERROR ", 6) == 0)
        snprintf (code, sizeof code, "%.*s", (int) strcspn (line + 6, " "), line + 6);
      if (strncmp (line, "READY ", 6) != 0)
        continue;
      in_doubt = strcmp (code, "INDOUBT") == 0 || strcmp (code, "TIMEOUT") == 0;
      caller->answered += *code == '\0';
      caller->in_doubt += in_doubt;
      caller->refused += *code != '\0' && !in_doubt;
      if (written != NULL && !in_doubt)
        check_write (caller, written, *code == '\0');
      return *code == '\0' ? line[6] != 'E' : line[6] == 'I';
    }
  if (timed_out)
    {
      caller->unanswered++;
      world_record ("UNANSWERED caller %d: %s", caller->number, item);
    }
  else
    record_cut (caller, item, code);
  return false;
}

/* Statements one by one; the host has long answers to send meanwhile. */
static void
send_backlog (const Caller *caller, const Client *client, int first, int count)
{
  char text[64];

  for (int i = first; i < first + count; i++)
    {
      const int length
          = snprintf (text, sizeof text, "QUERY %d-%d READ big\r\n", caller->number, i);

      send (client->fd, text, (size_t) length, MSG_NOSIGNAL);
      world_sleep_ms (caller->pause_ms);
    }
}

static void
send_statements (const Caller *caller, const Client *client, int first, int count)
{
  char text[1024];
  int length = 0;

  for (int i = first; i < first + count; i++)
    length += snprintf (
        text + length, sizeof text - (size_t) length, "QUERY %d-%d %s c%d-%d x\r\n", caller->number,
        i, caller->kind == CALLER_SLOW_READER ? "READ big" : "WRITE", caller->number, i);
  if (caller->kind == CALLER_SLOW_READER)
    length = snprintf (text, sizeof text, "QUERY %d-%d READ big\r\nTERMINATE\r\n", caller->number,
                       first);
  send (client->fd, text, (size_t) length, MSG_NOSIGNAL);
}

/* One session, from its start to its end. */
static void
run_session (Caller *caller, Client *client, int *statement)
{
  const bool long_answers = caller->kind == CALLER_BACKLOG || caller->kind == CALLER_SLOW_READER;
  const int at_once
      = caller->kind == CALLER_PIPELINING || caller->kind == CALLER_BACKLOG ? PIPELINED : 1;

  while (!stopping && !has_ended (client))
    {
      const int first = *statement;
      bool open = true;

      *statement += at_once;
      if (caller->kind == CALLER_BACKLOG)
        send_backlog (caller, client, first, at_once);
      else
        send_statements (caller, client, first, at_once);
      if (caller->kind == CALLER_SLOW_READER)
        world_sleep_ms (caller->pause_ms);
      for (int i = first; open && i < *statement; i++)
        {
          char item[64];

          snprintf (item, sizeof item, "c%d-%d", caller->number, i);
          open = read_answer (caller, client, item, long_answers ? NULL : item);
        }
      if (!open || caller->kind == CALLER_SLOW_READER)
        return;
      if (caller->pause_ms > 0)
        world_sleep_ms (caller->pause_ms);
    }
}

/* A session of a caller that gives up: it sends TERMINATE and waits for the host to close. */
static void
run_impatient_session (Caller *caller, Client *client, int *statement)
{
  char text[64];
  char line[LINE_BYTES];
  bool timed_out;

  while (!stopping)
    {
      snprintf (text, sizeof text, "QUERY %d-%d READ x", caller->number, ++*statement);
      client_send (client, text);
      do
        if (!read_line (client, line, world_now_ms () + GIVE_UP_MS, &timed_out))
          {
            client_send (client, "TERMINATE");
            while (read_line (client, line, world_now_ms () + ANSWER_LIMIT_MS, &timed_out))
              continue;
            return;
          }
      while (strncmp (line, "READY ", 6) != 0);
      caller->answered++;
      world_sleep_ms (caller->pause_ms);
    }
}

static void
run_transactions (Caller *caller, Client *client, int *statement)
{
  while (!stopping && !has_ended (client))
    {
      const int number = (*statement)++;
      char item[64], text[4][96];

      snprintf (item, sizeof item, "c%d-%d", caller->number, number);
      snprintf (text[0], sizeof text[0], "QUERY %d-%d-b BEGIN", caller->number, number);
      snprintf (text[1], sizeof text[1], "QUERY %d-%d-w WRITE %s x", caller->number, number, item);
      snprintf (text[2], sizeof text[2], "QUERY %d-%d-r READ %s", caller->number, number, item);
      snprintf (text[3], sizeof text[3], "QUERY %d-%d-c COMMIT", caller->number, number);
      for (int i = 0; i < 4; i++)
        {
          if (i > 0)
            world_sleep_ms (caller->pause_ms);
          if (has_ended (client))
            return;
          client_send (client, text[i]);
          if (!read_answer (caller, client, item, i == 3 ? item : NULL))
            return;
        }
    }
}

static void *
run_caller (void *data)
{
  Caller *caller = data;
  int statement = 0;

  while (!stopping)
    {
      Client client = { .fd = -1 };

      if (world.hosts[caller->host].pid != 0 && client_open (&client, caller->host, "sales"))
        (caller->kind == CALLER_GIVING_UP     ? run_impatient_session
         : caller->kind == CALLER_TRANSACTION ? run_transactions
                                              : run_session) (caller, &client, &statement);
      else
        {
          // The host is away or refuses sessions.
          if (caller->roams)
            caller->host = (caller->host + 1) % world.host_count;
          world_sleep_ms (20);
        }
      client_close (&client);
    }
  return NULL;
}

static void
add_callers (const CallerGroup *group, bool roams)
{
  for (int i = 0; i < group->count; i++)
    {
      Caller *caller = &callers[caller_count];

      caller->number = caller_count++;
      caller->kind = group->kind;
      caller->host = i % world.host_count;
      caller->pause_ms = group->pause_ms + (group->kind == CALLER_PAUSING ? 7 * i : 0);
      caller->roams = roams;
    }
}

static void
start_callers (void)
{
  for (int i = 0; i < caller_count; i++)
    pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]);
}

static FILE *
open_log (int host)
{
  char path[256];

  snprintf (path, sizeof path, "%s/%s.log", getenv ("WORLD_DIRECTORY"), world.hosts[host].name);
  return fopen (path, "r");
}

/* Whether the newest process of the host has got as far as its first log line. */
static bool
has_started (int host)
{
  char line[1024];
  int starts = 0;
  FILE *log = open_log (host);

  while (log != NULL && fgets (line, sizeof line, log) != NULL)
    starts += strstr (line, "event=started ") != NULL;
  if (log != NULL)
    fclose (log);
  return starts >= world.hosts[host].starts;
}

/* Waits for a host process that was told to end. */
static void
await_exit (int index)
{
  const int64_t until_ms = world_now_ms () + EXIT_LIMIT_MS;
  HostProcess *host = &world.hosts[index];
  int status = 0;

  while (waitpid (host->pid, &status, WNOHANG) != host->pid)
    {
      if (world_now_ms () >= until_ms)
        {
          world_record ("LATE     %s has not ended", host->name);
          late_exits++;
          world_signal_host (index, SIGKILL);
          return;
        }
      world_sleep_ms (5);
    }
  world_record ("host     %s ended, status %d", host->name, status);
  // The signal may come before the process handles any; then it has no callers yet.
  if (!WIFSIGNALED (status) || WTERMSIG (status) != SIGTERM || has_started (index))
    bad_exits += !WIFEXITED (status) || WEXITSTATUS (status) != 0;
  host->pid = 0;
}

/* Whether the process runs; one that has ended by itself is counted. */
static bool
is_running (int index)
{
  HostProcess *host = &world.hosts[index];
  int status;

  if (host->pid == 0 || waitpid (host->pid, &status, WNOHANG) != host->pid)
    return host->pid != 0;
  world_record ("host     %s ended by itself, status %d", host->name, status);
  host->pid = 0;
  bad_exits++;
  return false;
}

static void
print_results (void)
{
  int answered = 0, refused = 0, in_doubt = 0, cut = 0, cut_ran = 0, unanswered = 0, wrong = 0;

  stopping = true;
  for (int i = 0; i < caller_count; i++)
    {
      pthread_join (callers[i].thread, NULL);
      answered += callers[i].answered;
      refused += callers[i].refused;
      in_doubt += callers[i].in_doubt;
      cut += callers[i].cut;
      cut_ran += callers[i].cut_ran;
      unanswered += callers[i].unanswered;
      wrong += callers[i].wrong;
    }
  world_record ("total    answered %d, refused %d, in doubt %d, cut %d (ran %d), unanswered %d",
                answered, refused, in_doubt, cut, cut_ran, unanswered);
  printf ("answered: %s\n", answered > 0 ? "yes" : "no");
  printf ("in doubt: %s\n", in_doubt > 0 ? "yes" : "no");
  printf ("cut: %d, of them ran: %d\n", cut, cut_ran);
  printf ("unanswered: %d\n", unanswered);
  printf ("acknowledged and missing, or refused and there: %d\n", wrong);
  for (int i = 0; i < world.host_count; i++)
    is_running (i);
  printf ("hosts that ended late: %d, by a fault: %d\n", late_exits, bad_exits);
  fflush (stdout);
  world_end (cut + unanswered + wrong + late_exits + bad_exits == 0 ? 0 : 1);
}

/* Ends one host while its callers go on. */
static void
end_one_host (unsigned seed, int rounds)
{
  start_callers ();
  world_sleep_ms (1000);
  world_signal_host (0, SIGTERM);
  await_exit (0);
}

/* The primary stops answering within the drain. */
static void
end_beside_silent_primary (unsigned seed, int rounds)
{
  start_callers ();
  world_sleep_ms (1000);
  world_signal_host (0, SIGTERM);
  world_sleep_ms (1500);
  world_lock ();
  primary->dark = true;
  world_unlock ();
  await_exit (0);
  world_lock ();
  primary->dark = false;
  world_unlock ();
}

static void
put_odd_rows (const char *key, int count, int round)
{
  static const char *const odd[] = {
    "{\"service\":\"orders\",\"address\":\"127.0.0.1:65536\"}",
    "{\"service\":\"orders\",\"slots\":1e400}",
    "{\"service\":\"orders\",\"born\":99999999999999999999}",
    "{\"service\":\"orders\",\"address\":\"127.0.0.1:9\",\"zone\":\"z1\",\"version\":\"v1\","
    "\"slots\":[],"
    "\"state\":\"ready\",\"cold_left_ms\":0,\"db_role\":\"primary\",\"seq_no\":1}",
    "null",
    "{",
  };
  char *nested = calloc (1, 30001);

  memset (nested, '[', 30000);
  for (int i = 0; i < count; i++)
    {
      char name[64];

      snprintf (name, sizeof name, "%s%d", key, i);
      world_put_row ("servers", name, i == 0 ? nested : odd[(i + round) % 6]);
      world_put_row ("hosts", name, odd[(i + round) % 6]);
    }
  free (nested);
}

/* Whether the last that the host's log says of @instance is that it was added again. */
static bool
has_added_again (int host, const char *instance)
{
  char line[1024], text[64];
  bool removed = false;
  bool added = false;
  FILE *log = open_log (host);

  snprintf (text, sizeof text, "service=orders instance=%s", instance);
  while (log != NULL && fgets (line, sizeof line, log) != NULL)
    if (strstr (line, text) != NULL && strstr (line, "event=instance_") != NULL)
      {
        added = strstr (line, "event=instance_added") != NULL;
        removed |= strstr (line, "event=instance_removed") != NULL;
      }
  if (log != NULL)
    fclose (log);
  return added && removed;
}

/* Another writer leaves odd entries, more than a page of them; one replaces a good one for a while.
 */
static void
follow_beside_odd_entries (unsigned seed, int rounds)
{
  Instance *late = primary + 3;
  int followed = 0;

  world_put_row ("servers", "b-odd\\u0000", "{}");

  world_list_instance (late, false);
  start_callers ();
  world_sleep_ms (3000);
  for (int round = 0; round < 6; round++)
    {
      put_odd_rows ("a-odd-", ODD_ROWS, round);
      world_put_row ("servers", "i-one", "{\"service\":[[[[]]]],\"slots\":1e300}");
      world_sleep_ms (300);
      world_list_instance (primary + 1, true);
      world_sleep_ms (300);
    }
  world_list_instance (late, true);
  world_sleep_ms (4000);
  for (int i = 0; i < world.host_count; i++)
    followed += has_added_again (i, late->id);
  printf ("hosts that follow the list: %d of %d\n", followed, world.host_count);
}

/* The replicas stop answering in turn, and callers give up. */
static void
silence_replicas (unsigned seed, int rounds)
{
  start_callers ();
  world_sleep_ms (1000);
  for (int round = 0; round < rounds; round++)
    {
      Instance *replica = primary + 1 + round % 2;
      const int64_t until_ms = world_now_ms () + SILENT_MS;

      world_lock ();
      replica->dark = true;
      world_unlock ();
      while (world_now_ms () < until_ms && is_running (0) && is_running (1))
        world_sleep_ms (5);
      world_lock ();
      replica->dark = false;
      world_unlock ();
      world_sleep_ms (500);
    }
}

static void
restart_host (int index)
{
  await_exit (index);
  world_sleep_ms (500);
  world_start_host (index);
}

/* Signals, restarts and changes of the configuration in overlapping series. */
static void
restart_in_series (unsigned seed, int rounds)
{
  srand (seed);
  start_callers ();
  world_sleep_ms (1000);
  for (int round = 0; round < rounds; round++)
    {
      const int first = rand () % world.host_count;
      const int count = 1 + rand () % world.host_count;

      for (int i = 0; i < count; i++)
        {
          const int host = (first + i) % world.host_count;

          world_signal_host (host, SIGTERM);
          world_sleep_ms (rand () % 900);
          if (rand () % 2 == 0)
            world_signal_host (host, rand () % 2 == 0 ? SIGTERM : SIGHUP);
          if (rand () % 3 == 0)
            world_put_config ((uint64_t) (2 + round * WORLD_HOSTS + i), routes, services);
        }
      for (int i = 0; i < count; i++)
        restart_host ((first + i) % world.host_count);
      world_sleep_ms (rand () % 1500);
    }
}

/* Nothing happens to the hosts. */
static void
let_callers_run (unsigned seed, int rounds)
{
  start_callers ();
  world_sleep_ms (3000);
}

typedef struct
{
  const char *name;
  int hosts;
  bool owners;      /* services have owners */
  bool stale_reads; /* the database accepts reads of some age */
  int rounds;
  CallerGroup groups[4];
  void (*run) (unsigned seed, int rounds);
} Case;

static const Case cases[] = {
  { "busy", 1, .groups = { { 24, CALLER_BUSY } }, .run = end_one_host },
  { "pausing", 1, .groups = { { 40, CALLER_PAUSING, 3 } }, .run = end_one_host },
  { "pipelining", 1, .groups = { { 16, CALLER_PIPELINING } }, .run = end_one_host },
  { "transactions", 1, .groups = { { 24, CALLER_TRANSACTION, 40 } }, .run = end_one_host },
  { "reading-drain", 1, .groups = { { 8, CALLER_SLOW_READER, 200 } }, .run = end_one_host },
  { "silent", 1, .groups = { { 24, CALLER_BUSY } }, .run = end_beside_silent_primary },
  { "reading", 1, .groups = { { 8, CALLER_SLOW_READER, 200 } }, .run = let_callers_run },
  { "backlog", 1, .groups = { { 4, CALLER_BACKLOG, 100 } }, .run = let_callers_run },
  { "odd-entries", 2, .groups = { { 16, CALLER_PAUSING, 20 } }, .run = follow_beside_odd_entries },
  { "giving-up", 2, .stale_reads = true, .rounds = 3,
    .groups = { { CALLERS_MAX, CALLER_GIVING_UP, 40 } }, .run = silence_replicas },
  { "series", 4, .rounds = 2,
    .groups = { { 16, CALLER_BUSY },
                { 16, CALLER_PAUSING, 3 },
                { 4, CALLER_PIPELINING },
                { 8, CALLER_TRANSACTION, 15 } },
    .run = restart_in_series },
  { "forwarded", 4, .owners = true, .rounds = 2,
    .groups = { { 16, CALLER_BUSY },
                { 16, CALLER_PAUSING, 3 },
                { 4, CALLER_PIPELINING },
                { 8, CALLER_TRANSACTION, 15 } },
    .run = restart_in_series },
};

static const Case *
find_case (const char *name)
{
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    if (strcmp (cases[i].name, name) == 0)
      return &cases[i];
  return NULL;
}

static void
start_world (const char *record, const Case *chosen)
{
  primary = world_add_instance ("orders", "i-primary", 0, 0);
  world_add_instance ("orders", "i-one", 2, 60);
  world_add_instance ("orders", "i-two", 2, 60);
  if (chosen->run == follow_beside_odd_entries)
    world_add_instance ("orders", "z-late", 2, 60);
  for (int i = 0; i < chosen->hosts; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "front-%d", i + 1);
      world_add_host (name);
    }
  world.owners_from = chosen->owners ? 2 : 0;
  world.promote_ms = 300;
  world.quiet = true;
  primary->work_ms = 30;
  primary->big_rows = 4;
  world_start (record);
  world_put_config (1, chosen->stale_reads ? stock_routes : routes, services);
  for (int i = 0; i < chosen->hosts; i++)
    world_start_host (i);
  world_wait_ready ();
}

int
main (int count, char **arguments)
{
  const Case *chosen = count < 3 ? NULL : find_case (arguments[1]);
  const unsigned seed = count < 4 ? 1 : (unsigned) atoi (arguments[3]);

  if (chosen == NULL)
    {
      fprintf (stderr, "usage: pool-drain CASE RECORD [SEED [ROUNDS]]\n");
      return 2;
    }
  start_world (arguments[2], chosen);
  for (size_t i = 0; i < sizeof chosen->groups / sizeof *chosen->groups; i++)
    add_callers (&chosen->groups[i], chosen->run == restart_in_series);
  chosen->run (seed, count < 5 ? chosen->rounds : atoi (arguments[4]));
  print_results ();
}
