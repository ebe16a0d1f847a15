#include "standin/delayed-input.h"

#include <glib.h>

#include "base/clock.h"

/* All input up to offset @upto_bytes of the stream becomes available at @due_us. */
typedef struct
{
  int64_t due_us;
  uint64_t upto_bytes;
} Arrival;

struct DelayedInput
{
  struct tevent_context *events;
  void (*arrived) (void *data);
  void *data;
  int64_t delay_us;
  GQueue arrivals;
  struct tevent_timer *timer;
  uint64_t consumed_bytes;
  uint64_t arrived_bytes;
};

static int
input_destroy (DelayedInput *input)
{
  g_queue_clear_full (&input->arrivals, g_free);
  return 0;
}

DelayedInput *
delayed_input_new (TALLOC_CTX *parent, struct tevent_context *events, void (*arrived) (void *data),
                   void *data)
{
  DelayedInput *input = talloc_zero (parent, DelayedInput);

  input->events = events;
  input->arrived = arrived;
  input->data = data;
  g_queue_init (&input->arrivals);
  talloc_set_destructor (input, input_destroy);
  return input;
}

void
delayed_input_set_delay (DelayedInput *input, int64_t delay_us)
{
  input->delay_us = delay_us;
}

int64_t
delayed_input_delay_us (const DelayedInput *input)
{
  return input->delay_us;
}

static void on_arrival (struct tevent_context *events, struct tevent_timer *timer,
                        struct timeval now, void *data);

static void
schedule_arrival (DelayedInput *input)
{
  const Arrival *next = g_queue_peek_head (&input->arrivals);
  int64_t wait_us;

  if (next == NULL || input->timer != NULL)
    return;
  wait_us = MAX (next->due_us - clock_now_us (), 0);
  input->timer = tevent_add_timer (
      input->events, input, tevent_timeval_current_ofs (0, (uint32_t) wait_us), on_arrival, input);
}

static void
on_arrival (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
            void *data)
{
  DelayedInput *input = data;
  Arrival *arrival;

  input->timer = NULL;
  while ((arrival = g_queue_peek_head (&input->arrivals)) != NULL
         && arrival->due_us <= clock_now_us ())
    {
      input->arrived_bytes = arrival->upto_bytes;
      g_free (g_queue_pop_head (&input->arrivals));
    }
  schedule_arrival (input);
  input->arrived (input->data);
}

void
delayed_input_received (DelayedInput *input, uint64_t length)
{
  uint64_t received_bytes = input->consumed_bytes + length;
  Arrival *arrival;

  if (input->delay_us == 0)
    {
      input->arrived_bytes = received_bytes;
      input->arrived (input->data);
      return;
    }
  arrival = g_new (Arrival, 1);
  arrival->due_us = clock_now_us () + input->delay_us;
  arrival->upto_bytes = received_bytes;
  g_queue_push_tail (&input->arrivals, arrival);
  schedule_arrival (input);
}

uint64_t
delayed_input_available (const DelayedInput *input)
{
  return input->arrived_bytes - input->consumed_bytes;
}

void
delayed_input_consume (DelayedInput *input, uint64_t count)
{
  input->consumed_bytes += count;
}
