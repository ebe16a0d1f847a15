#include "policy/instance-list.h"

#include <string.h>

#include <xxhash.h>

/* Live instances write their entries again within two seconds after the store is back. */
#define REGISTRATION_GRACE_MS 2500

void
instance_list_clear (InstanceList *list)
{
  if (list->infos != NULL)
    g_array_free (list->infos, true);
  list->infos = NULL;
}

void
instance_list_failed (InstanceList *list)
{
  list->failed = true;
}

void
instance_list_restored (InstanceList *list, int64_t now_ms)
{
  list->recovered_ms = now_ms;
}

static InstanceInfo *
find_info (GArray *infos, const char *id)
{
  for (guint i = 0; i < infos->len; i++)
    if (strcmp (g_array_index (infos, InstanceInfo, i).id, id) == 0)
      return &g_array_index (infos, InstanceInfo, i);
  return NULL;
}

/* Updates @info, which may be older than @known, to the newer of both. */
static void
keep_newer (InstanceInfo *info, const InstanceInfo *known)
{
  if (info->started_ms < known->started_ms)
    *info = *known;
  else if (info->started_ms == known->started_ms)
    info->leaving |= known->leaving;
}

static void
merge_known (GArray *infos, const GArray *known)
{
  for (guint i = 0; i < known->len; i++)
    {
      const InstanceInfo *info = &g_array_index (known, InstanceInfo, i);
      InstanceInfo *found = find_info (infos, info->id);

      if (found == NULL)
        g_array_append_vals (infos, info, 1);
      else
        keep_newer (found, info);
    }
}

static void
replace_infos (InstanceList *list, const GArray *read, int64_t now_ms)
{
  GArray *infos = g_array_sized_new (false, true, sizeof (InstanceInfo), read->len);

  g_array_append_vals (infos, read->data, read->len);
  if (list->infos != NULL && list->recovered_ms > 0
      && now_ms - list->recovered_ms < REGISTRATION_GRACE_MS)
    merge_known (infos, list->infos);
  instance_list_clear (list);
  list->infos = infos;
}

void
instance_list_update (InstanceList *list, const GArray *listed, int64_t now_ms)
{
  if (list->failed)
    list->recovered_ms = now_ms;
  list->failed = false;
  replace_infos (list, listed, now_ms);
}

void
instance_list_replace (InstanceList *list, const GArray *received, int64_t now_ms)
{
  replace_infos (list, received, now_ms);
}

uint32_t
instance_list_hash (const InstanceList *list)
{
  uint32_t sum = 0;

  if (list->infos == NULL)
    return 0;
  // A sum, because the order of the list is not significant.
  for (guint i = 0; i < list->infos->len; i++)
    {
      const InstanceInfo *info = &g_array_index (list->infos, InstanceInfo, i);
      const uint32_t incarnation = XXH32 (info->id, strlen (info->id), (uint32_t) info->started_ms);

      sum += XXH32 (info->address, strlen (info->address),
                    incarnation + info->port + (info->leaving ? 1u : 0u));
    }
  return sum == 0 ? 1 : sum;
}
