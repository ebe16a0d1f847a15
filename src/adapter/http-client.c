#include "adapter/http-client.h"

#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>

/* Upper bound on the connect timeout. */
#define CONNECT_TIMEOUT_MAX_MS 1000
/* TCP keep-alive detects a connection whose peer is gone. */
#define KEEPALIVE_S 3
/* A larger response fails the request; no page of the platform is larger. */
#define BODY_LIMIT_BYTES (4 * 1024 * 1024)

struct HttpClient
{
  struct tevent_context *events;
  TimerQueue *timers;
  CURLM *multi;
  Timer timer;
  GHashTable *calls;
};

struct HttpCall
{
  HttpClient *client;
  CURL *easy;
  struct curl_slist *headers;
  GString *body;
  const char *response_header;
  HttpDone done;
  void *data;
};

typedef struct
{
  HttpClient *client;
  curl_socket_t fd;
  struct tevent_fd *fde;
} Watch;

static void
call_free (HttpCall *call)
{
  g_hash_table_remove (call->client->calls, call);
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  g_string_free (call->body, true);
  g_free (call);
}

static char *
copy_response_header (const HttpCall *call)
{
  struct curl_header *header;

  if (call->response_header == NULL
      || curl_easy_header (call->easy, call->response_header, 0, CURLH_HEADER, -1, &header)
             != CURLHE_OK)
    return NULL;
  return g_strdup (header->value);
}

static void
finish (HttpCall *call, CURLcode code)
{
  const HttpDone done = call->done;
  void *data = call->data;
  GString *body = call->body;
  char *header = code == CURLE_OK ? copy_response_header (call) : NULL;
  HttpResponse response = { .header = header, .body = body->str, .length = body->len };
  curl_off_t pretransfer_us = 0;

  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &response.status);
  curl_easy_getinfo (call->easy, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
  // The pre-transfer time stays 0 if no connection was established.
  response.unsent = code != CURLE_OK && pretransfer_us == 0;
  if (code != CURLE_OK)
    response.status = 0;
  call->body = g_string_new ("");
  call_free (call);
  done (data, &response);
  g_string_free (body, true);
  g_free (header);
}

static void
handle_finished (HttpClient *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      HttpCall *call;

      if (message->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &call);
      finish (call, message->data.result);
    }
}

static void
on_socket (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  const Watch *watch = data;
  HttpClient *client = watch->client;
  int running;
  int ready = 0;

  if ((flags & TEVENT_FD_READ) != 0)
    ready |= CURL_CSELECT_IN;
  if ((flags & TEVENT_FD_WRITE) != 0)
    ready |= CURL_CSELECT_OUT;
  curl_multi_socket_action (client->multi, watch->fd, ready, &running);
  handle_finished (client);
}

static void
on_timer (void *data)
{
  HttpClient *client = data;
  int running;

  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  handle_finished (client);
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  HttpClient *client = data;
  Watch *watch = socket_data;
  uint16_t flags = 0;

  if (what == CURL_POLL_REMOVE)
    {
      curl_multi_assign (client->multi, fd, NULL);
      talloc_free (watch);
      return 0;
    }
  if (watch == NULL)
    {
      watch = talloc_zero (client, Watch);
      watch->client = client;
      watch->fd = fd;
      watch->fde = tevent_add_fd (client->events, watch, fd, 0, on_socket, watch);
      curl_multi_assign (client->multi, fd, watch);
    }
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_READ;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    flags |= TEVENT_FD_WRITE;
  tevent_fd_set_flags (watch->fde, flags);
  return 0;
}

static int
set_curl_timer (CURLM *multi, long delay_ms, void *data)
{
  HttpClient *client = data;

  if (delay_ms < 0)
    timer_clear (&client->timer);
  else
    timer_set (client->timers, &client->timer, delay_ms);
  return 0;
}

static int
client_destroy (HttpClient *client)
{
  GList *calls = g_hash_table_get_keys (client->calls);

  g_list_free_full (calls, (GDestroyNotify) call_free);
  timer_clear (&client->timer);
  curl_multi_cleanup (client->multi);
  g_hash_table_destroy (client->calls);
  return 0;
}

HttpClient *
http_client_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers)
{
  HttpClient *client = talloc_zero (parent, HttpClient);

  client->events = events;
  client->timers = timers;
  client->multi = curl_multi_init ();
  client->calls = g_hash_table_new (NULL, NULL);
  client->timer.fired = on_timer;
  client->timer.data = client;
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, set_curl_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  talloc_set_destructor (client, client_destroy);
  return client;
}

static size_t
append_body (char *bytes, size_t size, size_t count, void *data)
{
  HttpCall *call = data;

  if (call->body->len + size * count > BODY_LIMIT_BYTES)
    return 0;
  g_string_append_len (call->body, bytes, (gssize) (size * count));
  return size * count;
}

/* With a zero linger time, close() resets the connection and discards unsent data. */
static int
reset_on_close (void *data, curl_socket_t fd, curlsocktype purpose)
{
  const struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  return CURL_SOCKOPT_OK;
}

void
http_client_send (HttpClient *client, const HttpRequest *request)
{
  HttpCall *call = g_new0 (HttpCall, 1);
  CURL *easy = curl_easy_init ();

  call->client = client;
  call->easy = easy;
  call->body = g_string_new ("");
  call->response_header = request->response_header;
  call->done = request->done;
  call->data = request->data;
  // Suppress "Expect: 100-continue", which would cost a round trip.
  call->headers = curl_slist_append (call->headers, "Expect:");
  if (request->body != NULL)
    call->headers = curl_slist_append (call->headers, "Content-Type: application/json");
  for (const char *const *header = request->headers; header != NULL && *header != NULL; header++)
    call->headers = curl_slist_append (call->headers, *header);
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) request->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long) MIN (CONNECT_TIMEOUT_MAX_MS, request->timeout_ms));
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPALIVE, 1L);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPIDLE, (long) KEEPALIVE_S);
  curl_easy_setopt (easy, CURLOPT_TCP_KEEPINTVL, (long) KEEPALIVE_S);
  if (request->abort_unsent)
    {
      curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, reset_on_close);
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
    }
  if (strcmp (request->method, "POST") == 0)
    curl_easy_setopt (easy, CURLOPT_COPYPOSTFIELDS, request->body == NULL ? "" : request->body);
  g_hash_table_add (client->calls, call);
  curl_multi_add_handle (client->multi, easy);
}
