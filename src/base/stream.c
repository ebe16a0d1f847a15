#include "base/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_CHUNK_BYTES 16384
#define READ_LIMIT_BYTES (256 * 1024)
#define LOW_WATERMARK_BYTES (32 * 1024)
#define LISTEN_BACKLOG 1024
/* Kernel buffers of a bounded socket, each way; the kernel doubles the figure. */
#define SOCKET_BUFFER_BYTES (64 * 1024)
/* A buffer that has been larger is freed when it is empty. */
#define KEPT_BUFFER_BYTES (32 * 1024)
/* The kernel closes the connection if sent data stays unacknowledged this long. */
#define TCP_USER_TIMEOUT_MS 5000
/* Keep-alive: idle time before the first probe, probe interval, and unanswered probes until an idle
 * connection is closed. */
#define KEEPALIVE_IDLE_S 10
#define KEEPALIVE_INTERVAL_S 3
#define KEEPALIVE_PROBES 3

struct Stream
{
  int fd;
  struct tevent_fd *fde;
  const StreamEvents *events;
  void *data;
  GByteArray *input;
  GByteArray *output;
  guint output_sent;
  guint input_peak; /* most bytes since the buffer was allocated */
  guint output_peak;
  bool paused;
  bool above_low_watermark;
  bool finishing;
  bool shut_down; /* the sending side */
  bool at_end;    /* the peer has closed its sending side */
  int error;
};

static int
stream_destroy (Stream *stream)
{
  TALLOC_FREE (stream->fde);
  close (stream->fd);
  g_byte_array_free (stream->input, true);
  g_byte_array_free (stream->output, true);
  return 0;
}

/* The buffers do not shrink by themselves. */
static void
free_if_large (GByteArray **buffer, guint *peak)
{
  if ((*buffer)->len > 0 || *peak <= KEPT_BUFFER_BYTES)
    return;
  g_byte_array_free (*buffer, true);
  *buffer = g_byte_array_new ();
  *peak = 0;
}

static void
update_interest (Stream *stream)
{
  uint16_t flags = 0;

  if ((!stream->paused || stream->finishing) && !stream->at_end)
    flags |= TEVENT_FD_READ;
  if (stream_pending (stream) > 0)
    flags |= TEVENT_FD_WRITE;
  tevent_fd_set_flags (stream->fde, flags);
}

/* Keeps the first error: it is the cause, and the kernel reports it only once. */
static void
record_error (Stream *stream, int error)
{
  if (stream->error == 0)
    stream->error = error;
}

