#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS 4096
#define FEED_WAIT_NONE 0
/* Rows in one answer of the store. */
#define PAGE_ROWS 500
/* Writes of one transaction. */
#define MAX_WRITES 16
#define ROW_FORMAT "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\",\"ver\":%llu}"
/* A replaced primary steps down by itself this long after it can reach the new one. */
#define RETIRE_MS 1000

typedef enum
{
  SOCKET_STORE,
  SOCKET_PROMOTER,
  SOCKET_INSTANCE
} SocketKind;

typedef struct
{
  int fd; /* -1 for unused */
  bool readable;
  SocketKind kind;
  int instance;
  bool store_copy;
  char *input;
  size_t input_length, input_size;
  char *output;
  size_t output_length, output_sent, output_size;
  /* the store: a feed call that waits */
  int64_t feed_until_ms;
  uint64_t feed_after;
  char feed_table[WORLD_TEXT];
  /* an instance: one session */
  bool started;
  char state;
  bool read_only;
  int writes;
  Entry pending[MAX_WRITES];
  struct
  {
    char name[WORLD_TEXT];
    bool writes;
  } prepared[32];
  int prepared_count;
  int commit_index;     /* log length that a replica must reach before the answer; 0 for none */
  int64_t answer_at_ms; /* the answer is held back until then */
} Connection;

typedef struct
{
  char table[WORLD_TEXT];
  char key[WORLD_TEXT];
  char *value; /* base64 */
  uint64_t version;
} Row;

World world;
static Connection connections[CONNECTIONS];
/* Those from this index on have never been used. */
static int connections_used;
static Row rows[2048];
static int row_count;
static uint64_t store_version = 10;
/* The copy that hosts with store_behind read, while it is held back. */
static Row copied_rows[2048];
static int copied_count;
static uint64_t copied_version; /* 0 while it is as new as the store */
static int store_fd, store_copy_fd, promoter_fd;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static int64_t started_ms;
static int receipts;

void
world_lock (void)
{
  pthread_mutex_lock (&mutex);
}

void
world_unlock (void)
{
  pthread_mutex_unlock (&mutex);
}

int64_t
world_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (int64_t) now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
world_sleep_ms (int64_t ms)
{
  struct timespec wait = { ms / 1000, ms % 1000 * 1000000 };

  nanosleep (&wait, NULL);
}

void
world_record (const char *format, ...)
{
  va_list list;

  flockfile (record);
  fprintf (record, "%8.3f  ", (double) (world_now_ms () - started_ms) / 1000);
  va_start (list, format);
  vfprintf (record, format, list);
  va_end (list);
  fputc ('\n', record);
  fflush (record);
  funlockfile (record);
}

/* ---- sockets ---- */

static struct sockaddr_in
make_address (const char *address, int port)
{
  struct sockaddr_in result = { .sin_family = AF_INET, .sin_port = htons ((uint16_t) port) };

  inet_pton (AF_INET, address, &result.sin_addr);
  return result;
}

static int
listen_at (const char *address, int *port)
{
  struct sockaddr_in at = make_address (address, *port);
  socklen_t length = sizeof at;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &at, sizeof at) != 0 || listen (fd, 64) != 0)
    {
      close (fd);
      return -1;
    }
  getsockname (fd, (struct sockaddr *) &at, &length);
  *port = ntohs (at.sin_port);
  return fd;
}

/* Ports that are free at @address now, all different. */
static void
free_ports (const char *address, int *const *ports, int count)
{
  int fds[8];

  for (int i = 0; i < count; i++)
    fds[i] = listen_at (address, ports[i]);
  for (int i = 0; i < count; i++)
    close (fds[i]);
}

static void
connection_close (Connection *connection)
{
  close (connection->fd);
  free (connection->input);
  free (connection->output);
  memset (connection, 0, sizeof *connection);
  connection->fd = -1;
}

static void
send_bytes (Connection *connection, const char *bytes, size_t length)
{
  if (connection->output_length + length > connection->output_size)
    {
      connection->output_size = (connection->output_length + length) * 2;
      connection->output = realloc (connection->output, connection->output_size);
    }
  memcpy (connection->output + connection->output_length, bytes, length);
  connection->output_length += length;
}

static void __attribute__ ((format (printf, 2, 3)))
send_text (Connection *connection, const char *format, ...)
{
  char text[8192];
  va_list list;
  int length;

  va_start (list, format);
  length = vsnprintf (text, sizeof text, format, list);
  va_end (list);
  send_bytes (connection, text, (size_t) length);
}

/* ---- the store ---- */

static char *
encode_base64 (const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  const size_t length = strlen (text);
  char *result = calloc (1, (length + 2) / 3 * 4 + 1);
  char *out = result;

  for (size_t i = 0; i < length; i += 3)
    {
      const unsigned a = (unsigned char) text[i];
      const unsigned b = i + 1 < length ? (unsigned char) text[i + 1] : 0;
      const unsigned c = i + 2 < length ? (unsigned char) text[i + 2] : 0;

      *out++ = digits[a >> 2];
      *out++ = digits[(a & 3) << 4 | b >> 4];
      *out++ = i + 1 < length ? digits[(b & 15) << 2 | c >> 6] : '=';
      *out++ = i + 2 < length ? digits[c & 63] : '=';
    }
  return result;
}

static Row *
find_row (const char *table, const char *key)
{
  for (int i = 0; i < row_count; i++)
    if (strcmp (rows[i].table, table) == 0 && strcmp (rows[i].key, key) == 0)
      return &rows[i];
  return NULL;
}

static void
put_row (const char *table, const char *key, const char *value)
{
  Row *row = find_row (table, key);

  if (row == NULL)
    {
      row = &rows[row_count++];
      snprintf (row->table, sizeof row->table, "%s", table);
      snprintf (row->key, sizeof row->key, "%s", key);
    }
  free (row->value);
  row->value = strdup (value);
  row->version = ++store_version;
}

static void
delete_row (const char *table, const char *key)
{
  Row *row = find_row (table, key);

  if (row == NULL)
    return;
  store_version++;
  free (row->value);
  *row = rows[--row_count];
  rows[row_count].value = NULL;
}

