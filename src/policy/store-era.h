/**
 * DOC: The era of the store, which rises when the store comes back from a backup. What an answer
 * of an earlier era said (a revision, a row that was written) may no longer hold.
 */
#pragma once

#include <stdint.h>

/** enum StoreEraState - How the era of an answer relates to those of earlier answers. */
typedef enum
{
  STORE_ERA_CURRENT, /* the same, or the first one */
  STORE_ERA_BEGUN,   /* the store has come back from a backup since */
  STORE_ERA_PAST     /* a late answer, from before the store came back */
} StoreEraState;

/**
 * store_era_record() - An answer of era @answered came; 0 if it does not tell. Updates @era, the
 * latest known one; 0 while there is none.
 */
StoreEraState store_era_record (uint64_t *era, uint64_t answered);
