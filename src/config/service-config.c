#include "config/service-config.h"

#include <arpa/inet.h>
#include <stddef.h>
#include <string.h>

#include "base/sanitizer.h"
#include "config/number-field.h"
#include "policy/commit-gate.h"

#define CLASSES_MAX 64
#define NAME_CHARS_MAX 60

#define SERVICE_FIELD(key, member, min, max, default_value)                                        \
  {                                                                                                \
    key, offsetof (ServiceConfig, member), min, max, default_value                                 \
  }

static const NumberField service_fields[] = {
  SERVICE_FIELD ("slots", slots, 1, 1000, 5),
  SERVICE_FIELD ("reserved_slots", reserved_slots, 0, 999, 1),
  SERVICE_FIELD ("connections", connections, 4, 10000, 30),
  SERVICE_FIELD ("reserved_connections", reserved_connections, 0, 9999, 3),
  SERVICE_FIELD ("queue_limit", queue_limit, 1, 1000000, 2000),
  SERVICE_FIELD ("idle_transaction_ms", idle_transaction_ms, 100, 3600000, 30000),
  SERVICE_FIELD ("replica_wait_ms", replica_wait_ms, 0, 10000, 20),
  SERVICE_FIELD ("suspect_after_ms", suspect_after_ms, 200, 10000, 1500),
  SERVICE_FIELD ("step_timeout_ms", step_timeout_ms, 100, 10000, 800),
  SERVICE_FIELD ("rank_delay_ms", rank_delay_ms, 0, 10000, 700),
};

static const NumberField floor_fields[] = {
  SERVICE_FIELD ("normal", floor_percent[PRIORITY_NORMAL], 0, 90, 20),
  SERVICE_FIELD ("background", floor_percent[PRIORITY_BACKGROUND], 0, 90, 5),
};

static const NumberField class_fields[] = {
  { "max_age_ms", offsetof (ClassConfig, max_age_ms), 0, 86400000, 0 },
  { "deadline_ms", offsetof (ClassConfig, deadline_ms), 1, 3600000, 5000 },
};

static const char *const service_keys[]
    = { "database", "user", "instances", "classes", "default_class", "floors", NULL };
static const char *const instance_keys[] = { "address", "port", "failure_domain", "leaving", NULL };
static const char *const class_keys[] = { "priority", "access", "idempotent", NULL };
static const char *const no_other_keys[] = { NULL };

/* Path of the JSON value being parsed, and where errors are reported. */
typedef struct
{
  GString *errors;
  char *path;
} ErrorContext;

static void __attribute__ ((format (printf, 3, 4)))
add_error (const ErrorContext *context, const char *key, const char *format, ...)
{
  va_list args;

  g_string_append_printf (context->errors, "%s%s%s: ", context->path, key[0] == '\0' ? "" : "/",
                          key);
  va_start (args, format);
  g_string_append_vprintf (context->errors, format, args);
  va_end (args);
  g_string_append_c (context->errors, '\n');
}

static void
parse_numbers (const ErrorContext *context, const json_t *json, const NumberField *fields,
               size_t count, void *object)
{
  for (size_t i = 0; i < count; i++)
    {
      const NumberField *field = &fields[i];
      const json_t *value = json_object_get (json, field->key);

      number_field_reset (field, object);
      if (value != NULL && !number_field_read (field, value, object))
        add_error (context, field->key, "must be a whole number from %u to %u", field->min,
                   field->max);
    }
}

static bool
key_is_known (const char *key, const char *const *names, const NumberField *fields, size_t count)
{
  for (; *names != NULL; names++)
    if (strcmp (*names, key) == 0)
      return true;
  return number_field_find (fields, count, key) != NULL;
}

static bool
check_object (const ErrorContext *context, const json_t *json, const char *const *names,
              const NumberField *fields, size_t count)
{
  const char *key;
  json_t *value;

  if (!json_is_object (json))
    {
      add_error (context, "", "must be an object");
      return false;
    }
  json_object_foreach ((json_t *) json, key, value)
    if (!key_is_known (key, names, fields, count))
      add_error (context, key, "unknown key");
  return true;
}

static char *
parse_string (const ErrorContext *context, const json_t *json, const char *key,
              const char *default_value)
{
  const json_t *value = json_object_get (json, key);

  if (value == NULL && default_value != NULL)
    return g_strdup (default_value);
  if (!json_is_string (value) || json_string_length (value) == 0
      || json_string_length (value) > NAME_CHARS_MAX)
    {
      add_error (context, key, "must be a string of 1 to %d characters", NAME_CHARS_MAX);
      return g_strdup ("");
    }
  return g_strdup (json_string_value (value));
}

static bool
parse_bool (const ErrorContext *context, const json_t *json, const char *key)
{
  const json_t *value = json_object_get (json, key);

  if (value == NULL)
    return false;
  if (!json_is_boolean (value))
    add_error (context, key, "must be true or false");
  return json_is_true (value);
}

