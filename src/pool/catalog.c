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

const Database *
catalog_database (const Catalog *catalog, const char *name)
{
  return g_hash_table_lookup (catalog->databases, name);
}