static void
put_instance_row (const Instance *instance)
{
  char text[512];
  char *value;

  if (!instance->listed)
    return;
  snprintf (
      text, sizeof text,
      "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":5,"
      "\"state\":\"%s\",\"cold_left_ms\":0,\"db_role\":\"%s\",\"seq_no\":1,\"born\":%lld}",
      instance->service, instance->address, instance->port,
      instance->leaving ? "draining" : "ready", instance->primary ? "primary" : "replica",
      (long long) instance->born_ms);
  value = encode_base64 (text);
  put_row ("servers", instance->id, value);
  free (value);
}

static void
send_http (Connection *connection, int status, const char *body)
{
  send_text (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
             "Content-Length: %zu\r\n\r\n",
             status, status == 200 ? "OK" : "Refused", strlen (body));
  send_bytes (connection, body, strlen (body));
}

static int
compare_rows (const void *a, const void *b)
{
  return strcmp (((const Row *) a)->key, ((const Row *) b)->key);
}

/* The rows that the store shows to the host of @connection. */
static Row *
visible_rows (const Connection *connection, int *count, uint64_t *version)
{
  const bool is_behind = connection->store_copy && copied_version != 0;

  *count = is_behind ? copied_count : row_count;
  *version = is_behind ? copied_version : store_version;
  return is_behind ? copied_rows : rows;
}

/* Answers with the rows of @table that are newer than @after, from the key @from on. */
static void
send_rows (Connection *connection, const char *table, uint64_t after, const char *from)
{
  int visible_count;
  uint64_t version;
  Row *visible = visible_rows (connection, &visible_count, &version);
  char *body = malloc (4 << 20);
  size_t length = (size_t) sprintf (body, "{\"rows\":[");
  int count = 0;
  bool first = true;
  bool more = false;

  qsort (visible, (size_t) visible_count, sizeof *visible, compare_rows);
  for (int i = 0; i < visible_count && !more; i++)
    {
      if (strcmp (visible[i].table, table) != 0 || visible[i].version <= after
          || strcmp (visible[i].key, from) < 0)
        continue;
      more = count++ == PAGE_ROWS;
      if (more)
        break;
      length += (size_t) sprintf (body + length, "%s" ROW_FORMAT, first ? "" : ",", table,
                                  visible[i].key, visible[i].value,
                                  (unsigned long long) visible[i].version);
      first = false;
    }
  sprintf (body + length, "],\"more_pages\":%s,\"ver\":%llu,\"now_ms\":%lld}",
           more ? "true" : "false", (unsigned long long) version, (long long) world_now_ms ());
  send_http (connection, 200, body);
  free (body);
}

/* How the store serves the host of @connection. */
static StoreState
store_state (const Connection *connection)
{
  return connection->store_copy && world.store == STORE_SERVES ? world.store_behind : world.store;
}

static bool
has_newer_row (const Connection *connection)
{
  int visible_count;
  uint64_t version;
  const Row *visible = visible_rows (connection, &visible_count, &version);

  for (int i = 0; i < visible_count; i++)
    if (strcmp (visible[i].table, connection->feed_table) == 0
        && visible[i].version > connection->feed_after)
      return true;
  return false;
}

/* Copies the text after @name up to one of @ends. */
static bool
copy_after (const char *text, const char *name, const char *ends, char *result, size_t size)
{
  const char *at = strstr (text, name);
  size_t length;

  *result = '\0';
  if (at == NULL)
    return false;
  at += strlen (name);
  length = strcspn (at, ends);
  if (length >= size)
    length = size - 1;
  memcpy (result, at, length);
  result[length] = '\0';
  return true;
}

/* Copies the text field @name of a JSON body. */
static bool
copy_field (const char *body, const char *name, char *result, size_t size)
{
  char quoted[WORLD_TEXT];
  const char *at;

  snprintf (quoted, sizeof quoted, "\"%s\"", name);
  *result = '\0';
  at = strstr (body, quoted);
  if (at == NULL)
    return false;
  at += strlen (quoted);
  at += strspn (at, ": ");
  return *at == '"' && copy_after (at, "\"", "\"", result, size);
}

/* Copies the next object of the list @name of a transaction to @object; @at is NULL at first. */
static bool
next_object (const char *body, const char *name, const char **at, char *object, size_t size)
{
  const char *start = *at == NULL ? strstr (body, name) : *at;
  const char *end;

  if (start == NULL)
    return false;
  start = strpbrk (*at == NULL ? start + strlen (name) : start, "{]");
  end = start == NULL || *start == ']' ? NULL : strchr (start, '}');
  if (end == NULL)
    return false;
  snprintf (object, size, "%.*s", (int) (end + 1 - start), start);
  *at = end + 1;
  return true;
}

/* Answers with 412 if a row has another version than the transaction expects. */
static bool
refuse_transaction (Connection *connection, const char *body)
{
  static char object[1 << 16], answer[1 << 17];
  char table[WORLD_TEXT], key[WORLD_TEXT], number[WORLD_TEXT];
  const char *at = NULL;
  bool refused = false;
  size_t length = (size_t) sprintf (answer, "{\"rows\":[");

  while (next_object (body, "\"precondition\"", &at, object, sizeof object))
    {
      const Row *row;

      copy_field (object, "table", table, sizeof table);
      copy_field (object, "key", key, sizeof key);
      copy_after (object, "\"ver\":", ",}", number, sizeof number);
      row = find_row (table, key);
      refused |= strtoull (number, NULL, 10) != (row == NULL ? 0 : row->version);
      if (row != NULL && length + strlen (row->value) + 300 < sizeof answer)
        length += (size_t) sprintf (answer + length, "%s" ROW_FORMAT,
                                    answer[length - 1] == '[' ? "" : ",", table, key, row->value,
                                    (unsigned long long) row->version);
    }
  if (!refused)
    return false;
  sprintf (answer + length, "],\"ver\":%llu,\"now_ms\":%lld}", (unsigned long long) store_version,
           (long long) world_now_ms ());
  send_http (connection, 412, answer);
  return true;
}

