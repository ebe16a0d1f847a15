#include "standin/standin.h"

#include <pthread.h>

#include <talloc.h>
#include <tevent.h>

#include "base/mailbox.h"
#include "base/verdict.h"
#include "standin/platform-store.h"

#define HOST_LIST_LAG_MS 1000

struct Standin
{
  StandinOptions options;
  TALLOC_CTX *memory;
  struct tevent_context *events;
  Mailbox *mailbox;
  pthread_t thread;
  bool running;
  DatabaseGroup *groups[DEPLOYMENT_SERVICES];
  PlatformStore *store;
  char *url;
};

/* A command passed from a thread of the store to the thread of the groups, and its result. */
typedef struct
{
  MailboxMessage head;
  const json_t *request;
  json_t *result;
  pthread_mutex_t lock;
  pthread_cond_t done;
  bool is_done;
} Command;

static DatabaseGroup *
find_group (Standin *standin, const char *name)
{
  for (int i = 0; i < DEPLOYMENT_SERVICES; i++)
    if (name != NULL && g_strcmp0 (database_group_name (standin->groups[i]), name) == 0)
      return standin->groups[i];
  return NULL;
}

static json_t *
run_fault (Standin *standin, const json_t *request)
{
  DatabaseGroup *group
      = find_group (standin, json_string_value (json_object_get (request, "service")));
  const char *instance = json_string_value (json_object_get (request, "instance"));
  const char *kind = json_string_value (json_object_get (request, "fault"));
  int index = group == NULL || instance == NULL ? -1 : database_group_find (group, instance);
  StandinFault fault;

  // "primary" stands for the current primary.
  if (group != NULL && g_strcmp0 (instance, "primary") == 0)
    for (uint32_t i = 0; i < DEPLOYMENT_INSTANCES; i++)
      if (database_group_status (group, i).role == ROLE_PRIMARY)
        index = (int) i;
  if (index < 0 || !standin_fault_parse (kind, &fault))
    return NULL;
  database_group_set_fault (group, (uint32_t) index, fault,
                            json_integer_value (json_object_get (request, "value")));
  return json_pack ("{s:i}", "instance", index);
}

static json_t *
instance_stats (DatabaseGroup *group, uint32_t instance)
{
  static const char *const roles[]
      = { [ROLE_REPLICA] = "replica", [ROLE_PRIMARY] = "primary", [ROLE_FENCED] = "fenced" };
  const StandinStats stats = database_group_stats (group, instance);
  const InstanceStatus status = database_group_status (group, instance);

  return json_pack ("{s:s, s:I, s:I, s:I, s:i, s:i, s:I, s:I, s:i, s:i, s:i, s:I}", "role",
                    roles[status.role], "term", (json_int_t) status.term, "position",
                    (json_int_t) status.received.position, "applied",
                    (json_int_t) status.applied.position, "open", (int) stats.open, "most_open",
                    (int) stats.most_open, "refused", (json_int_t) stats.refused, "statements",
                    (json_int_t) stats.statements, "most_running", (int) stats.most_running,
                    "running", (int) stats.running, "transactions", (int) stats.transactions,
                    "longest_transaction_idle_ms", (json_int_t) stats.longest_transaction_idle_ms);
}

static json_t *
run_stats (Standin *standin)
{
  json_t *json = json_object ();

  for (int i = 0; i < DEPLOYMENT_SERVICES; i++)
    {
      json_t *list = json_array ();

      for (uint32_t j = 0; j < DEPLOYMENT_INSTANCES; j++)
        json_array_append_new (list, instance_stats (standin->groups[i], j));
      json_object_set_new (json, database_group_name (standin->groups[i]), list);
    }
  return json;
}

static void
on_command (void *receiver, MailboxMessage *message)
{
  Standin *standin = receiver;
  Command *command = (Command *) message;

  if (json_object_get (command->request, "fault") != NULL)
    command->result = run_fault (standin, command->request);
  else
    command->result = run_stats (standin);
  pthread_mutex_lock (&command->lock);
  command->is_done = true;
  pthread_cond_signal (&command->done);
  pthread_mutex_unlock (&command->lock);
}

