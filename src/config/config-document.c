#include "config/config-document.h"

#include <stddef.h>
#include <string.h>

#include <xxhash.h>

#include "base/sanitizer.h"
#include "base/verdict.h"
#include "config/merge-patch.h"
#include "config/number-field.h"

#define TEXT_FLAGS (JSON_COMPACT | JSON_SORT_KEYS)

/* A service as compact JSON text and in parsed form; reference counted, shared between versions. */
typedef struct
{
  char *text;
  uint64_t hash;
  ServiceConfig *service;
} ServiceEntry;

struct ConfigDocument
{
  uint64_t version;
  uint64_t digest;
  FleetConfig fleet;
  json_t *globals;      /* all top-level keys except "services" */
  GHashTable *regions;  /* failure domain -> region, interned */
  GHashTable *services; /* name -> ServiceEntry */
};

static const NumberField fleet_fields[] = {
  { "pollers_per_failure_domain", offsetof (FleetConfig, pollers_per_failure_domain), 1, 100, 2 },
  { "poll_interval_ms", offsetof (FleetConfig, poll_interval_ms), 50, 60000, 400 },
  { "isolated_after_ms", offsetof (FleetConfig, isolated_after_ms), 1000, 3600000, 10000 },
  { "drain_limit_ms", offsetof (FleetConfig, drain_limit_ms), 1000, 3600000, 60000 },
};

static void
entry_clear (void *data)
{
  ServiceEntry *entry = data;

  g_free (entry->text);
  service_config_unref (entry->service);
}

static void
entry_unref (void *data)
{
  g_atomic_rc_box_release_full (data, entry_clear);
}

static ServiceEntry *
entry_new (const char *name, const json_t *json, GHashTable *regions, GString *errors)
{
  ServiceConfig *service = service_config_parse (name, json, regions, errors);
  ServiceEntry *entry;
  char *text;

  if (service == NULL)
    return NULL;
  entry = g_atomic_rc_box_new0 (ServiceEntry);
  text = json_dumps (json, TEXT_FLAGS);
  entry->text = g_strdup (text);
  free (text);
  entry->hash
      = XXH3_64bits_withSeed (entry->text, strlen (entry->text), XXH3_64bits (name, strlen (name)));
  entry->service = service;
  return entry;
}

static ConfigDocument *
document_alloc (uint64_t version)
{
  ConfigDocument *document = g_atomic_rc_box_new0 (ConfigDocument);

  document->version = version;
  document->regions = g_hash_table_new (g_str_hash, g_str_equal);
  document->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_unref);
  return document;
}

static void
document_clear (void *data)
{
  ConfigDocument *document = data;

  SANITIZER_ACQUIRE (document);
  json_decref (document->globals);
  g_hash_table_destroy (document->services);
  g_hash_table_destroy (document->regions);
}

ConfigDocument *
config_document_ref (ConfigDocument *document)
{
  return g_atomic_rc_box_acquire (document);
}

void
config_document_unref (ConfigDocument *document)
{
  /* The reference count orders the accesses, but ThreadSanitizer does not see this inside GLib. */
  SANITIZER_RELEASE (document);
  g_atomic_rc_box_release_full (document, document_clear);
}

ConfigDocument *
config_document_empty (void)
{
  ConfigDocument *document = document_alloc (0);

  document->globals = json_object ();
  for (size_t i = 0; i < G_N_ELEMENTS (fleet_fields); i++)
    number_field_reset (&fleet_fields[i], &document->fleet);
  return document;
}

static void
parse_region (ConfigDocument *document, const char *name, const json_t *domains, GString *errors)
{
  size_t index;
  json_t *value;

  if (!json_is_array (domains) || json_array_size (domains) == 0)
    {
      g_string_append_printf (errors, "/regions/%s: must be a list of failure domains\n", name);
      return;
    }
  json_array_foreach ((json_t *) domains, index, value)
    {
      const char *domain = json_string_value (value);

      if (domain == NULL || domain[0] == '\0')
        g_string_append_printf (errors, "/regions/%s/%zu: must be a non-empty string\n", name,
                                index);
      else if (g_hash_table_contains (document->regions, domain))
        g_string_append_printf (errors,
                                "/regions/%s/%zu: failure domain '%s' is listed more than once\n",
                                name, index, domain);
      else
        g_hash_table_insert (document->regions, (char *) g_intern_string (domain),
                             (char *) g_intern_string (name));
    }
}

static void
parse_regions (ConfigDocument *document, const json_t *json, GString *errors)
{
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    {
      g_string_append (errors, "/regions: must map each region to its failure domains\n");
      return;
    }
  json_object_foreach ((json_t *) json, key, value)
    parse_region (document, key, value, errors);
}

static void
parse_fleet_field (ConfigDocument *document, const char *key, const json_t *value, GString *errors)
{
  const NumberField *field = number_field_find (fleet_fields, G_N_ELEMENTS (fleet_fields), key);

  if (field == NULL)
    {
      g_string_append_printf (errors, "/%s: unknown key\n", key);
      return;
    }
  if (!number_field_read (field, value, &document->fleet))
    g_string_append_printf (errors, "/%s: must be a whole number from %u to %u\n", key, field->min,
                            field->max);
}

/* Parses all top-level keys except "services". */
static void
parse_globals (ConfigDocument *document, GString *errors)
{
  const char *key;
  json_t *value;

  for (size_t i = 0; i < G_N_ELEMENTS (fleet_fields); i++)
    number_field_reset (&fleet_fields[i], &document->fleet);
  parse_regions (document, json_object_get (document->globals, "regions"), errors);
  json_object_foreach (document->globals, key, value)
    {
      if (strcmp (key, "regions") == 0 || strcmp (key, "title") == 0)
        continue;
      parse_fleet_field (document, key, value, errors);
    }
}

