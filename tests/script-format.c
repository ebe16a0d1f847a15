/**
 * DOC: Decoding of the store's documents: instances, hosts and configurations, also odd ones.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform-format.h"
#include "script.h"

static void *
start (void)
{
  return g_new0 (char, 1);
}

static json_t *
decode (const char *bytes, gsize length)
{
  char *encoded = g_base64_encode ((const guchar *) bytes, length);
  json_t *row = json_pack ("{s:s}", "value", encoded);
  json_t *document = platform_format_value (row);

  json_decref (row);
  g_free (encoded);
  return document;
}

static void
print_instance (const char *id, const json_t *document, GString *out)
{
  InstanceInfo info;

  if (!platform_format_instance (id, document, &info))
    g_string_append (out, "no instance\n");
  else
    g_string_append_printf (out, "%s %s at %s:%u in %s, %u slots, started %" PRId64 "%s%s\n",
                            info.service, info.id, info.address, info.port, info.failure_domain,
                            info.slots, info.started_ms, info.primary ? ", primary" : "",
                            info.leaving ? ", leaving" : "");
}

/* A good entry; @changes replaces fields, and removes those that are null. */
static json_t *
make_instance (const char *changes)
{
  json_t *document = json_loads ("{\"service\":\"ledger\",\"address\":\"10.1.0.9:8080\","
                                 "\"zone\":\"north-1\",\"version\":\"v1\",\"slots\":5,"
                                 "\"state\":\"ready\",\"cold_left_ms\":0,\"db_role\":\"replica\","
                                 "\"seq_no\":4,\"born\":1790000000000}",
                                 0, NULL);
  json_t *changed = json_loads (changes, JSON_ALLOW_NUL, NULL);
  const char *key;
  json_t *value;

  if (changed == NULL)
    g_error ("not JSON: %s", changes);
  json_object_foreach (changed, key, value)
    if (json_is_null (value))
      json_object_del (document, key);
    else
      json_object_set (document, key, value);
  json_decref (changed);
  return document;
}

/* The bytes of a document with @depth nested arrays or objects, closed or not. */
static json_t *
decode_nested (const char *opening, const char *closing, gint64 depth)
{
  GString *text = g_string_new ("{\"service\":");
  json_t *document;

  for (gint64 i = 0; i < depth; i++)
    g_string_append (text, opening);
  g_string_append (text, "1");
  for (gint64 i = 0; i < depth; i++)
    g_string_append (text, closing);
  g_string_append (text, "}");
  document = decode (text->str, text->len);
  g_string_free (text, TRUE);
  return document;
}

static void
print_host (const json_t *document, const char *id, GString *out)
{
  HostEntry host;

  if (!platform_format_host (id, document, &host))
    g_string_append (out, "no host\n");
  else
    g_string_append_printf (out, "%s at %s:%u in %s\n", host.id, host.address, host.port,
                            host.failure_domain);
}

static int
compare_text (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (a, b);
}

/* Customers and keys in alphabetical order; a key with the customer that it selects. */
static void
print_customers (const Catalog *catalog, GString *out)
{
  GList *names, *keys;

  if (catalog->customers == NULL)
    return;
  names = g_list_sort (g_hash_table_get_keys (catalog->customers), compare_text);
  keys = g_list_sort (g_hash_table_get_keys (catalog->keys), compare_text);
  for (GList *node = names; node != NULL; node = node->next)
    {
      const Customer *customer = g_hash_table_lookup (catalog->customers, node->data);

      if (customer->limited)
        g_string_append_printf (out, "customer %s: %g operations/s, burst %g\n", customer->name,
                                customer->rate_per_s, customer->burst);
      else
        g_string_append_printf (out, "customer %s: no limit\n", customer->name);
    }
  for (GList *node = keys; node != NULL; node = node->next)
    {
      const Customer *customer = catalog_customer (catalog, node->data);

      g_string_append_printf (out, "key %s: %s\n", (const char *) node->data,
                              customer == NULL ? "nobody" : customer->name);
    }
  g_list_free (names);
  g_list_free (keys);
}

static void
print_catalog (const json_t *document, GString *out)
{
  Catalog *catalog = platform_format_catalog (document);
  GHashTableIter iter;
  void *value;

  if (catalog == NULL)
    {
      g_string_append (out, "no configuration\n");
      return;
    }
  g_string_append_printf (out, "version %" PRIu64 ", idle transactions %" PRId64 " ms\n",
                          catalog->version, catalog->idle_transaction_ms);
  g_hash_table_iter_init (&iter, catalog->databases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Database *database = value;

      g_string_append_printf (out,
                              "%s to %s: staleness %" PRId64 " ms, statement %" PRId64
                              " ms, operation %" PRId64 " ms, %u attempts, priority %d\n",
                              database->name, database->service, database->staleness_ms,
                              database->statement_ms, database->operation_ms, database->attempts,
                              database->priority);
      if (database->anonymous)
        g_string_append_printf (out, "%s needs no key\n", database->name);
    }
  g_hash_table_iter_init (&iter, catalog->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ServiceEntry *service = value;

      g_string_append_printf (out, "service %s: %u connections, %u synchronous\n", service->name,
                              service->connection_limit, service->synchronous);
    }
  print_customers (catalog, out);
  catalog_unref (catalog);
}

static void
command (void *data, char **words, GString *out)
{
  const char *verb = words[0];
  const char *text = script_word (words, 1);
  char *bytes = g_strcompress (text);
  json_t *document = NULL;

  if (strcmp (verb, "instance") == 0)
    print_instance ("i-1", document = make_instance (text), out);
  else if (strcmp (verb, "instance_id") == 0)
    print_instance (bytes, document = make_instance ("{}"), out);
  else if (strcmp (verb, "instance_bytes") == 0)
    print_instance ("i-1", document = decode (bytes, strlen (bytes)), out);
  else if (strcmp (verb, "instance_nested") == 0)
    print_instance (
        "i-1", document = decode_nested (text, script_word (words, 2), script_number (words, 3)),
        out);
  else if (strcmp (verb, "host") == 0)
    print_host (document = json_loads (text, JSON_ALLOW_NUL, NULL), "front-1", out);
  else if (strcmp (verb, "host_id") == 0)
    print_host (document = json_loads ("{\"address\":\"10.1.0.9:7440\"}", 0, NULL), bytes, out);
  else if (strcmp (verb, "configuration") == 0)
    print_catalog (document = json_loads (text, JSON_ALLOW_NUL, NULL), out);
  else
    g_error ("no such command: %s", verb);
  json_decref (document);
  g_free (bytes);
}

const ScriptKind script_format = { "format", start, command, g_free };
