#include "standin/platform-store.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include <glib.h>
#include <microhttpd.h>

#include "base/clock.h"

#define BODY_LIMIT_BYTES (64u * 1024 * 1024)

typedef struct
{
  uint64_t version;
  json_t *value;
} Row;

typedef struct
{
  json_t *host;
  int64_t visible_ms;
} ListedHost;

struct PlatformStore
{
  PlatformStoreOptions options;
  struct MHD_Daemon *daemon;
  pthread_mutex_t lock;
  GHashTable *rows;
  GHashTable *transactions; /* id -> JSON response */
  GHashTable *objects;      /* name -> GBytes */
  GHashTable *hosts;        /* id -> ListedHost */
  atomic_llong faults[STORE_FAULT_COUNT];
  atomic_llong countdown;      /* requests until the scheduled fault; negative after that */
  atomic_llong scheduled_left; /* requests that it still applies to */
  atomic_int scheduled_fault;
  atomic_bool triggered;
};

/* A request whose body is being received. */
typedef struct
{
  GByteArray *body;
} Upload;

/* Status and body of a response, as JSON or bytes. */
typedef struct
{
  unsigned int status;
  json_t *json;
  GBytes *bytes;
} Reply;

static const char *const store_fault_names[STORE_FAULT_COUNT] = {
  [STORE_FAULT_DOWN] = "store-down",
  [STORE_FAULT_SLOW] = "store-slow",
  [STORE_FAULT_LOSE_ANSWERS] = "store-lose-answers",
};

bool
store_fault_parse (const char *name, StoreFault *fault)
{
  for (int i = 0; i < STORE_FAULT_COUNT; i++)
    if (strcmp (store_fault_names[i], name) == 0)
      {
        *fault = (StoreFault) i;
        return true;
      }
  return false;
}

void
platform_store_set_fault (PlatformStore *store, StoreFault fault, int64_t value)
{
  atomic_store (&store->faults[fault], value);
}

void
platform_store_schedule_fault (PlatformStore *store, StoreFault fault, int64_t request,
                               int64_t count)
{
  atomic_store (&store->triggered, false);
  atomic_store (&store->scheduled_fault, (int) fault);
  atomic_store (&store->scheduled_left, count);
  atomic_store (&store->countdown, request);
}

bool
platform_store_fault_triggered (PlatformStore *store)
{
  return atomic_load (&store->triggered);
}

/* Counts a request; returns whether the scheduled fault applies to it. */
static bool
count_request (PlatformStore *store)
{
  if (atomic_fetch_sub (&store->countdown, 1) > 0
      || atomic_fetch_sub (&store->scheduled_left, 1) <= 0)
    return false;
  atomic_store (&store->triggered, true);
  return true;
}

/* Whether a request fails with @fault. */
static bool
fault_applies (PlatformStore *store, StoreFault fault, bool is_scheduled)
{
  if (atomic_load (&store->faults[fault]) > 0)
    return true;
  return is_scheduled && atomic_load (&store->scheduled_fault) == (int) fault;
}

static void
row_free (void *data)
{
  Row *row = data;

  json_decref (row->value);
  g_free (row);
}

static void
listed_host_free (void *data)
{
  ListedHost *listed = data;

  json_decref (listed->host);
  g_free (listed);
}

static uint64_t
row_version (PlatformStore *store, const char *key)
{
  const Row *row = g_hash_table_lookup (store->rows, key);

  return row == NULL ? 0 : row->version;
}

static json_t *
failed_conditions (PlatformStore *store, const json_t *conditions)
{
  json_t *failed = json_array ();
  size_t index;
  json_t *condition;

  json_array_foreach ((json_t *) conditions, index, condition)
    {
      const char *key = json_string_value (json_object_get (condition, "key"));
      uint64_t version = (uint64_t) json_integer_value (json_object_get (condition, "version"));

      if (key != NULL && row_version (store, key) != version)
        json_array_append_new (failed, json_pack ("{s:s, s:I}", "key", key, "version",
                                                  (json_int_t) row_version (store, key)));
    }
  return failed;
}

static void
put_rows (PlatformStore *store, const json_t *puts)
{
  size_t index;
  json_t *put;

  json_array_foreach ((json_t *) puts, index, put)
    {
      const char *key = json_string_value (json_object_get (put, "key"));
      Row *row;

      if (key == NULL)
        continue;
      row = g_new0 (Row, 1);
      row->version = row_version (store, key) + 1;
      row->value = json_deep_copy (json_object_get (put, "value"));
      g_hash_table_replace (store->rows, g_strdup (key), row);
    }
}

