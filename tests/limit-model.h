/**
 * DOC: Model of hosts that hand out what customers may run under their limits, with hosts that are
 * killed, frozen and cut off, and a store that is slow or down.
 */
#pragma once

#include <check.h>

/** limit_model_case() - Checks that no window sees more operations than the limit allows. */
TCase *limit_model_case (void);