static bool
is_end (gssize got)
{
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

static void
discard_input (Stream *stream)
{
  char bytes[READ_CHUNK_BYTES];
  const gssize got = read (stream->fd, bytes, sizeof bytes);

  if (!is_end (got))
    return;
  stream->at_end = true;
  if (got == 0 && stream_pending (stream) > 0)
    update_interest (stream);
  else
    stream->events->closed (stream->data);
}

/* Returns false if a callback ran, which may have freed the stream. */
static bool
read_some (Stream *stream)
{
  guint before = stream->input->len;
  gssize got;

  do
    {
      guint at = stream->input->len;

      g_byte_array_set_size (stream->input, at + READ_CHUNK_BYTES);
      got = read (stream->fd, stream->input->data + at, READ_CHUNK_BYTES);
      g_byte_array_set_size (stream->input, at + (guint) MAX (got, 0));
      stream->input_peak = MAX (stream->input_peak, at + READ_CHUNK_BYTES);
    }
  while (got == READ_CHUNK_BYTES && stream->input->len - before < READ_LIMIT_BYTES);

  if (stream->input->len > before)
    {
      stream->events->readable (stream->data);
      return false;
    }
  if (is_end (got))
    {
      record_error (stream, got == 0 ? 0 : errno);
      stream->at_end = got == 0;
      stream->events->closed (stream->data);
      return false;
    }
  return true;
}

static bool
write_some (Stream *stream)
{
  while (stream_pending (stream) > 0)
    {
      gssize written = send (stream->fd, stream->output->data + stream->output_sent,
                             stream_pending (stream), MSG_NOSIGNAL);

      if (written < 0)
        {
          if (errno == EAGAIN || errno == EINTR)
            return true;
          record_error (stream, errno);
          return false;
        }
      stream->output_sent += (guint) written;
    }
  return true;
}

/* Removes sent bytes from the buffer once they are at least half of it. */
static void
trim_output (Stream *stream)
{
  if (stream->output_sent == 0 || stream->output_sent * 2 < stream->output->len)
    return;
  g_byte_array_remove_range (stream->output, 0, stream->output_sent);
  stream->output_sent = 0;
  free_if_large (&stream->output, &stream->output_peak);
}

/* After a write error: what the peer sent before it closed can still be read. */
static void
read_rest (Stream *stream)
{
  g_byte_array_set_size (stream->output, 0);
  stream->output_sent = 0;
  update_interest (stream);
  if (stream->paused || stream->finishing || read_some (stream))
    stream->events->closed (stream->data);
}

static void
shut_down_when_sent (Stream *stream)
{
  if (!stream->finishing || stream->shut_down || stream_pending (stream) > 0)
    return;
  stream->shut_down = true;
  shutdown (stream->fd, SHUT_WR);
}

static void
stream_event (struct tevent_context *context, struct tevent_fd *fde, uint16_t flags, void *data)
{
  Stream *stream = data;

  if ((flags & TEVENT_FD_WRITE) != 0)
    {
      if (!write_some (stream))
        {
          read_rest (stream);
          return;
        }
      trim_output (stream);
      update_interest (stream);
      shut_down_when_sent (stream);
      if (stream->shut_down && stream->at_end)
        {
          stream->events->closed (stream->data);
          return;
        }
      if (stream->above_low_watermark && stream_pending (stream) < LOW_WATERMARK_BYTES)
        {
          stream->above_low_watermark = false;
          if (!stream->finishing)
            {
              stream->events->drained (stream->data);
              return;
            }
        }
    }
  if (stream->finishing && (flags & TEVENT_FD_READ) != 0)
    {
      discard_input (stream);
      return;
    }
  if ((flags & TEVENT_FD_READ) != 0 && !stream->paused)
    read_some (stream);
}

Stream *
stream_new (TALLOC_CTX *parent, struct tevent_context *context, int fd, const StreamEvents *events,
            void *data)
{
  Stream *stream = talloc_zero (parent, Stream);

  stream->fd = fd;
  stream->events = events;
  stream->data = data;
  stream->input = g_byte_array_new ();
  stream->output = g_byte_array_new ();
  stream->fde = tevent_add_fd (context, stream, fd, TEVENT_FD_READ, stream_event, stream);
  talloc_set_destructor (stream, stream_destroy);
  return stream;
}

const GByteArray *
stream_input (const Stream *stream)
{
  return stream->input;
}

void
stream_consume (Stream *stream, guint count)
{
  if (count > 0)
    g_byte_array_remove_range (stream->input, 0, count);
  free_if_large (&stream->input, &stream->input_peak);
}

GByteArray *
stream_output (Stream *stream)
{
  return stream->output;
}

void
stream_flush (Stream *stream)
{
  stream->output_peak = MAX (stream->output_peak, stream->output->len);
  // A write error is reported as a closed connection by the event loop.
  write_some (stream);
  trim_output (stream);
  shut_down_when_sent (stream);
  if (stream_pending (stream) >= LOW_WATERMARK_BYTES)
    stream->above_low_watermark = true;
  update_interest (stream);
}

void
stream_finish (Stream *stream)
{
  stream->finishing = true;
  shut_down_when_sent (stream);
  update_interest (stream);
}

bool
stream_is_at_end (const Stream *stream)
{
  return stream->at_end;
}

void
stream_pause (Stream *stream, bool paused)
{
  stream->paused = paused;
  update_interest (stream);
}

int
stream_error (const Stream *stream)
{
  return stream->error;
}

gsize
stream_buffered (const Stream *stream)
{
  return (gsize) MAX (stream->input_peak, stream->input->len)
         + MAX (stream->output_peak, stream->output->len);
}

void
stream_bound_socket (const Stream *stream)
{
  int size = SOCKET_BUFFER_BYTES;

  setsockopt (stream->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (stream->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
}

guint
stream_pending (const Stream *stream)
{
  return stream->output->len - stream->output_sent;
}

guint
stream_unread (const Stream *stream)
{
  int in_socket = 0;

  if (ioctl (stream->fd, FIONREAD, &in_socket) != 0)
    in_socket = 0;
  return stream->input->len + (guint) in_socket;
}

static socklen_t
make_address (const char *address, uint16_t port, struct sockaddr_storage *storage)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *) storage;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *) storage;

  if (inet_pton (AF_INET, address, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons (port);
      return sizeof *v4;
    }
  if (inet_pton (AF_INET6, address, &v6->sin6_addr) == 1)
    {
      v6->sin6_family = AF_INET6;
      v6->sin6_port = htons (port);
      return sizeof *v6;
    }
  return 0;
}

int
stream_listen (const char *address, uint16_t port, bool shared)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t length = make_address (address, port, &storage);
  int on = 1;
  int fd;

  if (length == 0)
    return -1;
  fd = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (shared)
    setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (bind (fd, (struct sockaddr *) &storage, length) == 0 && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  close (fd);
  return -1;
}

uint16_t
stream_port (int fd)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } address = { 0 };
  socklen_t length = sizeof address;

  if (getsockname (fd, &address.any, &length) != 0)
    return 0;
  return ntohs (address.any.sa_family == AF_INET6 ? address.v6.sin6_port : address.v4.sin_port);
}

static void
set_options (int fd)
{
  int on = 1;
  int idle_s = KEEPALIVE_IDLE_S;
  int interval_s = KEEPALIVE_INTERVAL_S;
  int probes = KEEPALIVE_PROBES;
  unsigned int timeout_ms = TCP_USER_TIMEOUT_MS;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

int
stream_connect (const char *address, uint16_t port)
{
  struct sockaddr_storage storage = { 0 };
  socklen_t length = make_address (address, port, &storage);
  int fd;

  if (length == 0)
    return -1;
  fd = socket (storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  set_options (fd);
  if (connect (fd, (struct sockaddr *) &storage, length) == 0 || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

int
stream_accept (int listen_fd)
{
  int fd = accept4 (listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  if (fd >= 0)
    set_options (fd);
  return fd;
}
