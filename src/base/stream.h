/**
 * DOC: A non-blocking TCP connection in an event loop, with input and output buffers and
 * backpressure.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

typedef struct Stream Stream;

/**
 * struct StreamEvents - Callbacks of a stream; each may free the stream.
 * @readable: new input is available; consume it with stream_consume().
 * @drained: the output buffer fell below the low watermark.
 * @closed: the peer closed the connection, or an error occurred.
 */
typedef struct
{
  void (*readable) (void *data);
  void (*drained) (void *data);
  void (*closed) (void *data);
} StreamEvents;

/** stream_new() - Takes ownership of the connected or connecting socket @fd. */
Stream *stream_new (TALLOC_CTX *parent, struct tevent_context *context, int fd,
                    const StreamEvents *events, void *data);

/** stream_input() - Bytes received and not yet consumed. */
const GByteArray *stream_input (const Stream *stream);

/** stream_consume() - Removes @count bytes from the front of the input. */
void stream_consume (Stream *stream, guint count);

/** stream_output() - Output buffer: append, then call stream_flush(). */
GByteArray *stream_output (Stream *stream);

/** stream_flush() - Writes what the socket accepts; the event loop writes the rest later. */
void stream_flush (Stream *stream);

/**
 * stream_finish() - Ends the connection without losing output: sends the rest, then shuts down the
 * sending side, and discards input, since closing a socket with unread input resets it. @closed is
 * called when the peer has closed too; no other callback is called any more.
 */
void stream_finish (Stream *stream);

/** stream_is_at_end() - Whether the peer has closed its sending side. */
bool stream_is_at_end (const Stream *stream);

/** stream_pause() - Stops or resumes reading, for backpressure. */
void stream_pause (Stream *stream, bool paused);

/** stream_error() - errno value of the failure; 0 if the peer closed the connection. */
int stream_error (const Stream *stream);

/** stream_buffered() - Memory of both buffers, in bytes. */
gsize stream_buffered (const Stream *stream);

/**
 * stream_bound_socket() - Limits the kernel's buffers of the connection, which would grow to
 * megabytes for a peer that does not read, or that sends faster than this process reads.
 */
void stream_bound_socket (const Stream *stream);

/** stream_pending() - Bytes not yet written to the socket. */
guint stream_pending (const Stream *stream);

/** stream_unread() - Bytes received and not consumed, in the buffer and in the socket. */
guint stream_unread (const Stream *stream);

/** stream_listen() - Opens a listening socket, with SO_REUSEPORT if @shared; -1 on error. */
int stream_listen (const char *address, uint16_t port, bool shared);

/** stream_port() - Local port of @fd. */
uint16_t stream_port (int fd);

/** stream_connect() - Starts a non-blocking connect; -1 on error. */
int stream_connect (const char *address, uint16_t port);

/**
 * stream_accept() - Accepts one connection, non-blocking and with TCP_NODELAY; -1 if there is
 * none.
 */
int stream_accept (int listen_fd);
