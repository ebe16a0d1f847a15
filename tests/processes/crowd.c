/* Pool daemons as processes, and a crowd of callers that don't behave: they send or read so much,
 * or so slowly, that a host runs out of memory or room. Prints whether each host lives and stayed
 * within its limits, and whether an ordinary caller is answered while the crowd is there.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-crowd CASE RECORD */
#include "world.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The crowd, and what each host has: its memory is also the bound of its resident size. */
#define CROWD 60
#define MEMORY_LIMIT_MB 48
#define DESCRIPTOR_LIMIT 340
#define MESSAGE_BYTES (1024 * 1024)
/* Rounds in which every caller sends and reads what it can. */
#define ROUNDS 400
#define ROUND_MS 10
#define PIECE_BYTES 1500
#define ORDINARY_TRIES 10
#define ORDINARY_LIMIT_MS 5000

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/\",\"type\":\"primary\","
      "\"timeout_ms\":1000,\"slo_ms\":500,\"priority\":0,\"service\":\"orders\","
      "\"max_attempts\":2}]";
static const char services[] = "[{\"name\":\"orders\",\"health_path\":\"/health\",\"max_conns\":32,"
                               "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":1}]";

typedef enum
{
  DOOR_CALLERS,
  DOOR_LINK,  /* where hosts forward sessions */
  DOOR_STATUS /* where the platform asks whether the host is ready */
} Door;

/* What one caller of the crowd does. */
typedef struct
{
  const char *name;
  Door door;
  bool opens;          /* opens a session first */
  size_t message_size; /* of each statement; 0 for none */
  int messages;
  size_t sent_limit;  /* stops after so many bytes; 0 for never */
  size_t piece;       /* bytes sent in a round; 0 for as many as the socket takes */
  bool asks_for_rows; /* statements whose answer is a message of the greatest size */
  size_t reads;       /* bytes read in a round */
  int hosts;          /* 2: the second one owns the service, and sessions are forwarded to it */
} Case;

static const Case cases[] = {
  { .name = "whole", .opens = true, .message_size = MESSAGE_BYTES, .messages = 4, .reads = 4096 },
  { .name = "pieces",
    .opens = true,
    .message_size = MESSAGE_BYTES,
    .messages = 2,
    .piece = 16 * PIECE_BYTES,
    .reads = 4096 },
  { .name = "oversize", .opens = true, .message_size = 16 * MESSAGE_BYTES, .messages = 1 },
  { .name = "half",
    .opens = true,
    .message_size = MESSAGE_BYTES,
    .messages = 1,
    .sent_limit = MESSAGE_BYTES - 1000 },
  { .name = "slow-send",
    .opens = true,
    .message_size = MESSAGE_BYTES,
    .messages = 1,
    .piece = PIECE_BYTES },
  { .name = "ahead", .opens = true, .messages = 300, .asks_for_rows = true },
  { .name = "slow-read", .opens = true, .messages = 300, .asks_for_rows = true, .reads = 100 },
  { .name = "idle", .opens = true },
  { .name = "silent" },
  { .name = "link", .door = DOOR_LINK },
  { .name = "status",
    .door = DOOR_STATUS,
    .message_size = 2000,
    .messages = 1,
    .sent_limit = 1500 },
  { .name = "owner-whole",
    .opens = true,
    .message_size = MESSAGE_BYTES,
    .messages = 4,
    .reads = 4096,
    .hosts = 2 },
  { .name = "owner-ahead", .opens = true, .messages = 300, .asks_for_rows = true, .hosts = 2 },
};

typedef struct
{
  int fd; /* -1 after the host closed it */
  char *bytes;
  size_t length;
  size_t sent;
} Caller;

static Caller crowd[CROWD];

static size_t
append_statement (char *at, size_t size, int number)
{
  const int head = sprintf (at, "QUERY c%d WRITE item", number);

  memset (at + head, 'd', size - (size_t) head);
  at[head] = ' ';
  memcpy (at + size - 2, "\r\n", 2);
  return size;
}

