#include "pool/snapshot.h"

#include <string.h>

#include "pool/snapshot.pb-c.h"

/* Size of the length prefix of a message, in network byte order. */
#define LENGTH_BYTES 4

static char *
mutable_text (const char *text)
{
  return (char *) text;
}

static void
fill_databases (const Catalog *catalog, Pool__Snapshot *message)
{
  GHashTableIter iter;
  void *value;

  message->databases = g_new (Pool__SnapshotDatabase *, g_hash_table_size (catalog->databases) + 1);
  g_hash_table_iter_init (&iter, catalog->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Database *database = value;
      Pool__SnapshotDatabase *entry = g_new (Pool__SnapshotDatabase, 1);

      pool__snapshot_database__init (entry);
      entry->name = database->name;
      entry->service = database->service;
      entry->consistency = database->consistency;
      entry->staleness_ms = database->staleness_ms;
      entry->statement_ms = database->statement_ms;
      entry->operation_ms = database->operation_ms;
      entry->attempts = database->attempts;
      entry->priority = database->priority;
      entry->anonymous = database->anonymous;
      message->databases[message->n_databases++] = entry;
    }
}

static void
fill_services (const Catalog *catalog, Pool__Snapshot *message)
{
  GHashTableIter iter;
  void *value;

  message->services = g_new (Pool__SnapshotService *, g_hash_table_size (catalog->services) + 1);
  g_hash_table_iter_init (&iter, catalog->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ServiceEntry *service = value;
      Pool__SnapshotService *entry = g_new (Pool__SnapshotService, 1);

      pool__snapshot_service__init (entry);
      entry->name = service->name;
      entry->connection_limit = service->connection_limit;
      entry->synchronous = service->synchronous;
      message->services[message->n_services++] = entry;
    }
}

/* A key that two customers hold is sent with neither of them, so the receiver refuses it too. */
static void
fill_customers (const Catalog *catalog, Pool__Snapshot *message)
{
  GHashTableIter iter;
  void *key, *value;

  message->keys_required = catalog->customers != NULL;
  if (catalog->customers == NULL)
    return;
  message->customers = g_new (Pool__SnapshotCustomer *, g_hash_table_size (catalog->customers) + 1);
  g_hash_table_iter_init (&iter, catalog->customers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Customer *customer = value;
      Pool__SnapshotCustomer *entry = g_new (Pool__SnapshotCustomer, 1);
      GHashTableIter keys;

      pool__snapshot_customer__init (entry);
      entry->name = customer->name;
      entry->limited = customer->limited;
      entry->rate_per_s = customer->rate_per_s;
      entry->burst = customer->burst;
      entry->keys = g_new (char *, g_hash_table_size (catalog->keys) + 1);
      g_hash_table_iter_init (&keys, catalog->keys);
      while (g_hash_table_iter_next (&keys, &key, &value))
        if (value == customer)
          entry->keys[entry->n_keys++] = key;
      message->customers[message->n_customers++] = entry;
    }
}

static void
fill_instances (const GArray *infos, Pool__Snapshot *message)
{
  message->instances = g_new (Pool__SnapshotInstance *, infos->len + 1);
  for (guint i = 0; i < infos->len; i++)
    {
      const InstanceInfo *info = &g_array_index (infos, InstanceInfo, i);
      Pool__SnapshotInstance *entry = g_new (Pool__SnapshotInstance, 1);

      pool__snapshot_instance__init (entry);
      entry->id = mutable_text (info->id);
      entry->service = mutable_text (info->service);
      entry->address = mutable_text (info->address);
      entry->port = info->port;
      entry->failure_domain = mutable_text (info->failure_domain);
      entry->started_ms = info->started_ms;
      entry->slots = info->slots;
      entry->leaving = info->leaving;
      entry->primary = info->primary;
      message->instances[message->n_instances++] = entry;
    }
}

