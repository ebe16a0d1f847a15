/**
 * DOC: A caller session of a load run: a connection that runs one statement at a time, remembers
 * its last acknowledged write, and may move to another host.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>
#include <tevent.h>

#include "load/load-results.h"

typedef struct LoadSession LoadSession;

/** struct LoadRequest - A statement or transaction to run. @id identifies the rows it writes. */
typedef struct
{
  uint32_t class_index;
  int64_t arrived_us;
  char id[48];
  bool roam;               /* move to another host after this write */
  bool keep_session_token; /* and present the session token there */
} LoadRequest;

/**
 * struct LoadSessionOptions - Parameters and callbacks of a session.
 * @user: user name; the proxy shares its queue fairly between users.
 * @started_us: start of the run.
 * @idle: the session can accept a request.
 * @ended: the request of the session has finished.
 * @disconnected: the session lost its connection and accepts no request until the next @idle.
 */
typedef struct
{
  const LoadOptions *load;
  LoadResults *results;
  struct tevent_context *events;
  const char *user;
  uint32_t first_host;
  int64_t started_us;
  void (*idle) (void *data, LoadSession *session);
  void (*ended) (void *data);
  void (*disconnected) (void *data, LoadSession *session);
  void *data;
} LoadSessionOptions;

/** load_session_new() - Connects; calls @idle when connected. */
LoadSession *load_session_new (TALLOC_CTX *parent, const LoadSessionOptions *options);

/** load_session_run() - Runs @request. */
void load_session_run (LoadSession *session, const LoadRequest *request);

/** load_session_busy() - Whether a statement is running. */
bool load_session_busy (const LoadSession *session);