static Reply
run_transaction (PlatformStore *store, const json_t *request)
{
  const char *id = json_string_value (json_object_get (request, "id"));
  json_t *previous;
  json_t *failed;
  bool committed;

  if (id == NULL)
    return (Reply){ MHD_HTTP_BAD_REQUEST, NULL, NULL };
  previous = g_hash_table_lookup (store->transactions, id);
  if (previous != NULL)
    return (Reply){ MHD_HTTP_OK, json_incref (previous), NULL };
  failed = failed_conditions (store, json_object_get (request, "conditions"));
  committed = json_array_size (failed) == 0;
  if (committed)
    put_rows (store, json_object_get (request, "puts"));
  previous = json_pack ("{s:b, s:o}", "committed", committed, "failed", failed);
  g_hash_table_insert (store->transactions, g_strdup (id), json_incref (previous));
  return (Reply){ MHD_HTTP_OK, previous, NULL };
}

static Reply
get_transaction (PlatformStore *store, const char *id)
{
  json_t *previous = g_hash_table_lookup (store->transactions, id);

  if (previous == NULL)
    return (Reply){ MHD_HTTP_NOT_FOUND, NULL, NULL };
  return (Reply){ MHD_HTTP_OK, json_incref (previous), NULL };
}

static Reply
get_row (PlatformStore *store, const char *key)
{
  const Row *row = g_hash_table_lookup (store->rows, key);

  if (row == NULL)
    return (Reply){ MHD_HTTP_NOT_FOUND, NULL, NULL };
  return (Reply){ MHD_HTTP_OK,
                  json_pack ("{s:s, s:I, s:O}", "key", key, "version", (json_int_t) row->version,
                             "value", row->value),
                  NULL };
}

static Reply
get_object (PlatformStore *store, const char *name)
{
  GBytes *bytes = g_hash_table_lookup (store->objects, name);

  if (bytes == NULL)
    return (Reply){ MHD_HTTP_NOT_FOUND, NULL, NULL };
  return (Reply){ MHD_HTTP_OK, NULL, g_bytes_ref (bytes) };
}

static Reply
put_object (PlatformStore *store, const char *name, const GByteArray *body)
{
  g_hash_table_replace (store->objects, g_strdup (name), g_bytes_new (body->data, body->len));
  return (Reply){ MHD_HTTP_OK, json_object (), NULL };
}

static Reply
put_host (PlatformStore *store, const char *id, const json_t *host)
{
  ListedHost *listed = g_hash_table_lookup (store->hosts, id);

  if (listed == NULL)
    {
      listed = g_new0 (ListedHost, 1);
      listed->visible_ms = clock_now_ms () + store->options.host_lag_ms;
      g_hash_table_insert (store->hosts, g_strdup (id), listed);
    }
  json_decref (listed->host);
  listed->host = json_deep_copy (host);
  return (Reply){ MHD_HTTP_OK, json_object (), NULL };
}

static Reply
get_hosts (PlatformStore *store)
{
  json_t *hosts = json_array ();
  int64_t now_ms = clock_now_ms ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, store->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const ListedHost *listed = value;

      if (listed->visible_ms <= now_ms)
        json_array_append (hosts, listed->host);
    }
  return (Reply){ MHD_HTTP_OK, json_pack ("{s:o}", "hosts", hosts), NULL };
}

static Reply
run_command (PlatformStore *store, const json_t *request)
{
  const char *kind = json_string_value (json_object_get (request, "fault"));
  StoreFault fault;
  json_t *json;

  if (kind != NULL && store_fault_parse (kind, &fault))
    {
      platform_store_set_fault (store, fault,
                                json_integer_value (json_object_get (request, "value")));
      return (Reply){ MHD_HTTP_OK, json_object (), NULL };
    }
  json = store->options.command == NULL
             ? NULL
             : store->options.command (request, store->options.command_data);
  return (Reply){ json == NULL ? MHD_HTTP_BAD_REQUEST : MHD_HTTP_OK, json, NULL };
}

static const char *
path_after (const char *url, const char *prefix)
{
  return g_str_has_prefix (url, prefix) ? url + strlen (prefix) : NULL;
}

static Reply
handle_get (PlatformStore *store, const char *url)
{
  const char *rest;

  if ((rest = path_after (url, "/v1/row/")) != NULL)
    return get_row (store, rest);
  if ((rest = path_after (url, "/v1/transaction/")) != NULL)
    return get_transaction (store, rest);
  if ((rest = path_after (url, "/v1/object/")) != NULL)
    return get_object (store, rest);
  if (strcmp (url, "/v1/hosts") == 0)
    return get_hosts (store);
  return (Reply){ MHD_HTTP_NOT_FOUND, NULL, NULL };
}

