#include "pool/hosted-service.h"

#include "base/clock.h"
#include "base/log.h"
#include "policy/owner-set.h"

/* This host stops acting as an owner of a service that no session has used for this time. */
#define OWNER_IDLE_MS 10000
/* An owner that was not heard of for this time no longer gets the views of its service. */
#define OWNER_KNOWN_MS 5000
/* Other owners named in each view of a service. */
#define OWNERS_PER_HEARTBEAT 4
/* Owners per failure domain that would take over from one. They get a view now and then, in case
 * that they act already. */
#define STANDBY_OWNERS 1
/* One in this many views goes to them, and names other owners. */
#define EXTENDED_VIEW_INTERVAL 4

struct HostedService
{
  PeerMesh *mesh;
  const char *failure_domain;
  const char *region;
  const GHashTable *domain_region;
  ServiceGroup *group;
  PrimaryChangeManager *change_manager;
  uint32_t owners; /* per failure domain */
  bool active;     /* this host serves it */
  int64_t used_ms;
  OwnerSet other_owners;
  uint32_t next_owner; /* the next of them to be named in a view */
  uint32_t views_sent;
};

HostedService *
hosted_service_new (TALLOC_CTX *parent, const HostedServiceOptions *options, const char *name)
{
  HostedService *service = talloc_zero (parent, HostedService);
  PrimaryChangeManagerOptions manager = options->manager;

  service->mesh = manager.mesh;
  service->failure_domain = options->group.failure_domain;
  service->region = options->group.region;
  service->domain_region = options->group.domain_region;
  service->group = manager.group = service_group_new (service, &options->group, name);
  service->change_manager = primary_change_manager_new (service, &manager);
  service->owners = 1;
  return service;
}

void
hosted_service_configure (HostedService *service, const ServiceEntry *entry)
{
  const guint domains = g_hash_table_size ((GHashTable *) service->domain_region);

  primary_change_manager_configure (service->change_manager, entry);
  service->owners = service_owners_per_domain (entry->connection_limit, domains);
}

ServiceGroup *
hosted_service_group (const HostedService *service)
{
  return service->group;
}

static OwnerRequest
owner_request (const HostedService *service)
{
  return (OwnerRequest){
    .service = service_group_name (service->group),
    .failure_domain = service->failure_domain,
    .region = service->region,
    .owners = service->owners,
  };
}

bool
hosted_service_pick_owner (const HostedService *service, uint64_t session, uint32_t attempt,
                           Host *owner)
{
  const HostView *view = peer_mesh_view (service->mesh);
  OwnerRequest request = owner_request (service);
  int index;

  request.session = session;
  index = service_owners_pick (view, &request, attempt);
  if (index < 0)
    return false;
  *owner = view->hosts[index];
  return true;
}

/* Adds the hosts whose rank in their failure domain is from @from to below @to to @set. */
static void
add_expected_owners (const HostedService *service, uint32_t from, uint32_t to, int64_t expires_ms,
                     OwnerSet *set)
{
  const HostView *view = peer_mesh_view (service->mesh);
  OwnerRequest request = owner_request (service);
  GHashTableIter iter;
  void *domain, *region;

  g_hash_table_iter_init (&iter, (GHashTable *) service->domain_region);
  while (g_hash_table_iter_next (&iter, &domain, &region))
    {
      request.failure_domain = domain;
      request.region = region;
      if (!host_view_has_domain (view, domain))
        continue;
      for (uint32_t i = from; i < to; i++)
        {
          const int index = service_owners_pick (view, &request, i);

          if (index >= 0 && view->hosts[index].id_hash != peer_mesh_self_id (service->mesh))
            owner_set_add (set, peer_mesh_pack_address (&view->hosts[index]), expires_ms);
        }
    }
}