static void
run_transaction (Connection *connection, const char *body)
{
  static char object[1 << 16], value[1 << 16];
  char table[WORLD_TEXT], key[WORLD_TEXT], answer[96];
  const char *at = NULL;

  if (refuse_transaction (connection, body))
    return;
  while (next_object (body, "\"puts\"", &at, object, sizeof object))
    {
      copy_field (object, "table", table, sizeof table);
      copy_field (object, "key", key, sizeof key);
      if (copy_field (object, "value", value, sizeof value))
        put_row (table, key, value);
    }
  at = NULL;
  while (next_object (body, "\"deletes\"", &at, object, sizeof object))
    {
      copy_field (object, "table", table, sizeof table);
      copy_field (object, "key", key, sizeof key);
      delete_row (table, key);
    }
  snprintf (answer, sizeof answer, "{\"ver\":%llu,\"now_ms\":%lld}",
            (unsigned long long) store_version, (long long) world_now_ms ());
  send_http (connection, 200, answer);
}

static void
handle_store (Connection *connection, const char *path, const char *body)
{
  char table[WORLD_TEXT], number[WORLD_TEXT], key[WORLD_TEXT];

  copy_after (path, "table=", "& ", table, sizeof table);
  if (strncmp (path, "/-/rows-get", 11) == 0)
    {
      copy_after (path, "from=", "& ", key, sizeof key);
      send_rows (connection, table, 0, key);
    }
  else if (strncmp (path, "/-/rows-feed", 12) == 0)
    {
      copy_after (path, "after=", "& ", number, sizeof number);
      connection->feed_after = strtoull (number, NULL, 10);
      copy_after (path, "wait_ms=", "& ", number, sizeof number);
      connection->feed_until_ms = world_now_ms () + strtoll (number, NULL, 10);
      snprintf (connection->feed_table, sizeof connection->feed_table, "%s", table);
    }
  else if (strncmp (path, "/-/rows-tx", 10) == 0)
    run_transaction (connection, body);
  else
    send_http (connection, 404, "{}");
}

static int
find_instance (const char *id)
{
  for (int i = 0; i < world.instance_count; i++)
    if (strcmp (world.instances[i].id, id) == 0)
      return i;
  return -1;
}

/* Two holders must not promote with the same token. */
static void
note_token (const Instance *instance, const char *holder, const char *token)
{
  static struct
  {
    const char *service;
    char holder[WORLD_TEXT], token[WORLD_TEXT];
  } seen[256];
  static int count;

  for (int i = 0; i < count; i++)
    if (strcmp (seen[i].service, instance->service) == 0 && strcmp (seen[i].token, token) == 0)
      {
        world.shared_tokens += strcmp (seen[i].holder, holder) != 0;
        return;
      }
  if (count == 256)
    return;
  seen[count].service = instance->service;
  snprintf (seen[count].holder, WORLD_TEXT, "%s", holder);
  snprintf (seen[count++].token, WORLD_TEXT, "%s", token);
}

static void
handle_promoter (Connection *connection, const char *head, const char *body)
{
  char id[WORLD_TEXT], token[WORLD_TEXT], holder[WORLD_TEXT];
  int index;

  copy_field (body, "id", id, sizeof id);
  copy_after (head, "X-Fencing-Token: ", "\r", token, sizeof token);
  copy_after (head, "X-Lease-Holder: ", "\r", holder, sizeof holder);
  index = find_instance (id);
  world_record ("promote  instance=%s holder=%s generation=%s", id, holder, token);
  if (index >= 0)
    note_token (&world.instances[index], holder, token);
  if (index < 0 || world.instances[index].listen_fd < 0)
    {
      send_http (connection, 409, "{}");
      return;
    }
  if (!world.instances[index].primary && world.instances[index].promote_at_ms == 0)
    world.instances[index].promote_at_ms = world_now_ms () + world.promote_ms;
  send_http (connection, 200, "{}");
}

/* Handles one HTTP call; false if it is not complete yet. */
static bool
handle_http (Connection *connection)
{
  char *head_end;
  char path[256], length_text[WORLD_TEXT];
  char *head;
  size_t head_length, body_length = 0;

  if (connection->feed_until_ms != FEED_WAIT_NONE || connection->input_length == 0)
    return false;
  connection->input[connection->input_length] = '\0';
  head_end = strstr (connection->input, "\r\n\r\n");
  if (head_end == NULL)
    return false;
  head_length = (size_t) (head_end + 4 - connection->input);
  head = strndup (connection->input, head_length);
  if (copy_after (head, "Content-Length: ", "\r", length_text, sizeof length_text))
    body_length = strtoul (length_text, NULL, 10);
  if (connection->input_length < head_length + body_length)
    {
      free (head);
      return false;
    }
  copy_after (head, " ", " ", path, sizeof path);
  {
    char *body = strndup (connection->input + head_length, body_length);

    if (connection->kind == SOCKET_STORE && store_state (connection) == STORE_REFUSES)
      send_http (connection, 503, "{}");
    else if (connection->kind == SOCKET_STORE)
      handle_store (connection, path, body);
    else
      handle_promoter (connection, head, body);
    free (body);
  }
  free (head);
  memmove (connection->input, connection->input + head_length + body_length,
           connection->input_length - head_length - body_length);
  connection->input_length -= head_length + body_length;
  return true;
}

/* ---- the instances ---- */

static Entry
last_entry (const Instance *instance, int count)
{
  return count == 0 ? (Entry){ .term = instance->term } : instance->log[count - 1];
}

static int
readable_length (const Instance *instance)
{
  return instance->primary ? instance->received : instance->applied;
}

static void
send_ready (Connection *connection, const Instance *instance)
{
  const Entry last = last_entry (instance, readable_length (instance));

  send_text (connection, "READY %c %llu.%llu\r\n", connection->state,
             (unsigned long long) (instance->primary ? instance->term : last.term),
             (unsigned long long) last.number);
}

static void
send_error (Connection *connection, const Instance *instance, const char *code)
{
  send_text (connection, "ERROR %s %s\r\n", code, instance->id);
  if (connection->state == 'T' && strcmp (code, "RETRY") != 0)
    connection->state = 'E';
  send_ready (connection, instance);
}

static void
send_receipt (Connection *connection, const Instance *instance)
{
  send_text (connection, "COMPLETE 7.%s.%d\r\n", instance->id, ++receipts);
  send_ready (connection, instance);
}