static Reply
handle_write (PlatformStore *store, const char *url, const GByteArray *body)
{
  const char *rest;
  json_t *json;
  Reply reply = { MHD_HTTP_BAD_REQUEST, NULL, NULL };

  if ((rest = path_after (url, "/v1/object/")) != NULL)
    return put_object (store, rest, body);
  json = json_loadb ((const char *) body->data, body->len, 0, NULL);
  if (json == NULL)
    return reply;
  if (strcmp (url, "/v1/transaction") == 0)
    reply = run_transaction (store, json);
  else if ((rest = path_after (url, "/v1/host/")) != NULL)
    reply = put_host (store, rest, json);
  else if (strcmp (url, "/v1/standin") == 0)
    {
      // Commands may wait for another thread, which must be able to lock the store.
      pthread_mutex_unlock (&store->lock);
      reply = run_command (store, json);
      pthread_mutex_lock (&store->lock);
    }
  json_decref (json);
  return reply;
}

static enum MHD_Result
send_reply (struct MHD_Connection *connection, Reply *reply)
{
  struct MHD_Response *response;
  enum MHD_Result result;

  if (reply->bytes != NULL)
    {
      gsize size;
      const void *data = g_bytes_get_data (reply->bytes, &size);

      response = MHD_create_response_from_buffer (size, (void *) data, MHD_RESPMEM_MUST_COPY);
      g_bytes_unref (reply->bytes);
    }
  else
    {
      char *text = json_dumps (reply->json, JSON_COMPACT | JSON_ENCODE_ANY);

      response = MHD_create_response_from_buffer (text == NULL ? 0 : strlen (text), text,
                                                  MHD_RESPMEM_MUST_FREE);
      json_decref (reply->json);
    }
  result = MHD_queue_response (connection, reply->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
                const char *version, const char *upload_data, size_t *upload_size, void **request)
{
  PlatformStore *store = data;
  Upload *upload = *request;
  bool is_command = strcmp (url, "/v1/standin") == 0;
  bool is_write = strcmp (method, "GET") != 0;
  bool is_scheduled;
  Reply reply;

  if (upload == NULL)
    {
      upload = g_new0 (Upload, 1);
      upload->body = g_byte_array_new ();
      *request = upload;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (upload->body->len + *upload_size > BODY_LIMIT_BYTES)
        return MHD_NO;
      g_byte_array_append (upload->body, (const uint8_t *) upload_data, (guint) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  is_scheduled = !is_command && count_request (store);
  if (!is_command)
    {
      long long slow_ms = atomic_load (&store->faults[STORE_FAULT_SLOW]);

      if (slow_ms > 0)
        g_usleep ((gulong) slow_ms * 1000);
      if (fault_applies (store, STORE_FAULT_DOWN, is_scheduled))
        return MHD_NO;
    }
  pthread_mutex_lock (&store->lock);
  reply = is_write ? handle_write (store, url, upload->body) : handle_get (store, url);
  pthread_mutex_unlock (&store->lock);
  if (!is_command && is_write && fault_applies (store, STORE_FAULT_LOSE_ANSWERS, is_scheduled))
    {
      json_decref (reply.json);
      return MHD_NO;
    }
  return send_reply (connection, &reply);
}

static void
request_completed (void *data, struct MHD_Connection *connection, void **request,
                   enum MHD_RequestTerminationCode code)
{
  Upload *upload = *request;

  if (upload == NULL)
    return;
  g_byte_array_free (upload->body, true);
  g_free (upload);
  *request = NULL;
}

PlatformStore *
platform_store_new (const PlatformStoreOptions *options)
{
  PlatformStore *store = g_new0 (PlatformStore, 1);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (options->port),
                                 .sin_addr = { htonl (INADDR_LOOPBACK) } };

  store->options = *options;
  pthread_mutex_init (&store->lock, NULL);
  store->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  store->transactions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) json_decref);
  store->objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  store->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, listed_host_free);
  store->daemon = MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                                    options->port, NULL, NULL, handle_request, store,
                                    MHD_OPTION_NOTIFY_COMPLETED, request_completed, NULL,
                                    MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  if (store->daemon != NULL)
    return store;
  platform_store_free (store);
  return NULL;
}

void
platform_store_free (PlatformStore *store)
{
  if (store->daemon != NULL)
    MHD_stop_daemon (store->daemon);
  g_hash_table_destroy (store->rows);
  g_hash_table_destroy (store->transactions);
  g_hash_table_destroy (store->objects);
  g_hash_table_destroy (store->hosts);
  pthread_mutex_destroy (&store->lock);
  g_free (store);
}

uint16_t
platform_store_port (const PlatformStore *store)
{
  const union MHD_DaemonInfo *info = MHD_get_daemon_info (store->daemon, MHD_DAEMON_INFO_BIND_PORT);

  return info->port;
}
