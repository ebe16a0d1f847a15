/**
 * DOC: One worker thread: its event loop, callers, links, and the instances whose queues it
 * runs. Everything in it is touched by its own thread only; other threads post to it.
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
 * struct WorkerHandlers - What serves callers and instances in a worker, built on top of it.
 * @start: makes the tables; callers come on @caller_fd. @end: frees them, in the worker's thread.
 * @owner_frame: a frame for an owner of this worker; owns it.
 * @answer_frame: an answer to a request of this worker; owns it.
 * @cancel: a caller's statement is to be cancelled; owns the frame.
 * @caller_worker: number of the worker whose caller that is.
 * @origin_lost: nobody is left to take answers to @origin.
 * @host_lost: no answer will come from @host_id any more.
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

/** worker_new() - Worker number @index with its listeners; runs after worker_start(). */
Worker *worker_new (Daemon *daemon, const WorkerHandlers *parts, uint32_t index, int caller_fd,
                    int link_fd);

/** worker_start() - Starts its thread. */
void worker_start (Worker *worker);

/** worker_join() - Ends its thread; others may still post to it. */
void worker_join (Worker *worker);

/** worker_free() - Frees it, once nobody posts any more. */
void worker_free (Worker *worker);

/** worker_set_paused() - Freezes the thread, or lets it go on. */
void worker_set_paused (Worker *worker, bool paused);

/** worker_next_id() - Id unique in the daemon's life and, with great likelihood, the fleet. */
uint64_t worker_next_id (Worker *worker);

/** worker_send() - Sends @frame to @host, this host included; owns it. */
void worker_send (Worker *worker, const Host *host, Frame *frame, FrameLane lane);

/** worker_reply() - Sends @frame to where a request came from; owns it. */
void worker_reply (Worker *worker, Origin origin, Frame *frame, FrameLane lane);

/** worker_post_frame() - From any thread: has the worker treat @frame as if it came from @origin.
 */
void worker_post_frame (Worker *worker, Origin origin, Frame *frame);

/** worker_post_reply() - From any thread: has the worker send @frame to @origin. */
void worker_post_reply (Worker *worker, Origin origin, Frame *frame, FrameLane lane);

/** worker_receive() - A frame came in on a link of this worker; owns it. */
void worker_receive (Worker *worker, Origin origin, Frame *frame);

/** worker_link_closed() - Link @link to @host_id (empty for accepted links) is gone. */
void worker_link_closed (Worker *worker, uint64_t link, const char *host_id);

/** worker_lane() - Lane of work of @priority. */
FrameLane worker_lane (uint32_t priority);