/* Everything that a caller would send. */
static void
prepare (Caller *caller, const Case *chosen)
{
  const size_t each = chosen->asks_for_rows ? 64 : chosen->message_size;

  caller->bytes = malloc (64 + each * (size_t) chosen->messages + 64);
  if (chosen->door == DOOR_STATUS)
    caller->length += (size_t) sprintf (caller->bytes, "GET /-/readiness HTTP/1.1\r\nX-Pad: ");
  if (chosen->opens)
    caller->length += (size_t) sprintf (caller->bytes, "START shop consumer\r\n");
  for (int i = 0; i < chosen->messages; i++)
    if (chosen->asks_for_rows)
      caller->length
          += (size_t) sprintf (caller->bytes + caller->length, "QUERY c%d READ big\r\n", i);
    else if (chosen->door == DOOR_STATUS)
      {
        memset (caller->bytes + caller->length, 'x', chosen->message_size);
        caller->length += chosen->message_size;
      }
    else
      caller->length += append_statement (caller->bytes + caller->length, chosen->message_size, i);
  if (chosen->sent_limit > 0 && chosen->sent_limit < caller->length)
    caller->length = chosen->sent_limit;
}

static int
door_port (Door door)
{
  switch (door)
    {
    case DOOR_CALLERS:
      return world.front_port;
    case DOOR_LINK:
      return world.peer_port + 1;
    case DOOR_STATUS:
      return world.ready_port;
    }
  return 0;
}

static int
connect_caller (Door door)
{
  struct sockaddr_in at
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) door_port (door)) };
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int small = 16384;

  inet_pton (AF_INET, world.hosts[0].address, &at.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  if (connect (fd, (struct sockaddr *) &at, sizeof at) != 0 && errno != EINPROGRESS)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static void
hang_up (Caller *caller)
{
  close (caller->fd);
  caller->fd = -1;
}

/* Sends and reads what the caller does in one round. */
static void
act (Caller *caller, const Case *chosen)
{
  const size_t left = caller->length - caller->sent;
  const size_t piece = chosen->piece > 0 && chosen->piece < left ? chosen->piece : left;
  char answer[4096];
  ssize_t size;

  if (caller->fd < 0)
    return;
  size = piece == 0 ? 0 : send (caller->fd, caller->bytes + caller->sent, piece, MSG_NOSIGNAL);
  if (size > 0)
    caller->sent += (size_t) size;
  if (size < 0 && errno != EAGAIN && errno != ENOTCONN)
    {
      hang_up (caller);
      return;
    }
  if (chosen->reads == 0)
    return;
  size
      = recv (caller->fd, answer, chosen->reads < sizeof answer ? chosen->reads : sizeof answer, 0);
  if (size == 0 || (size < 0 && errno != EAGAIN && errno != ENOTCONN))
    hang_up (caller);
}

/* A figure in kB of the process's status, or -1. */
static long
read_status (pid_t pid, const char *field)
{
  char path[64], line[256];
  long value = -1;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int) pid);
  file = fopen (path, "r");
  while (file != NULL && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, field, strlen (field)) == 0)
      value = strtol (line + strlen (field) + 1, NULL, 10);
  if (file != NULL)
    fclose (file);
  return value;
}

static int
count_descriptors (pid_t pid)
{
  char path[64];
  struct dirent *entry;
  int count = 0;
  DIR *folder;

  snprintf (path, sizeof path, "/proc/%d/fd", (int) pid);
  folder = opendir (path);
  while (folder != NULL && (entry = readdir (folder)) != NULL)
    count += entry->d_name[0] != '.';
  if (folder != NULL)
    closedir (folder);
  return count;
}

