/**
 * DOC: How many connections to an instance a host may hold, when all hosts together may hold
 * no more than the instance takes. Answers uneven load: one host with most of the callers.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConnectionDemand - Who wants how much.
 * @limit: connections that the instance takes from all hosts.
 * @hosts: hosts alive, this one included.
 * @own: connections that this host wants. @others: what all others want.
 */
typedef struct
{
  uint32_t limit;
  uint32_t hosts;
  uint32_t own;
  uint32_t others;
} ConnectionDemand;

/** connection_share() - Connections that this host may hold; at least one. */
uint32_t connection_share (const ConnectionDemand *demand);

/** connection_share_is_scarce() - Whether hosts must not keep connections that they do not use. */
bool connection_share_is_scarce (const ConnectionDemand *demand);