static json_t *
run_command (const json_t *request, void *data)
{
  Standin *standin = data;
  Command command = { .request = request };
  json_t *result = NULL;

  if (standin->options.command != NULL)
    result = standin->options.command (request, standin->options.command_data);
  if (result != NULL)
    return result;
  command.head.deliver = on_command;
  pthread_mutex_init (&command.lock, NULL);
  pthread_cond_init (&command.done, NULL);
  mailbox_post (standin->mailbox, &command.head);
  pthread_mutex_lock (&command.lock);
  while (!command.is_done)
    pthread_cond_wait (&command.done, &command.lock);
  pthread_mutex_unlock (&command.lock);
  pthread_cond_destroy (&command.done);
  pthread_mutex_destroy (&command.lock);
  return command.result;
}

static void *
standin_main (void *data)
{
  Standin *standin = data;

  while (standin->running)
    if (tevent_loop_once (standin->events) != 0)
      break;
  return NULL;
}

static DatabaseGroup *
start_group (Standin *standin, uint32_t service)
{
  static const char *const names[DEPLOYMENT_INSTANCES] = { "a", "b", "c" };
  const StandinOptions *options = &standin->options;
  const Deployment *deployment = options->deployment;
  DatabaseGroupOptions group = {
    .name = talloc_asprintf (standin->memory, "%s%u", deployment->service_prefix, service + 1),
    .instance_count = DEPLOYMENT_INSTANCES,
    .slots = deployment->slots,
    .connections = deployment->connections,
    .connect_delay_ms = options->connect_delay_ms,
    .service_us = options->service_us,
    .lag_ms = options->lag_ms,
    .delay = options->emulate_network ? deployment_delay_us : NULL,
    .delay_data = (void *) deployment,
  };

  for (uint32_t i = 0; i < DEPLOYMENT_INSTANCES; i++)
    {
      StandinInstance *instance = &group.instances[i];

      instance->name = names[i];
      instance->address = options->address;
      if (options->database_port != 0)
        instance->port = (uint16_t) (options->database_port + service * DEPLOYMENT_INSTANCES + i);
      instance->failure_domain = deployment->domains[deployment_instance_domain (service, i)];
    }
  return database_group_new (standin->memory, standin->events, &group);
}

static void
free_components (Standin *standin)
{
  if (standin->store != NULL)
    platform_store_free (standin->store);
  talloc_free (standin->memory);
  g_free (standin->url);
  g_free (standin);
}

static bool
start_components (Standin *standin)
{
  const PlatformStoreOptions store = {
    .port = standin->options.platform_port,
    .host_lag_ms = HOST_LIST_LAG_MS,
    .command = run_command,
    .command_data = standin,
  };

  for (uint32_t i = 0; i < DEPLOYMENT_SERVICES; i++)
    {
      standin->groups[i] = start_group (standin, i);
      if (standin->groups[i] == NULL)
        return false;
    }
  standin->store = platform_store_new (&store);
  if (standin->store == NULL)
    return false;
  standin->url = g_strdup_printf ("http://127.0.0.1:%u", platform_store_port (standin->store));
  return true;
}

Standin *
standin_start (const StandinOptions *options, GError **error)
{
  Standin *standin = g_new0 (Standin, 1);

  standin->options = *options;
  standin->memory = talloc_new (NULL);
  standin->events = tevent_context_init (standin->memory);
  standin->mailbox = mailbox_new (standin->memory, standin->events, standin);
  standin->running = true;
  if (!start_components (standin)
      || pthread_create (&standin->thread, NULL, standin_main, standin) != 0)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_IO,
                   "a port of the stand-ins is taken (platform %u, databases from %u)",
                   options->platform_port, options->database_port);
      free_components (standin);
      return NULL;
    }
  return standin;
}

static void
on_stop (void *receiver, MailboxMessage *message)
{
  Standin *standin = receiver;

  standin->running = false;
  g_free (message);
}

void
standin_stop (Standin *standin)
{
  MailboxMessage *message = g_new0 (MailboxMessage, 1);

  // The store is stopped first: its threads post commands to the groups.
  platform_store_free (standin->store);
  standin->store = NULL;
  message->deliver = on_stop;
  mailbox_post (standin->mailbox, message);
  pthread_join (standin->thread, NULL);
  free_components (standin);
}

const char *
standin_platform_url (const Standin *standin)
{
  return standin->url;
}

json_t *
standin_config (const Standin *standin)
{
  uint16_t ports[DEPLOYMENT_SERVICES][DEPLOYMENT_INSTANCES];

  for (uint32_t i = 0; i < DEPLOYMENT_SERVICES; i++)
    for (uint32_t j = 0; j < DEPLOYMENT_INSTANCES; j++)
      ports[i][j] = database_group_port (standin->groups[i], j);
  return deployment_config (standin->options.deployment, standin->options.address, ports);
}
