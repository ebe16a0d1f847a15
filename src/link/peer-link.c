#include "link/peer-link.h"

#include "base/clock.h"
#include "base/stream.h"
#include "policy/conn-health.h"

/* Limits the bytes handed to the stream, so that frames wait in the priority lanes, where an urgent
 * frame can overtake them. */
#define STREAM_PENDING_MAX_BYTES (64 * 1024)
#define HEARTBEAT_MS 300
/* A link is closed if nothing arrives for twice this time after a heartbeat was sent; see
 * conn_health_check(). */
#define UNRESPONSIVE_AFTER_MS 800

static const ConnHealthOptions health_options = { HEARTBEAT_MS, UNRESPONSIVE_AFTER_MS };

/* A frame in transit through the emulated network. */
typedef struct
{
  GBytes *bytes;
  int64_t due_us;
} DelayedFrame;

struct PeerLink
{
  PeerLinkOptions options;
  int64_t delay_us;
  RegionLink *region_link;
  struct tevent_context *events;
  Stream *stream;
  GQueue lanes[FRAME_LANE_COUNT]; /* GBytes */
  uint64_t queued_bytes[FRAME_LANE_COUNT];
  GQueue delayed;
  struct tevent_timer *delay_timer;
  struct tevent_timer *region_link_timer;
  ConnHealth health;
  int64_t heartbeat_due_ms;
};

static void send_queued (PeerLink *link);
static void schedule_heartbeat (PeerLink *link);

static bool
is_emulated (const PeerLink *link)
{
  return link->delay_us > 0 || link->region_link != NULL;
}

static void
write_bytes (PeerLink *link, GBytes *bytes)
{
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);

  g_byte_array_append (stream_output (link->stream), data, (guint) size);
  counter_add (link->options.counters, COUNTER_LINK_FRAMES_SENT, 1);
  counter_add (link->options.counters, COUNTER_LINK_BYTES_SENT, (int64_t) size);
  g_bytes_unref (bytes);
}

static GBytes *
pop_next (PeerLink *link)
{
  for (int i = 0; i < FRAME_LANE_COUNT; i++)
    {
      GBytes *bytes = g_queue_pop_head (&link->lanes[i]);

      if (bytes == NULL)
        continue;
      link->queued_bytes[i] -= g_bytes_get_size (bytes);
      return bytes;
    }
  return NULL;
}

static struct timeval
timeval_after_us (int64_t delay_us)
{
  return tevent_timeval_current_ofs ((uint32_t) (delay_us / 1000000),
                                     (uint32_t) (delay_us % 1000000));
}

static void
on_delay (struct tevent_context *events, struct tevent_timer *timer, struct timeval now, void *data)
{
  PeerLink *link = data;
  DelayedFrame *delayed;
  int64_t now_us = clock_now_us ();

  link->delay_timer = NULL;
  while ((delayed = g_queue_peek_head (&link->delayed)) != NULL && delayed->due_us <= now_us)
    {
      write_bytes (link, delayed->bytes);
      g_free (g_queue_pop_head (&link->delayed));
    }
  stream_flush (link->stream);
  if (delayed != NULL)
    link->delay_timer = tevent_add_timer (events, link, timeval_after_us (delayed->due_us - now_us),
                                          on_delay, link);
}

static void
on_region_link_idle (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
                     void *data)
{
  PeerLink *link = data;

  link->region_link_timer = NULL;
  send_queued (link);
}

/* Returns whether the emulated region link can send now; if not, starts a timer that resumes
 * sending. */
static bool
region_link_is_idle (PeerLink *link, int64_t now_us)
{
  int64_t idle_at_us;

  if (link->region_link == NULL || link->region_link->bytes_per_s == 0)
    return true;
  idle_at_us = atomic_load (&link->region_link->idle_at_us);
  if (idle_at_us <= now_us)
    return true;
  if (link->region_link_timer == NULL)
    link->region_link_timer = tevent_add_timer (
        link->events, link, timeval_after_us (idle_at_us - now_us), on_region_link_idle, link);
  return false;
}

static void
occupy_region_link (RegionLink *region_link, gsize size, int64_t now_us)
{
  int64_t idle_at_us = atomic_load (&region_link->idle_at_us);
  int64_t next_us;

  atomic_fetch_add (&region_link->sent_bytes, size);
  if (region_link->bytes_per_s == 0)
    return;
  do
    next_us = MAX (idle_at_us, now_us) + (int64_t) (size * 1000000 / region_link->bytes_per_s);
  while (!atomic_compare_exchange_weak (&region_link->idle_at_us, &idle_at_us, next_us));
}

static void
send_queued_emulated (PeerLink *link)
{
  int64_t now_us = clock_now_us ();

  while (region_link_is_idle (link, now_us))
    {
      GBytes *bytes = pop_next (link);
      DelayedFrame *delayed;

      if (bytes == NULL)
        return;
      if (link->region_link != NULL)
        occupy_region_link (link->region_link, g_bytes_get_size (bytes), now_us);
      delayed = g_new (DelayedFrame, 1);
      delayed->bytes = bytes;
      delayed->due_us = now_us + link->delay_us;
      g_queue_push_tail (&link->delayed, delayed);
      if (link->delay_timer == NULL)
        link->delay_timer = tevent_add_timer (link->events, link, timeval_after_us (link->delay_us),
                                              on_delay, link);
    }
}

static void
send_queued (PeerLink *link)
{
  if (is_emulated (link))
    {
      send_queued_emulated (link);
      return;
    }
  while (stream_pending (link->stream) < STREAM_PENDING_MAX_BYTES)
    {
      GBytes *bytes = pop_next (link);

      if (bytes == NULL)
        break;
      write_bytes (link, bytes);
    }
  stream_flush (link->stream);
}