static void
send_report (Connection *connection, const Instance *instance)
{
  const Entry last = last_entry (instance, instance->received);

  send_text (connection, "DATAROW %s %llu %llu.%llu %llu %d 0 1\r\nCOMPLETE -\r\n",
             instance->primary ? "primary" : "replica", (unsigned long long) instance->term,
             (unsigned long long) (instance->primary ? instance->term : last.term),
             (unsigned long long) last.number, (unsigned long long) instance->pause_token, 0);
  send_ready (connection, instance);
}

static void
start_commit (Connection *connection, Instance *instance)
{
  const int64_t now_ms = world_now_ms ();

  if (connection->writes == 0)
    {
      connection->state = 'I';
      send_receipt (connection, instance);
      return;
    }
  for (int i = 0; i < connection->writes; i++)
    {
      Entry entry = connection->pending[i];

      entry.term = instance->term;
      entry.number = last_entry (instance, instance->received).number + 1;
      entry.at_ms = now_ms;
      instance->log[instance->received++] = entry;
      if (world.on_commit != NULL)
        world.on_commit (instance, &entry);
    }
  connection->writes = 0;
  connection->state = 'I';
  connection->commit_index = instance->received;
}

static void
run_write (Connection *connection, Instance *instance, char *rest)
{
  Entry entry = { 0 };
  char *blank = strchr (rest, ' ');

  if (!instance->primary)
    {
      send_error (connection, instance, "READONLY");
      return;
    }
  if (connection->writes == MAX_WRITES || instance->received + MAX_WRITES >= WORLD_LOG)
    {
      send_error (connection, instance, "FAILED");
      return;
    }
  snprintf (entry.item, sizeof entry.item, "%.*s", (int) strcspn (rest, " "), rest);
  snprintf (entry.value, sizeof entry.value, "%s", blank == NULL ? "" : blank + 1);
  connection->pending[connection->writes++] = entry;
  if (connection->state == 'T')
    send_receipt (connection, instance);
  else
    start_commit (connection, instance);
}

static const char *
find_value (const Connection *connection, const Instance *instance, const char *item)
{
  for (int i = connection->writes; i > 0; i--)
    if (strcmp (connection->pending[i - 1].item, item) == 0)
      return connection->pending[i - 1].value;
  for (int i = readable_length (instance); i > 0; i--)
    if (strcmp (instance->log[i - 1].item, item) == 0)
      return instance->log[i - 1].value;
  return "none";
}

static void
run_read (Connection *connection, const Instance *instance, const char *item)
{
  if (strcmp (item, "big") == 0)
    {
      char *row = malloc (1 << 20);

      memset (row, 'x', 1 << 20);
      for (int i = 0; i < instance->big_rows; i++)
        {
          send_text (connection, "DATAROW ");
          send_bytes (connection, row, (1 << 20) - 100);
          send_text (connection, "\r\n");
        }
      free (row);
    }
  else
    send_text (connection, "DATAROW %s\r\n", find_value (connection, instance, item));
  if (!world.quiet)
    world_record ("run      instance=%s READ %s, log holds %d entries, applied %d", instance->id,
                  item, instance->received, readable_length (instance));
  send_receipt (connection, instance);
}

static void
end_transaction (Connection *connection, Instance *instance, bool commit)
{
  if (commit && connection->state == 'T' && connection->writes > 0 && !instance->primary)
    {
      connection->state = 'I';
      connection->writes = 0;
      send_error (connection, instance, "READONLY");
      return;
    }
  if (commit && connection->state == 'T')
    {
      start_commit (connection, instance);
      return;
    }
  connection->state = 'I';
  connection->writes = 0;
  send_receipt (connection, instance);
}

static bool
has_position (const Instance *instance, const char *text)
{
  const Entry last = last_entry (instance, readable_length (instance));
  char *end;
  const uint64_t term = strtoull (text, &end, 10);
  const uint64_t number = *end == '.' ? strtoull (end + 1, NULL, 10) : 0;

  if (instance->primary && instance->term > term)
    return true;
  return last.term > term || (last.term == term && last.number >= number)
         || (instance->primary && instance->term == term && last.number >= number);
}

static bool
prepared_writes (const Connection *connection, const char *name)
{
  for (int i = 0; i < connection->prepared_count; i++)
    if (strcmp (connection->prepared[i].name, name) == 0)
      return connection->prepared[i].writes;
  return false;
}

static void step_down (Instance *instance);

static void
run_command (Connection *connection, Instance *instance, const char *text)
{
  if (strncmp (text, "PAUSE ", 6) == 0 && !instance->primary)
    {
      instance->pause_token = strtoull (text + 6, NULL, 10);
      world_record ("command  instance=%s %s", instance->id, text);
    }
  else if (strcmp (text, "RESUME") == 0)
    {
      if (instance->pause_token != 0)
        instance->learn_at_ms = world_now_ms () + instance->learn_ms;
      instance->pause_token = 0;
      world_record ("command  instance=%s RESUME", instance->id);
    }
  else if (strncmp (text, "STEPDOWN ", 9) == 0 && instance->primary
           && instance->term < strtoull (text + 9, NULL, 10))
    {
      step_down (instance);
      world_record ("command  instance=%s STEPDOWN", instance->id);
    }
  send_report (connection, instance);
}

