/**
 * DOC: Control connection to one instance. It carries status polls, failover commands and outcome
 * look-ups, one at a time. It reconnects on its own, and replaces a connection that has stopped
 * responding.
 */
#pragma once

#include <stdbool.h>

#include "config/service-config.h"
#include "runtime/worker.h"

typedef struct ControlConnection ControlConnection;

/** enum ControlQueryKind - Purpose of a query. */
typedef enum
{
  CONTROL_QUERY_STATUS,
  CONTROL_QUERY_COMMAND,
  CONTROL_QUERY_RESOLVE
} ControlQueryKind;

/**
 * struct ControlResult - Result of a query.
 * @ok: the server responded without an error.
 * @fields: columns of the row; empty strings unless @ok.
 * @sent_us: when the query was sent.
 * @tag: as passed with the query.
 */
typedef struct
{
  ControlQueryKind kind;
  bool ok;
  const char *fields[6];
  int64_t sent_us;
  void *tag;
} ControlResult;

/**
 * struct ControlConnectionOptions - Where to connect.
 * @response_timeout_ms: time to wait for a response before the connection counts as unresponsive.
 * @result: called with the result of each query; must not free the connection.
 */
typedef struct
{
  Worker *worker;
  const ServiceConfig *service;
  const InstanceConfig *instance;
  int64_t response_timeout_ms;
  void (*result) (void *data, const ControlResult *result);
  void *data;
} ControlConnectionOptions;

/** control_connection_new() - Creates a connection, which is opened on the first tick. */
ControlConnection *control_connection_new (TALLOC_CTX *parent,
                                           const ControlConnectionOptions *options);

/** control_connection_configure() - Applies a new configuration of the same instance. */
void control_connection_configure (ControlConnection *connection, const ServiceConfig *service,
                                   const InstanceConfig *instance);

/** control_connection_query() - Queues a query; commands and look-ups precede status polls. */
void control_connection_query (ControlConnection *connection, ControlQueryKind kind,
                               const char *sql, void *tag);

/** control_connection_is_idle() - Whether it is connected, with no query running or queued. */
bool control_connection_is_idle (const ControlConnection *connection);

/** control_connection_tick() - Reconnects, and closes a connection that has stopped responding. */
void control_connection_tick (ControlConnection *connection, int64_t now_ms);
