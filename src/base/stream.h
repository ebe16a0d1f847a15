/**
 * DOC: A non-blocking TCP stream in an event loop: input buffer, output buffer, back-pressure.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <talloc.h>
#include <tevent.h>

typedef struct Stream Stream;

/**
 * struct StreamEvents - Callbacks of a stream's owner. The owner may free the stream in any.
 * @readable: @input grew; consume with stream_consume().
 * @drained: the output buffer fell below the low mark.
 * @closed: the other end closed, or an error occurred.
 */
typedef struct
{
  void (*readable) (void *data);
  void (*drained) (void *data);
  void (*closed) (void *data);
} StreamEvents;

/** stream_new() - Takes over the connected or connecting socket @fd. */
Stream *stream_new (TALLOC_CTX *parent, struct tevent_context *context, int fd,
                    const StreamEvents *events, void *data);

/** stream_input() - Bytes received and not consumed. */
const GByteArray *stream_input (const Stream *stream);

/** stream_consume() - Drops @count bytes from the front of the input. */
void stream_consume (Stream *stream, guint count);

/** stream_output() - Output buffer: append, then call stream_flush(). */
GByteArray *stream_output (Stream *stream);

/** stream_flush() - Writes what the socket takes; the rest follows by itself. */
void stream_flush (Stream *stream);

/** stream_pause() - Stops or resumes reading. */
void stream_pause (Stream *stream, bool paused);

/** stream_error() - Why the stream closed, as in errno; 0 if the other end closed it. */
int stream_error (const Stream *stream);

/** stream_pending() - Bytes not yet given to the socket. */
guint stream_pending (const Stream *stream);

/** stream_listen() - Listening socket; with @shared several may share the port. -1 on error. */
int stream_listen (const char *address, uint16_t port, bool shared);

/** stream_port() - Local port of @fd. */
uint16_t stream_port (int fd);

/** stream_connect() - Starts a non-blocking connect; -1 on error. */
int stream_connect (const char *address, uint16_t port);

/** stream_accept() - Accepts one connection, non-blocking and without delay; -1 for none. */
int stream_accept (int listen_fd);
