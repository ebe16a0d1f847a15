#include "runtime/worker.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/random.h>

#include <urcu.h>

#include "base/log.h"
#include "base/thread-pause.h"
#include "runtime/link-table.h"

/* A worker with its private data. */
typedef struct
{
  Worker worker;
  pthread_t thread;
  bool running; /* accessed by its own thread only */
  bool started;
  ThreadPause *pause;
} WorkerThread;

typedef struct
{
  MailboxMessage head;
  Origin origin;
  FrameLane lane;
  Frame *frame;
} FrameMessage;

FrameLane
worker_lane (uint32_t priority)
{
  static const FrameLane lanes[PRIORITY_COUNT] = {
    [PRIORITY_URGENT] = FRAME_LANE_URGENT,
    [PRIORITY_NORMAL] = FRAME_LANE_NORMAL,
    [PRIORITY_BACKGROUND] = FRAME_LANE_BACKGROUND,
  };

  return priority < PRIORITY_COUNT ? lanes[priority] : FRAME_LANE_BACKGROUND;
}

uint64_t
worker_next_id (Worker *worker)
{
  return ++worker->next_id;
}

/* One worker runs all instances of a service, so that they share a monitor. */
static Worker *
service_worker (Worker *worker, const char *service)
{
  return daemon_worker (worker->daemon,
                        (uint32_t) (host_hash (service) % daemon_worker_count (worker->daemon)));
}

static void
handle_locally (Worker *worker, Origin origin, Frame *frame)
{
  if (frame_service (frame) != NULL)
    worker->handlers->owner_frame (worker, origin, frame);
  else if (frame->body_case == PERIDOTSTEP__FRAME__BODY_CALLER_CANCEL)
    worker->handlers->cancel (worker, frame);
  else
    worker->handlers->answer_frame (worker, frame);
}

static void
deliver_frame (void *receiver, MailboxMessage *message)
{
  FrameMessage *frame_message = (FrameMessage *) message;

  handle_locally (receiver, frame_message->origin, frame_message->frame);
  g_free (frame_message);
}

static void
deliver_reply (void *receiver, MailboxMessage *message)
{
  FrameMessage *frame_message = (FrameMessage *) message;
  Worker *worker = receiver;

  if (frame_message->origin.link == 0)
    handle_locally (worker, frame_message->origin, frame_message->frame);
  else
    link_table_reply (worker->links, frame_message->origin.link, frame_message->frame,
                      frame_message->lane);
  g_free (frame_message);
}

static FrameMessage *
frame_message_new (Origin origin, Frame *frame, FrameLane lane)
{
  FrameMessage *message = g_new0 (FrameMessage, 1);

  message->origin = origin;
  message->frame = frame;
  message->lane = lane;
  return message;
}

void
worker_post_frame (Worker *worker, Origin origin, Frame *frame)
{
  FrameMessage *message = frame_message_new (origin, frame, FRAME_LANE_CONTROL);

  message->head.deliver = deliver_frame;
  mailbox_post (worker->mailbox, &message->head);
}

void
worker_post_reply (Worker *worker, Origin origin, Frame *frame, FrameLane lane)
{
  FrameMessage *message = frame_message_new (origin, frame, lane);

  message->head.deliver = deliver_reply;
  mailbox_post (worker->mailbox, &message->head);
}

void
worker_reply (Worker *worker, Origin origin, Frame *frame, FrameLane lane)
{
  if (origin.worker == worker->index && origin.link != 0)
    link_table_reply (worker->links, origin.link, frame, lane);
  else
    worker_post_reply (daemon_worker (worker->daemon, origin.worker), origin, frame, lane);
}

void
worker_send (Worker *worker, const Host *host, Frame *frame, FrameLane lane)
{
  const Host *self = &daemon_options (worker->daemon)->self;
  const Origin origin = { worker->index, 0 };
  const char *service = frame_service (frame);

  if (strcmp (host->id, self->id) != 0)
    link_table_send (worker->links, host, frame, lane);
  else if (service != NULL)
    worker_post_frame (service_worker (worker, service), origin, frame);
  else
    worker_post_frame (worker, origin, frame);
}

static void
forward_caller_cancel (Worker *worker, Frame *frame)
{
  const uint32_t target
      = worker->handlers->caller_worker (frame) % daemon_worker_count (worker->daemon);
  const Origin origin = { worker->index, 0 };

  worker_post_frame (daemon_worker (worker->daemon, target), origin, frame);
}