static void
check_name (const ErrorContext *context, const char *name)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.";

  if (name[0] == '\0' || strlen (name) > NAME_CHARS_MAX || name[strspn (name, allowed)] != '\0')
    add_error (context, "", "name must consist of 1 to %d letters, digits, '_', '-' or '.'",
               NAME_CHARS_MAX);
}

static int
compare_keys (const void *a, const void *b)
{
  return strcmp (*(const char *const *) a, *(const char *const *) b);
}

static ErrorContext
child_context (const ErrorContext *parent, const char *list, const char *name)
{
  ErrorContext context = { parent->errors, g_strdup_printf ("%s/%s/%s", parent->path, list, name) };

  return context;
}

static void
parse_port (const ErrorContext *context, const json_t *json, InstanceConfig *instance)
{
  const json_t *value = json_object_get (json, "port");

  if (!json_is_integer (value) || json_integer_value (value) < 1
      || json_integer_value (value) > UINT16_MAX)
    add_error (context, "port", "must be a whole number from 1 to %d", UINT16_MAX);
  else
    instance->port = (uint16_t) json_integer_value (value);
}

static bool
is_ip_address (const char *text)
{
  unsigned char parsed[sizeof (struct in6_addr)];

  return inet_pton (AF_INET, text, parsed) == 1 || inet_pton (AF_INET6, text, parsed) == 1;
}

static void
parse_instance (const ErrorContext *context, const json_t *json, GHashTable *regions,
                InstanceConfig *instance)
{
  char *domain;

  if (!check_object (context, json, instance_keys, NULL, 0))
    return;
  instance->address = parse_string (context, json, "address", NULL);
  if (!is_ip_address (instance->address))
    add_error (context, "address", "must be an IP address");
  parse_port (context, json, instance);
  instance->leaving = parse_bool (context, json, "leaving");
  domain = parse_string (context, json, "failure_domain", NULL);
  instance->failure_domain = g_intern_string (domain);
  instance->region = g_hash_table_lookup (regions, domain);
  if (instance->region == NULL)
    add_error (context, "failure_domain", "failure domain '%s' is not in any region", domain);
  g_free (domain);
}

/* Instances are sorted by name, so that an instance has the same index in every daemon. */
static GPtrArray *
sorted_keys (const json_t *json)
{
  GPtrArray *keys = g_ptr_array_new ();
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *) json, key, value)
    g_ptr_array_add (keys, (char *) key);
  g_ptr_array_sort (keys, compare_keys);
  return keys;
}

static void
parse_instances (const ErrorContext *context, const json_t *json, GHashTable *regions,
                 ServiceConfig *service)
{
  GPtrArray *keys;
  size_t count = json_object_size (json);

  if (!json_is_object (json) || count == 0 || count > GROUP_INSTANCES_MAX)
    {
      add_error (context, "instances", "must be an object of 1 to %d instances",
                 GROUP_INSTANCES_MAX);
      return;
    }
  service->instances = g_new0 (InstanceConfig, count);
  keys = sorted_keys (json);
  for (guint i = 0; i < keys->len; i++)
    {
      const char *key = keys->pdata[i];
      ErrorContext child = child_context (context, "instances", key);
      InstanceConfig *instance = &service->instances[service->instance_count++];

      instance->name = g_strdup (key);
      check_name (&child, key);
      parse_instance (&child, json_object_get (json, key), regions, instance);
      g_free (child.path);
    }
  g_ptr_array_free (keys, true);
}

static Priority
parse_priority (const ErrorContext *context, const json_t *json)
{
  const char *name = json_string_value (json_object_get (json, "priority"));

  for (int i = 0; name != NULL && i < PRIORITY_COUNT; i++)
    if (strcmp (name, priority_name ((Priority) i)) == 0)
      return (Priority) i;
  add_error (context, "priority", "must be \"urgent\", \"normal\" or \"background\"");
  return PRIORITY_NORMAL;
}

static bool
parse_access (const ErrorContext *context, const json_t *json)
{
  const char *name = json_string_value (json_object_get (json, "access"));

  if (name != NULL && strcmp (name, "write") == 0)
    return true;
  if (name == NULL || strcmp (name, "read") != 0)
    add_error (context, "access", "must be \"read\" or \"write\"");
  return false;
}

static void
parse_class (const ErrorContext *context, const json_t *json, ClassConfig *class_config)
{
  if (!check_object (context, json, class_keys, class_fields, G_N_ELEMENTS (class_fields)))
    return;
  parse_numbers (context, json, class_fields, G_N_ELEMENTS (class_fields), class_config);
  class_config->priority = parse_priority (context, json);
  class_config->write = parse_access (context, json);
  class_config->idempotent = parse_bool (context, json, "idempotent");
  if (class_config->write && class_config->max_age_ms != 0)
    add_error (context, "max_age_ms", "applies to read classes only");
}

