/**
 * DOC: A service as one host serves it: its group and the changes of its primary. In a small fleet
 * every host serves every service. In a fleet with owners (see service-owners.h) a host acts for a
 * service while sessions use it, and exchanges its view of it with the other owners only.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <talloc.h>

#include "policy/service-owners.h"
#include "pool/peer-mesh.h"
#include "pool/primary-change-manager.h"
#include "pool/service-group.h"

typedef struct HostedService HostedService;

/**
 * struct HostedServiceOptions - Parts of the daemon that it uses.
 * @group: options of the service's group.
 * @manager: options of the changes of its primary, without the group.
 */
typedef struct
{
  ServiceGroupOptions group;
  PrimaryChangeManagerOptions manager;
} HostedServiceOptions;

/** hosted_service_new() - Service @name, without instances. */
HostedService *hosted_service_new (TALLOC_CTX *parent, const HostedServiceOptions *options,
                                   const char *name);

/** hosted_service_configure() - Applies the service's configuration. */
void hosted_service_configure (HostedService *service, const ServiceEntry *entry);

/** hosted_service_group() - Its group. */
ServiceGroup *hosted_service_group (const HostedService *service);

/** hosted_service_use() - A session uses the service: this host acts as an owner from now on. */
void hosted_service_use (HostedService *service);

/** hosted_service_tick() - Applies time limits. */
void hosted_service_tick (HostedService *service, int64_t now_ms);

/** hosted_service_fill_heartbeat() - Writes this host's view to @heartbeat. */
void hosted_service_fill_heartbeat (const HostedService *service, Pool__ServiceBeat *heartbeat);

/** hosted_service_send_view() - Sends this host's view to the other owners, if it acts as one. */
void hosted_service_send_view (HostedService *service);

/** hosted_service_receive() - Records @peer's view, see &struct PeerMeshOptions. */
void hosted_service_receive (HostedService *service, uint64_t peer, uint64_t address,
                             const Pool__ServiceBeat *heartbeat, int64_t sent_ms);

/** hosted_service_forget_peer() - Drops the view of @peer, which is no longer tracked. */
void hosted_service_forget_peer (HostedService *service, uint64_t peer, PeerEnd end);

/**
 * hosted_service_pick_owner() - Owner to try as number @attempt for @session; false if there is
 * none.
 */
bool hosted_service_pick_owner (const HostedService *service, uint64_t session, uint32_t attempt,
                                Host *owner);
