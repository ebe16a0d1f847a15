#include "config/config-store.h"

#include <string.h>
#include <time.h>

#include "base/verdict.h"
#include "config/merge-patch.h"

#define HEAD_KEY "config-head"
#define KEY_BYTES 48
/* Number of versions between two snapshots. */
#define SNAPSHOT_INTERVAL 32
/* Attempts to append a change, in case concurrent changes get the next version number first. */
#define APPLY_ATTEMPTS 20

/* The row "config-head", which holds the latest version and the latest snapshot. */
typedef struct
{
  uint64_t row_version;
  uint64_t version;
  uint64_t snapshot;
} Head;

ConfigPart *
config_part_new (uint64_t version, bool whole, uint64_t digest, json_t *json)
{
  ConfigPart *part = g_new0 (ConfigPart, 1);

  part->version = version;
  part->whole = whole;
  part->digest = digest;
  part->json = json;
  return part;
}

void
config_part_free (ConfigPart *part)
{
  json_decref (part->json);
  g_free (part);
}

ConfigDocument *
config_part_apply (const ConfigDocument *base, const ConfigPart *part, GError **error)
{
  ConfigDocument *document;

  if (!part->whole && part->version != config_document_version (base) + 1)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_CONFIG,
                   "patch %" G_GUINT64_FORMAT " does not apply to version %" G_GUINT64_FORMAT,
                   part->version, config_document_version (base));
      return NULL;
    }
  if (part->whole)
    document = config_document_new (part->version, part->json, error);
  else
    document = config_document_patch (base, part->version, part->json, error);
  if (document == NULL || config_document_digest (document) == part->digest)
    return document;
  config_document_unref (document);
  g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_CONFIG,
               "digest of version %" G_GUINT64_FORMAT " does not match its content", part->version);
  return NULL;
}

static void
version_key (char *key, uint64_t version)
{
  g_snprintf (key, KEY_BYTES, "config-%" G_GUINT64_FORMAT, version);
}

static void
snapshot_name (char *name, uint64_t version)
{
  g_snprintf (name, KEY_BYTES, "config-snapshot-%" G_GUINT64_FORMAT, version);
}

static bool
read_head (PlatformClient *client, Head *head, GError **error)
{
  json_t *value;

  *head = (Head){ 0 };
  if (!platform_client_get_row (client, HEAD_KEY, &head->row_version, &value, error))
    return false;
  head->version = (uint64_t) json_integer_value (json_object_get (value, "version"));
  head->snapshot = (uint64_t) json_integer_value (json_object_get (value, "snapshot"));
  json_decref (value);
  return true;
}

bool
config_store_head (PlatformClient *client, uint64_t *version, GError **error)
{
  Head head;

  if (!read_head (client, &head, error))
    return false;
  *version = head.version;
  return true;
}

json_t *
config_store_record (PlatformClient *client, uint64_t version, GError **error)
{
  char key[KEY_BYTES];
  uint64_t row_version;
  json_t *value;

  version_key (key, version);
  if (!platform_client_get_row (client, key, &row_version, &value, error))
    return NULL;
  if (value == NULL)
    g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_CONFIG,
                 "version %" G_GUINT64_FORMAT " does not exist", version);
  return value;
}

static uint64_t
read_digest (const json_t *json)
{
  const char *text = json_string_value (json_object_get (json, "digest"));

  return text == NULL ? 0 : g_ascii_strtoull (text, NULL, 16);
}

static ConfigPart *
fetch_patch (PlatformClient *client, uint64_t version, GError **error)
{
  json_t *record = config_store_record (client, version, error);
  ConfigPart *part;

  if (record == NULL)
    return NULL;
  part = config_part_new (version, false, read_digest (record),
                          json_incref (json_object_get (record, "patch")));
  json_decref (record);
  return part;
}

static ConfigPart *
fetch_snapshot (PlatformClient *client, uint64_t version, GError **error)
{
  char name[KEY_BYTES];
  GBytes *bytes;
  json_t *json;
  ConfigPart *part = NULL;
  gsize size;
  const void *data;

  snapshot_name (name, version);
  bytes = platform_client_get_object (client, name, error);
  if (bytes == NULL)
    return NULL;
  data = g_bytes_get_data (bytes, &size);
  json = json_loadb (data, size, 0, NULL);
  if (json != NULL)
    part = config_part_new (version, true, read_digest (json),
                            json_incref (json_object_get (json, "document")));
  json_decref (json);
  g_bytes_unref (bytes);
  return part;
}

