#include "pool/instance-connection.h"

#include <errno.h>

#include "base/clock.h"
#include "base/stream.h"

/* A connection with more prepared statements is reset, which bounds memory at both ends. */
#define PREPARED_STATEMENTS_MAX 500

typedef enum
{
  CONNECTION_OPENING,
  CONNECTION_OPEN,
  CONNECTION_DEAD
} ConnectionState;

struct InstanceConnection
{
  InstanceConnectionOptions options;
  Stream *stream;
  ConnectionState state;
  char transaction_state;
  uint32_t setup_replies_due; /* replies to setup statements, due before the caller's */
  bool running;
  StatementEnded ended;
  void *callback_data;
  AnswerCode code;
  char *text;
  GPtrArray *rows;
  GHashTable *values;
  GHashTable *prepared; /* shared names prepared on this connection */
  int64_t received_ms;
  int64_t used_ms;
  bool *freed; /* set when the connection is freed during a callback */
};

static int
connection_destroy (InstanceConnection *connection)
{
  if (connection->freed != NULL)
    *connection->freed = true;
  TALLOC_FREE (connection->stream);
  g_free (connection->text);
  g_ptr_array_free (connection->rows, true);
  g_hash_table_destroy (connection->values);
  g_hash_table_destroy (connection->prepared);
  return 0;
}

static void
close_connection (InstanceConnection *connection)
{
  connection->state = CONNECTION_DEAD;
  TALLOC_FREE (connection->stream);
}

static void
report_lost (InstanceConnection *connection)
{
  close_connection (connection);
  connection->options.lost (connection->options.data);
}

static void
clear_result (InstanceConnection *connection)
{
  g_free (connection->text);
  connection->text = NULL;
  connection->code = ANSWER_OK;
  g_ptr_array_set_size (connection->rows, 0);
}

static void
set_text (InstanceConnection *connection, Reply *reply)
{
  g_free (connection->text);
  connection->text = reply->text;
  reply->text = NULL;
}

static void
end_statement (InstanceConnection *connection, const Reply *reply)
{
  const StatementResult result = {
    .code = connection->code,
    .text = connection->text == NULL ? "" : connection->text,
    .rows = connection->rows,
    .state = reply->state,
    .position = reply->position,
  };
  const StatementEnded ended = connection->ended;

  connection->running = false;
  connection->ended = NULL;
  ended (connection->callback_data, &result);
}

static void
handle_ready (InstanceConnection *connection, const Reply *reply)
{
  connection->transaction_state = reply->state;
  if (connection->state == CONNECTION_OPENING)
    {
      connection->state = CONNECTION_OPEN;
      connection->options.opened (connection->options.data);
      return;
    }
  if (connection->setup_replies_due > 0)
    {
      // If setting a value failed, the caller's statement would run with a wrong value.
      if (connection->code != ANSWER_OK)
        {
          report_lost (connection);
          return;
        }
      connection->setup_replies_due--;
      clear_result (connection);
      return;
    }
  if (connection->running)
    end_statement (connection, reply);
  else
    report_lost (connection);
}

static void
handle_reply (InstanceConnection *connection, Reply *reply)
{
  switch (reply->kind)
    {
    case REPLY_ROW:
      g_ptr_array_add (connection->rows, reply->text);
      reply->text = NULL;
      return;
    case REPLY_COMPLETE:
      set_text (connection, reply);
      return;
    case REPLY_ERROR:
      set_text (connection, reply);
      connection->code = reply->code;
      if (connection->state != CONNECTION_OPENING)
        return;
      close_connection (connection);
      connection->options.refused (connection->options.data, connection->code);
      return;
    case REPLY_READY:
      handle_ready (connection, reply);
      return;
    case REPLY_NONE:
    case REPLY_MALFORMED:
      report_lost (connection);
      return;
    }
}

static void
on_readable (void *data)
{
  InstanceConnection *connection = data;
  bool freed = false;

  // A callback may free the connection.
  connection->freed = &freed;
  connection->received_ms = clock_now_ms ();
  while (!freed && connection->stream != NULL)
    {
      const GByteArray *input = stream_input (connection->stream);
      Reply reply;
      size_t used;

      used = connection->options.codec->read_reply (input->data, input->len, &reply);
      if (used == 0)
        break;
      stream_consume (connection->stream, (guint) used);
      handle_reply (connection, &reply);
      reply_done (&reply);
    }
  if (!freed)
    connection->freed = NULL;
}

static void
on_drained (void *data)
{
}

/* A connection that is accepted and then closed before the session starts means a live instance at
 * its connection limit; a refused one means that nothing listens there. */
