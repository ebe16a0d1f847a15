#include "pipeline/worker-handlers.h"

#include "pipeline/caller-table.h"
#include "pipeline/owner-table.h"
#include "pipeline/request.h"
#include "pipeline/route.h"

static void
start (Worker *worker, int caller_fd)
{
  worker->routes = route_table_new (worker, worker);
  worker->requests = request_table_new (worker, worker);
  worker->owners = owner_table_new (worker, worker);
  worker->callers = caller_table_new (worker, worker, caller_fd);
}

static void
end (Worker *worker)
{
  TALLOC_FREE (worker->callers);
  TALLOC_FREE (worker->requests);
  TALLOC_FREE (worker->owners);
  TALLOC_FREE (worker->routes);
}

static void
receive_owner_frame (Worker *worker, Origin origin, Frame *frame)
{
  owner_table_receive (worker->owners, origin, frame);
}

static void
receive_answer_frame (Worker *worker, Frame *frame)
{
  request_table_receive (worker->requests, frame);
}

static void
cancel (Worker *worker, Frame *frame)
{
  caller_table_cancel (worker->callers, frame->caller_cancel->pid, frame->caller_cancel->key);
  frame_free (frame);
}

static uint32_t
caller_worker (const Frame *frame)
{
  return caller_table_worker_of (frame->caller_cancel->pid);
}

static void
handle_origin_lost (Worker *worker, Origin origin)
{
  owner_table_origin_lost (worker->owners, origin);
}

static void
handle_host_lost (Worker *worker, const char *host_id)
{
  request_table_host_lost (worker->requests, host_id);
}

const WorkerHandlers pipeline_worker_handlers = {
  .start = start,
  .end = end,
  .owner_frame = receive_owner_frame,
  .answer_frame = receive_answer_frame,
  .cancel = cancel,
  .caller_worker = caller_worker,
  .origin_lost = handle_origin_lost,
  .host_lost = handle_host_lost,
};