GPtrArray *
config_store_fetch (PlatformClient *client, uint64_t have, uint64_t want, GError **error)
{
  GPtrArray *parts = g_ptr_array_new_with_free_func ((GDestroyNotify) config_part_free);
  Head head;

  if (!read_head (client, &head, error))
    {
      g_ptr_array_free (parts, true);
      return NULL;
    }
  if (head.snapshot > have && head.snapshot <= want)
    {
      ConfigPart *snapshot = fetch_snapshot (client, head.snapshot, NULL);

      // If the snapshot can't be read, the patches alone lead to the wanted version.
      if (snapshot != NULL)
        {
          g_ptr_array_add (parts, snapshot);
          have = head.snapshot;
        }
    }
  for (uint64_t version = have + 1; version <= want; version++)
    {
      ConfigPart *part = fetch_patch (client, version, error);

      if (part == NULL)
        {
          g_ptr_array_free (parts, true);
          return NULL;
        }
      g_ptr_array_add (parts, part);
    }
  return parts;
}

ConfigDocument *
config_store_load (PlatformClient *client, uint64_t version, GError **error)
{
  GPtrArray *parts = config_store_fetch (client, 0, version, error);
  ConfigDocument *document = config_document_empty ();

  for (guint i = 0; parts != NULL && document != NULL && i < parts->len; i++)
    {
      ConfigDocument *next = config_part_apply (document, parts->pdata[i], error);

      config_document_unref (document);
      document = next;
    }
  if (parts == NULL && document != NULL)
    {
      config_document_unref (document);
      document = NULL;
    }
  if (parts != NULL)
    g_ptr_array_free (parts, true);
  return document;
}

static void
add_conflicts (const json_t *record, GPtrArray *paths, GString *conflicts)
{
  size_t index;
  json_t *value;

  json_array_foreach (json_object_get (record, "paths"), index, value)
    for (guint i = 0; i < paths->len; i++)
      if (merge_patch_paths_overlap (json_string_value (value), paths->pdata[i]))
        g_string_append_printf (
            conflicts, "%s: changed in version %" JSON_INTEGER_FORMAT " by %s\n",
            json_string_value (value), json_integer_value (json_object_get (record, "version")),
            json_string_value (json_object_get (record, "author")));
}

/* Optimistic concurrency control: fails if a version after the base of the change modified a path
 * that the change modifies. */
static bool
check_conflicts (PlatformClient *client, const ConfigChange *change, uint64_t head,
                 GPtrArray *paths, GError **error)
{
  GString *conflicts = g_string_new ("");
  bool conflict_free;

  for (uint64_t version = change->base + 1; version <= head; version++)
    {
      json_t *record = config_store_record (client, version, error);

      if (record == NULL)
        {
          g_string_free (conflicts, true);
          return false;
        }
      add_conflicts (record, paths, conflicts);
      json_decref (record);
    }
  conflict_free = conflicts->len == 0;
  if (!conflict_free)
    g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_CONFLICT,
                 "version %" G_GUINT64_FORMAT
                 " is not the latest, and these paths were changed since:\n%s",
                 change->base, conflicts->str);
  g_string_free (conflicts, true);
  return conflict_free;
}

static json_t *
make_record (const ConfigChange *change, const ConfigDocument *document, GPtrArray *paths)
{
  json_t *list = json_array ();
  char digest[20], now[32];
  time_t seconds = time (NULL);
  struct tm utc;

  for (guint i = 0; i < paths->len; i++)
    json_array_append_new (list, json_string (paths->pdata[i]));
  g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x",
              config_document_digest (document));
  gmtime_r (&seconds, &utc);
  strftime (now, sizeof now, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return json_pack ("{s:I, s:I, s:s, s:s, s:s, s:s, s:s, s:o, s:O}", "version",
                    (json_int_t) config_document_version (document), "base",
                    (json_int_t) change->base, "id", change->id, "time", now, "author",
                    change->author, "reason", change->reason, "digest", digest, "paths", list,
                    "patch", change->patch);
}

static json_t *
make_transaction (const ConfigChange *change, const Head *head, const ConfigDocument *document,
                  GPtrArray *paths)
{
  uint64_t version = config_document_version (document);
  char key[KEY_BYTES], id_key[160], transaction_id[200];

  version_key (key, version);
  g_snprintf (id_key, sizeof id_key, "config-id-%s", change->id);
  g_snprintf (transaction_id, sizeof transaction_id, "%s-%" G_GUINT64_FORMAT, change->id, version);
  return json_pack (
      "{s:s, s:[{s:s, s:I}, {s:s, s:I}], s:[{s:s, s:{s:I, s:I}}, {s:s, s:o}, {s:s, s:{s:I}}]}",
      "id", transaction_id, "conditions", "key", HEAD_KEY, "version",
      (json_int_t) head->row_version, "key", id_key, "version", (json_int_t) 0, "puts", "key",
      HEAD_KEY, "value", "version", (json_int_t) version, "snapshot", (json_int_t) head->snapshot,
      "key", key, "value", make_record (change, document, paths), "key", id_key, "value", "version",
      (json_int_t) version);
}

