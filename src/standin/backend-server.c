#include "standin/backend-server.h"

#include <unistd.h>

#include "base/clock.h"
#include "base/stream.h"
#include "standin/backend-session.h"

struct BackendServer
{
  BackendServerOptions options;
  struct tevent_context *events;
  int listen_fd;
  struct tevent_fd *listen_fde;
  uint16_t port;
  GQueue sessions;
  GQueue slot_queue; /* sessions whose statement is queued for a slot */
  StandinStats stats;
  uint32_t service_us;
  uint32_t next_pid;
  bool paused;
};

static const StandinInstance *
server_instance (const BackendServer *server)
{
  return &server->options.emulation->instances[server->options.instance];
}

static void
start_statement (BackendServer *server, BackendSession *session)
{
  server->stats.running++;
  server->stats.most_running = MAX (server->stats.most_running, server->stats.running);
  server->stats.statements++;
  backend_session_start (session, server->service_us);
}

static void
on_slot_requested (void *data, BackendSession *session)
{
  BackendServer *server = data;

  if (server->stats.running < server->options.emulation->slots)
    start_statement (server, session);
  else
    g_queue_push_tail (&server->slot_queue, session);
}

static void
on_slot_freed (void *data, BackendSession *session)
{
  BackendServer *server = data;
  BackendSession *next;

  // A statement cancelled while queued never held a slot.
  if (g_queue_remove (&server->slot_queue, session))
    return;
  server->stats.running--;
  next = g_queue_pop_head (&server->slot_queue);
  if (next != NULL)
    start_statement (server, next);
}

static void
on_cancel (void *data, uint32_t pid, uint32_t key)
{
  BackendServer *server = data;

  for (GList *l = server->sessions.head; l != NULL; l = l->next)
    if (backend_session_cancel (l->data, pid, key))
      return;
}

static void
on_closed (void *data, BackendSession *session)
{
  BackendServer *server = data;

  g_queue_remove (&server->sessions, session);
  server->stats.open--;
  talloc_free (session);
}

static const BackendSessionCallbacks session_callbacks
    = { on_slot_requested, on_slot_freed, on_cancel, on_closed };

static void
server_accept (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  BackendServer *server = data;
  BackendSessionOptions options = {
    .group = server->options.group,
    .instance = server->options.instance,
    .emulation = server->options.emulation,
    .callbacks = &session_callbacks,
    .callback_data = server,
  };
  BackendSession *session;

  options.fd = stream_accept (server->listen_fd);
  if (options.fd < 0)
    return;
  options.pid = ++server->next_pid;
  options.refuse = server->stats.open >= server->options.emulation->connections;
  if (options.refuse)
    server->stats.refused++;
  session = backend_session_new (server, events, &options);
  g_queue_push_tail (&server->sessions, session);
  server->stats.open++;
  if (!options.refuse)
    server->stats.most_open = MAX (server->stats.most_open, server->stats.open);
}

static bool
start_listening (BackendServer *server)
{
  server->listen_fd = stream_listen (server_instance (server)->address, server->port, false);
  if (server->listen_fd < 0)
    return false;
  server->port = stream_port (server->listen_fd);
  server->listen_fde = tevent_add_fd (server->events, server, server->listen_fd, TEVENT_FD_READ,
                                      server_accept, server);
  return true;
}

static void
stop_listening (BackendServer *server)
{
  if (server->listen_fd < 0)
    return;
  TALLOC_FREE (server->listen_fde);
  close (server->listen_fd);
  server->listen_fd = -1;
}

void
backend_server_close_sessions (BackendServer *server)
{
  while (!g_queue_is_empty (&server->sessions))
    on_closed (server, g_queue_peek_head (&server->sessions));
}

static int
server_destroy (BackendServer *server)
{
  backend_server_close_sessions (server);
  stop_listening (server);
  return 0;
}

BackendServer *
backend_server_new (TALLOC_CTX *parent, struct tevent_context *events,
                    const BackendServerOptions *options)
{
  BackendServer *server = talloc_zero (parent, BackendServer);

  server->options = *options;
  server->events = events;
  server->listen_fd = -1;
  server->port = server_instance (server)->port;
  server->service_us = options->emulation->service_us;
  g_queue_init (&server->sessions);
  g_queue_init (&server->slot_queue);
  talloc_set_destructor (server, server_destroy);
  if (start_listening (server))
    return server;
  talloc_free (server);
  return NULL;
}

uint16_t
backend_server_port (const BackendServer *server)
{
  return server->port;
}

StandinStats
backend_server_stats (const BackendServer *server)
{
  StandinStats stats = server->stats;

  for (GList *l = server->sessions.head; l != NULL; l = l->next)
    {
      int64_t idle_ms = backend_session_transaction_idle_ms (l->data, clock_now_ms ());

      if (idle_ms < 0)
        continue;
      stats.transactions++;
      stats.longest_transaction_idle_ms = MAX (stats.longest_transaction_idle_ms, idle_ms);
    }
  return stats;
}

void
backend_server_set_down (BackendServer *server, bool down)
{
  if (!down)
    {
      if (server->listen_fd < 0)
        start_listening (server);
      return;
    }
  stop_listening (server);
  backend_server_close_sessions (server);
}

void
backend_server_roll_back (BackendServer *server)
{
  for (GList *l = server->sessions.head; l != NULL; l = l->next)
    backend_session_roll_back (l->data);
}

void
backend_server_blackhole (BackendServer *server)
{
  for (GList *l = server->sessions.head; l != NULL; l = l->next)
    backend_session_blackhole (l->data);
}

void
backend_server_set_paused (BackendServer *server, bool paused)
{
  server->paused = paused;
  if (server->listen_fde != NULL)
    tevent_fd_set_flags (server->listen_fde, paused ? 0 : TEVENT_FD_READ);
  for (GList *l = server->sessions.head; l != NULL; l = l->next)
    backend_session_set_paused (l->data, paused);
}

void
backend_server_set_service_time (BackendServer *server, uint32_t service_us)
{
  server->service_us = service_us;
}

void
backend_server_tick (BackendServer *server, int64_t now_ms)
{
  GList *next;

  if (server->paused)
    return;
  for (GList *l = server->sessions.head; l != NULL; l = next)
    {
      next = l->next;
      backend_session_tick (l->data, now_ms);
    }
}
