/**
 * DOC: One caller session of a load run: a connection that runs one statement at a time,
 * remembers its last acknowledged write and may move to another host.
 */
#pragma once

#include <stdbool.h>

#include <talloc.h>
#include <tevent.h>

#include "load/load-record.h"

typedef struct LoadSession LoadSession;

/** struct LoadRequest - One statement to run. @id names its write. */
typedef struct
{
  uint32_t class_index;
  int64_t arrived_us;
  char id[48];
  bool roam;               /* move to another host afterwards */
  bool keep_session_token; /* and take the session token along */
} LoadRequest;

/** struct LoadSessionOptions - @user names the caller, the unit of fairness; @idle: it may be given
 * work. @ended: its work has ended;
 * @disconnected: it is not idle any more, until it says so again. */
typedef struct
{
  const LoadOptions *load;
  LoadResults *record;
  struct tevent_context *events;
  const char *user;
  uint32_t first_host;
  int64_t started_us;
  void (*idle) (void *data, LoadSession *session);
  void (*ended) (void *data);
  void (*disconnected) (void *data, LoadSession *session);
  void *data;
} LoadSessionOptions;

/** load_session_new() - Connects; @idle follows. */
LoadSession *load_session_new (TALLOC_CTX *parent, const LoadSessionOptions *options);

/** load_session_run() - Runs @work. */
void load_session_run (LoadSession *session, const LoadRequest *work);

/** load_session_busy() - Whether a statement is running. */
bool load_session_busy (const LoadSession *session);