static void
run_query (Connection *connection, Instance *instance, char *text)
{
  char *rest;

  if (strcmp (text, "STATUS") == 0 || strncmp (text, "PAUSE", 5) == 0
      || strcmp (text, "RESUME") == 0 || strncmp (text, "STEPDOWN", 8) == 0)
    {
      run_command (connection, instance, text);
      return;
    }
  if (strncmp (text, "AFTER ", 6) == 0)
    {
      rest = strchr (text + 6, ' ');
      *rest = '\0';
      if (!has_position (instance, text + 6))
        {
          send_error (connection, instance, "LAGGING");
          return;
        }
      text = rest + 1;
    }
  rest = strchr (text, ' ');
  rest = rest == NULL ? text + strlen (text) : rest + 1;
  if (strncmp (text, "BEGIN", 5) == 0)
    {
      connection->read_only = strcmp (rest, "READ") == 0;
      if (!connection->read_only && !instance->primary)
        {
          send_error (connection, instance, "READONLY");
          return;
        }
      connection->state = 'T';
      connection->writes = 0;
      send_receipt (connection, instance);
    }
  else if (strncmp (text, "READ ", 5) == 0)
    run_read (connection, instance, rest);
  else if (strncmp (text, "WRITE ", 6) == 0)
    run_write (connection, instance, rest);
  else if (strncmp (text, "EXECUTE ", 8) == 0)
    {
      char name[WORLD_TEXT];
      char *argument = strchr (rest, ' ');

      snprintf (name, sizeof name, "%.*s", (int) strcspn (rest, " "), rest);
      argument = argument == NULL ? rest + strlen (rest) : argument + 1;
      if (prepared_writes (connection, name))
        run_write (connection, instance, argument);
      else
        run_read (connection, instance, argument);
    }
  else if (strncmp (text, "PREPARE ", 8) == 0 && connection->prepared_count < 32)
    {
      const int at = connection->prepared_count++;

      snprintf (connection->prepared[at].name, sizeof connection->prepared[at].name, "%.*s",
                (int) strcspn (rest, " "), rest);
      connection->prepared[at].writes = strstr (rest, " WRITE ") != NULL;
      send_text (connection, "COMPLETE -\r\n");
      send_ready (connection, instance);
    }
  else if (strcmp (text, "COMMIT") == 0 || strcmp (text, "ROLLBACK") == 0)
    end_transaction (connection, instance, *text == 'C');
  else
    {
      send_text (connection, "COMPLETE -\r\n");
      send_ready (connection, instance);
    }
}

/* Handles one line; false if none is complete or the session waits for a commit. */
static bool
handle_line (Connection *connection)
{
  Instance *instance = &world.instances[connection->instance];
  char *end;
  char *line;
  size_t used;

  if (connection->commit_index > 0 || connection->input_length == 0 || instance->dark
      || world_now_ms () < connection->answer_at_ms)
    return false;
  connection->input[connection->input_length] = '\0';
  end = strstr (connection->input, "\r\n");
  if (end == NULL)
    return false;
  used = (size_t) (end + 2 - connection->input);
  line = strndup (connection->input, used - 2);
  memmove (connection->input, connection->input + used, connection->input_length - used);
  connection->input_length -= used;
  if (strncmp (line, "START ", 6) == 0)
    {
      char service[WORLD_TEXT] = "", who[WORLD_TEXT] = "", id[WORLD_TEXT] = "";

      sscanf (line, "START %63s %63s %63s", service, who, id);
      connection->state = 'I';
      if (strcmp (service, instance->service) != 0
          || (*id != '\0' && strcmp (id, instance->id) != 0))
        send_text (connection, "ERROR WRONGNODE %s\r\n", instance->id);
      else
        send_ready (connection, instance);
    }
  else if (strncmp (line, "QUERY ", 6) == 0)
    {
      char *text = strchr (line + 6, ' ');

      if (text != NULL)
        run_query (connection, instance, text + 1);
      if (strncmp (line, "QUERY - ", 8) != 0)
        connection->answer_at_ms = world_now_ms () + instance->work_ms;
    }
  free (line);
  return true;
}

/* The primary of the service of @instance whose log it receives, or NULL. */
static Instance *
leader_of (Instance *instance)
{
  Instance *leader = &world.instances[instance->leader];

  return leader->primary && leader->listen_fd >= 0 && !leader->dark ? leader : NULL;
}

static void
step_down (Instance *instance)
{
  instance->primary = false;
  instance->applied = instance->received;
  instance->retire_ms = 0;
  put_instance_row (instance);
}

/* A primary steps down by itself some time after it has reached the one that replaced it. */
static void
retire (Instance *instance, int64_t now_ms)
{
  Instance *leader = &world.instances[instance->leader];

  if (!instance->primary || leader == instance || instance->listen_fd < 0 || instance->dark
      || leader_of (instance) == NULL || leader->deaf)
    {
      instance->retire_ms = 0;
      return;
    }
  if (instance->retire_ms == 0)
    instance->retire_ms = now_ms + RETIRE_MS;
  if (now_ms < instance->retire_ms)
    return;
  step_down (instance);
  world_record ("retired  instance=%s", instance->id);
}

/* Removes what @leader, whose term is new to @instance, does not have. */
static void
roll_back (Instance *instance, const Instance *leader)
{
  int common = 0;

  while (common < instance->received && common < leader->received
         && instance->log[common].term == leader->log[common].term
         && strcmp (instance->log[common].item, leader->log[common].item) == 0)
    common++;
  instance->received = common;
  if (instance->applied > common)
    instance->applied = common;
}

static void
replicate (Instance *instance, int64_t now_ms)
{
  Instance *leader = leader_of (instance);

  if (instance->primary || instance->listen_fd < 0 || instance->dark)
    return;
  if (leader != NULL && instance->pause_token == 0 && !instance->deaf
      && now_ms >= instance->learn_at_ms)
    {
      if (instance->term != leader->term)
        roll_back (instance, leader);
      instance->term = leader->term;
      while (instance->received < leader->received
             && leader->log[instance->received].at_ms + instance->link_ms <= now_ms)
        {
          instance->log[instance->received] = leader->log[instance->received];
          instance->received++;
        }
    }
  while (instance->applied < instance->received
         && instance->log[instance->applied].at_ms + instance->lag_ms <= now_ms)
    instance->applied++;
}

static void
finish_promotion (Instance *instance)
{
  const int index = (int) (instance - world.instances);
  uint64_t term = 0;

  for (int i = 0; i < world.instance_count; i++)
    if (strcmp (world.instances[i].service, instance->service) == 0
        && world.instances[i].term > term)
      term = world.instances[i].term;
  instance->promote_at_ms = 0;
  instance->primary = true;
  instance->leader = index;
  instance->pause_token = 0;
  instance->term = instance->promoted_term = term + 1;
  instance->applied = instance->received;
  world.promotions++;
  world_record ("promoted instance=%s term=%llu with a log of %d entries", instance->id,
                (unsigned long long) instance->term, instance->received);
  for (int i = 0; i < world.instance_count; i++)
    {
      Instance *other = &world.instances[i];

      if (other == instance || strcmp (other->service, instance->service) != 0)
        continue;
      other->leader = index;
      other->learn_at_ms = world_now_ms () + other->learn_ms;
    }
  put_instance_row (instance);
}

