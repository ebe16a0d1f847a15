#include "fake-group.h"

#include <inttypes.h>
#include <string.h>
#include <unistd.h>

#include "base/stream.h"

#define INSTANCES 3
#define SERVICE "ledger"

typedef struct
{
  guint64 term;
  char *item;
  char *data;
} Entry;

typedef struct Instance Instance;

typedef struct
{
  Instance *instance;
  Stream *stream;
  bool open;
  bool in_transaction;
  bool failed;
  bool read_only;
  guint64 begun_term;
  GPtrArray *writes; /* Entry; of the open transaction */
  GHashTable *values;
  GHashTable *prepared;
} Session;

struct Instance
{
  FakeGroup *group;
  char name[8];
  char service[16];
  const char *domain;
  int fd;
  guint16 port;
  struct tevent_fd *fde;
  bool primary;
  guint64 term;
  guint64 pause_token;
  bool leaving;
  FakeFault fault;
  GPtrArray *log;
  GPtrArray *sessions;
  guint statements;
};

struct FakeGroup
{
  struct tevent_context *events;
  Instance instances[INSTANCES];
};

static void
entry_free (void *data)
{
  Entry *entry = data;

  g_free (entry->item);
  g_free (entry->data);
  g_free (entry);
}

static Entry *
entry_new (guint64 term, const char *item, const char *data)
{
  Entry *entry = g_new0 (Entry, 1);

  entry->term = term;
  entry->item = g_strdup (item);
  entry->data = g_strdup (data);
  return entry;
}

static int
session_destroy (Session *session)
{
  g_ptr_array_remove_fast (session->instance->sessions, session);
  g_ptr_array_free (session->writes, true);
  g_hash_table_destroy (session->values);
  g_hash_table_destroy (session->prepared);
  return 0;
}

static guint64
log_term (const Instance *instance)
{
  const Entry *last;

  if (instance->log->len == 0)
    return instance->term;
  last = instance->log->pdata[instance->log->len - 1];
  return last->term;
}

static void G_GNUC_PRINTF (2, 3) send_line (Session *session, const char *format, ...)
{
  va_list args;
  char *text;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_byte_array_append (stream_output (session->stream), (const guint8 *) text,
                       (guint) strlen (text));
  g_byte_array_append (stream_output (session->stream), (const guint8 *) "\r\n", 2);
  g_free (text);
}

static void
send_ready (Session *session)
{
  const Instance *instance = session->instance;
  char state = 'I';

  if (session->in_transaction)
    state = session->failed ? 'E' : 'T';
  send_line (session, "READY %c %" PRIu64 ".%u", state, log_term (instance), instance->log->len);
}

static void
complete (Session *session, const char *id)
{
  send_line (session, "COMPLETE %s:%s", id, session->instance->name);
}

static void
send_error (Session *session, const char *code)
{
  session->failed = session->in_transaction;
  send_line (session, "ERROR %s %s", code, session->instance->name);
}

/* A commit is acknowledged once a replica has it; without one it stays unanswered. */
static bool
replicate (Instance *primary, GPtrArray *writes)
{
  bool received = false;

  for (guint i = 0; i < writes->len; i++)
    {
      const Entry *write = writes->pdata[i];

      g_ptr_array_add (primary->log, entry_new (primary->term, write->item, write->data));
    }
  for (int i = 0; i < INSTANCES; i++)
    {
      Instance *replica = &primary->group->instances[i];

      if (replica == primary || replica->primary || replica->pause_token != 0
          || replica->fault == FAKE_FAULT_NOT_REPLICATING || replica->fault == FAKE_FAULT_DOWN
          || replica->fault == FAKE_FAULT_UNRESPONSIVE)
        continue;
      replica->term = primary->term;
      for (guint at = replica->log->len; at < primary->log->len; at++)
        {
          const Entry *entry = primary->log->pdata[at];

          g_ptr_array_add (replica->log, entry_new (entry->term, entry->item, entry->data));
        }
      received = true;
    }
  return received;
}

static const char *
value_of (const Session *session, const char *item)
{
  const GPtrArray *log = session->instance->log;

  // "@name" reads a session value; "@caller" the customer that the instance was told.
  if (*item == '@')
    {
      const char *value = g_hash_table_lookup (session->values, item + 1);

      return value == NULL ? "(none)" : value;
    }
  for (guint i = log->len; i > 0; i--)
    {
      const Entry *entry = log->pdata[i - 1];

      if (strcmp (entry->item, item) == 0)
        return entry->data;
    }
  return "(none)";
}