/* Snapshots only speed up loading, so a failure to write one is ignored. */
static void
write_snapshot (PlatformClient *client, const ConfigDocument *document)
{
  uint64_t version = config_document_version (document);
  char name[KEY_BYTES], digest[20], id[KEY_BYTES];
  json_t *json;
  char *text;
  GBytes *bytes;
  Head head;

  if (version % SNAPSHOT_INTERVAL != 0)
    return;
  snapshot_name (name, version);
  g_snprintf (digest, sizeof digest, "%016" G_GINT64_MODIFIER "x",
              config_document_digest (document));
  json = json_pack ("{s:s, s:o}", "digest", digest, "document", config_document_json (document));
  text = json_dumps (json, JSON_COMPACT);
  bytes = g_bytes_new_with_free_func (text, strlen (text), free, text);
  json_decref (json);
  if (platform_client_put_object (client, name, bytes, NULL) && read_head (client, &head, NULL)
      && head.snapshot < version)
    {
      json_t *transaction;

      g_snprintf (id, sizeof id, "snapshot-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, version,
                  head.row_version);
      transaction = json_pack (
          "{s:s, s:[{s:s, s:I}], s:[{s:s, s:{s:I, s:I}}]}", "id", id, "conditions", "key", HEAD_KEY,
          "version", (json_int_t) head.row_version, "puts", "key", HEAD_KEY, "value", "version",
          (json_int_t) head.version, "snapshot", (json_int_t) version);
      platform_client_commit (client, transaction, NULL);
      json_decref (transaction);
    }
  g_bytes_unref (bytes);
}

/* Looks up the version in which the change @id was applied; 0 if it was not applied yet. */
static bool
find_applied (PlatformClient *client, const char *id, uint64_t *version, GError **error)
{
  char key[160];
  uint64_t row_version;
  json_t *value;

  g_snprintf (key, sizeof key, "config-id-%s", id);
  if (!platform_client_get_row (client, key, &row_version, &value, error))
    return false;
  *version = (uint64_t) json_integer_value (json_object_get (value, "version"));
  json_decref (value);
  return true;
}

typedef enum
{
  APPLY_DONE,
  APPLY_RACED,
  APPLY_FAILED
} ApplyResult;

static ApplyResult
try_apply (PlatformClient *client, const ConfigChange *change, GPtrArray *paths, uint64_t *version,
           GError **error)
{
  Head head;
  ConfigDocument *base, *document;
  json_t *transaction;
  PlatformCommit outcome;

  if (!find_applied (client, change->id, version, error) || !read_head (client, &head, error))
    return APPLY_FAILED;
  if (*version != 0)
    return APPLY_DONE;
  if (change->base > head.version)
    {
      g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_CONFLICT,
                   "base version %" G_GUINT64_FORMAT
                   " does not exist; the latest is %" G_GUINT64_FORMAT,
                   change->base, head.version);
      return APPLY_FAILED;
    }
  if (!check_conflicts (client, change, head.version, paths, error))
    return APPLY_FAILED;
  base = config_store_load (client, head.version, error);
  if (base == NULL)
    return APPLY_FAILED;
  document = config_document_patch (base, head.version + 1, change->patch, error);
  config_document_unref (base);
  if (document == NULL)
    return APPLY_FAILED;

  transaction = make_transaction (change, &head, document, paths);
  outcome = platform_client_commit (client, transaction, error);
  json_decref (transaction);
  if (outcome == PLATFORM_COMMITTED)
    {
      *version = head.version + 1;
      write_snapshot (client, document);
    }
  config_document_unref (document);
  if (outcome == PLATFORM_CONFLICT)
    return APPLY_RACED;
  return outcome == PLATFORM_COMMITTED ? APPLY_DONE : APPLY_FAILED;
}

uint64_t
config_store_apply (PlatformClient *client, const ConfigChange *change, GError **error)
{
  GPtrArray *paths = merge_patch_paths (change->patch);
  uint64_t version = 0;
  ApplyResult result = APPLY_RACED;

  for (int i = 0; i < APPLY_ATTEMPTS && result == APPLY_RACED; i++)
    result = try_apply (client, change, paths, &version, error);
  g_ptr_array_free (paths, true);
  if (result == APPLY_RACED)
    g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_CONFLICT,
                 "too many concurrent changes by other operators; nothing was changed");
  return result == APPLY_DONE ? version : 0;
}
