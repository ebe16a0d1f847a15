#include "pool/order-line.h"

#include "base/clock.h"
#include "pool/backend-line.h"

/* Time for an order, with connecting; a busy instance answers at once that it is busy. */
#define ORDER_LIMIT_MS 400
/* An order connection unused for this time is closed: it counts against the instance's limit. */
#define ORDER_IDLE_MS 600

typedef struct
{
  InstanceCommand order;
  uint64_t term;
  CommandEnded ended;
  void *data;
} Order;

struct CommandChannel
{
  struct tevent_context *events;
  TimerQueue *timers;
  const Codec *codec;
  InstanceInfo info;
  InstanceConnection *line;
  GQueue orders;
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
    [COMMAND_UNREACHABLE] = "unreached",
    [COMMAND_UNANSWERED] = "unanswered",
    [COMMAND_DISPLACED] = "displaced",
  };

  return names[result];
}

static int
order_line_destroy (CommandChannel *line)
{
  timer_clear (&line->timer);
  TALLOC_FREE (line->line);
  g_queue_clear_full (&line->orders, g_free);
  return 0;
}

void
command_channel_cancel (CommandChannel *line)
{
  Order *order;

  timer_clear (&line->timer);
  TALLOC_FREE (line->line);
  while ((order = g_queue_pop_head (&line->orders)) != NULL)
    {
      order->ended (order->data, COMMAND_UNREACHABLE, NULL, line->sent_ms);
      g_free (order);
    }
}

static void start_next (CommandChannel *line);

static void
finish (CommandChannel *line, CommandResult result, const InstanceReport *report)
{
  Order *order = g_queue_pop_head (&line->orders);
  const int64_t sent_ms = line->sent_ms;

  timer_clear (&line->timer);
  line->sent = false;
  start_next (line);
  if (order == NULL)
    return;
  order->ended (order->data, result, report, sent_ms);
  g_free (order);
}

static void
on_ended (void *data, const StatementResult *result)
{
  CommandChannel *line = data;
  InstanceReport report = { 0 };

  if (result->code == ANSWER_OK && result->rows->len > 0
      && line->codec->read_report (result->rows->pdata[0], &report))
    finish (line, COMMAND_ANSWERED, &report);
  else
    finish (line, result->code == ANSWER_OVERLOADED ? COMMAND_BUSY : COMMAND_REFUSED, &report);
}

static void
send_first (CommandChannel *line)
{
  const Order *order = g_queue_peek_head (&line->orders);

  if (order == NULL || line->sent)
    return;
  line->sent = true;
  line->sent_ms = clock_now_ms ();
  timer_set (line->timers, &line->timer, ORDER_LIMIT_MS);
  instance_connection_send_command (line->line, order->order, order->term, on_ended, line);
}

static void
on_opened (void *data)
{
  CommandChannel *line = data;

  line->opened = true;
  send_first (line);
}

static void
on_refused (void *data, AnswerCode code)
{
  CommandChannel *line = data;

  TALLOC_FREE (line->line);
  finish (line, code == ANSWER_WRONG_INSTANCE ? COMMAND_DISPLACED : COMMAND_BUSY, NULL);
}

static void
on_lost (void *data)
{
  CommandChannel *line = data;
  const bool opened = line->opened;

  TALLOC_FREE (line->line);
  if (line->orders.length == 0)
    return;
  // A connection that died while it was idle says nothing of the instance: try a new one.
  if (opened && !line->sent)
    start_next (line);
  else
    finish (line, opened ? COMMAND_UNANSWERED : COMMAND_UNREACHABLE, NULL);
}

static void
on_timer (void *data)
{
  CommandChannel *line = data;

  TALLOC_FREE (line->line);
  if (line->orders.length > 0)
    finish (line, COMMAND_UNANSWERED, NULL);
}

static void
open_line (CommandChannel *line)
{
  const InstanceConnectionOptions options = {
    .events = line->events,
    .codec = line->codec,
    .address = line->info.address,
    .port = line->info.port,
    .service = line->info.service,
    .instance = line->info.id,
    .opened = on_opened,
    .refused = on_refused,
    .lost = on_lost,
    .data = line,
  };

  line->opened = false;
  line->sent_ms = clock_now_ms ();
  line->line = instance_connection_new (line, &options);
  timer_set (line->timers, &line->timer, line->line == NULL ? 0 : ORDER_LIMIT_MS);
}

static void
start_next (CommandChannel *line)
{
  if (line->orders.length == 0)
    {
      timer_set (line->timers, &line->timer, ORDER_IDLE_MS);
      return;
    }
  if (line->line == NULL)
    open_line (line);
  else if (line->opened)
    send_first (line);
}

CommandChannel *
command_channel_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers,
                     const Codec *codec, const InstanceInfo *info)
{
  CommandChannel *line = talloc_zero (parent, CommandChannel);

  line->events = events;
  line->timers = timers;
  line->codec = codec;
  line->info = *info;
  line->timer.fired = on_timer;
  line->timer.data = line;
  g_queue_init (&line->orders);
  talloc_set_destructor (line, order_line_destroy);
  return line;
}

void
command_channel_send (CommandChannel *line, InstanceCommand order, uint64_t term,
                      CommandEnded ended, void *data)
{
  Order *entry = g_new0 (Order, 1);

  entry->order = order;
  entry->term = term;
  entry->ended = ended;
  entry->data = data;
  g_queue_push_tail (&line->orders, entry);
  if (line->orders.length == 1)
    start_next (line);
}
