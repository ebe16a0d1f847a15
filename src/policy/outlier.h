/**
 * DOC: Instances that fail or lose part of their work while they look alive. An instance that fails
 * quickly looks the quickest of its group, so reads would go to it first of all. It is compared
 * with the others of its group, because statements that are wrong fail everywhere.
 *
 * An instance that stands out gets no reads for a time that doubles with each turn. Then it returns
 * in small steps: few reads at first, until enough of them have succeeded. At most half of a group,
 * and never its last instance, is left out. Writes and reads that need the primary are not
 * affected.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct Outlier - One instance; zeroed before use.
 * @failing: moving average of the share of its work that failed or was lost.
 * @samples: answers since it was last reset.
 * @until_ms: end of the time without reads; 0 if it takes part.
 * @turns: times that it was left out in a row.
 * @successes: of a returning instance, in a row.
 * @tried_ms: when a returning one was last used.
 */
typedef struct
{
  double failing;
  uint32_t samples;
  int64_t until_ms;
  uint32_t turns;
  uint32_t successes;
  int64_t tried_ms;
} Outlier;

/** enum OutlierChange - What an answer changed. */
typedef enum
{
  OUTLIER_SAME,
  OUTLIER_EJECTED,
  OUTLIER_RETURNED
} OutlierChange;

/** outlier_record() - Instance @index of the group @members answered, or failed to. */
OutlierChange outlier_record (Outlier *const *members, uint32_t count, uint32_t index, bool failed,
                              int64_t now_ms);

/** outlier_is_suspect() - Whether it fails so much more than the others that another is worth a
 * try. */
bool outlier_is_suspect (Outlier *const *members, uint32_t count, uint32_t index);

/** outlier_may_use() - Whether a read may go to it, while others can serve it. */
bool outlier_may_use (const Outlier *outlier, int64_t now_ms);

/** outlier_chosen() - A read goes to it. */
void outlier_chosen (Outlier *outlier, int64_t now_ms);
