#include "policy/owner-set.h"

#include <stdbool.h>

static bool
find (const OwnerSet *set, uint64_t address, uint32_t *index)
{
  for (*index = 0; *index < set->count; ++*index)
    if (set->addresses[*index] == address)
      return true;
  return false;
}

static void
remove_at (OwnerSet *set, uint32_t index)
{
  set->count--;
  set->addresses[index] = set->addresses[set->count];
  set->expires_ms[index] = set->expires_ms[set->count];
}

void
owner_set_add (OwnerSet *set, uint64_t address, int64_t expires_ms)
{
  uint32_t index;

  if (find (set, address, &index))
    {
      if (expires_ms > set->expires_ms[index])
        set->expires_ms[index] = expires_ms;
      return;
    }
  if (set->count == OWNER_SET_MAX)
    return;
  set->addresses[set->count] = address;
  set->expires_ms[set->count++] = expires_ms;
}

void
owner_set_remove (OwnerSet *set, uint64_t address)
{
  uint32_t index;

  if (find (set, address, &index))
    remove_at (set, index);
}

void
owner_set_expire (OwnerSet *set, int64_t now_ms)
{
  for (uint32_t i = set->count; i > 0; i--)
    if (set->expires_ms[i - 1] <= now_ms)
      remove_at (set, i - 1);
}
