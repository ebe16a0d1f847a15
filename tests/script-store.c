/**
 * DOC: Runs the client of the users' platform against an HTTP server that answers as the script
 * says; prints the requests sent and how the answers are interpreted.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>

#include <microhttpd.h>

#include "base/clock.h"
#include "base/log.h"
#include "platform/platform-api.h"
#include "script.h"

#define POLL_MS 10
#define CALL_MS 2000
#define LIMIT_MS 6000
#define HEAD_BYTES 512

typedef struct
{
  struct tevent_context *events;
  TimerQueue *timers;
  struct MHD_Daemon *server;
  Directory *directory;
  Timer wake;
  guint status;          /* of the next answer */
  char *body;            /* of the next answer */
  char era[32];          /* header of the answers; empty for none */
  bool silent;           /* the next call gets no answer */
  GString *request_text; /* the last request */
  GString *result_text;  /* how the client interpreted the answer */
  char address[32];
} State;

static enum MHD_Result
add_header (void *data, enum MHD_ValueKind kind, const char *key, const char *value)
{
  State *state = data;

  if (g_str_has_prefix (key, "X-"))
    g_string_append_printf (state->request_text, "%s: %s\n", key, value);
  return MHD_YES;
}

static enum MHD_Result
add_argument (void *data, enum MHD_ValueKind kind, const char *key, const char *value)
{
  State *state = data;

  g_string_append_printf (state->request_text, " %s=%s", key, value == NULL ? "" : value);
  return MHD_YES;
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
            const char *version, const char *upload, size_t *upload_size, void **request)
{
  static int header_read;
  State *state = data;
  struct MHD_Response *response;
  enum MHD_Result result;

  if (*request == NULL)
    {
      *request = &header_read;
      g_string_printf (state->request_text, "%s %s", method, url);
      MHD_get_connection_values (connection, MHD_GET_ARGUMENT_KIND, add_argument, state);
      g_string_append (state->request_text, "\n");
      MHD_get_connection_values (connection, MHD_HEADER_KIND, add_header, state);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (state->request_text, upload, (gssize) *upload_size);
      g_string_append (state->request_text, "\n");
      *upload_size = 0;
      return MHD_YES;
    }
  if (state->silent)
    return MHD_NO;
  response
      = MHD_create_response_from_buffer (strlen (state->body), state->body, MHD_RESPMEM_MUST_COPY);
  if (*state->era != '\0')
    MHD_add_response_header (response, "Store-Era", state->era);
  result = MHD_queue_response (connection, state->status, response);
  MHD_destroy_response (response);
  return result;
}

static void
on_wake (void *data)
{
}

static void
run_until_result (State *state)
{
  const gint64 until_ms = clock_now_ms () + LIMIT_MS;

  while (state->result_text->len == 0 && clock_now_ms () < until_ms)
    {
      timer_set (state->timers, &state->wake, POLL_MS);
      tevent_loop_once (state->events);
    }
}

static void *
start (void)
{
  State *state = talloc_zero (NULL, State);
  struct sockaddr_in address = { .sin_family = AF_INET };
  PlatformApiOptions options = { .store = state->address, .promoter = state->address };

  log_set_level (LOG_LEVEL_ERROR);
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  state->request_text = g_string_new ("");
  state->result_text = g_string_new ("");
  state->body = g_strdup ("{}");
  state->status = MHD_HTTP_OK;
  state->wake.fired = on_wake;
  state->events = tevent_context_init (state);
  state->timers = timer_queue_new (state, state->events);
  state->server = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, 0, NULL, NULL, on_request,
                                    state, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_END);
  g_snprintf (state->address, sizeof state->address, "127.0.0.1:%u",
              MHD_get_daemon_info (state->server, MHD_DAEMON_INFO_BIND_PORT)->port);
  options.http = http_client_new (state, state->events, state->timers);
  state->directory = platform_api_new (state, &options);
  return state;
}

