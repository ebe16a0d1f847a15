/**
 * DOC: A daemon that pools callers' sessions over the connections to backend servers: the
 * parts that its sessions share.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/counters.h"
#include "base/timer-queue.h"
#include "pool/catalog.h"
#include "pool/codec.h"
#include "pool/directory.h"
#include "pool/peer-mesh.h"
#include "pool/pool-metrics.h"
#include "pool/service-group.h"

typedef struct PoolServer PoolServer;

/**
 * struct PoolServerOptions - Settings of the daemon. Text must outlive it.
 * @host: unique name. @failure_domain, @region: where it stands.
 * @address, @port: where callers connect. @session_limit: sessions open at once.
 * @domain_region: table failure domain to region, of the whole deployment.
 * @directory: where primaries are changed. @mesh: the other hosts.
 * @refresh_instances: the list of instances may be out of date.
 */
typedef struct
{
  const char *host;
  const char *failure_domain;
  const char *region;
  const char *address;
  uint16_t port;
  uint32_t session_limit;
  GHashTable *domain_region;
  const Codec *codec;
  Counters *counters;
  PoolMetrics *metrics;
  TimerQueue *timers;
  const Directory *directory;
  PeerMesh *mesh;
  void (*refresh_instances) (void *data);
  void *data;
} PoolServerOptions;

/** pool_server_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
PoolServer *pool_server_new (TALLOC_CTX *parent, struct tevent_context *events,
                             const PoolServerOptions *options, GError **error);

/** pool_server_options() - Its settings. */
const PoolServerOptions *pool_server_options (const PoolServer *server);

/** pool_server_events() - Its event loop. */
struct tevent_context *pool_server_events (const PoolServer *server);

/** pool_server_set_catalog() - Puts a newer configuration in force; older ones are refused. */
void pool_server_set_catalog (PoolServer *server, Catalog *catalog);

/** pool_server_catalog() - Configuration in force; %NULL before the first. */
Catalog *pool_server_catalog (const PoolServer *server);

/** pool_server_set_instances() - The instances as listed now. */
void pool_server_set_instances (PoolServer *server, const GArray *infos);

/** pool_server_group() - Group of @service, or %NULL. */
ServiceGroup *pool_server_group (const PoolServer *server, const char *service);

/** pool_server_set_hosts_known() - The other hosts are known: primaries can be relied on. */
void pool_server_set_hosts_known (PoolServer *server);

/** pool_server_knows_hosts() - Whether they are. */
bool pool_server_knows_hosts (const PoolServer *server);

/** pool_server_fill_heartbeat() - What this host says to the others. */
void pool_server_fill_heartbeat (PoolServer *server, Pool__Beat *beat);

/** pool_server_receive_heartbeat() - What @peer says of one service; see &struct PeerMeshOptions.
 */
void pool_server_receive_heartbeat (PoolServer *server, uint64_t peer,
                                    const Pool__ServiceBeat *beat, int64_t sent_ms);

/** pool_server_forget_peer() - @peer has ended. */
void pool_server_forget_peer (PoolServer *server, uint64_t peer);

/**
 * pool_server_may_log() - Whether the outcome of a statement may be logged. Those in doubt
 * always are; @dropped lines of the same verdict were left out before.
 */
bool pool_server_may_log (PoolServer *server, Verdict verdict, int64_t now_ms, uint32_t *dropped);

/** pool_server_next_id() - Number for a session. */
uint64_t pool_server_next_id (PoolServer *server);

/** pool_server_add_session() - A session began. */
void pool_server_add_session (PoolServer *server, void *session);

/** pool_server_remove_session() - A session ended. */
void pool_server_remove_session (PoolServer *server, void *session);

/** pool_server_is_ready() - Whether callers should be sent here. */
bool pool_server_is_ready (const PoolServer *server);

/** pool_server_drain() - Starts a graceful shutdown that is over within @limit_ms. */
void pool_server_drain (PoolServer *server, int64_t limit_ms);

/** pool_server_is_drained() - The shutdown is complete. */
bool pool_server_is_drained (const PoolServer *server);