static void
fill_hosts (const GArray *hosts, Pool__Snapshot *message)
{
  message->hosts = g_new (Pool__SnapshotHost *, hosts->len + 1);
  for (guint i = 0; i < hosts->len; i++)
    {
      const HostEntry *host = &g_array_index (hosts, HostEntry, i);
      Pool__SnapshotHost *entry = g_new (Pool__SnapshotHost, 1);

      pool__snapshot_host__init (entry);
      entry->address = mutable_text (host->address);
      entry->port = host->port;
      entry->failure_domain = mutable_text (host->failure_domain);
      message->hosts[message->n_hosts++] = entry;
    }
}

/* Frees the entries, not their text, which belongs to the snapshot. */
static void
free_entries (void *entries, size_t count)
{
  void **list = entries;

  for (size_t i = 0; i < count; i++)
    g_free (list[i]);
  g_free (list);
}

void
snapshot_append (const Snapshot *snapshot, GByteArray *out)
{
  Pool__Snapshot message = POOL__SNAPSHOT__INIT;
  const guint start = out->len;
  guint32 length;

  if (snapshot->catalog != NULL)
    {
      message.version = snapshot->catalog->version;
      message.idle_transaction_ms = snapshot->catalog->idle_transaction_ms;
      fill_databases (snapshot->catalog, &message);
      fill_services (snapshot->catalog, &message);
      fill_customers (snapshot->catalog, &message);
    }
  if (snapshot->infos != NULL)
    fill_instances (snapshot->infos, &message);
  if (snapshot->hosts != NULL)
    fill_hosts (snapshot->hosts, &message);
  message.instances_fresh = snapshot->fresh;
  length = (guint32) pool__snapshot__get_packed_size (&message);
  g_byte_array_set_size (out, start + LENGTH_BYTES + length);
  pool__snapshot__pack (&message, out->data + start + LENGTH_BYTES);
  length = GUINT32_TO_BE (length);
  memcpy (out->data + start, &length, LENGTH_BYTES);
  free_entries (message.databases, message.n_databases);
  free_entries (message.services, message.n_services);
  for (size_t i = 0; i < message.n_customers; i++)
    g_free (message.customers[i]->keys);
  free_entries (message.customers, message.n_customers);
  free_entries (message.instances, message.n_instances);
  free_entries (message.hosts, message.n_hosts);
}

static bool
is_name (const char *name)
{
  return *name != '\0' && strlen (name) < CATALOG_NAME_BYTES;
}

static Catalog *
read_catalog (const Pool__Snapshot *message)
{
  Catalog *catalog = catalog_new (message->version);

  catalog->idle_transaction_ms = message->idle_transaction_ms;
  for (size_t i = 0; i < message->n_databases; i++)
    {
      const Pool__SnapshotDatabase *entry = message->databases[i];
      const Database database = {
        .name = entry->name,
        .service = entry->service,
        .consistency = (Consistency) entry->consistency,
        .staleness_ms = entry->staleness_ms,
        .statement_ms = entry->statement_ms,
        .operation_ms = entry->operation_ms,
        .attempts = entry->attempts,
        .priority = (Priority) entry->priority,
        .anonymous = entry->anonymous,
      };

      catalog_add_database (catalog, &database);
    }
  for (size_t i = 0; i < message->n_services; i++)
    {
      const Pool__SnapshotService *entry = message->services[i];
      const ServiceEntry service = {
        .name = entry->name,
        .connection_limit = entry->connection_limit,
        .synchronous = entry->synchronous,
      };

      catalog_add_service (catalog, &service);
    }
  if (message->keys_required)
    catalog_require_keys (catalog);
  for (size_t i = 0; i < message->n_customers && message->keys_required; i++)
    {
      const Pool__SnapshotCustomer *entry = message->customers[i];
      const Customer customer = {
        .name = entry->name,
        .limited = entry->limited,
        .rate_per_s = entry->rate_per_s,
        .burst = entry->burst,
      };
      const Customer *added = catalog_add_customer (catalog, &customer);

      for (size_t j = 0; j < entry->n_keys; j++)
        catalog_add_key (catalog, entry->keys[j], added);
    }
  return catalog;
}