void
worker_receive (Worker *worker, Origin origin, Frame *frame)
{
  const char *service = frame_service (frame);

  if (service != NULL)
    {
      Worker *owner = service_worker (worker, service);

      if (owner == worker)
        handle_locally (worker, origin, frame);
      else
        worker_post_frame (owner, origin, frame);
      return;
    }
  switch (frame->body_case)
    {
    case PERIDOTSTEP__FRAME__BODY_DATA:
    case PERIDOTSTEP__FRAME__BODY_DONE:
      worker->handlers->answer_frame (worker, frame);
      return;
    case PERIDOTSTEP__FRAME__BODY_CALLER_CANCEL:
      forward_caller_cancel (worker, frame);
      return;
    case PERIDOTSTEP__FRAME__BODY_CONFIG_REQUEST:
    case PERIDOTSTEP__FRAME__BODY_CONFIG_PART:
    case PERIDOTSTEP__FRAME__BODY_MEMBER_EXCHANGE:
      daemon_post_control (worker->daemon, origin, frame);
      return;
    default:
      frame_free (frame);
    }
}

typedef struct
{
  MailboxMessage head;
  Origin origin;
} OriginLost;

static void
deliver_origin_lost (void *receiver, MailboxMessage *message)
{
  OriginLost *lost = (OriginLost *) message;
  Worker *worker = receiver;

  worker->handlers->origin_lost (worker, lost->origin);
  g_free (lost);
}

/* Any worker may hold transactions that came over the lost link. */
static void
announce_origin_lost (Worker *worker, uint64_t link)
{
  for (uint32_t i = 0; i < daemon_worker_count (worker->daemon); i++)
    {
      OriginLost *lost = g_new0 (OriginLost, 1);

      lost->head.deliver = deliver_origin_lost;
      lost->origin.worker = worker->index;
      lost->origin.link = link;
      mailbox_post (daemon_worker (worker->daemon, i)->mailbox, &lost->head);
    }
}

void
worker_link_closed (Worker *worker, uint64_t link, const char *host_id)
{
  if (host_id[0] == '\0')
    announce_origin_lost (worker, link);
  else
    worker->handlers->host_lost (worker, host_id);
}

static void
on_link_frame (void *data, uint64_t link, Frame *frame)
{
  Worker *worker = data;
  const Origin origin = { worker->index, link };

  worker_receive (worker, origin, frame);
}

static void
on_link_closed (void *data, uint64_t link, const char *host_id)
{
  worker_link_closed (data, link, host_id);
}

Worker *
worker_new (Daemon *daemon, const WorkerHandlers *handlers, uint32_t index, int caller_fd,
            int link_fd)
{
  WorkerThread *thread = talloc_zero (NULL, WorkerThread);
  Worker *worker = &thread->worker;
  LinkTableOptions links = { .frame = on_link_frame, .closed = on_link_closed, .data = worker };

  worker->daemon = daemon;
  worker->handlers = handlers;
  worker->counters = daemon_counters (daemon);
  worker->index = index;
  if (getrandom (&worker->next_id, sizeof worker->next_id, 0) != sizeof worker->next_id)
    g_error ("getrandom failed");
  worker->events = tevent_context_init (thread);
  worker->mailbox = mailbox_new (thread, worker->events, worker);
  thread->pause = thread_pause_new (worker->mailbox);
  links.events = worker->events;
  links.counters = worker->counters;
  links.self = &daemon_options (daemon)->self;
  links.network = daemon_options (daemon)->network;
  worker->links = link_table_new (thread, &links);
  link_table_listen (worker->links, link_fd);
  retry_budget_init (&worker->budget);
  handlers->start (worker, caller_fd);
  return worker;
}

static void *
worker_main (void *data)
{
  WorkerThread *thread = data;

  rcu_register_thread ();
  while (thread->running)
    if (tevent_loop_once (thread->worker.events) != 0)
      break;
  // State is freed by the thread that used it.
  thread->worker.handlers->end (&thread->worker);
  TALLOC_FREE (thread->worker.links);
  rcu_unregister_thread ();
  return NULL;
}

void
worker_start (Worker *worker)
{
  WorkerThread *thread = (WorkerThread *) worker;

  thread->running = true;
  thread->started = true;
  if (pthread_create (&thread->thread, NULL, worker_main, thread) != 0)
    g_error ("pthread_create failed");
}

static void
deliver_stop (void *receiver, MailboxMessage *message)
{
  WorkerThread *thread = receiver;

  thread->running = false;
  g_free (message);
}

void
worker_join (Worker *worker)
{
  WorkerThread *thread = (WorkerThread *) worker;
  MailboxMessage *message;

  if (!thread->started)
    return;
  message = g_new0 (MailboxMessage, 1);
  message->deliver = deliver_stop;
  mailbox_post (worker->mailbox, message);
  pthread_join (thread->thread, NULL);
}

void
worker_free (Worker *worker)
{
  WorkerThread *thread = (WorkerThread *) worker;

  thread_pause_free (thread->pause);
  talloc_free (thread);
}

void
worker_set_paused (Worker *worker, bool paused)
{
  thread_pause_set (((WorkerThread *) worker)->pause, paused);
}