void
peer_link_send (PeerLink *link, Frame *frame, FrameLane lane)
{
  GBytes *bytes = frame_pack (frame);

  frame_free (frame);
  g_queue_push_tail (&link->lanes[lane], bytes);
  link->queued_bytes[lane] += g_bytes_get_size (bytes);
  send_queued (link);
}

void
peer_link_emulate (PeerLink *link, int64_t delay_us, RegionLink *region_link)
{
  link->delay_us = delay_us;
  link->region_link = region_link;
}

void
peer_link_send_hello (PeerLink *link, const Host *self)
{
  Frame *frame = frame_new (PERIDOTSTEP__FRAME__BODY_HEARTBEAT);

  frame->heartbeat->sender = frame_host_new (self);
  peer_link_send (link, frame, FRAME_LANE_CONTROL);
}

uint64_t
peer_link_queued_bytes (const PeerLink *link, FrameLane lane)
{
  return link->queued_bytes[lane];
}

static void
answer_heartbeat (PeerLink *link, const Frame *frame)
{
  const Peridotstep__HostInfo *sender = frame->heartbeat->sender;
  Frame *answer;

  if (sender != NULL && link->options.hello != NULL)
    link->options.hello (link->options.data, link, sender->failure_domain, sender->region);
  if (frame->heartbeat->answer)
    return;
  answer = frame_new (PERIDOTSTEP__FRAME__BODY_HEARTBEAT);
  answer->heartbeat->answer = true;
  peer_link_send (link, answer, FRAME_LANE_CONTROL);
}

static void
on_closed (void *data)
{
  PeerLink *link = data;

  link->options.closed (link->options.data, link);
}

static int
mark_freed (bool **freed)
{
  **freed = true;
  return 0;
}

static void
on_readable (void *data)
{
  PeerLink *link = data;
  bool freed = false;
  bool **guard = talloc (link, bool *);
  size_t used_total = 0;

  // A callback may free the link; the destructor of the guard detects it.
  *guard = &freed;
  talloc_set_destructor (guard, mark_freed);
  conn_health_received (&link->health, clock_now_ms ());
  for (;;)
    {
      const GByteArray *input = stream_input (link->stream);
      Frame *frame = NULL;
      size_t used = 0;
      FrameReadResult read
          = frame_read (input->data + used_total, input->len - used_total, &frame, &used);

      if (read == FRAME_MALFORMED)
        {
          on_closed (link);
          if (!freed)
            {
              talloc_set_destructor (guard, NULL);
              talloc_free (guard);
            }
          return;
        }
      if (read == FRAME_INCOMPLETE)
        break;
      used_total += used;
      if (frame->body_case == PERIDOTSTEP__FRAME__BODY_HEARTBEAT)
        {
          answer_heartbeat (link, frame);
          frame_free (frame);
          continue;
        }
      link->options.frame (link->options.data, link, frame);
      if (freed)
        return;
    }
  talloc_set_destructor (guard, NULL);
  talloc_free (guard);
  stream_consume (link->stream, (guint) used_total);
}

static void
on_drained (void *data)
{
  send_queued (data);
}

static const StreamEvents stream_events = { on_readable, on_drained, on_closed };

static void
send_heartbeat (PeerLink *link)
{
  conn_health_request_sent (&link->health, clock_now_ms ());
  peer_link_send (link, frame_new (PERIDOTSTEP__FRAME__BODY_HEARTBEAT), FRAME_LANE_CONTROL);
}

static void
on_heartbeat (struct tevent_context *events, struct tevent_timer *timer, struct timeval now,
              void *data)
{
  PeerLink *link = data;
  int64_t now_ms = clock_now_ms ();

  // If this process was paused, missing responses do not mean that the peer is unresponsive.
  if (now_ms - link->heartbeat_due_ms > HEARTBEAT_MS)
    conn_health_received (&link->health, now_ms);
  schedule_heartbeat (link);
  switch (conn_health_check (&link->health, &health_options, 0, now_ms))
    {
    case CONN_USE:
      return;
    case CONN_PROBE:
    case CONN_WAIT:
      send_heartbeat (link);
      return;
    case CONN_RETIRE:
      on_closed (link);
      return;
    }
}

static void
schedule_heartbeat (PeerLink *link)
{
  link->heartbeat_due_ms = clock_now_ms () + HEARTBEAT_MS;
  tevent_add_timer (link->events, link, timeval_after_us ((int64_t) HEARTBEAT_MS * 1000),
                    on_heartbeat, link);
}

static void
delayed_free (void *data)
{
  DelayedFrame *delayed = data;

  g_bytes_unref (delayed->bytes);
  g_free (delayed);
}

static int
link_destroy (PeerLink *link)
{
  counter_add (link->options.counters, COUNTER_LINKS_OPEN, -1);
  g_queue_clear_full (&link->delayed, delayed_free);
  for (int i = 0; i < FRAME_LANE_COUNT; i++)
    g_queue_clear_full (&link->lanes[i], (GDestroyNotify) g_bytes_unref);
  return 0;
}

PeerLink *
peer_link_new (TALLOC_CTX *parent, struct tevent_context *events, const PeerLinkOptions *options)
{
  PeerLink *link = talloc_zero (parent, PeerLink);

  link->options = *options;
  link->events = events;
  link->stream = stream_new (link, events, options->fd, &stream_events, link);
  for (int i = 0; i < FRAME_LANE_COUNT; i++)
    g_queue_init (&link->lanes[i]);
  g_queue_init (&link->delayed);
  conn_health_received (&link->health, clock_now_ms ());
  counter_add (options->counters, COUNTER_LINKS_OPEN, 1);
  talloc_set_destructor (link, link_destroy);
  schedule_heartbeat (link);
  return link;
}
