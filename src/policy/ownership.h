/**
 * DOC: Ownership: which live host owns a backend server instance. Rendezvous hashing over
 * the hosts of the nearest locality that has any.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Longest host id, failure domain or region name with its terminator, in bytes. */
#define NAME_BYTES 64

/**
 * struct Host - One live entry host as ownership and routing see it.
 * @id: unique name.
 * @failure_domain: where it stands.
 * @region: the region of that failure domain.
 * @address: IP address of its link listener.
 * @link_port: TCP port of its link listener.
 * @gossip_port: UDP port of its membership protocol.
 * @id_hash: hash of @id.
 */
typedef struct
{
  char id[NAME_BYTES];
  char failure_domain[NAME_BYTES];
  char region[NAME_BYTES];
  char address[NAME_BYTES];
  uint16_t link_port;
  uint16_t gossip_port;
  uint64_t id_hash;
} Host;

/**
 * struct HostView - An immutable set of live hosts.
 * @version: changes with the set.
 * @by_domain: sorted by failure domain, so that a domain's hosts stand together.
 */
typedef struct
{
  uint64_t version;
  uint32_t count;
  bool by_domain;
  Host hosts[];
} HostView;

/** host_view_sort() - Sorts the hosts by failure domain, once the view is filled. */
void host_view_sort (HostView *view);

/** host_view_has_domain() - Whether a live host stands in @failure_domain. */
bool host_view_has_domain (const HostView *view, const char *failure_domain);

/** host_hash() - Hash of a host id. */
uint64_t host_hash (const char *id);

/** instance_hash() - Hash of an instance's name in its service. */
uint64_t instance_hash (const char *service, const char *instance);

/**
 * ownership_pick() - Index in @view of the owner of the instance at @place of the order
 * (0 is the owner, 1 the next when that one is gone); -1 when there are not so many.
 */
int ownership_pick (const HostView *view, uint64_t instance, const char *failure_domain,
                    const char *region, uint32_t place);
