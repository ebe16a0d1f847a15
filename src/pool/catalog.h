/**
 * DOC: A daemon's configuration: databases and the services behind them.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "policy/admission-queue.h"
#include "policy/instance-info.h"

/** enum Consistency - Which commits the reads of a database must see. */
typedef enum
{
  CONSISTENCY_PRIMARY, /* every acknowledged commit */
  CONSISTENCY_BOUNDED, /* every commit acknowledged longer ago than the staleness bound */
  CONSISTENCY_SESSION  /* the same, and every commit of the same session */
} Consistency;

/**
 * struct Database - A database name that callers open; it selects a service and its limits.
 * @staleness_ms: bound on the age of data that reads accept.
 * @statement_ms: time limit of one statement.
 * @operation_ms: time in which a whole operation is expected to end.
 * @attempts: maximum number of attempts for a read whose connection is lost.
 * @anonymous: callers need no key.
 */
typedef struct
{
  char *name;
  char *service;
  Consistency consistency;
  int64_t staleness_ms;
  int64_t statement_ms;
  int64_t operation_ms;
  uint32_t attempts;
  Priority priority;
  bool anonymous;
} Database;

/**
 * struct Customer - A customer of the configuration, whose callers are known by their keys.
 * @limited: whether there is a limit on its operations, on all hosts together.
 * @rate_per_s: operations per second. @burst: operations that may come at once.
 */
typedef struct
{
  char *name;
  bool limited;
  double rate_per_s;
  double burst;
} Customer;

/**
 * struct ServiceEntry - A service of the configuration.
 * @connection_limit: connections that one instance accepts from all hosts together.
 * @synchronous: replicas that must have received a commit before it is acknowledged.
 */
typedef struct
{
  char *name;
  uint32_t connection_limit;
  uint32_t synchronous;
} ServiceEntry;

/**
 * struct Catalog - One version of the configuration; immutable and reference counted.
 * @databases: name to &struct Database.
 * @services: name to &struct ServiceEntry.
 * @customers: name to &struct Customer; %NULL if callers are not told apart by keys.
 * @keys: key to &struct Customer in @customers; to %NULL for a key that two customers hold.
 * @idle_transaction_ms: a transaction idle for longer may be rolled back; 0 for no limit.
 */
typedef struct
{
  uint32_t references;
  uint64_t version;
  GHashTable *databases;
  GHashTable *services;
  GHashTable *customers;
  GHashTable *keys;
  int64_t idle_transaction_ms;
} Catalog;

/** catalog_new() - Empty catalog with one reference. */
Catalog *catalog_new (uint64_t version);

/** catalog_ref() - Takes a reference. */
Catalog *catalog_ref (Catalog *catalog);

/** catalog_unref() - Drops a reference. */
void catalog_unref (Catalog *catalog);

/** catalog_add_database() - Adds a database; its text is copied. */
void catalog_add_database (Catalog *catalog, const Database *database);

/** catalog_add_service() - Adds a service; its text is copied. */
void catalog_add_service (Catalog *catalog, const ServiceEntry *service);

/** catalog_require_keys() - From now on callers are told apart by keys, of which there are none. */
void catalog_require_keys (Catalog *catalog);

/** catalog_add_customer() - Adds a customer, which replaces one of the same name. */
const Customer *catalog_add_customer (Catalog *catalog, const Customer *customer);

/**
 * catalog_add_key() - @key belongs to @customer. Returns false if another customer holds it too,
 * which makes it useless for both.
 */
bool catalog_add_key (Catalog *catalog, const char *key, const Customer *customer);

/** catalog_customer() - Customer that holds @key, or %NULL. */
const Customer *catalog_customer (const Catalog *catalog, const char *key);

/** catalog_database() - Database called @name, or %NULL. */
const Database *catalog_database (const Catalog *catalog, const char *name);