/* Returns false if no answer is sent. */
static bool
commit (Session *session, const char *id)
{
  Instance *instance = session->instance;
  bool answered = true;

  session->in_transaction = false;
  if (session->writes->len > 0 && (!instance->primary || session->begun_term != instance->term))
    send_error (session, "READONLY");
  else if (session->writes->len > 0)
    {
      answered = replicate (instance, session->writes);
      if (answered)
        complete (session, id);
    }
  else
    complete (session, id);
  g_ptr_array_set_size (session->writes, 0);
  return answered;
}

static bool
write_item (Session *session, const char *id, const char *item, const char *data)
{
  Instance *instance = session->instance;

  if (!instance->primary || session->read_only)
    {
      send_error (session, "READONLY");
      return true;
    }
  g_ptr_array_add (session->writes, entry_new (instance->term, item, data));
  if (session->in_transaction)
    {
      complete (session, id);
      return true;
    }
  session->begun_term = instance->term;
  return commit (session, id);
}

static void
read_item (Session *session, const char *id, const char *item)
{
  if (session->in_transaction && !session->read_only && !session->instance->primary)
    {
      send_error (session, "READONLY");
      return;
    }
  send_line (session, "DATAROW %s", value_of (session, item));
  complete (session, id);
}

static bool
execute (Session *session, const char *id, char **words)
{
  const char *text = g_hash_table_lookup (session->prepared, words[1]);

  if (text == NULL)
    {
      send_error (session, "NOSTMT");
      return true;
    }
  if (g_str_has_prefix (text, "WRITE "))
    return write_item (session, id, words[2], words[3] == NULL ? "" : words[3]);
  send_line (session, "DATAROW %s %s", text, value_of (session, words[2]));
  complete (session, id);
  return true;
}

static void
begin (Session *session, const char *id, bool read_only)
{
  if (!read_only && !session->instance->primary)
    {
      send_line (session, "ERROR READONLY %s", session->instance->name);
      return;
    }
  session->in_transaction = true;
  session->failed = false;
  session->read_only = read_only;
  session->begun_term = session->instance->term;
  complete (session, id);
}

static bool
lacks_position (const Session *session, const char *position)
{
  char **parts = g_strsplit (position, ".", 2);
  const guint64 term = g_ascii_strtoull (parts[0], NULL, 10);
  const guint64 number = g_ascii_strtoull (parts[1], NULL, 10);
  const Instance *instance = session->instance;

  g_strfreev (parts);
  return log_term (instance) < term || instance->log->len < number;
}

static bool
run_command (Session *session, char **words)
{
  Instance *instance = session->instance;
  const guint64 token = words[1] == NULL ? 0 : g_ascii_strtoull (words[1], NULL, 10);

  if (strcmp (words[0], "PAUSE") == 0 && !instance->primary && token > instance->term)
    instance->pause_token = token;
  else if (strcmp (words[0], "RESUME") == 0)
    instance->pause_token = 0;
  else if (strcmp (words[0], "STEPDOWN") == 0 && token > instance->term)
    instance->primary = false;
  send_line (session, "DATAROW %s %" PRIu64 " %" PRIu64 ".%u %" PRIu64 " 0 0 %u",
             instance->primary ? "primary" : "replica", instance->term, log_term (instance),
             instance->log->len, instance->pause_token, instance->sessions->len);
  send_line (session, "COMPLETE -");
  return true;
}

static bool
run_words (Session *session, const char *id, char **words)
{
  if (strcmp (words[0], "AFTER") == 0)
    {
      if (lacks_position (session, words[1]))
        {
          send_error (session, "LAGGING");
          return true;
        }
      words += 2;
    }
  if (strcmp (words[0], "BEGIN") == 0)
    begin (session, id, words[1] != NULL);
  else if (strcmp (words[0], "COMMIT") == 0)
    return commit (session, id);
  else if (strcmp (words[0], "ROLLBACK") == 0)
    {
      session->in_transaction = false;
      g_ptr_array_set_size (session->writes, 0);
      complete (session, id);
    }
  else if (strcmp (words[0], "READ") == 0)
    read_item (session, id, words[1]);
  else if (strcmp (words[0], "WRITE") == 0)
    return write_item (session, id, words[1], words[2]);
  else if (strcmp (words[0], "EXECUTE") == 0)
    return execute (session, id, words);
  else if (strcmp (words[0], "SET") == 0)
    {
      g_hash_table_replace (session->values, g_strdup (words[1]), g_strdup (words[2]));
      send_line (session, "COMPLETE -");
    }
  else if (strcmp (words[0], "PREPARE") == 0)
    {
      g_hash_table_replace (session->prepared, g_strdup (words[1]),
                            g_strjoin (" ", words[2], words[3], NULL));
      send_line (session, "COMPLETE -");
    }
  else if (strcmp (words[0], "RESET") == 0)
    {
      g_hash_table_remove_all (session->values);
      g_hash_table_remove_all (session->prepared);
      send_line (session, "COMPLETE -");
    }
  else
    return run_command (session, words);
  return true;
}

