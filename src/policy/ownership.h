/**
 * DOC: Ownership: which live host owns a backend server instance. Rendezvous hashing over the
 * hosts of the nearest locality that has any.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** Maximum length of a host id, failure domain or region, with its terminator, in bytes. */
#define NAME_BYTES 64

/**
 * struct Host - A live entry host as seen by ownership and routing.
 * @id: unique name.
 * @failure_domain: the failure domain that it is in.
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
 * @by_domain: sorted by failure domain, so that the hosts of a domain are adjacent.
 */
typedef struct
{
  uint64_t version;
  uint32_t count;
  bool by_domain;
  Host hosts[];
} HostView;

/** host_view_sort() - Sorts the hosts by failure domain once the view is complete. */
void host_view_sort (HostView *view);

/** host_view_has_domain() - Whether a live host is in @failure_domain. */
bool host_view_has_domain (const HostView *view, const char *failure_domain);

/** host_hash() - Hash of a host id. */
uint64_t host_hash (const char *id);

/** instance_hash() - Hash of the name of an instance within its service. */
uint64_t instance_hash (const char *service, const char *instance);

/**
 * ownership_pick() - Index in @view of the host with @rank in the preference order of the
 * instance (0 is the owner, 1 its successor if that one fails); -1 if there are not that many
 * hosts.
 */
int ownership_pick (const HostView *view, uint64_t instance, const char *failure_domain,
                    const char *region, uint32_t rank);
