#include "pool/backend-line.h"

#include <errno.h>

#include "base/clock.h"
#include "base/stream.h"

/* A connection with more prepared statements is reset, which bounds memory at both ends. */
#define PREPARED_LIMIT 500

typedef enum
{
  LINE_OPENING,
  LINE_OPEN,
  LINE_DEAD
} LineState;

struct InstanceConnection
{
  InstanceConnectionOptions options;
  Stream *stream;
  LineState state;
  char transaction_state;
  uint32_t preparations; /* replies due to statements of the line itself, before the caller's */
  bool running;
  StatementEnded ended;
  void *ended_data;
  AnswerCode code;
  char *text;
  GPtrArray *rows;
  GHashTable *values;
  GHashTable *prepared; /* names on this connection */
  int64_t heard_ms;
  int64_t used_ms;
  bool *gone; /* set when the line is freed while it reads */
};

static int
line_destroy (InstanceConnection *line)
{
  if (line->gone != NULL)
    *line->gone = true;
  TALLOC_FREE (line->stream);
  g_free (line->text);
  g_ptr_array_free (line->rows, true);
  g_hash_table_destroy (line->values);
  g_hash_table_destroy (line->prepared);
  return 0;
}

static void
die (InstanceConnection *line)
{
  line->state = LINE_DEAD;
  TALLOC_FREE (line->stream);
}

static void
fail (InstanceConnection *line)
{
  die (line);
  line->options.lost (line->options.data);
}

static void
clear_result (InstanceConnection *line)
{
  g_free (line->text);
  line->text = NULL;
  line->code = ANSWER_OK;
  g_ptr_array_set_size (line->rows, 0);
}

static void
take_text (InstanceConnection *line, Reply *reply)
{
  g_free (line->text);
  line->text = reply->text;
  reply->text = NULL;
}

static void
end_statement (InstanceConnection *line, const Reply *reply)
{
  const StatementResult result = {
    .code = line->code,
    .text = line->text == NULL ? "" : line->text,
    .rows = line->rows,
    .state = reply->state,
    .position = reply->position,
  };
  const StatementEnded ended = line->ended;

  line->running = false;
  line->ended = NULL;
  ended (line->ended_data, &result);
}

static void
take_ready (InstanceConnection *line, const Reply *reply)
{
  line->transaction_state = reply->state;
  if (line->state == LINE_OPENING)
    {
      line->state = LINE_OPEN;
      line->options.opened (line->options.data);
      return;
    }
  if (line->preparations > 0)
    {
      // A value that was not taken would run the caller's statement under the wrong one.
      if (line->code != ANSWER_OK)
        {
          fail (line);
          return;
        }
      line->preparations--;
      clear_result (line);
      return;
    }
  if (line->running)
    end_statement (line, reply);
  else
    fail (line);
}

static void
take_reply (InstanceConnection *line, Reply *reply)
{
  switch (reply->kind)
    {
    case REPLY_ROW:
      g_ptr_array_add (line->rows, reply->text);
      reply->text = NULL;
      return;
    case REPLY_COMPLETE:
      take_text (line, reply);
      return;
    case REPLY_ERROR:
      take_text (line, reply);
      line->code = reply->code;
      if (line->state != LINE_OPENING)
        return;
      die (line);
      line->options.refused (line->options.data, line->code);
      return;
    case REPLY_READY:
      take_ready (line, reply);
      return;
    case REPLY_NONE:
    case REPLY_MALFORMED:
      fail (line);
      return;
    }
}

static void
on_readable (void *data)
{
  InstanceConnection *line = data;
  bool gone = false;

  // A callback may free the line.
  line->gone = &gone;
  line->heard_ms = clock_now_ms ();
  while (!gone && line->stream != NULL)
    {
      const GByteArray *input = stream_input (line->stream);
      Reply reply;
      size_t used;

      used = line->options.codec->read_reply (input->data, input->len, &reply);
      if (used == 0)
        break;
      stream_consume (line->stream, (guint) used);
      take_reply (line, &reply);
      reply_done (&reply);
    }
  if (!gone)
    line->gone = NULL;
}

static void
on_drained (void *data)
{
}

/* A connection that was made and then closed before the session began met a live instance that
 * takes no more; one that was refused met nobody. */