static void
put_service (ConfigDocument *document, const char *name, const json_t *json, GString *errors)
{
  ServiceEntry *entry = entry_new (name, json, document->regions, errors);

  if (entry == NULL)
    return;
  g_hash_table_replace (document->services, entry->service->name, entry);
}

static void
compute_digest (ConfigDocument *document)
{
  GHashTableIter iter;
  void *value;
  char *text = json_dumps (document->globals, TEXT_FLAGS);

  document->digest = XXH3_64bits (text, strlen (text));
  free (text);
  g_hash_table_iter_init (&iter, document->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    document->digest ^= ((ServiceEntry *) value)->hash;
}

static ConfigDocument *
document_finish (ConfigDocument *document, GString *errors, GError **error)
{
  bool invalid = errors->len > 0;

  if (invalid)
    g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_CONFIG, "%s", errors->str);
  g_string_free (errors, true);
  if (invalid)
    {
      config_document_unref (document);
      return NULL;
    }
  compute_digest (document);
  return document;
}

ConfigDocument *
config_document_new (uint64_t version, const json_t *json, GError **error)
{
  ConfigDocument *empty = config_document_empty ();
  ConfigDocument *document = config_document_patch (empty, version, json, error);

  config_document_unref (empty);
  return document;
}

static void
share_services (ConfigDocument *document, const ConfigDocument *base)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, base->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ServiceEntry *entry = g_atomic_rc_box_acquire (value);

      g_hash_table_insert (document->services, entry->service->name, entry);
    }
}

/* Validates all services again after a change of regions, to which every service refers. */
static void
reparse_services (ConfigDocument *document, GString *errors)
{
  GList *names = g_hash_table_get_keys (document->services);

  for (GList *l = names; l != NULL; l = l->next)
    {
      ServiceEntry *entry = g_hash_table_lookup (document->services, l->data);
      json_t *json = json_loads (entry->text, 0, NULL);
      char *name = g_strdup (l->data);

      put_service (document, name, json, errors);
      json_decref (json);
      g_free (name);
    }
  g_list_free (names);
}

static void
patch_service (ConfigDocument *document, const char *name, const json_t *patch, GString *errors)
{
  ServiceEntry *entry = g_hash_table_lookup (document->services, name);
  json_t *before = entry == NULL ? NULL : json_loads (entry->text, 0, NULL);
  json_t *after;

  if (json_is_null (patch))
    {
      g_hash_table_remove (document->services, name);
      json_decref (before);
      return;
    }
  after = merge_patch_apply (before, patch);
  put_service (document, name, after, errors);
  json_decref (before);
  json_decref (after);
}

static void
patch_services (ConfigDocument *document, const json_t *patch, GString *errors)
{
  const char *key;
  json_t *value;

  if (json_is_null (patch))
    {
      g_hash_table_remove_all (document->services);
      return;
    }
  if (!json_is_object (patch))
    {
      g_string_append (errors, "/services: must be an object\n");
      return;
    }
  json_object_foreach ((json_t *) patch, key, value)
    patch_service (document, key, value, errors);
}

ConfigDocument *
config_document_patch (const ConfigDocument *base, uint64_t version, const json_t *patch,
                       GError **error)
{
  GString *errors = g_string_new ("");
  ConfigDocument *document = document_alloc (version);
  const json_t *services = json_object_get (patch, "services");
  json_t *globals_patch;

  if (!json_is_object (patch))
    {
      g_string_append (errors, "/: the patch must be an object\n");
      return document_finish (document, errors, error);
    }
  globals_patch = json_copy ((json_t *) patch);
  json_object_del (globals_patch, "services");
  document->globals = merge_patch_apply (base->globals, globals_patch);
  json_decref (globals_patch);

  parse_globals (document, errors);
  share_services (document, base);
  if (!json_equal (json_object_get (base->globals, "regions"),
                   json_object_get (document->globals, "regions")))
    reparse_services (document, errors);
  if (services != NULL)
    patch_services (document, services, errors);
  return document_finish (document, errors, error);
}

uint64_t
config_document_version (const ConfigDocument *document)
{
  return document->version;
}

uint64_t
config_document_digest (const ConfigDocument *document)
{
  return document->digest;
}

const FleetConfig *
config_document_fleet (const ConfigDocument *document)
{
  return &document->fleet;
}

ServiceConfig *
config_document_service (const ConfigDocument *document, const char *name)
{
  ServiceEntry *entry = g_hash_table_lookup (document->services, name);

  return entry == NULL ? NULL : entry->service;
}

void
config_document_foreach (const ConfigDocument *document,
                         void (*each) (ServiceConfig *service, void *data), void *data)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, document->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    each (((ServiceEntry *) value)->service, data);
}

uint32_t
config_document_service_count (const ConfigDocument *document)
{
  return g_hash_table_size (document->services);
}

const char *
config_document_region (const ConfigDocument *document, const char *failure_domain)
{
  return g_hash_table_lookup (document->regions, failure_domain);
}

json_t *
config_document_json (const ConfigDocument *document)
{
  json_t *json = json_deep_copy (document->globals);
  json_t *services = json_object ();
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, document->services);
  while (g_hash_table_iter_next (&iter, &key, &value))
    json_object_set_new (services, key, json_loads (((ServiceEntry *) value)->text, 0, NULL));
  json_object_set_new (json, "services", services);
  return json;
}
