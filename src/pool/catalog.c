#include "pool/catalog.h"

static void
database_free (void *data)
{
  Database *database = data;

  g_free (database->name);
  g_free (database->service);
  g_free (database);
}

static void
service_free (void *data)
{
  ServiceEntry *service = data;

  g_free (service->name);
  g_free (service);
}

static void
customer_free (void *data)
{
  Customer *customer = data;

  g_free (customer->name);
  g_free (customer);
}

Catalog *
catalog_new (uint64_t version)
{
  Catalog *catalog = g_new0 (Catalog, 1);

  catalog->references = 1;
  catalog->version = version;
  catalog->databases = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, database_free);
  catalog->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, service_free);
  return catalog;
}

Catalog *
catalog_ref (Catalog *catalog)
{
  catalog->references++;
  return catalog;
}

void
catalog_unref (Catalog *catalog)
{
  if (--catalog->references > 0)
    return;
  g_hash_table_destroy (catalog->databases);
  g_hash_table_destroy (catalog->services);
  if (catalog->customers != NULL)
    {
      g_hash_table_destroy (catalog->keys);
      g_hash_table_destroy (catalog->customers);
    }
  g_free (catalog);
}

void
catalog_add_database (Catalog *catalog, const Database *database)
{
  Database *copy = g_new (Database, 1);

  *copy = *database;
  copy->name = g_strdup (database->name);
  copy->service = g_strdup (database->service);
  g_hash_table_replace (catalog->databases, copy->name, copy);
}

void
catalog_add_service (Catalog *catalog, const ServiceEntry *service)
{
  ServiceEntry *copy = g_new (ServiceEntry, 1);

  *copy = *service;
  copy->name = g_strdup (service->name);
  g_hash_table_replace (catalog->services, copy->name, copy);
}

void
catalog_require_keys (Catalog *catalog)
{
  if (catalog->customers != NULL)
    return;
  catalog->customers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, customer_free);
  catalog->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

const Customer *
catalog_add_customer (Catalog *catalog, const Customer *customer)
{
  Customer *copy = g_new (Customer, 1);

  catalog_require_keys (catalog);
  *copy = *customer;
  copy->name = g_strdup (customer->name);
  g_hash_table_replace (catalog->customers, copy->name, copy);
  return copy;
}

bool
catalog_add_key (Catalog *catalog, const char *key, const Customer *customer)
{
  void *holder = NULL;
  const bool held = g_hash_table_lookup_extended (catalog->keys, key, NULL, &holder);

  if (held && holder == customer)
    return true;
  g_hash_table_replace (catalog->keys, g_strdup (key), held ? NULL : (void *) customer);
  return !held;
}

const Customer *
catalog_customer (const Catalog *catalog, const char *key)
{
  if (catalog->keys == NULL || key == NULL)
    return NULL;
  return g_hash_table_lookup (catalog->keys, key);
}

const Database *
catalog_database (const Catalog *catalog, const char *name)
{
  return g_hash_table_lookup (catalog->databases, name);
}
