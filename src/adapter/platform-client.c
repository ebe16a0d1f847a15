#include "adapter/platform-client.h"

#include <string.h>

#include <curl/curl.h>

#include "base/verdict.h"

/* Requests and look-ups of one commit, and the delay between them. */
#define COMMIT_ATTEMPTS 5
#define COMMIT_RETRY_DELAY_US 300000
#define STATUS_OK 200
#define STATUS_NOT_FOUND 404

struct PlatformClient
{
  CURL *curl;
  char *url;
  int64_t timeout_ms;
};

/* Result of one HTTP request; status 0 means that there was no response. */
typedef struct
{
  long status;
  GByteArray *body;
} HttpResult;

static gpointer
init_library (gpointer data)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return NULL;
}

PlatformClient *
platform_client_new (const char *url, int64_t timeout_ms)
{
  static GOnce once = G_ONCE_INIT;
  PlatformClient *client = g_new0 (PlatformClient, 1);

  g_once (&once, init_library, NULL);
  client->curl = curl_easy_init ();
  client->url = g_strdup (url);
  client->timeout_ms = timeout_ms;
  return client;
}

void
platform_client_free (PlatformClient *client)
{
  curl_easy_cleanup (client->curl);
  g_free (client->url);
  g_free (client);
}

static size_t
append_body (char *bytes, size_t size, size_t count, void *data)
{
  g_byte_array_append (data, (const uint8_t *) bytes, (guint) (size * count));
  return size * count;
}

static HttpResult
perform (PlatformClient *client, const char *method, const char *path, const void *body,
         size_t length)
{
  HttpResult result = { 0, g_byte_array_new () };
  char *url = g_strdup_printf ("%s%s", client->url, path);

  curl_easy_reset (client->curl);
  curl_easy_setopt (client->curl, CURLOPT_URL, url);
  curl_easy_setopt (client->curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (client->curl, CURLOPT_PROXY, "");
  curl_easy_setopt (client->curl, CURLOPT_TIMEOUT_MS, (long) client->timeout_ms);
  curl_easy_setopt (client->curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (client->curl, CURLOPT_WRITEDATA, result.body);
  curl_easy_setopt (client->curl, CURLOPT_CUSTOMREQUEST, method);
  if (body != NULL)
    {
      curl_easy_setopt (client->curl, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (client->curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t) length);
    }
  if (curl_easy_perform (client->curl) == CURLE_OK)
    curl_easy_getinfo (client->curl, CURLINFO_RESPONSE_CODE, &result.status);
  g_free (url);
  return result;
}

static json_t *
parse_json (const HttpResult *result)
{
  return json_loadb ((const char *) result->body->data, result->body->len, JSON_DECODE_ANY, NULL);
}

static void
set_store_error (GError **error, const char *path, long status)
{
  if (status == 0)
    g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_STORE,
                 "%s: the platform store does not respond", path);
  else
    g_set_error (error, PERIDOTSTEP_ERROR, PERIDOTSTEP_ERROR_STORE,
                 "%s: the platform store returned HTTP status %ld", path, status);
}

/* Returns the JSON response, or %NULL with @error set. If @missing is not %NULL, a 404 sets it
 * instead of @error. */
static json_t *
request_json (PlatformClient *client, const char *method, const char *path, const json_t *body,
              bool *missing, GError **error)
{
  char *text = body == NULL ? NULL : json_dumps (body, JSON_COMPACT);
  HttpResult result = perform (client, method, path, text, text == NULL ? 0 : strlen (text));
  json_t *json = NULL;

  free (text);
  if (result.status == STATUS_OK)
    json = parse_json (&result);
  if (missing != NULL)
    *missing = result.status == STATUS_NOT_FOUND;
  if (json == NULL && !(missing != NULL && *missing))
    set_store_error (error, path, result.status);
  g_byte_array_free (result.body, true);
  return json;
}

bool
platform_client_get_row (PlatformClient *client, const char *key, uint64_t *version, json_t **value,
                         GError **error)
{
  char *path = g_strdup_printf ("/v1/row/%s", key);
  bool missing = false;
  json_t *json = request_json (client, "GET", path, NULL, &missing, error);

  g_free (path);
  *version = 0;
  *value = NULL;
  if (json == NULL)
    return missing;
  *version = (uint64_t) json_integer_value (json_object_get (json, "version"));
  *value = json_incref (json_object_get (json, "value"));
  json_decref (json);
  return true;
}

static PlatformCommit
commit_outcome (const json_t *json)
{
  return json_is_true (json_object_get (json, "committed")) ? PLATFORM_COMMITTED
                                                            : PLATFORM_CONFLICT;
}

/* Transactions are idempotent by id: a repeated one returns the outcome of the first run. So if a
 * response is lost, the transaction is looked up by its id, and sent again if the store has no
 * record of it. */
PlatformCommit
platform_client_commit (PlatformClient *client, const json_t *transaction, GError **error)
{
  for (int attempt = 0; attempt < COMMIT_ATTEMPTS; attempt++)
    {
      const char *id = json_string_value (json_object_get (transaction, "id"));
      char *path = g_strdup_printf ("/v1/transaction/%s", id);
      bool missing = false;
      json_t *json = NULL;

      if (attempt > 0)
        {
          g_usleep (COMMIT_RETRY_DELAY_US);
          json = request_json (client, "GET", path, NULL, &missing, NULL);
        }
      if (json == NULL && (attempt == 0 || missing))
        json = request_json (client, "POST", "/v1/transaction", transaction, NULL, NULL);
      g_free (path);
      if (json != NULL)
        {
          PlatformCommit outcome = commit_outcome (json);

          json_decref (json);
          return outcome;
        }
    }
  set_store_error (error, "/v1/transaction", 0);
  return PLATFORM_UNKNOWN;
}

GBytes *
platform_client_get_object (PlatformClient *client, const char *name, GError **error)
{
  char *path = g_strdup_printf ("/v1/object/%s", name);
  HttpResult result = perform (client, "GET", path, NULL, 0);

  if (result.status == STATUS_OK)
    {
      g_free (path);
      return g_byte_array_free_to_bytes (result.body);
    }
  if (result.status != STATUS_NOT_FOUND)
    set_store_error (error, path, result.status);
  g_byte_array_free (result.body, true);
  g_free (path);
  return NULL;
}

bool
platform_client_put_object (PlatformClient *client, const char *name, GBytes *bytes, GError **error)
{
  char *path = g_strdup_printf ("/v1/object/%s", name);
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  HttpResult result = perform (client, "PUT", path, data, size);
  bool stored = result.status == STATUS_OK;

  if (!stored)
    set_store_error (error, path, result.status);
  g_byte_array_free (result.body, true);
  g_free (path);
  return stored;
}

json_t *
platform_client_get_json (PlatformClient *client, const char *path, GError **error)
{
  return request_json (client, "GET", path, NULL, NULL, error);
}

json_t *
platform_client_get_hosts (PlatformClient *client, GError **error)
{
  return platform_client_get_json (client, "/v1/hosts", error);
}

bool
platform_client_put_host (PlatformClient *client, const char *id, const json_t *host,
                          GError **error)
{
  char *path = g_strdup_printf ("/v1/host/%s", id);
  json_t *json = request_json (client, "PUT", path, host, NULL, error);

  g_free (path);
  json_decref (json);
  return json != NULL;
}

json_t *
platform_client_standin (PlatformClient *client, const json_t *command, GError **error)
{
  return request_json (client, "POST", "/v1/standin", command, NULL, error);
}
