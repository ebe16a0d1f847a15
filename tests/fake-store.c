#include "fake-store.h"

#include <string.h>

/* Time from a call to its arrival, and of a call that does not wait. */
#define ARRIVAL_MS 5
/* A long poll that gets no answer is given up this long after its requested wait. */
#define WATCH_GRACE_MS 1500

typedef struct
{
  guint64 revision;
  guint64 version;
  guint64 config_revision; /* at which that version was written */
  guint instances;
  GPtrArray *hosts; /* ids, sorted */
} Content;

struct FakeStore
{
  TimerQueue *timers;
  guint64 era;
  Content content;
  Content backup;
  guint64 before_watch; /* version written right before the next watch arrives; 0 for none */
  GPtrArray *calls;     /* Call, under way */
};

typedef enum
{
  CALL_CONFIGURATION,
  CALL_WATCH,
  CALL_INSTANCES,
  CALL_HOSTS,
  CALL_PUT_HOST
} CallKind;

typedef struct
{
  FakeStoreClient *client;
  CallKind kind;
  union
  {
    ConfigurationCallback configuration;
    InstancesCallback instances;
    HostsCallback hosts;
    StoreCallback written;
  } done;
  void *data;
  guint64 revision; /* watched from */
  HostEntry host;
  bool unregister;
  int64_t timeout_ms;
  bool arrived; /* a watch that waits at the store */
  Timer timer;
} Call;

static int
call_destroy (Call *call)
{
  timer_clear (&call->timer);
  g_ptr_array_remove (call->client->store->calls, call);
  return 0;
}

static Catalog *
make_catalog (guint64 version)
{
  Catalog *catalog = catalog_new (version);
  const ServiceEntry service = { (char *) "ledger", 30, 1 };
  const Database database = {
    .name = (char *) "sales",
    .service = (char *) "ledger",
    .consistency = CONSISTENCY_SESSION,
    .staleness_ms = 2500,
    .statement_ms = 1000,
    .operation_ms = 500,
    .attempts = 2,
    .priority = PRIORITY_NORMAL,
  };

  catalog->idle_transaction_ms = 900;
  catalog_add_service (catalog, &service);
  catalog_add_database (catalog, &database);
  return catalog;
}

static GArray *
make_infos (guint count)
{
  GArray *infos = g_array_new (false, true, sizeof (InstanceInfo));

  for (guint i = 0; i < count; i++)
    {
      InstanceInfo info = { .port = 5000, .started_ms = 1, .slots = 5, .primary = i == 0 };

      g_snprintf (info.id, sizeof info.id, "i%u", i);
      g_strlcpy (info.service, "ledger", sizeof info.service);
      g_strlcpy (info.address, "10.0.0.1", sizeof info.address);
      g_strlcpy (info.failure_domain, "north-1", sizeof info.failure_domain);
      g_array_append_val (infos, info);
    }
  return infos;
}

static GArray *
make_hosts (const GPtrArray *ids)
{
  GArray *hosts = g_array_new (false, true, sizeof (HostEntry));

  for (guint i = 0; i < ids->len; i++)
    {
      HostEntry host = { .address = "10.0.0.1", .port = 7440 };

      g_strlcpy (host.id, ids->pdata[i], sizeof host.id);
      g_array_append_val (hosts, host);
    }
  return hosts;
}

static void
answer_configuration (const Call *call, const StoreAnswer *answer, bool with_catalog)
{
  Catalog *catalog = with_catalog ? make_catalog (call->client->store->content.version) : NULL;

  call->done.configuration (call->data, answer, catalog);
  if (catalog != NULL)
    catalog_unref (catalog);
}

static void
answer_instances (const Call *call, const StoreAnswer *answer, guint count)
{
  GArray *infos = make_infos (count);

  call->done.instances (call->data, answer, infos);
  g_array_free (infos, true);
}

static void
answer_hosts (const Call *call, const StoreAnswer *answer, const GPtrArray *ids)
{
  GArray *hosts = make_hosts (ids);

  call->done.hosts (call->data, answer, hosts);
  g_array_free (hosts, true);
}

/* Ends @call without data: refused, lost, or watched from a revision that the store lacks. */
static void
fail_call (Call *call, DirectoryResult result, guint64 era)
{
  const StoreAnswer answer = { .result = result, .era = era };
  GPtrArray *none = g_ptr_array_new ();

  switch (call->kind)
    {
    case CALL_CONFIGURATION:
    case CALL_WATCH:
      answer_configuration (call, &answer, false);
      break;
    case CALL_INSTANCES:
      answer_instances (call, &answer, 0);
      break;
    case CALL_HOSTS:
      answer_hosts (call, &answer, none);
      break;
    case CALL_PUT_HOST:
      call->done.written (call->data, &answer);
      break;
    }
  g_ptr_array_free (none, true);
  talloc_free (call);
}

