#include "pool/order-line.h"

#include "base/clock.h"
#include "pool/backend-line.h"

/* Time for an order, with connecting; a busy instance answers at once that it is busy. */
#define ORDER_LIMIT_MS 400
/* An order connection unused for this time is closed: it counts against the instance's limit. */
#define ORDER_IDLE_MS 600

typedef struct
{
  OrderKind order;
  uint64_t term;
  OrderEnded ended;
  void *data;
} Order;

struct OrderLine
{
  struct tevent_context *events;
  TimerQueue *timers;
  const Codec *codec;
  InstanceInfo info;
  BackendLine *line;
  GQueue orders;
  Timer timer;
  int64_t sent_ms;
  bool sent;
  bool opened;
};

const char *
order_result_name (OrderResult result)
{
  static const char *const names[] = {
    [ORDER_ANSWERED] = "answered",
    [ORDER_REFUSED] = "refused",
    [ORDER_BUSY] = "busy",
    [ORDER_UNREACHED] = "unreached",
    [ORDER_UNANSWERED] = "unanswered",
    [ORDER_DISPLACED] = "displaced",
  };

  return names[result];
}

static int
order_line_destroy (OrderLine *line)
{
  timer_clear (&line->timer);
  TALLOC_FREE (line->line);
  g_queue_clear_full (&line->orders, g_free);
  return 0;
}

void
order_line_cancel (OrderLine *line)
{
  Order *order;

  timer_clear (&line->timer);
  TALLOC_FREE (line->line);
  while ((order = g_queue_pop_head (&line->orders)) != NULL)
    {
      order->ended (order->data, ORDER_UNREACHED, NULL, line->sent_ms);
      g_free (order);
    }
}

static void start_next (OrderLine *line);

static void
finish (OrderLine *line, OrderResult result, const InstanceReport *report)
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
on_ended (void *data, const LineResult *result)
{
  OrderLine *line = data;
  InstanceReport report = { 0 };

  if (result->code == ANSWER_OK && result->rows->len > 0
      && line->codec->read_report (result->rows->pdata[0], &report))
    finish (line, ORDER_ANSWERED, &report);
  else
    finish (line, result->code == ANSWER_OVERLOADED ? ORDER_BUSY : ORDER_REFUSED, &report);
}

static void
send_first (OrderLine *line)
{
  const Order *order = g_queue_peek_head (&line->orders);

  if (order == NULL || line->sent)
    return;
  line->sent = true;
  line->sent_ms = clock_now_ms ();
  timer_set (line->timers, &line->timer, ORDER_LIMIT_MS);
  backend_line_order (line->line, order->order, order->term, on_ended, line);
}

static void
on_opened (void *data)
{
  OrderLine *line = data;

  line->opened = true;
  send_first (line);
}

static void
on_refused (void *data, AnswerCode code)
{
  OrderLine *line = data;

  TALLOC_FREE (line->line);
  finish (line, code == ANSWER_WRONG_INSTANCE ? ORDER_DISPLACED : ORDER_BUSY, NULL);
}

static void
on_lost (void *data)
{
  OrderLine *line = data;
  const bool opened = line->opened;

  TALLOC_FREE (line->line);
  if (line->orders.length == 0)
    return;
  // A connection that died while it was idle says nothing of the instance: try a new one.
  if (opened && !line->sent)
    start_next (line);
  else
    finish (line, opened ? ORDER_UNANSWERED : ORDER_UNREACHED, NULL);
}

static void
on_timer (void *data)
{
  OrderLine *line = data;

  TALLOC_FREE (line->line);
  if (line->orders.length > 0)
    finish (line, ORDER_UNANSWERED, NULL);
}

static void
open_line (OrderLine *line)
{
  const BackendLineOptions options = {
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
  line->line = backend_line_new (line, &options);
  timer_set (line->timers, &line->timer, line->line == NULL ? 0 : ORDER_LIMIT_MS);
}

static void
start_next (OrderLine *line)
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

OrderLine *
order_line_new (TALLOC_CTX *parent, struct tevent_context *events, TimerQueue *timers,
                const Codec *codec, const InstanceInfo *info)
{
  OrderLine *line = talloc_zero (parent, OrderLine);

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
order_line_send (OrderLine *line, OrderKind order, uint64_t term, OrderEnded ended, void *data)
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
