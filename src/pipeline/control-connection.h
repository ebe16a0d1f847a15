/**
 * DOC: A control connection to one instance: status polls, orders and outcome look-ups, one
 * at a time. Reconnects by itself; a silent one is replaced.
 */
#pragma once

#include <stdbool.h>

#include "config/service-config.h"
#include "runtime/worker.h"

typedef struct ControlConnection ControlConnection;

/** enum ControlQueryKind - What is asked. */
typedef enum
{
  CONTROL_QUERY_STATUS,
  CONTROL_QUERY_COMMAND,
  CONTROL_QUERY_RESOLVE
} ControlQueryKind;

/**
 * struct ControlResult - An answer, or the lack of one.
 * @ok: the server answered without an error.
 * @fields: columns of the row.
 * @sent_us: when the query was sent.
 * @tag: as given with the query.
 */
typedef struct
{
  ControlQueryKind kind;
  bool ok;
  const char *fields[6];
  int64_t sent_us;
  void *tag;
} ControlResult;

/** struct ControlConnectionOptions - Whom to connect to. @result must not free the connection. */
typedef struct
{
  Worker *worker;
  const ServiceConfig *service;
  const InstanceConfig *instance;
  int64_t silent_after_ms;
  void (*result) (void *data, const ControlResult *result);
  void *data;
} ControlConnectionOptions;

/** control_connection_new() - Connects on the first tick. */
ControlConnection *control_connection_new (TALLOC_CTX *parent,
                                           const ControlConnectionOptions *options);

/** control_connection_configure() - Takes a new version of the same instance. */
void control_connection_configure (ControlConnection *connection, const ServiceConfig *service,
                                   const InstanceConfig *instance);

/** control_connection_query() - Queues a query; orders and look-ups go before status polls. */
void control_connection_query (ControlConnection *connection, ControlQueryKind kind,
                               const char *sql, void *tag);

/** control_connection_is_idle() - Connected, with nothing asked or queued. */
bool control_connection_is_idle (const ControlConnection *connection);

/** control_connection_tick() - Reconnects and retires silent connections. */
void control_connection_tick (ControlConnection *connection, int64_t now_ms);
