/**
 * DOC: What a host may take of an instance that all hosts share: connections, of which all
 * together may hold no more than the instance takes, and statements at work at once. Answers
 * uneven load, one host with most of the callers, and floods: work that waits at an instance
 * is served in the order of its arrival, so it has to wait at the hosts, most urgent first.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConnectionDemand - Who wants how much.
 * @limit: connections that the instance takes from all hosts.
 * @slots: statements that the instance runs at once.
 * @hosts: hosts alive, this one included.
 * @own: connections that this host wants. @others: what all others want.
 */
typedef struct
{
  uint32_t limit;
  uint32_t slots;
  uint32_t hosts;
  uint32_t own;
  uint32_t others;
} ConnectionDemand;

/** connection_share() - Connections that this host may hold; at least one. */
uint32_t connection_share (const ConnectionDemand *demand);

/** connection_share_statements() - Statements that this host may have at work; at least one. */
uint32_t connection_share_statements (const ConnectionDemand *demand);

/** connection_share_is_scarce() - Whether hosts must not keep connections that they do not use. */
bool connection_share_is_scarce (const ConnectionDemand *demand);