static bool
is_valid (const Pool__Snapshot *message)
{
  for (size_t i = 0; i < message->n_databases; i++)
    if (*message->databases[i]->name == '\0' || !is_name (message->databases[i]->service)
        || message->databases[i]->consistency > CONSISTENCY_SESSION
        || message->databases[i]->priority >= PRIORITY_COUNT)
      return false;
  for (size_t i = 0; i < message->n_services; i++)
    if (!is_name (message->services[i]->name))
      return false;
  for (size_t i = 0; i < message->n_customers; i++)
    if (!is_name (message->customers[i]->name) || !(message->customers[i]->rate_per_s >= 0)
        || !(message->customers[i]->burst >= 0))
      return false;
  for (size_t i = 0; i < message->n_instances; i++)
    if (!is_name (message->instances[i]->id) || !is_name (message->instances[i]->service)
        || !is_name (message->instances[i]->address)
        || !is_name (message->instances[i]->failure_domain)
        || message->instances[i]->port > G_MAXUINT16)
      return false;
  for (size_t i = 0; i < message->n_hosts; i++)
    if (!is_name (message->hosts[i]->address) || message->hosts[i]->port > G_MAXUINT16
        || strlen (message->hosts[i]->failure_domain) >= CATALOG_NAME_BYTES)
      return false;
  return true;
}

static GArray *
read_instances (const Pool__Snapshot *message)
{
  GArray *infos = g_array_new (false, true, sizeof (InstanceInfo));

  for (size_t i = 0; i < message->n_instances; i++)
    {
      const Pool__SnapshotInstance *entry = message->instances[i];
      InstanceInfo info = {
        .port = (uint16_t) entry->port,
        .started_ms = entry->started_ms,
        .slots = entry->slots,
        .leaving = entry->leaving,
        .primary = entry->primary,
      };

      g_strlcpy (info.id, entry->id, sizeof info.id);
      g_strlcpy (info.service, entry->service, sizeof info.service);
      g_strlcpy (info.address, entry->address, sizeof info.address);
      g_strlcpy (info.failure_domain, entry->failure_domain, sizeof info.failure_domain);
      g_array_append_val (infos, info);
    }
  return infos;
}

static GArray *
read_hosts (const Pool__Snapshot *message)
{
  GArray *hosts = g_array_new (false, true, sizeof (HostEntry));

  for (size_t i = 0; i < message->n_hosts; i++)
    {
      HostEntry host = { .port = (uint16_t) message->hosts[i]->port };

      g_strlcpy (host.address, message->hosts[i]->address, sizeof host.address);
      g_strlcpy (host.failure_domain, message->hosts[i]->failure_domain,
                 sizeof host.failure_domain);
      g_array_append_val (hosts, host);
    }
  return hosts;
}

SnapshotReadResult
snapshot_read (const uint8_t *input, size_t length, Snapshot *snapshot)
{
  Pool__Snapshot *message;
  guint32 size;
  bool valid;

  *snapshot = (Snapshot){ 0 };
  if (length < LENGTH_BYTES)
    return SNAPSHOT_INCOMPLETE;
  memcpy (&size, input, LENGTH_BYTES);
  size = GUINT32_FROM_BE (size);
  if (size > SNAPSHOT_LIMIT_BYTES)
    return SNAPSHOT_MALFORMED;
  if (length - LENGTH_BYTES < size)
    return SNAPSHOT_INCOMPLETE;
  message = pool__snapshot__unpack (NULL, size, input + LENGTH_BYTES);
  valid = message != NULL && is_valid (message);
  if (valid)
    {
      snapshot->catalog = message->version == 0 ? NULL : read_catalog (message);
      snapshot->infos = message->n_instances == 0 ? NULL : read_instances (message);
      snapshot->fresh = message->instances_fresh;
      snapshot->hosts = read_hosts (message);
    }
  if (message != NULL)
    pool__snapshot__free_unpacked (message, NULL);
  return valid ? SNAPSHOT_COMPLETE : SNAPSHOT_MALFORMED;
}

void
snapshot_done (Snapshot *snapshot)
{
  if (snapshot->catalog != NULL)
    catalog_unref (snapshot->catalog);
  if (snapshot->infos != NULL)
    g_array_free (snapshot->infos, true);
  if (snapshot->hosts != NULL)
    g_array_free (snapshot->hosts, true);
  *snapshot = (Snapshot){ 0 };
}