static void
on_closed (void *data)
{
  InstanceConnection *connection = data;
  const int error = stream_error (connection->stream);

  if (connection->state != CONNECTION_OPENING
      || (error != 0 && error != ECONNRESET && error != EPIPE))
    {
      report_lost (connection);
      return;
    }
  close_connection (connection);
  connection->options.refused (connection->options.data, ANSWER_CONNECTION_LIMIT);
}

static const StreamEvents connection_events = { on_readable, on_drained, on_closed };

static GByteArray *
output (InstanceConnection *connection)
{
  return stream_output (connection->stream);
}

InstanceConnection *
instance_connection_new (TALLOC_CTX *parent, const InstanceConnectionOptions *options)
{
  int fd = stream_connect (options->address, options->port);
  InstanceConnection *connection;

  if (fd < 0)
    return NULL;
  connection = talloc_zero (parent, InstanceConnection);
  connection->options = *options;
  connection->rows = g_ptr_array_new_with_free_func (g_free);
  connection->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  connection->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  connection->transaction_state = 'I';
  connection->received_ms = connection->used_ms = clock_now_ms ();
  talloc_set_destructor (connection, connection_destroy);
  connection->stream = stream_new (connection, options->events, fd, &connection_events, connection);
  options->codec->write_open (output (connection), options->service, options->customer,
                              options->instance);
  stream_flush (connection->stream);
  return connection;
}

static bool
has_extra_value (const InstanceConnection *connection, const SessionValues *state)
{
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, connection->values);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (state->values, name))
      return true;
  return false;
}

bool
instance_connection_matches (const InstanceConnection *connection, const SessionValues *state)
{
  GHashTableIter iter;
  void *name, *value;

  if (g_hash_table_size (connection->values) != g_hash_table_size (state->values))
    return false;
  g_hash_table_iter_init (&iter, state->values);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (g_strcmp0 (g_hash_table_lookup (connection->values, name), value) != 0)
      return false;
  return true;
}

static void
reset (InstanceConnection *connection)
{
  connection->options.codec->write_reset (output (connection));
  connection->setup_replies_due++;
  g_hash_table_remove_all (connection->values);
  g_hash_table_remove_all (connection->prepared);
}

void
instance_connection_synchronize (InstanceConnection *connection, const SessionValues *state)
{
  GHashTableIter iter;
  void *name, *value;

  if (has_extra_value (connection, state)
      || g_hash_table_size (connection->prepared) > PREPARED_STATEMENTS_MAX)
    reset (connection);
  g_hash_table_iter_init (&iter, state->values);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      if (g_strcmp0 (g_hash_table_lookup (connection->values, name), value) == 0)
        continue;
      connection->options.codec->write_set_value (output (connection), name, value);
      connection->setup_replies_due++;
      g_hash_table_replace (connection->values, g_strdup (name), g_strdup (value));
    }
}

static void
start_statement (InstanceConnection *connection, StatementEnded ended, void *data)
{
  clear_result (connection);
  connection->running = true;
  connection->ended = ended;
  connection->callback_data = data;
  connection->used_ms = clock_now_ms ();
  stream_flush (connection->stream);
}

void
instance_connection_run (InstanceConnection *connection, const char *id, const SessionToken *after,
                         const char *text, StatementEnded ended, void *data)
{
  connection->options.codec->write_statement (output (connection), id, after, text);
  start_statement (connection, ended, data);
}

void
instance_connection_execute (InstanceConnection *connection, const char *id,
                             const SessionToken *after, const PreparedQuery *prepared,
                             const char *argument, StatementEnded ended, void *data)
{
  const Codec *codec = connection->options.codec;

  if (g_hash_table_add (connection->prepared, g_strdup (prepared->shared_name)))
    {
      codec->write_prepare (output (connection), prepared->shared_name, prepared->read_only,
                            prepared->text);
      connection->setup_replies_due++;
    }
  codec->write_execute (output (connection), id, after, prepared->shared_name, argument);
  start_statement (connection, ended, data);
}

void
instance_connection_send_command (InstanceConnection *connection, InstanceCommand command,
                                  uint64_t fencing_token, StatementEnded ended, void *data)
{
  connection->options.codec->write_command (output (connection), command, fencing_token);
  start_statement (connection, ended, data);
}

char
instance_connection_transaction_state (const InstanceConnection *connection)
{
  return connection->transaction_state;
}

bool
instance_connection_is_idle (const InstanceConnection *connection)
{
  return connection->state == CONNECTION_OPEN && !connection->running;
}

int64_t
instance_connection_received_ms (const InstanceConnection *connection)
{
  return connection->received_ms;
}

int64_t
instance_connection_used_ms (const InstanceConnection *connection)
{
  return connection->used_ms;
}