static int
compare_ids (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static void
put_host (Content *content, const char *id, bool unregister)
{
  guint index;

  content->revision++;
  if (g_ptr_array_find_with_equal_func (content->hosts, id, g_str_equal, &index))
    g_ptr_array_remove_index (content->hosts, index);
  if (!unregister)
    g_ptr_array_add (content->hosts, g_strdup (id));
  g_ptr_array_sort (content->hosts, compare_ids);
}

/* Ends @call with the store's data. */
static void
answer_call (Call *call)
{
  FakeStore *store = call->client->store;
  StoreAnswer answer = { .result = DIRECTORY_OK, .era = store->era };

  if (call->kind == CALL_PUT_HOST)
    put_host (&store->content, call->host.id, call->unregister);
  answer.revision = store->content.revision;
  switch (call->kind)
    {
    case CALL_CONFIGURATION:
      answer_configuration (call, &answer, true);
      break;
    case CALL_WATCH:
      answer_configuration (call, &answer, store->content.config_revision > call->revision);
      break;
    case CALL_INSTANCES:
      answer_instances (call, &answer, store->content.instances);
      break;
    case CALL_HOSTS:
      answer_hosts (call, &answer, store->content.hosts);
      break;
    case CALL_PUT_HOST:
      call->done.written (call->data, &answer);
      break;
    }
  talloc_free (call);
}

static void
on_timed_out (void *data)
{
  fail_call (data, DIRECTORY_UNKNOWN, 0);
}

static void
on_waited (void *data)
{
  answer_call (data);
}

static void
set_timer (Call *call, void (*fired) (void *data), int64_t delay_ms)
{
  call->timer.fired = fired;
  call->timer.data = call;
  timer_set (call->client->store->timers, &call->timer, delay_ms);
}

static void
receive_watch (Call *call)
{
  FakeStore *store = call->client->store;

  if (store->before_watch != 0)
    {
      const guint64 version = store->before_watch;

      store->before_watch = 0;
      fake_store_put_config (store, version);
    }
  if (call->revision > store->content.revision)
    fail_call (call, DIRECTORY_COMPACTED, store->era);
  else if (store->content.config_revision > call->revision)
    answer_call (call);
  else
    {
      call->arrived = true;
      set_timer (call, on_waited, call->timeout_ms);
    }
}

static void
on_arrived (void *data)
{
  Call *call = data;

  switch (call->client->access)
    {
    case FAKE_STORE_DOWN:
      fail_call (call, DIRECTORY_REFUSED, 0);
      return;
    case FAKE_STORE_SILENT:
      set_timer (call, on_timed_out, call->timeout_ms);
      return;
    case FAKE_STORE_OK:
      break;
    }
  if (call->kind == CALL_WATCH)
    receive_watch (call);
  else
    answer_call (call);
}

static Call *
start_call (void *self, CallKind kind, int64_t timeout_ms, void *data)
{
  FakeStoreClient *client = self;
  Call *call = talloc_zero (client, Call);

  call->client = client;
  call->kind = kind;
  call->timeout_ms = timeout_ms;
  call->data = data;
  client->calls++;
  g_ptr_array_add (client->store->calls, call);
  talloc_set_destructor (call, call_destroy);
  set_timer (call, on_arrived, ARRIVAL_MS);
  return call;
}

static void
call_get_configuration (void *self, int64_t timeout_ms, ConfigurationCallback done, void *data)
{
  start_call (self, CALL_CONFIGURATION, timeout_ms, data)->done.configuration = done;
}

static void
call_watch_configuration (void *self, uint64_t revision, int64_t wait_ms,
                          ConfigurationCallback done, void *data)
{
  Call *call = start_call (self, CALL_WATCH, wait_ms, data);

  call->done.configuration = done;
  call->revision = revision;
}

static void
call_get_instances (void *self, int64_t timeout_ms, InstancesCallback done, void *data)
{
  start_call (self, CALL_INSTANCES, timeout_ms, data)->done.instances = done;
}

static void
call_get_hosts (void *self, int64_t timeout_ms, HostsCallback done, void *data)
{
  start_call (self, CALL_HOSTS, timeout_ms, data)->done.hosts = done;
}

static void
call_put_host (void *self, const HostEntry *host, bool unregister, int64_t timeout_ms,
               StoreCallback done, void *data)
{
  Call *call = start_call (self, CALL_PUT_HOST, timeout_ms, data);

  call->done.written = done;
  call->host = *host;
  call->unregister = unregister;
}

static GPtrArray *
copy_ids (const GPtrArray *ids)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func (g_free);

  for (guint i = 0; ids != NULL && i < ids->len; i++)
    g_ptr_array_add (copy, g_strdup (ids->pdata[i]));
  return copy;
}

