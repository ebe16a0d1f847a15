/**
 * DOC: One worker thread: its event loop, callers, links, and the instances whose queues it runs.
 * Its data is accessed by its own thread only; other threads post messages to it.
 */
#pragma once

#include <tevent.h>

#include "base/mailbox.h"
#include "link/frame.h"
#include "policy/retry-budget.h"
#include "runtime/daemon-state.h"

typedef struct LinkTable LinkTable;
typedef struct RequestTable RequestTable;
typedef struct RouteTable RouteTable;
typedef struct OwnerTable OwnerTable;
typedef struct CallerTable CallerTable;

/**
 * struct WorkerHandlers - Handlers that serve callers and instances in a worker, provided by the
 * layer above it.
 * @start: creates the tables; callers connect on @caller_fd.
 * @end: frees the tables, in the worker's thread.
 * @owner_frame: a frame for an owner in this worker; takes ownership of it.
 * @answer_frame: a response to a request of this worker; takes ownership of it.
 * @cancel: cancels a caller's statement; takes ownership of the frame.
 * @caller_worker: index of the worker that has the caller in a cancel frame.
 * @origin_lost: no response can be sent to @origin any more.
 * @host_lost: no response will come from @host_id any more.
 */
typedef struct
{
  void (*start) (Worker *worker, int caller_fd);
  void (*end) (Worker *worker);
  void (*owner_frame) (Worker *worker, Origin origin, Frame *frame);
  void (*answer_frame) (Worker *worker, Frame *frame);
  void (*cancel) (Worker *worker, Frame *frame);
  uint32_t (*caller_worker) (const Frame *frame);
  void (*origin_lost) (Worker *worker, Origin origin);
  void (*host_lost) (Worker *worker, const char *host_id);
} WorkerHandlers;

/** struct Worker - State of a worker thread. */
struct Worker
{
  Daemon *daemon;
  const WorkerHandlers *handlers;
  Counters *counters;
  uint32_t index;
  struct tevent_context *events;
  Mailbox *mailbox;
  LinkTable *links;
  RequestTable *requests;
  RouteTable *routes;
  OwnerTable *owners;
  CallerTable *callers;
  RetryBudget budget;
  uint64_t next_id;
};

/** worker_new() - Creates worker @index with its listeners; it runs after worker_start(). */
Worker *worker_new (Daemon *daemon, const WorkerHandlers *handlers, uint32_t index, int caller_fd,
                    int link_fd);

/** worker_start() - Starts the worker's thread. */
void worker_start (Worker *worker);

/** worker_join() - Stops the worker's thread; other threads may still post to it. */
void worker_join (Worker *worker);

/** worker_free() - Frees the worker, once no thread posts to it any more. */
void worker_free (Worker *worker);

/** worker_set_paused() - Suspends or resumes the thread. */
void worker_set_paused (Worker *worker, bool paused);

/**
 * worker_next_id() - Id that is unique in the daemon's lifetime and, with high probability, in the
 * fleet.
 */
uint64_t worker_next_id (Worker *worker);

/** worker_send() - Sends @frame to @host, which may be this host; takes ownership of it. */
void worker_send (Worker *worker, const Host *host, Frame *frame, FrameLane lane);

/** worker_reply() - Sends @frame back to the origin of a request; takes ownership of it. */
void worker_reply (Worker *worker, Origin origin, Frame *frame, FrameLane lane);

/**
 * worker_post_frame() - From any thread: makes the worker handle @frame as if it came from @origin.
 */
void worker_post_frame (Worker *worker, Origin origin, Frame *frame);

/** worker_post_reply() - From any thread: makes the worker send @frame to @origin. */
void worker_post_reply (Worker *worker, Origin origin, Frame *frame, FrameLane lane);

/** worker_receive() - Handles a frame that arrived on a link; takes ownership of it. */
void worker_receive (Worker *worker, Origin origin, Frame *frame);

/** worker_link_closed() - Handles the loss of link @link to @host_id (empty for accepted links). */
void worker_link_closed (Worker *worker, uint64_t link, const char *host_id);

/** worker_lane() - Lane for work of @priority. */
FrameLane worker_lane (uint32_t priority);
