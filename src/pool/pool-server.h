/**
 * DOC: The parts of a pooling daemon that its sessions share: listener, configuration, service
 * groups and shutdown.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>
#include <tevent.h>

#include "base/counters.h"
#include "base/timer-queue.h"
#include "policy/config-proof.h"
#include "policy/drain.h"
#include "policy/memory-budget.h"
#include "policy/ownership.h"
#include "pool/catalog.h"
#include "pool/codec.h"
#include "pool/directory.h"
#include "pool/limit-exchange.h"
#include "pool/peer-mesh.h"
#include "pool/pool-metrics.h"
#include "pool/service-group.h"

typedef struct PoolServer PoolServer;

/**
 * struct PoolServerOptions - Settings of the daemon. Text must outlive it.
 * @host: unique name.
 * @failure_domain, @region: location of this host.
 * @address, @port: where callers connect.
 * @link_port: where other hosts forward sessions to.
 * @session_limit: sessions open at once, of callers and forwarded by other hosts.
 * @memory_limit_bytes: memory that sessions may hold together, 0 for no limit.
 * @message_limit_ms: a caller has to send each message whole, and to open its session, in this
 * time.
 * @answer_limit_ms: a caller that takes nothing of its answers for this time is given up.
 * @domain_region: failure domain to region, for the whole deployment.
 * @directory: platform calls, to change primaries.
 * @mesh: heartbeats with the other hosts.
 * @limits: limits of customers; %NULL if none are kept.
 * @refresh_instances: the instance list may be out of date.
 * @store_era: era of the store as this host knows it; %NULL if it is not followed.
 * @proof: what is known of the configuration's age. @config_limit_ms: a change has to be in force
 * within this time, @revoke_limit_ms: a key that was taken away must not be served after this time,
 * both 0 for no limit.
 * @request_proof: asks the store whether the configuration is the newest. Returns whether an answer
 * is awaited, after which pool_server_config_checked() is called.
 */
typedef struct
{
  const char *host;
  const char *failure_domain;
  const char *region;
  const char *address;
  uint16_t port;
  uint16_t link_port;
  uint32_t session_limit;
  uint64_t memory_limit_bytes;
  int64_t message_limit_ms;
  int64_t answer_limit_ms;
  GHashTable *domain_region;
  const Codec *codec;
  Counters *counters;
  PoolMetrics *metrics;
  TimerQueue *timers;
  const Directory *directory;
  PeerMesh *mesh;
  LimitExchange *limits;
  void (*refresh_instances) (void *data);
  const uint64_t *store_era;
  const ConfigProof *proof;
  int64_t config_limit_ms;
  int64_t revoke_limit_ms;
  bool (*request_proof) (void *data);
  void *data;
} PoolServerOptions;

/** pool_server_new() - Listens. Errors: %PERIDOTSTEP_ERROR_IO. */
PoolServer *pool_server_new (TALLOC_CTX *parent, struct tevent_context *events,
                             const PoolServerOptions *options, GError **error);

/** pool_server_options() - Its settings. */
const PoolServerOptions *pool_server_options (const PoolServer *server);

/** pool_server_events() - Its event loop. */
struct tevent_context *pool_server_events (const PoolServer *server);

/** pool_server_set_catalog() - Puts a newer configuration in force; ignores older ones. */
void pool_server_set_catalog (PoolServer *server, Catalog *catalog);

/** pool_server_catalog() - Configuration in force; %NULL before the first. */
Catalog *pool_server_catalog (const PoolServer *server);

/** pool_server_config_version() - Its version; 0 before the first. */
uint64_t pool_server_config_version (const PoolServer *server);

/**
 * pool_server_config_proof_age_ms() - Time since the configuration in force was last known to be
 * the newest; -1 for never.
 */
int64_t pool_server_config_proof_age_ms (const PoolServer *server);

/**
 * pool_server_config_is_current() - Whether the configuration is known to be new enough to serve
 * callers with keys.
 */
bool pool_server_config_is_current (const PoolServer *server);

/**
 * pool_server_knows_absence() - Whether a database that the configuration lacks may be refused as
 * unknown. If not, the store is asked.
 */
bool pool_server_knows_absence (PoolServer *server);

/** pool_server_awaits_config() - Whether a newer configuration, or a proof, is on its way. */
bool pool_server_awaits_config (PoolServer *server);

/** pool_server_wait_for_config() - Wakes @waiter when that may have come. */
void pool_server_wait_for_config (PoolServer *server, Waiter *waiter);