static void
copy_content (Content *target, const Content *source)
{
  GPtrArray *hosts = copy_ids (source->hosts);

  if (target->hosts != NULL)
    g_ptr_array_free (target->hosts, true);
  *target = *source;
  target->hosts = hosts;
}

static int
store_destroy (FakeStore *store)
{
  g_ptr_array_free (store->content.hosts, true);
  g_ptr_array_free (store->backup.hosts, true);
  g_ptr_array_free (store->calls, true);
  return 0;
}

FakeStore *
fake_store_new (TALLOC_CTX *parent, TimerQueue *timers, guint64 version, guint instances)
{
  FakeStore *store = talloc_zero (parent, FakeStore);

  store->timers = timers;
  store->era = 1;
  store->calls = g_ptr_array_new ();
  store->content = (Content){ .revision = 1,
                              .version = version,
                              .config_revision = 1,
                              .instances = instances,
                              .hosts = copy_ids (NULL) };
  fake_store_backup (store);
  talloc_set_destructor (store, store_destroy);
  return store;
}

FakeStoreClient *
fake_store_client_new (TALLOC_CTX *parent, FakeStore *store, FakeStoreAccess access)
{
  FakeStoreClient *client = talloc_zero (parent, FakeStoreClient);

  client->store = store;
  client->access = access;
  client->directory = (Directory){
    .self = client,
    .get_configuration = call_get_configuration,
    .watch_configuration = call_watch_configuration,
    .get_instances = call_get_instances,
    .get_hosts = call_get_hosts,
    .put_host = call_put_host,
  };
  return client;
}

/* Fails all calls under way, of @client only unless it is %NULL. */
static void
break_connections (FakeStore *store, const FakeStoreClient *client)
{
  GPtrArray *calls = g_ptr_array_new ();

  for (guint i = 0; i < store->calls->len; i++)
    {
      Call *call = store->calls->pdata[i];

      if (client == NULL || call->client == client)
        g_ptr_array_add (calls, call);
    }
  for (guint i = 0; i < calls->len; i++)
    fail_call (calls->pdata[i], DIRECTORY_UNKNOWN, 0);
  g_ptr_array_free (calls, true);
}

static void
silence_connections (FakeStore *store)
{
  for (guint i = 0; i < store->calls->len; i++)
    {
      Call *call = store->calls->pdata[i];

      call->arrived = false;
      set_timer (call, on_timed_out, call->timeout_ms + WATCH_GRACE_MS);
    }
}

void
fake_store_set_access (FakeStoreClient *client, FakeStoreAccess access)
{
  client->access = access;
  if (access == FAKE_STORE_DOWN)
    break_connections (client->store, client);
}

void
fake_store_put_config (FakeStore *store, guint64 version)
{
  GPtrArray *calls = g_ptr_array_new ();

  store->content.version = version;
  store->content.config_revision = ++store->content.revision;
  for (guint i = 0; i < store->calls->len; i++)
    {
      Call *call = store->calls->pdata[i];

      if (call->arrived && call->revision < store->content.config_revision)
        g_ptr_array_add (calls, call);
    }
  for (guint i = 0; i < calls->len; i++)
    answer_call (calls->pdata[i]);
  g_ptr_array_free (calls, true);
}

void
fake_store_put_config_before_watch (FakeStore *store, guint64 version)
{
  store->before_watch = version;
}

void
fake_store_set_instances (FakeStore *store, guint count)
{
  store->content.revision++;
  store->content.instances = count;
}

void
fake_store_touch (FakeStore *store, guint count)
{
  store->content.revision += count;
}

void
fake_store_backup (FakeStore *store)
{
  copy_content (&store->backup, &store->content);
}

void
fake_store_restore (FakeStore *store, bool silent)
{
  copy_content (&store->content, &store->backup);
  store->era++;
  if (silent)
    silence_connections (store);
  else
    break_connections (store, NULL);
}

void
fake_store_print_hosts (const FakeStore *store, GString *out)
{
  const GPtrArray *hosts = store->content.hosts;

  for (guint i = 0; i < hosts->len; i++)
    g_string_append_printf (out, "%s%s", i == 0 ? "" : " ", (const char *) hosts->pdata[i]);
  g_string_append (out, hosts->len == 0 ? "none\n" : "\n");
}