static void
print_host (int index)
{
  const pid_t pid = world.hosts[index].pid;
  const bool lives = kill (pid, 0) == 0 && read_status (pid, "VmHWM:") > 0;
  const long peak_kb = read_status (pid, "VmHWM:");
  const int descriptors = count_descriptors (pid);

  world_record ("%s: peak %ld kB, %d descriptors", world.hosts[index].name, peak_kb, descriptors);
  printf ("%s lives: %s\n", world.hosts[index].name, lives ? "yes" : "no");
  if (!lives)
    return;
  printf ("%s within its memory: %s\n", world.hosts[index].name,
          peak_kb <= MEMORY_LIMIT_MB * 1024L ? "yes" : "no");
  printf ("%s within its descriptors: %s\n", world.hosts[index].name,
          descriptors <= DESCRIPTOR_LIMIT ? "yes" : "no");
}

/* Like any caller, it tries again when it is refused. */
static bool
ordinary_is_answered (void)
{
  for (int i = 0; i < ORDINARY_TRIES; i++)
    {
      Client client;
      Answer answer = { 0 };

      if (client_open (&client, 0, "shop"))
        {
          answer = client_query (&client, "QUERY o1 READ wand", ORDINARY_LIMIT_MS);
          client_close (&client);
        }
      if (answer.complete)
        return true;
      world_sleep_ms (100);
    }
  return false;
}

/* A single message of the greatest size, and nothing else. */
static bool
largest_is_served (void)
{
  Client client;
  char *text = malloc (MESSAGE_BYTES);
  size_t sent = 0;
  bool served = false;

  append_statement (text, MESSAGE_BYTES, 0);
  if (client_open (&client, 0, "shop"))
    {
      while (sent < MESSAGE_BYTES)
        {
          const ssize_t size = send (client.fd, text + sent, MESSAGE_BYTES - sent, MSG_NOSIGNAL);

          if (size <= 0)
            break;
          sent += (size_t) size;
        }
      served = client_read (&client, ORDINARY_LIMIT_MS).complete;
      client_close (&client);
    }
  free (text);
  return served;
}

static const Case *
find_case (const char *name)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    if (strcmp (cases[i].name, name) == 0)
      return &cases[i];
  fprintf (stderr, "no such case: %s\n", name);
  exit (2);
}

static void
start_world (const Case *chosen, const char *record)
{
  Instance *primary = world_add_instance ("orders", "i-primary", 0, 0);

  world_add_instance ("orders", "i-second", 1, 10);
  world_add_instance ("orders", "i-third", 1, 10);
  world_add_host ("front-1");
  if (chosen->hosts == 2)
    world_add_host ("front-2");
  world.quiet = true;
  world.memory_limit_mb = MEMORY_LIMIT_MB;
  world.descriptor_limit = DESCRIPTOR_LIMIT;
  world.owners_from = chosen->hosts == 2 ? 2 : 0;
  primary->big_rows = 1;
  world_start (record);
  world_put_config (1, routes, services);
  for (int i = 0; i < world.host_count; i++)
    world_start_host (i);
  world_wait_ready ();
  world_sleep_ms (1000);
}

int
main (int argc, char **argv)
{
  const Case *chosen;

  if (argc != 3)
    {
      fprintf (stderr, "usage: pool-crowd CASE RECORD\n");
      return 2;
    }
  chosen = find_case (argv[1]);
  signal (SIGPIPE, SIG_IGN);
  start_world (chosen, argv[2]);
  printf ("a message of the greatest size is served in calm: %s\n",
          largest_is_served () ? "yes" : "no");
  for (int i = 0; i < CROWD; i++)
    {
      prepare (&crowd[i], chosen);
      crowd[i].fd = connect_caller (chosen->door);
    }
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i < CROWD; i++)
        act (&crowd[i], chosen);
      world_sleep_ms (ROUND_MS);
    }
  printf ("an ordinary caller is answered: %s\n", ordinary_is_answered () ? "yes" : "no");
  for (int i = 0; i < world.host_count; i++)
    print_host (i);
  printf ("the status page answers: %s\n", world_host_ready (0) ? "yes" : "no");
  fflush (stdout);
  world_end (0);
}
