/**
 * DOC: Hosts that act as owners of a service, as far as this host knows. An entry expires unless it
 * is renewed. The number of entries is bounded, whatever other hosts report.
 */
#pragma once

#include <stdint.h>

/** Maximum number of entries: a few owners per failure domain, and those they replace. */
#define OWNER_SET_MAX 48

/** struct OwnerSet - Addresses with the times at which they expire. Zeroed is empty. */
typedef struct
{
  uint32_t count;
  uint64_t addresses[OWNER_SET_MAX];
  int64_t expires_ms[OWNER_SET_MAX];
} OwnerSet;

/** owner_set_add() - Adds @address, or renews it, until @expires_ms. Ignored when the set is full.
 */
void owner_set_add (OwnerSet *set, uint64_t address, int64_t expires_ms);

/** owner_set_remove() - Removes @address, if present. */
void owner_set_remove (OwnerSet *set, uint64_t address);

/** owner_set_expire() - Removes the entries that have expired at @now_ms. */
void owner_set_expire (OwnerSet *set, int64_t now_ms);
