/**
 * DOC: Share of an instance that each host may use: connections, whose number over all hosts
 * must not exceed what the instance accepts, and statements in flight. Covers uneven load, where
 * one host has most of the callers, and overload: an instance serves its queue in arrival order,
 * so statements have to wait at the hosts, which serve urgent ones first.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConnectionDemand - Demand of all hosts.
 * @limit: connections that the instance accepts from all hosts.
 * @slots: statements that the instance runs at once.
 * @statements_percent: part of the usual number of statements in flight that it takes well.
 * @hosts: live hosts, including this one.
 * @own: connections that this host wants. @others: the sum over all others.
 */
typedef struct
{
  uint32_t limit;
  uint32_t slots;
  uint32_t statements_percent;
  uint32_t hosts;
  uint32_t own;
  uint32_t others;
} ConnectionDemand;

/** connection_share() - Connections that this host may hold; at least one. */
uint32_t connection_share (const ConnectionDemand *demand);

/** connection_share_statements() - Statements that this host may have in flight; at least one. */
uint32_t connection_share_statements (const ConnectionDemand *demand);

/** connection_share_is_scarce() - Whether hosts must close connections that they do not use. */
bool connection_share_is_scarce (const ConnectionDemand *demand);
