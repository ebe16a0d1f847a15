#include "pool/command-channel.h"

#include "base/clock.h"
#include "pool/instance-connection.h"

/* Timeout of a command, including connecting; a busy instance reports that it is busy at once. */
#define COMMAND_TIMEOUT_MS 400
/* An idle command connection is closed after this time: it counts against the instance's limit. */
#define IDLE_TIMEOUT_MS 600

typedef struct
{
  InstanceCommand command;
  uint64_t fencing_token;
  CommandEnded ended;
  void *data;
} PendingCommand;

struct CommandChannel
{
  struct tevent_context *events;
  TimerQueue *timers;
  const Codec *codec;
  InstanceInfo info;
  InstanceConnection *connection;
  GQueue commands;
  Timer timer;
  int64_t sent_ms;
  bool sent;
  bool opened;
};

const char *
command_result_name (CommandResult result)
{
  static const char *const names[] = {
    [COMMAND_ANSWERED] = "answered",
    [COMMAND_REFUSED] = "refused",
    [COMMAND_BUSY] = "busy",
    [COMMAND_UNREACHABLE] = "unreachable",
    [COMMAND_UNANSWERED] = "unanswered",
    [COMMAND_DISPLACED] = "displaced",
  };

  return names[result];
}

static int
command_channel_destroy (CommandChannel *channel)
{
  timer_clear (&channel->timer);
  TALLOC_FREE (channel->connection);
  g_queue_clear_full (&channel->commands, g_free);
  return 0;
}

void
command_channel_cancel (CommandChannel *channel)
{
  PendingCommand *command;

  timer_clear (&channel->timer);
  TALLOC_FREE (channel->connection);
  while ((command = g_queue_pop_head (&channel->commands)) != NULL)
    {
      command->ended (command->data, COMMAND_UNREACHABLE, NULL, channel->sent_ms);
      g_free (command);
    }
}

static void start_next (CommandChannel *channel);

static void
finish (CommandChannel *channel, CommandResult result, const InstanceReport *report)
{
  PendingCommand *command = g_queue_pop_head (&channel->commands);
  const int64_t sent_ms = channel->sent_ms;

  timer_clear (&channel->timer);
  channel->sent = false;
  start_next (channel);
  if (command == NULL)
    return;
  command->ended (command->data, result, report, sent_ms);
  g_free (command);
}

static void
on_command_ended (void *data, const StatementResult *result)
{
  CommandChannel *channel = data;
  InstanceReport report = { 0 };

  if (result->code == ANSWER_OK && result->rows->len > 0
      && channel->codec->read_report (result->rows->pdata[0], &report))
    finish (channel, COMMAND_ANSWERED, &report);
  else
    finish (channel, result->code == ANSWER_OVERLOADED ? COMMAND_BUSY : COMMAND_REFUSED, &report);
}

static void
send_next (CommandChannel *channel)
{
  const PendingCommand *command = g_queue_peek_head (&channel->commands);

  if (command == NULL || channel->sent)
    return;
  channel->sent = true;
  channel->sent_ms = clock_now_ms ();
  timer_set (channel->timers, &channel->timer, COMMAND_TIMEOUT_MS);
  instance_connection_send_command (channel->connection, command->command, command->fencing_token,
                                    on_command_ended, channel);
}

static void
on_opened (void *data)
{
  CommandChannel *channel = data;

  channel->opened = true;
  send_next (channel);
}

static void
on_refused (void *data, AnswerCode code)
{
  CommandChannel *channel = data;

  TALLOC_FREE (channel->connection);
  finish (channel, code == ANSWER_WRONG_INSTANCE ? COMMAND_DISPLACED : COMMAND_BUSY, NULL);
}

static void
on_lost (void *data)
{
  CommandChannel *channel = data;
  const bool opened = channel->opened;

  TALLOC_FREE (channel->connection);
  if (channel->commands.length == 0)
    return;
  // A connection that closed while idle does not mean that the instance is down: open a new one.
  if (opened && !channel->sent)
    start_next (channel);
  else
    finish (channel, opened ? COMMAND_UNANSWERED : COMMAND_UNREACHABLE, NULL);
}

static void
on_timer (void *data)
{
  CommandChannel *channel = data;

  TALLOC_FREE (channel->connection);
  if (channel->commands.length > 0)
    finish (channel, COMMAND_UNANSWERED, NULL);
}

static void
open_connection (CommandChannel *channel)
{
  const InstanceConnectionOptions options = {
    .events = channel->events,
    .codec = channel->codec,
    .address = channel->info.address,
    .port = channel->info.port,
    .service = channel->info.service,
    .instance = channel->info.id,
    .opened = on_opened,
    .refused = on_refused,
    .lost = on_lost,
    .data = channel,
  };

  channel->opened = false;
  channel->sent_ms = clock_now_ms ();
  channel->connection = instance_connection_new (channel, &options);
  timer_set (channel->timers, &channel->timer,
             channel->connection == NULL ? 0 : COMMAND_TIMEOUT_MS);
}

static void
start_next (CommandChannel *channel)
{
  if (channel->commands.length == 0)
    {
      timer_set (channel->timers, &channel->timer, IDLE_TIMEOUT_MS);
      return;
    }
  if (channel->connection == NULL)
    open_connection (channel);
  else if (channel->opened)
    send_next (channel);
}

CommandChannel *
command_channel_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers,
                     const Codec *codec, const InstanceInfo *info)
{
  CommandChannel *channel = talloc_zero (parent, CommandChannel);

  channel->events = events;
  channel->timers = timers;
  channel->codec = codec;
  channel->info = *info;
  channel->timer.fired = on_timer;
  channel->timer.data = channel;
  g_queue_init (&channel->commands);
  talloc_set_destructor (channel, command_channel_destroy);
  return channel;
}

void
command_channel_send (CommandChannel *channel, InstanceCommand command, uint64_t fencing_token,
                      CommandEnded ended, void *data)
{
  PendingCommand *entry = g_new0 (PendingCommand, 1);

  entry->command = command;
  entry->fencing_token = fencing_token;
  entry->ended = ended;
  entry->data = data;
  g_queue_push_tail (&channel->commands, entry);
  if (channel->commands.length == 1)
    start_next (channel);
}