static bool
is_setup_command (char **words)
{
  static const char *const commands[] = { "SET", "PREPARE", "RESET", NULL };

  return g_strv_contains (commands, words[0]);
}

/* Returns false if the session was freed. */
static bool
run_query (Session *session, const char *text)
{
  Instance *instance = session->instance;
  char **query = g_strsplit (text, " ", 2);
  char **words = g_strsplit (query[1], " ", -1);
  bool answered = true;
  bool lost = false;
  bool withheld = false;

  if (strcmp (query[0], "-") != 0)
    {
      instance->statements++;
      lost = instance->fault == FAKE_FAULT_CLOSE_UNANSWERED;
      withheld = instance->fault == FAKE_FAULT_WITHHOLD_ANSWER;
    }
  if (instance->fault == FAKE_FAULT_BUSY && !is_setup_command (words))
    send_line (session, "ERROR RETRY %s", instance->name);
  else
    answered = run_words (session, query[0], words);
  if (answered)
    send_ready (session);
  g_strfreev (words);
  g_strfreev (query);
  if (withheld)
    {
      instance->fault = FAKE_FAULT_NONE;
      g_byte_array_set_size (stream_output (session->stream), 0);
    }
  if (!lost)
    return true;
  instance->fault = FAKE_FAULT_NONE;
  talloc_free (session);
  return false;
}

/* Returns false if the session was freed. */
static bool
handle_line (Session *session, const char *line)
{
  Instance *instance = session->instance;
  char **words;

  if (g_str_has_prefix (line, "QUERY "))
    return run_query (session, line + strlen ("QUERY "));
  if (!g_str_has_prefix (line, "START "))
    return true;
  words = g_strsplit (line, " ", 4);
  if (strcmp (words[1], instance->service) != 0 || strcmp (words[3], instance->name) != 0)
    send_line (session, "ERROR WRONGNODE %s", instance->name);
  else if (instance->fault == FAKE_FAULT_FULL)
    send_line (session, "ERROR CONNLIMIT %s", instance->name);
  else
    {
      g_hash_table_replace (session->values, g_strdup ("caller"), g_strdup (words[2]));
      send_ready (session);
    }
  g_strfreev (words);
  return true;
}

static void
on_readable (void *data)
{
  Session *session = data;
  const GByteArray *input = stream_input (session->stream);
  const guint8 *end;

  if (session->instance->fault == FAKE_FAULT_UNRESPONSIVE)
    return;
  while ((end = memchr (input->data, '\n', input->len)) != NULL)
    {
      const guint size = (guint) (end - input->data) + 1;
      char *line = g_strndup ((const char *) input->data, size - 2);
      bool alive;

      stream_consume (session->stream, size);
      alive = handle_line (session, line);
      g_free (line);
      if (!alive)
        return;
    }
  stream_flush (session->stream);
}

static void
on_drained (void *data)
{
}

static void
on_closed (void *data)
{
  talloc_free (data);
}

static const StreamEvents events = { on_readable, on_drained, on_closed };

static void
on_accept (struct tevent_context *context, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Instance *instance = data;
  Session *session;
  int fd;

  while ((fd = stream_accept (instance->fd)) >= 0)
    {
      if (instance->fault == FAKE_FAULT_RESET)
        {
          close (fd);
          continue;
        }
      session = talloc_zero (instance->group, Session);
      session->instance = instance;
      session->writes = g_ptr_array_new_with_free_func (entry_free);
      session->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      session->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      session->stream = stream_new (session, instance->group->events, fd, &events, session);
      g_ptr_array_add (instance->sessions, session);
      talloc_set_destructor (session, session_destroy);
    }
}

static void
start_listening (Instance *instance)
{
  instance->fd = stream_listen ("127.0.0.1", instance->port, false);
  instance->port = stream_port (instance->fd);
  instance->fde = tevent_add_fd (instance->group->events, instance->group, instance->fd,
                                 TEVENT_FD_READ, on_accept, instance);
}

static void
close_all (Instance *instance)
{
  TALLOC_FREE (instance->fde);
  if (instance->fd >= 0)
    close (instance->fd);
  instance->fd = -1;
  while (instance->sessions->len > 0)
    talloc_free (instance->sessions->pdata[0]);
}

static int
group_destroy (FakeGroup *group)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      close_all (&group->instances[i]);
      g_ptr_array_free (group->instances[i].log, true);
      g_ptr_array_free (group->instances[i].sessions, true);
    }
  return 0;
}