static void
end (void *data)
{
  State *state = data;

  MHD_stop_daemon (state->server);
  timer_clear (&state->wake);
  g_string_free (state->request_text, true);
  g_string_free (state->result_text, true);
  g_free (state->body);
  talloc_free (state);
}

static void
print_database (gpointer key, gpointer value, gpointer data)
{
  static const char *const consistencies[] = { "primary", "bounded", "session" };
  const Database *database = value;

  g_string_append_printf (data,
                          "%s service=%s %s staleness=%" PRId64 " statement=%" PRId64
                          " operation=%" PRId64 " attempts=%u %s\n",
                          database->name, database->service, consistencies[database->consistency],
                          database->staleness_ms, database->statement_ms, database->operation_ms,
                          database->attempts, priority_name (database->priority));
}

/* The era only if the answer tells it. */
static void
print_answer (State *state, const StoreAnswer *answer)
{
  g_string_append (state->result_text, directory_result_name (answer->result));
  if (answer->era != 0)
    g_string_append_printf (state->result_text, " era=%" PRIu64, answer->era);
}

static void
on_configuration (void *data, const StoreAnswer *answer, Catalog *catalog)
{
  State *state = data;
  GHashTableIter iter;
  void *value;

  print_answer (state, answer);
  g_string_append_printf (state->result_text, " revision=%" PRIu64 "\n", answer->revision);
  if (catalog == NULL)
    return;
  g_string_append_printf (state->result_text, "version=%" PRIu64 " idle=%" PRId64 "\n",
                          catalog->version, catalog->idle_transaction_ms);
  g_hash_table_foreach (catalog->databases, print_database, state->result_text);
  g_hash_table_iter_init (&iter, catalog->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_string_append_printf (state->result_text, "%s connections=%u synchronous=%u\n",
                            ((const ServiceEntry *) value)->name,
                            ((const ServiceEntry *) value)->connection_limit,
                            ((const ServiceEntry *) value)->synchronous);
}

static void
on_instances (void *data, const StoreAnswer *answer, const GArray *infos)
{
  State *state = data;

  print_answer (state, answer);
  g_string_append (state->result_text, "\n");
  for (guint i = 0; i < infos->len; i++)
    {
      const InstanceInfo *info = &g_array_index (infos, InstanceInfo, i);

      g_string_append_printf (state->result_text,
                              "%s service=%s at %s:%u in %s started=%" PRId64 " leaving=%d "
                              "primary=%d\n",
                              info->id, info->service, info->address, info->port,
                              info->failure_domain, info->started_ms, info->leaving, info->primary);
    }
}

static void
on_hosts (void *data, const StoreAnswer *answer, const GArray *hosts)
{
  State *state = data;

  print_answer (state, answer);
  g_string_append (state->result_text, "\n");
  for (guint i = 0; i < hosts->len; i++)
    {
      const HostEntry *host = &g_array_index (hosts, HostEntry, i);

      g_string_append_printf (state->result_text, "%s at %s:%u\n", host->id, host->address,
                              host->port);
    }
}

static void
on_written (void *data, const StoreAnswer *answer)
{
  State *state = data;

  print_answer (state, answer);
  g_string_append (state->result_text, "\n");
}

static void
on_promoted (void *data, DirectoryResult result)
{
  State *state = data;

  g_string_append_printf (state->result_text, "%s\n", directory_result_name (result));
}

/* Rows are written as KEY=DOCUMENT; the server encodes the document. */
static char *
make_rows (char **words)
{
  GString *rows = g_string_new ("");

  for (guint i = 3; words[i] != NULL; i++)
    {
      char **row = g_strsplit (words[i], "=", 2);
      char *value = g_base64_encode ((const guchar *) row[1], strlen (row[1]));

      g_string_append_printf (rows,
                              "%s{\"table\":\"t\",\"part\":\"\",\"key\":\"%s\","
                              "\"value\":\"%s\",\"ver\":1}",
                              rows->len == 0 ? "" : ",", row[0], value);
      g_free (value);
      g_strfreev (row);
    }
  return g_string_free (rows, false);
}

/* rows STATUS REVISION KEY=DOCUMENT...: sets the next answer */
static void
set_rows (State *state, char **words)
{
  char *rows = make_rows (words);

  g_free (state->body);
  state->status = (guint) script_number (words, 1);
  state->body = g_strdup_printf ("{\"rows\":[%s],\"more_pages\":false,\"ver\":%s}", rows,
                                 script_word (words, 2));
  g_free (rows);
}

static void
on_log_holders (void *data, const StoreAnswer *answer, guint64 version, const GArray *keys)
{
  State *state = data;

  g_string_append_printf (state->result_text, "%s\nversion %" G_GUINT64_FORMAT "%s",
                          directory_result_name (answer->result), version,
                          keys == NULL ? ", no keys" : ", keys");
  for (guint i = 0; keys != NULL && i < keys->len; i++)
    g_string_append_printf (state->result_text, " %" G_GINT64_MODIFIER "x",
                            g_array_index (keys, guint64, i));
  g_string_append (state->result_text, "\n");
}

static void
write_log_holders (State *state)
{
  const guint64 values[] = { 0x1f, G_MAXUINT64 };
  GArray *keys = g_array_new (false, false, sizeof (guint64));

  g_array_append_vals (keys, values, G_N_ELEMENTS (values));
  state->directory->write_log_holders (state->directory->self, "ledger", 412, keys, CALL_MS,
                                       on_log_holders, state);
  g_array_free (keys, true);
}

static void
call (State *state, char **words, GString *out)
{
  const Directory *directory = state->directory;
  const char *name = script_word (words, 1);
  HostEntry host = { .id = "h1", .address = "10.0.0.1", .port = 7440 };
  const PromoteRequest request = {
    .service = "ledger",
    .instance = "i-1",
    .holder = "h1",
    .fencing_token = 8590047839,
    .timeout_ms = CALL_MS,
  };

  g_string_truncate (state->result_text, 0);
  if (strcmp (name, "configuration") == 0)
    directory->get_configuration (directory->self, CALL_MS, on_configuration, state);
  else if (strcmp (name, "watch") == 0)
    directory->watch_configuration (directory->self, 7, CALL_MS, on_configuration, state);
  else if (strcmp (name, "instances") == 0)
    directory->get_instances (directory->self, CALL_MS, on_instances, state);
  else if (strcmp (name, "hosts") == 0)
    directory->get_hosts (directory->self, CALL_MS, on_hosts, state);
  else if (strcmp (name, "register") == 0 || strcmp (name, "unregister") == 0)
    directory->put_host (directory->self, &host, strcmp (name, "unregister") == 0, CALL_MS,
                         on_written, state);
  else if (strcmp (name, "read-log-holders") == 0)
    directory->read_log_holders (directory->self, "ledger", CALL_MS, on_log_holders, state);
  else if (strcmp (name, "write-log-holders") == 0)
    write_log_holders (state);
  else if (strcmp (name, "promote") == 0)
    directory->promote (directory->self, &request, on_promoted, state);
  else
    g_error ("no such call: %s", name);
  run_until_result (state);
  g_string_append_printf (out, "%s%s", state->request_text->str, state->result_text->str);
}

static void
command (void *data, char **words, GString *out)
{
  State *state = data;
  const char *verb = words[0];

  if (strcmp (verb, "rows") == 0)
    set_rows (state, words);
  else if (strcmp (verb, "answer") == 0)
    {
      g_free (state->body);
      state->status = (guint) script_number (words, 1);
      state->body = g_strdup (script_word (words, 2));
    }
  else if (strcmp (verb, "era") == 0)
    g_strlcpy (state->era, script_word (words, 1), sizeof state->era);
  else if (strcmp (verb, "silent") == 0)
    state->silent = strcmp (script_word (words, 1), "on") == 0;
  else if (strcmp (verb, "call") == 0)
    call (state, words, out);
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_store = { "store", start, command, end };