static void
on_closed (void *data)
{
  InstanceConnection *line = data;
  const int error = stream_error (line->stream);

  if (line->state != LINE_OPENING || (error != 0 && error != ECONNRESET && error != EPIPE))
    {
      fail (line);
      return;
    }
  die (line);
  line->options.refused (line->options.data, ANSWER_CONNECTION_LIMIT);
}

static const StreamEvents line_events = { on_readable, on_drained, on_closed };

static GByteArray *
output (InstanceConnection *line)
{
  return stream_output (line->stream);
}

InstanceConnection *
instance_connection_new (TALLOC_CTX *parent, const InstanceConnectionOptions *options)
{
  int fd = stream_connect (options->address, options->port);
  InstanceConnection *line;

  if (fd < 0)
    return NULL;
  line = talloc_zero (parent, InstanceConnection);
  line->options = *options;
  line->rows = g_ptr_array_new_with_free_func (g_free);
  line->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  line->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  line->transaction_state = 'I';
  line->heard_ms = line->used_ms = clock_now_ms ();
  talloc_set_destructor (line, line_destroy);
  line->stream = stream_new (line, options->events, fd, &line_events, line);
  options->codec->write_open (output (line), options->service, options->instance);
  stream_flush (line->stream);
  return line;
}

static bool
has_stray_value (const InstanceConnection *line, const SessionValues *state)
{
  GHashTableIter iter;
  void *name;

  g_hash_table_iter_init (&iter, line->values);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!g_hash_table_contains (state->values, name))
      return true;
  return false;
}

bool
instance_connection_matches (const InstanceConnection *line, const SessionValues *state)
{
  GHashTableIter iter;
  void *name, *value;

  if (g_hash_table_size (line->values) != g_hash_table_size (state->values))
    return false;
  g_hash_table_iter_init (&iter, state->values);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (g_strcmp0 (g_hash_table_lookup (line->values, name), value) != 0)
      return false;
  return true;
}

static void
reset (InstanceConnection *line)
{
  line->options.codec->write_reset (output (line));
  line->preparations++;
  g_hash_table_remove_all (line->values);
  g_hash_table_remove_all (line->prepared);
}

void
instance_connection_synchronize (InstanceConnection *line, const SessionValues *state)
{
  GHashTableIter iter;
  void *name, *value;

  if (has_stray_value (line, state) || g_hash_table_size (line->prepared) > PREPARED_LIMIT)
    reset (line);
  g_hash_table_iter_init (&iter, state->values);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      if (g_strcmp0 (g_hash_table_lookup (line->values, name), value) == 0)
        continue;
      line->options.codec->write_set_value (output (line), name, value);
      line->preparations++;
      g_hash_table_replace (line->values, g_strdup (name), g_strdup (value));
    }
}

static void
start (InstanceConnection *line, StatementEnded ended, void *data)
{
  clear_result (line);
  line->running = true;
  line->ended = ended;
  line->ended_data = data;
  line->used_ms = clock_now_ms ();
  stream_flush (line->stream);
}

void
instance_connection_run (InstanceConnection *line, const char *id, const SessionToken *after,
                         const char *text, StatementEnded ended, void *data)
{
  line->options.codec->write_statement (output (line), id, after, text);
  start (line, ended, data);
}

void
instance_connection_execute (InstanceConnection *line, const char *id, const SessionToken *after,
                             const PreparedQuery *shape, const char *argument, StatementEnded ended,
                             void *data)
{
  const Codec *codec = line->options.codec;

  if (g_hash_table_add (line->prepared, g_strdup (shape->shared_name)))
    {
      codec->write_prepare (output (line), shape->shared_name, shape->read_only, shape->text);
      line->preparations++;
    }
  codec->write_execute (output (line), id, after, shape->shared_name, argument);
  start (line, ended, data);
}

void
instance_connection_send_command (InstanceConnection *line, InstanceCommand order, uint64_t term,
                                  StatementEnded ended, void *data)
{
  line->options.codec->write_command (output (line), order, term);
  start (line, ended, data);
}

char
instance_connection_transaction_state (const InstanceConnection *line)
{
  return line->transaction_state;
}

bool
instance_connection_is_idle (const InstanceConnection *line)
{
  return line->state == LINE_OPEN && !line->running;
}

int64_t
instance_connection_received_ms (const InstanceConnection *line)
{
  return line->heard_ms;
}

int64_t
instance_connection_used_ms (const InstanceConnection *line)
{
  return line->used_ms;
}