FakeGroup *
fake_group_new (TALLOC_CTX *parent, struct tevent_context *context)
{
  static const char *const names[INSTANCES] = { "p", "r", "s" };
  static const char *const domains[INSTANCES] = { "north-1", "north-2", "south-1" };
  FakeGroup *group = talloc_zero (parent, FakeGroup);

  group->events = context;
  for (int i = 0; i < INSTANCES; i++)
    {
      Instance *instance = &group->instances[i];

      instance->group = group;
      instance->domain = domains[i];
      instance->primary = i == 0;
      instance->term = 1;
      instance->log = g_ptr_array_new_with_free_func (entry_free);
      instance->sessions = g_ptr_array_new ();
      g_strlcpy (instance->name, names[i], sizeof instance->name);
      g_strlcpy (instance->service, SERVICE, sizeof instance->service);
      start_listening (instance);
    }
  talloc_set_destructor (group, group_destroy);
  return group;
}

static Instance *
find_instance (FakeGroup *group, const char *name)
{
  for (int i = 0; i < INSTANCES; i++)
    if (strcmp (group->instances[i].name, name) == 0)
      return &group->instances[i];
  g_error ("no instance %s", name);
}

/* A replica that follows again gets the log entries it missed, as far as a primary has them. */
static void
catch_up (Instance *replica)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      Instance *primary = &replica->group->instances[i];
      GPtrArray *no_writes;

      if (!primary->primary || primary == replica || primary->fault == FAKE_FAULT_DOWN)
        continue;
      no_writes = g_ptr_array_new ();
      replicate (primary, no_writes);
      g_ptr_array_free (no_writes, true);
    }
}

void
fake_group_set_fault (FakeGroup *group, const char *name, FakeFault fault)
{
  Instance *instance = find_instance (group, name);
  const FakeFault before = instance->fault;

  instance->fault = fault;
  if (fault == FAKE_FAULT_DOWN)
    close_all (instance);
  else if (before == FAKE_FAULT_DOWN)
    start_listening (instance);
  if (fault != FAKE_FAULT_NONE)
    return;
  catch_up (instance);
  for (guint i = instance->sessions->len; i > 0; i--)
    on_readable (instance->sessions->pdata[i - 1]);
}

void
fake_group_set_leaving (FakeGroup *group, const char *name)
{
  find_instance (group, name)->leaving = true;
}

void
fake_group_reuse_address (FakeGroup *group, const char *name)
{
  Instance *instance = find_instance (group, name);

  close_all (instance);
  g_strlcpy (instance->service, "other", sizeof instance->service);
  start_listening (instance);
}

bool
fake_group_promote (FakeGroup *group, const char *name)
{
  Instance *instance = find_instance (group, name);
  guint64 term = 0;

  if (instance->fault == FAKE_FAULT_DOWN)
    return false;
  instance->primary = true;
  instance->pause_token = 0;
  for (int i = 0; i < INSTANCES; i++)
    term = MAX (term, group->instances[i].term);
  instance->term = term + 1;
  for (int i = 0; i < INSTANCES; i++)
    {
      Instance *other = &group->instances[i];

      // An old primary with a fault still considers itself the primary.
      if (other != instance && other->fault == FAKE_FAULT_NONE)
        other->primary = false;
    }
  return true;
}

GArray *
fake_group_infos (const FakeGroup *group)
{
  GArray *infos = g_array_new (false, true, sizeof (InstanceInfo));

  for (int i = 0; i < INSTANCES; i++)
    {
      const Instance *instance = &group->instances[i];
      InstanceInfo info = {
        .port = instance->port,
        .started_ms = 1,
        .slots = 5,
        .leaving = instance->leaving,
        .primary = instance->primary,
      };

      if (strcmp (instance->service, SERVICE) != 0)
        continue;
      g_strlcpy (info.id, instance->name, sizeof info.id);
      g_strlcpy (info.service, instance->service, sizeof info.service);
      g_strlcpy (info.address, "127.0.0.1", sizeof info.address);
      g_strlcpy (info.failure_domain, instance->domain, sizeof info.failure_domain);
      g_array_append_val (infos, info);
    }
  return infos;
}

void
fake_group_print (const FakeGroup *group, GString *out)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      const Instance *instance = &group->instances[i];

      g_string_append_printf (out, "%s %s term %" PRIu64 " log %u paused %s statements %u\n",
                              instance->name, instance->primary ? "primary" : "replica",
                              instance->term, instance->log->len,
                              instance->pause_token == 0 ? "no" : "yes", instance->statements);
    }
}
