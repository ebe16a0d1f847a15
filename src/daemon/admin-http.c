#include "daemon/admin-http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

#include <microhttpd.h>

struct AdminHttp
{
  Daemon *daemon;
  struct MHD_Daemon *server;
};

typedef struct
{
  const char *path;
  const char *type;
  char *(*body) (Daemon *daemon, unsigned int *status);
} Page;

static char *
metrics_page (Daemon *daemon, unsigned int *status)
{
  GString *text = g_string_new ("");

  counters_print (daemon_counters (daemon), text);
  return g_string_free (text, false);
}

static char *
status_page (Daemon *daemon, unsigned int *status)
{
  return daemon_status (daemon);
}

/* Health check of the load balancer: a host that is draining or isolated gets no new callers. */
static char *
health_page (Daemon *daemon, unsigned int *status)
{
  if (daemon_leaving (daemon))
    *status = MHD_HTTP_SERVICE_UNAVAILABLE;
  else if (!daemon_admits (daemon))
    *status = MHD_HTTP_SERVICE_UNAVAILABLE;
  if (*status == MHD_HTTP_OK)
    return g_strdup ("ok\n");
  return g_strdup (daemon_leaving (daemon) ? "leaving\n" : "not admitting work\n");
}

static const Page pages[] = {
  { "/metrics", "text/plain; version=0.0.4", metrics_page },
  { "/status", "application/json", status_page },
  { "/healthz", "text/plain", health_page },
};

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection, const char *url, const char *method,
                const char *version, const char *upload_data, size_t *upload_size, void **request)
{
  AdminHttp *admin = data;
  unsigned int status = MHD_HTTP_OK;
  const Page *page = NULL;
  struct MHD_Response *response;
  enum MHD_Result result;
  char *body;

  for (size_t i = 0; i < G_N_ELEMENTS (pages); i++)
    if (strcmp (pages[i].path, url) == 0)
      page = &pages[i];
  if (strcmp (method, "GET") != 0)
    page = NULL;
  body = page == NULL ? g_strdup ("not found\n") : page->body (admin->daemon, &status);
  if (page == NULL)
    status = MHD_HTTP_NOT_FOUND;
  response = MHD_create_response_from_buffer (strlen (body), body, MHD_RESPMEM_MUST_FREE);
  if (page != NULL)
    MHD_add_response_header (response, "Content-Type", page->type);
  result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

AdminHttp *
admin_http_new (Daemon *daemon, const char *address, uint16_t port)
{
  AdminHttp *admin = g_new0 (AdminHttp, 1);
  struct sockaddr_in listen_at = { .sin_family = AF_INET, .sin_port = htons (port) };

  admin->daemon = daemon;
  inet_pton (AF_INET, address, &listen_at.sin_addr);
  admin->server
      = MHD_start_daemon (MHD_USE_INTERNAL_POLLING_THREAD, port, NULL, NULL, handle_request, admin,
                          MHD_OPTION_SOCK_ADDR, &listen_at, MHD_OPTION_END);
  if (admin->server != NULL)
    return admin;
  g_free (admin);
  return NULL;
}

void
admin_http_free (AdminHttp *admin)
{
  MHD_stop_daemon (admin->server);
  g_free (admin);
}

uint16_t
admin_http_port (const AdminHttp *admin)
{
  return MHD_get_daemon_info (admin->server, MHD_DAEMON_INFO_BIND_PORT)->port;
}