static void
send_view (HostedService *service, bool released)
{
  const int64_t now_ms = clock_now_ms ();
  const bool extended = released || service->views_sent++ % EXTENDED_VIEW_INTERVAL == 0;
  OwnerSet *known = &service->other_owners;
  OwnerSet targets;
  uint64_t named[OWNERS_PER_HEARTBEAT];
  Pool__ServiceBeat entry = POOL__SERVICE_BEAT__INIT;

  if (!peer_mesh_has_owners (service->mesh))
    return;
  owner_set_expire (known, now_ms);
  add_expected_owners (service, 0, service->owners, now_ms + OWNER_KNOWN_MS, known);
  primary_change_manager_fill_heartbeat (service->change_manager, &entry);
  entry.released = released;
  entry.owners = named;
  targets = *known;
  if (extended)
    {
      for (uint32_t i = 0; i < MIN (known->count, OWNERS_PER_HEARTBEAT); i++)
        named[entry.n_owners++] = known->addresses[service->next_owner++ % known->count];
      add_expected_owners (service, service->owners, service->owners + STANDBY_OWNERS, now_ms,
                           &targets);
    }
  peer_mesh_send_service (service->mesh, &entry, targets.addresses, targets.count);
  g_free (entry.instances);
  g_free (entry.wanted);
}

void
hosted_service_send_view (HostedService *service)
{
  if (service->active)
    send_view (service, false);
}

static void
log_active (const HostedService *service)
{
  if (peer_mesh_has_owners (service->mesh))
    log_event (LOG_LEVEL_NOTICE, "owner", "service=%s value=%d",
               service_group_name (service->group), service->active);
}

static void
activate (HostedService *service)
{
  if (service->active)
    return;
  service->active = true;
  service->views_sent = 0;
  log_active (service);
  primary_change_manager_activate (service->change_manager);
  send_view (service, false);
}

/* Not while a change of primary is in progress here: the other owners would have to start over. */
static void
deactivate (HostedService *service)
{
  if (!service->active || !primary_change_manager_is_idle (service->change_manager))
    return;
  service->active = false;
  log_active (service);
  service_group_close_idle (service->group);
  send_view (service, true);
}

void
hosted_service_use (HostedService *service)
{
  service->used_ms = clock_now_ms ();
  activate (service);
}

void
hosted_service_tick (HostedService *service, int64_t now_ms)
{
  if (!peer_mesh_has_owners (service->mesh) || service_group_is_used (service->group))
    hosted_service_use (service);
  else if (now_ms - service->used_ms >= OWNER_IDLE_MS)
    deactivate (service);
  if (!service->active)
    return;
  service_group_tick (service->group, now_ms);
  primary_change_manager_tick (service->change_manager, now_ms);
}

void
hosted_service_fill_heartbeat (const HostedService *service, Pool__ServiceBeat *heartbeat)
{
  primary_change_manager_fill_heartbeat (service->change_manager, heartbeat);
}

static void
record_owners (HostedService *service, uint64_t address, const Pool__ServiceBeat *heartbeat)
{
  const int64_t expires_ms = clock_now_ms () + OWNER_KNOWN_MS;

  if (heartbeat->released)
    owner_set_remove (&service->other_owners, address);
  else
    owner_set_add (&service->other_owners, address, expires_ms);
  for (size_t i = 0; i < heartbeat->n_owners; i++)
    owner_set_add (&service->other_owners, heartbeat->owners[i], expires_ms);
}

void
hosted_service_receive (HostedService *service, uint64_t peer, uint64_t address,
                        const Pool__ServiceBeat *heartbeat, int64_t sent_ms)
{
  if (peer_mesh_has_owners (service->mesh))
    record_owners (service, address, heartbeat);
  if (heartbeat->released && peer_mesh_has_owners (service->mesh))
    primary_change_manager_forget_peer (service->change_manager, peer, PEER_LEFT);
  else if (service->active || !peer_mesh_has_owners (service->mesh))
    primary_change_manager_receive_heartbeat (service->change_manager, peer, heartbeat, sent_ms);
  else
    service_group_hear_term (service->group, MAX (heartbeat->term, heartbeat->newest_term), peer);
}

void
hosted_service_forget_peer (HostedService *service, uint64_t peer, PeerEnd end)
{
  primary_change_manager_forget_peer (service->change_manager, peer, end);
}
