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
  CONTROL_QUERY_ORDER,
  CONTROL_QUERY_RESOLVE
} ControlQueryKind;

/**
 * struct ControlAnswer - An answer, or the lack of one.
 * @answered: the server answered without an error.
 * @fields: columns of the row.
 * @began_us: when the query was sent.
 * @tag: as given with the query.
 */
typedef struct
{
  ControlQueryKind kind;
  bool answered;
  const char *fields[6];
  int64_t began_us;
  void *tag;
} ControlAnswer;

/** struct ControlConnectionOptions - Whom to connect to. @answer must not free the connection. */
typedef struct
{
  Worker *worker;
  const ServiceConfig *service;
  const InstanceConfig *instance;
  int64_t silent_after_ms;
  void (*answer) (void *data, const ControlAnswer *answer);
  void *data;
} ControlConnectionOptions;

/** control_connection_new() - Connects on the first tick. */
ControlConnection *control_connection_new (TALLOC_CTX *parent,
                                           const ControlConnectionOptions *options);

/** control_connection_configure() - Takes a new version of the same instance. */
void control_connection_configure (ControlConnection *connection, const ServiceConfig *service,
                                   const InstanceConfig *instance);

/** control_connection_ask() - Queues a query; orders and look-ups go before status polls. */
void control_connection_ask (ControlConnection *connection, ControlQueryKind kind, const char *sql,
                             void *tag);

/** control_connection_is_idle() - Connected, with nothing asked or queued. */
bool control_connection_is_idle (const ControlConnection *connection);

/** control_connection_tick() - Reconnects and retires silent connections. */
void control_connection_tick (ControlConnection *connection, int64_t now_ms);