/** pool_server_config_checked() - A call for the configuration has ended. */
void pool_server_config_checked (PoolServer *server);

/** pool_server_set_instances() - Sets the current instance list. */
void pool_server_set_instances (PoolServer *server, const GArray *infos);

/** pool_server_group() - Group of @service, or %NULL; this host becomes an owner of the service. */
ServiceGroup *pool_server_group (PoolServer *server, const char *service);

/** pool_server_set_hosts_known() - The other hosts are known, so primaries can be relied on. */
void pool_server_set_hosts_known (PoolServer *server);

/** pool_server_knows_hosts() - Whether the other hosts are known. */
bool pool_server_knows_hosts (const PoolServer *server);

/**
 * pool_server_fill_heartbeat() - Fills @heartbeat, with this host's view of all services if
 * @services.
 */
void pool_server_fill_heartbeat (PoolServer *server, Pool__Beat *heartbeat, bool services);

/** pool_server_send_services() - Sends the views of the services that this host acts for. */
void pool_server_send_services (PoolServer *server);

/** pool_server_has_owners() - Whether the fleet is so large that services have owners. */
bool pool_server_has_owners (const PoolServer *server);

/** enum OwnerChoice - Where a session is to be served. */
typedef enum
{
  OWNER_NONE,
  OWNER_SELF,
  OWNER_OTHER,
  OWNER_AVOIDED /* that owner was lost a moment ago */
} OwnerChoice;

/**
 * pool_server_find_owner() - Owner of @service to try as number @attempt for a session; @owner is
 * set for %OWNER_OTHER.
 */
OwnerChoice pool_server_find_owner (PoolServer *server, const char *service, uint64_t session,
                                    uint32_t attempt, Host *owner);

/** pool_server_avoid_owner() - The owner with @id was lost: no sessions go to it for a while. */
void pool_server_avoid_owner (PoolServer *server, uint64_t id);

/** pool_server_is_draining_owner() - Whether the owner with @id is shutting down. */
bool pool_server_is_draining_owner (const PoolServer *server, uint64_t id);

/**
 * pool_server_receive_heartbeat() - Records @peer's view of one service, see
 * &struct PeerMeshOptions.
 */
void pool_server_receive_heartbeat (PoolServer *server, uint64_t peer, uint64_t address,
                                    const Pool__ServiceBeat *heartbeat, int64_t sent_ms);

/** pool_server_forget_peer() - Drops the views of @peer, which is no longer tracked. */
void pool_server_forget_peer (PoolServer *server, uint64_t peer, PeerEnd end);

/**
 * pool_server_may_log() - Rate limit for statement log lines. Statements in doubt are always
 * logged. @dropped is the number of suppressed lines of the same verdict since the last one.
 */
bool pool_server_may_log (PoolServer *server, Verdict verdict, int64_t now_ms, uint32_t *dropped);

/** pool_server_may_log_end() - The same for log lines of sessions that end. */
bool pool_server_may_log_end (PoolServer *server, int64_t now_ms, uint32_t *dropped);

/** pool_server_next_id() - Number for a new session. */
uint64_t pool_server_next_id (PoolServer *server);

/** pool_server_charge() - A session that held @before bytes of memory holds @after bytes now. */
void pool_server_charge (PoolServer *server, uint64_t before, uint64_t after);

/** pool_server_memory() - What the sessions hold, and may hold. */
const MemoryBudget *pool_server_memory (const PoolServer *server);

/** pool_server_add_session() - Registers a session. */
void pool_server_add_session (PoolServer *server, void *session);

/** pool_server_remove_session() - Unregisters a session that ended. */
void pool_server_remove_session (PoolServer *server, void *session);

/** pool_server_is_ready() - Whether the load balancer should send callers to this host. */
bool pool_server_is_ready (const PoolServer *server);

/** pool_server_drain() - Starts a graceful shutdown that ends within @limit_ms. */
void pool_server_drain (PoolServer *server, int64_t limit_ms);

/** pool_server_drain_phase() - Phase of the shutdown. */
DrainPhase pool_server_drain_phase (const PoolServer *server);

/** pool_server_drain_age_ms() - Time since the shutdown started; -1 if it has not. */
int64_t pool_server_drain_age_ms (const PoolServer *server);

/** pool_server_is_drained() - Whether the shutdown is complete. */
bool pool_server_is_drained (const PoolServer *server);