/* The replica that has the commit that @connection waits for, or NULL. */
static const Instance *
find_receiver (const Connection *connection)
{
  const Instance *instance = &world.instances[connection->instance];

  for (int k = 0; k < world.instance_count; k++)
    {
      const Instance *replica = &world.instances[k];

      if (replica != instance && !replica->primary && replica->leader == connection->instance
          && strcmp (replica->service, instance->service) == 0 && replica->listen_fd >= 0
          && !replica->dark && replica->received >= connection->commit_index)
        return replica;
    }
  return NULL;
}

/* Answers commits that a replica has received, or that need none. */
static void
finish_commits (void)
{
  for (int i = 0; i < connections_used; i++)
    {
      Connection *connection = &connections[i];
      const Instance *instance, *replica;
      const Entry *entry;

      if (connection->fd < 0 || connection->commit_index == 0)
        continue;
      instance = &world.instances[connection->instance];
      replica = find_receiver (connection);
      if (instance->dark || (replica == NULL && !instance->commits_alone))
        continue;
      entry = &instance->log[connection->commit_index - 1];
      world_record ("commit   %s %s at %s as %llu.%llu, received by %s", entry->item, entry->value,
                    instance->id, (unsigned long long) entry->term,
                    (unsigned long long) entry->number, replica == NULL ? "none" : replica->id);
      connection->commit_index = 0;
      send_receipt (connection, instance);
    }
}

void
world_crash_instance (Instance *instance)
{
  const int index = (int) (instance - world.instances);

  close (instance->listen_fd);
  instance->listen_fd = -1;
  for (int i = 0; i < connections_used; i++)
    if (connections[i].fd >= 0 && connections[i].kind == SOCKET_INSTANCE
        && connections[i].instance == index)
      connection_close (&connections[i]);
}

void
world_restore_instance (Instance *instance)
{
  world_lock ();
  instance->listen_fd = listen_at (instance->address, &instance->port);
  instance->pause_token = 0;
  instance->promote_at_ms = 0;
  instance->dark = false;
  if (instance->primary && instance->leader != (int) (instance - world.instances))
    step_down (instance);
  put_instance_row (instance);
  world_unlock ();
}

int
world_find_entry (const Instance *instance, const char *item)
{
  for (int i = 0; i < instance->received; i++)
    if (strcmp (instance->log[i].item, item) == 0)
      return i;
  return -1;
}

/* ---- the loop ---- */