static void
parse_classes (const ErrorContext *context, const json_t *json, ServiceConfig *service)
{
  const char *key;
  json_t *value;
  size_t count = json_object_size (json);

  if (!json_is_object (json) || count == 0 || count > CLASSES_MAX)
    {
      add_error (context, "classes", "must be an object of 1 to %d classes", CLASSES_MAX);
      return;
    }
  service->classes = g_new0 (ClassConfig, count);
  json_object_foreach ((json_t *) json, key, value)
    {
      ErrorContext child = child_context (context, "classes", key);
      ClassConfig *class_config = &service->classes[service->class_count++];

      class_config->name = g_strdup (key);
      check_name (&child, key);
      parse_class (&child, value, class_config);
      g_free (child.path);
    }
}

static void
parse_default_class (const ErrorContext *context, const json_t *json, ServiceConfig *service)
{
  char *name = parse_string (context, json, "default_class", NULL);
  const ClassConfig *class_config = service_config_class (service, name);

  if (class_config == NULL)
    add_error (context, "default_class", "unknown class '%s'", name);
  else
    service->default_class = (uint32_t) (class_config - service->classes);
  g_free (name);
}

static void
parse_floors (const ErrorContext *context, const json_t *json, ServiceConfig *service)
{
  const json_t *floors = json_object_get (json, "floors");
  ErrorContext child = { context->errors, g_strdup_printf ("%s/floors", context->path) };

  if (floors == NULL
      || check_object (&child, floors, no_other_keys, floor_fields, G_N_ELEMENTS (floor_fields)))
    parse_numbers (&child, floors, floor_fields, G_N_ELEMENTS (floor_fields), service);
  if (service->floor_percent[PRIORITY_NORMAL] + service->floor_percent[PRIORITY_BACKGROUND] > 90)
    add_error (&child, "", "floors must leave urgent work at least 10 percent");
  g_free (child.path);
}

static void
check_limits (const ErrorContext *context, const ServiceConfig *service)
{
  if (service->reserved_slots >= service->slots)
    add_error (context, "reserved_slots", "must be below slots (%u)", service->slots);
  if (service->reserved_connections >= service->connections)
    add_error (context, "reserved_connections", "must be below connections (%u)",
               service->connections);
}

static void
service_config_clear (void *data)
{
  ServiceConfig *service = data;

  SANITIZER_ACQUIRE (service);
  for (uint32_t i = 0; i < service->instance_count; i++)
    {
      g_free (service->instances[i].name);
      g_free (service->instances[i].address);
    }
  for (uint32_t i = 0; i < service->class_count; i++)
    g_free (service->classes[i].name);
  g_free (service->instances);
  g_free (service->classes);
  g_free (service->database);
  g_free (service->user);
  g_free (service->name);
}

ServiceConfig *
service_config_parse (const char *name, const json_t *json, GHashTable *regions, GString *errors)
{
  ErrorContext context = { errors, g_strdup_printf ("/services/%s", name) };
  gsize errors_before = errors->len;
  ServiceConfig *service = g_atomic_rc_box_new0 (ServiceConfig);

  service->name = g_strdup (name);
  check_name (&context, name);
  if (check_object (&context, json, service_keys, service_fields, G_N_ELEMENTS (service_fields)))
    {
      service->database = parse_string (&context, json, "database", name);
      service->user = parse_string (&context, json, "user", "peridotstep");
      parse_numbers (&context, json, service_fields, G_N_ELEMENTS (service_fields), service);
      parse_floors (&context, json, service);
      parse_instances (&context, json_object_get (json, "instances"), regions, service);
      parse_classes (&context, json_object_get (json, "classes"), service);
      parse_default_class (&context, json, service);
      check_limits (&context, service);
    }
  g_free (context.path);
  if (errors->len == errors_before)
    return service;
  service_config_unref (service);
  return NULL;
}

ServiceConfig *
service_config_ref (ServiceConfig *service)
{
  return g_atomic_rc_box_acquire (service);
}

void
service_config_unref (ServiceConfig *service)
{
  SANITIZER_RELEASE (service);
  g_atomic_rc_box_release_full (service, service_config_clear);
}

const ClassConfig *
service_config_class (const ServiceConfig *service, const char *name)
{
  for (uint32_t i = 0; i < service->class_count; i++)
    if (strcmp (service->classes[i].name, name) == 0)
      return &service->classes[i];
  return NULL;
}

AdmissionOptions
service_config_admission (const ServiceConfig *service)
{
  AdmissionOptions options = {
    .slots = service->slots,
    .reserved_slots = service->reserved_slots,
    .queue_limit = service->queue_limit,
  };

  memcpy (options.floor_percent, service->floor_percent, sizeof options.floor_percent);
  return options;
}