static void
accept_all (int listen_fd, SocketKind kind, int instance)
{
  int fd;

  while ((fd = accept4 (listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
      int on = 1;

      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      for (int i = 0; i < CONNECTIONS; i++)
        if (connections[i].fd < 0)
          {
            connections_used = i < connections_used ? connections_used : i + 1;
            connections[i].fd = fd;
            connections[i].kind = kind;
            connections[i].instance = instance;
            connections[i].store_copy = listen_fd == store_copy_fd;
            connections[i].state = 'I';
            fd = -1;
            break;
          }
      if (fd >= 0)
        close (fd);
    }
}

/* Returns false if the connection has ended. */
static bool
receive (Connection *connection)
{
  ssize_t got;

  if (!connection->readable)
    return true;
  if (connection->input_size < connection->input_length + 65537)
    {
      connection->input_size = connection->input_length + 131072;
      connection->input = realloc (connection->input, connection->input_size);
    }
  got = read (connection->fd, connection->input + connection->input_length, 65536);
  if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
    return false;
  if (got > 0)
    connection->input_length += (size_t) got;
  return true;
}

static bool
transmit (Connection *connection)
{
  if (world_now_ms () < connection->answer_at_ms)
    return true;
  while (connection->output_sent < connection->output_length)
    {
      const ssize_t sent = send (connection->fd, connection->output + connection->output_sent,
                                 connection->output_length - connection->output_sent, MSG_NOSIGNAL);

      if (sent < 0)
        return errno == EAGAIN || errno == EINTR;
      connection->output_sent += (size_t) sent;
    }
  connection->output_sent = connection->output_length = 0;
  return true;
}

static void
serve_connection (Connection *connection, int64_t now_ms)
{
  if (connection->kind == SOCKET_INSTANCE)
    {
      if (world.instances[connection->instance].dark)
        return;
      if (!receive (connection))
        {
          connection_close (connection);
          return;
        }
      while (handle_line (connection))
        continue;
    }
  else
    {
      if (!receive (connection))
        {
          connection_close (connection);
          return;
        }
      if (connection->kind == SOCKET_STORE && store_state (connection) == STORE_SILENT)
        return;
      if (connection->feed_until_ms != FEED_WAIT_NONE
          && (has_newer_row (connection) || now_ms >= connection->feed_until_ms))
        {
          connection->feed_until_ms = FEED_WAIT_NONE;
          send_rows (connection, connection->feed_table, connection->feed_after, "");
        }
      while (handle_http (connection))
        continue;
    }
  if (!transmit (connection))
    connection_close (connection);
}

static void
find_readable (void)
{
  static struct pollfd polled[CONNECTIONS];

  for (int i = 0; i < connections_used; i++)
    polled[i] = (struct pollfd){ connections[i].fd, POLLIN, 0 };
  poll (polled, (nfds_t) connections_used, 0);
  for (int i = 0; i < connections_used; i++)
    connections[i].readable = polled[i].revents != 0;
}

static void
run_once (void)
{
  const int64_t now_ms = world_now_ms ();

  accept_all (store_fd, SOCKET_STORE, 0);
  accept_all (store_copy_fd, SOCKET_STORE, 0);
  accept_all (promoter_fd, SOCKET_PROMOTER, 0);
  for (int i = 0; i < world.instance_count; i++)
    {
      Instance *instance = &world.instances[i];

      if (instance->listen_fd >= 0 && !instance->dark)
        accept_all (instance->listen_fd, SOCKET_INSTANCE, i);
      if (instance->promote_at_ms != 0 && instance->listen_fd >= 0
          && now_ms >= instance->promote_at_ms)
        finish_promotion (instance);
    }
  for (int i = 0; i < world.instance_count; i++)
    {
      retire (&world.instances[i], now_ms);
      replicate (&world.instances[i], now_ms);
    }
  finish_commits ();
  find_readable ();
  for (int i = 0; i < connections_used; i++)
    if (connections[i].fd >= 0)
      serve_connection (&connections[i], now_ms);
}

static void *
run_world (void *data)
{
  for (;;)
    {
      world_lock ();
      run_once ();
      world_unlock ();
      usleep (500);
    }
  return data;
}

Instance *
world_add_instance (const char *service, const char *id, int64_t link_ms, int64_t lag_ms)
{
  const int index = world.instance_count++;
  Instance *instance = &world.instances[index];

  memset (instance, 0, sizeof *instance);
  snprintf (instance->service, sizeof instance->service, "%s", service);
  snprintf (instance->id, sizeof instance->id, "%s", id);
  instance->link_ms = link_ms;
  instance->lag_ms = lag_ms;
  instance->term = 1;
  instance->born_ms = (int64_t) time (NULL) * 1000;
  instance->leader = index;
  instance->primary = true;
  for (int i = 0; i < index; i++)
    if (strcmp (world.instances[i].service, service) == 0 && world.instances[i].primary)
      {
        instance->leader = i;
        instance->primary = false;
      }
  return instance;
}

static void
choose_addresses (void)
{
  const int a = 20 + (int) (getpid () % 200);
  const int b = 1 + (int) (getpid () / 200 % 250);

  snprintf (world.store_address, sizeof world.store_address, "127.%d.%d.1", a, b);
  snprintf (world.promoter_address, sizeof world.promoter_address, "127.%d.%d.2", a, b);
  for (int i = 0; i < world.instance_count; i++)
    snprintf (world.instances[i].address, WORLD_TEXT, "127.%d.%d.%d", a, b, 100 + i);
  for (int i = 0; i < world.host_count; i++)
    snprintf (world.hosts[i].address, WORLD_TEXT, "127.%d.%d.%d", a, b, 10 + i);
}

void
world_start (const char *record_path)
{
  pthread_t thread;

  signal (SIGPIPE, SIG_IGN);
  started_ms = world_now_ms ();
  record = fopen (record_path, "w");
  if (record == NULL)
    exit (2);
  for (int i = 0; i < CONNECTIONS; i++)
    connections[i].fd = -1;
  choose_addresses ();
  store_fd = listen_at (world.store_address, &world.store_port);
  store_copy_fd = listen_at (world.store_address, &world.store_copy_port);
  promoter_fd = listen_at (world.promoter_address, &world.promoter_port);
  if (store_fd < 0 || store_copy_fd < 0 || promoter_fd < 0)
    exit (2);
  for (int i = 0; i < world.instance_count; i++)
    {
      Instance *instance = &world.instances[i];

      instance->listen_fd = -1;
      if (instance->absent)
        continue;
      instance->listen_fd = listen_at (instance->address, &instance->port);
      if (instance->listen_fd < 0)
        exit (2);
      instance->listed = true;
      put_instance_row (instance);
    }
  free_ports (world.hosts[0].address,
              (int *const[]){ &world.front_port, &world.ready_port, &world.peer_port }, 3);
  pthread_create (&thread, NULL, run_world, NULL);
}

void
world_put_row (const char *table, const char *key, const char *document)
{
  char *value = encode_base64 (document);

  world_lock ();
  put_row (table, key, value);
  world_unlock ();
  free (value);
}

void
world_hold_store_copy (bool held)
{
  world_lock ();
  for (int i = 0; i < copied_count; i++)
    free (copied_rows[i].value);
  copied_count = held ? row_count : 0;
  copied_version = held ? store_version : 0;
  memcpy (copied_rows, rows, (size_t) copied_count * sizeof *rows);
  for (int i = 0; i < copied_count; i++)
    copied_rows[i].value = strdup (rows[i].value);
  world_unlock ();
  world_record ("trouble  the copy of the store %s", held ? "is held back" : "is new again");
}

void
world_list_instance (Instance *instance, bool listed)
{
  world_lock ();
  instance->listed = listed;
  if (listed)
    put_instance_row (instance);
  else
    delete_row ("servers", instance->id);
  world_unlock ();
}

void
world_put_config (uint64_t version, const char *routes, const char *services)
{
  char text[8192];
  char *value;

  snprintf (
      text, sizeof text,
      "{\"version\":%llu,\"routes\":%s,\"services\":%s,\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tx_idle_ms\":3000}}",
      (unsigned long long) version, routes, services);
  value = encode_base64 (text);
  world_lock ();
  put_row ("op", "config", value);
  world_unlock ();
  free (value);
  world_record ("operator version %llu acknowledged", (unsigned long long) version);
}

/* ---- the host processes ---- */

void
world_add_host (const char *name)
{
  snprintf (world.hosts[world.host_count].name, WORLD_TEXT, "%s", name);
  world.host_count++;
}

void
world_start_host (int index)
{
  HostProcess *host = &world.hosts[index];
  char listen_text[96], status[96], peer[16], store[96], promoter[96], metrics[96], path[256];
  char owners_from[16], drain_limit[16], memory_limit[16], descriptor_limit[16];
  const char *directory = getenv ("WORLD_DIRECTORY");
  const char *binary
      = getenv ("WORLD_BINARY") == NULL ? "target/peridotstep" : getenv ("WORLD_BINARY");
  pid_t pid;

  snprintf (listen_text, sizeof listen_text, "%s:%d", host->address, world.front_port);
  snprintf (status, sizeof status, "%s:%d", host->address, world.ready_port);
  snprintf (peer, sizeof peer, "%d", world.peer_port);
  snprintf (owners_from, sizeof owners_from, "%d", world.owners_from == 0 ? 33 : world.owners_from);
  snprintf (drain_limit, sizeof drain_limit, "%d",
            world.drain_limit_s == 0 ? 6 : world.drain_limit_s);
  snprintf (memory_limit, sizeof memory_limit, "%d", world.memory_limit_mb);
  snprintf (descriptor_limit, sizeof descriptor_limit, "%d",
            world.descriptor_limit == 0 ? 4300 : world.descriptor_limit);
  snprintf (store, sizeof store, "%s:%d", world.store_address,
            host->store_behind ? world.store_copy_port : world.store_port);
  snprintf (promoter, sizeof promoter, "%s:%d", world.promoter_address, world.promoter_port);
  snprintf (metrics, sizeof metrics, "%s:9464", host->address);
  snprintf (path, sizeof path, "%s/%s.log", directory == NULL ? "/tmp" : directory, host->name);
  pid = fork ();
  if (pid == 0)
    {
      const int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      setenv ("PERIDOTSTEP_DOMAINS", "{\"z1\":\"r1\"}", 1);
      execl (binary, binary, "pool", "--host", host->name, "--failure-domain", "z1", "--region",
             "r1", "--listen", listen_text, "--status-listen", status, "--peer-port", peer,
             "--store", store, "--promoter", promoter, "--drain-limit", drain_limit,
             "--owners-from", owners_from, "--descriptor-limit", descriptor_limit, "--memory-limit",
             memory_limit, "--metrics-listen", metrics, (char *) NULL);
      _exit (127);
    }
  host->pid = pid;
  host->starts++;
  world_record ("host     %s started", host->name);
}

void
world_signal_host (int index, int number)
{
  HostProcess *host = &world.hosts[index];

  kill (host->pid, number);
  world_record ("host     %s gets signal %d", host->name, number);
  if (number != SIGKILL)
    return;
  waitpid (host->pid, NULL, 0);
  host->pid = 0;
}

static int
connect_to (const char *address, int port, int receive_buffer)
{
  struct sockaddr_in at = make_address (address, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (receive_buffer > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *) &at, sizeof at) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
world_host_ready (int index)
{
  static const char request[] = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  const int fd = connect_to (world.hosts[index].address, world.ready_port, 0);
  char answer[16] = "";
  bool ready;

  if (fd < 0)
    return false;
  ready = write (fd, request, sizeof request - 1) > 0 && read (fd, answer, 12) == 12
          && strncmp (answer + 9, "200", 3) == 0;
  close (fd);
  return ready;
}

void
world_wait_ready (void)
{
  for (int tries = 0; tries < 150; tries++)
    {
      bool all = true;

      for (int i = 0; i < world.host_count; i++)
        all &= world.hosts[i].pid == 0 || world_host_ready (i);
      if (all)
        return;
      world_sleep_ms (100);
    }
  world_record ("the hosts did not become ready");
  world_end (2);
}

void
world_end (int status)
{
  for (int i = 0; i < world.host_count; i++)
    if (world.hosts[i].pid > 0)
      {
        kill (world.hosts[i].pid, SIGKILL);
        waitpid (world.hosts[i].pid, NULL, 0);
      }
  world_record ("exit     %d", status);
  _exit (status);
}

/* ---- consumers ---- */

static bool
read_line (Client *client, char *line, size_t size, int64_t until_ms, bool *closed)
{
  for (;;)
    {
      char *end = memchr (client->buffer, '\n', (size_t) client->length);
      struct pollfd item = { client->fd, POLLIN, 0 };
      ssize_t got;
      int used;

      *closed = false;
      if (end != NULL)
        {
          used = (int) (end + 1 - client->buffer);
          snprintf (line, size, "%.*s", used - 2, client->buffer);
          memmove (client->buffer, client->buffer + used, (size_t) (client->length - used));
          client->length -= used;
          return true;
        }
      /* A long row: only its start is kept. */
      if (client->length == (int) sizeof client->buffer)
        client->length = 1024;
      if (poll (&item, 1, until_ms > world_now_ms () ? (int) (until_ms - world_now_ms ()) : 0) <= 0)
        return false;
      got = read (client->fd, client->buffer + client->length,
                  sizeof client->buffer - (size_t) client->length);
      if (got <= 0)
        {
          *closed = true;
          return false;
        }
      client->length += (int) got;
    }
}

void
client_send (Client *client, const char *text)
{
  char line[1024];
  const int length = snprintf (line, sizeof line, "%s\r\n", text);

  if (send (client->fd, line, (size_t) length, MSG_NOSIGNAL) < 0)
    world_record ("consumer can't send: %s", strerror (errno));
}

Answer
client_read (Client *client, int64_t limit_ms)
{
  const int64_t until_ms = world_now_ms () + limit_ms;
  Answer answer = { 0 };
  char line[256];

  while (read_line (client, line, sizeof line, until_ms, &answer.closed))
    {
      if (strncmp (line, "DATAROW ", 8) == 0)
        snprintf (answer.row, sizeof answer.row, "%.60s", line + 8);
      else if (strncmp (line, "COMPLETE ", 9) == 0)
        {
          answer.complete = true;
          snprintf (answer.receipt, sizeof answer.receipt, "%.60s", line + 9);
        }
      else if (strncmp (line, "ERROR ", 6) == 0)
        {
          const int length = (int) strcspn (line + 6, " ");

          snprintf (answer.code, sizeof answer.code, "%.*s", length, line + 6);
          snprintf (answer.reason, sizeof answer.reason, "%.60s", line + 6 + length);
        }
      else if (strncmp (line, "READY ", 6) == 0)
        {
          answer.state = line[6];
          return answer;
        }
    }
  answer.complete = false;
  answer.timed_out = !answer.closed;
  return answer;
}

Answer
client_query (Client *client, const char *text, int64_t limit_ms)
{
  Answer answer;

  if (client->fd < 0)
    return (Answer){ .closed = true };
  world_record ("sent     %s", text);
  client_send (client, text);
  answer = client_read (client, limit_ms);
  world_record ("answered %s: %s%s%s%s", text, answer.complete ? "COMPLETE " : "",
                answer.complete ? answer.receipt : answer.code,
                answer.closed ? "connection closed" : "", answer.timed_out ? "no answer" : "");
  return answer;
}

bool
client_dial (Client *client, int host)
{
  client->length = 0;
  client->fd = connect_to (world.hosts[host].address, world.front_port, 16384);
  return client->fd >= 0;
}

void
client_start (Client *client, const char *database)
{
  char text[128];

  snprintf (text, sizeof text, "START %s consumer", database);
  client_send (client, text);
}

bool
client_connect (Client *client, int host, const char *database)
{
  if (!client_dial (client, host))
    return false;
  client_start (client, database);
  return true;
}

bool
client_open (Client *client, int host, const char *database)
{
  if (!client_connect (client, host, database))
    return false;
  if (client_read (client, 2000).state == 'I')
    return true;
  client_close (client);
  return false;
}

void
client_close (Client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}
