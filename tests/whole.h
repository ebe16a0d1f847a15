/**
 * DOC: Whole daemons and stand-ins in this process, met over real connections.
 */
#pragma once

#include <check.h>

/** end_to_end_case() - The test case. */
TCase *end_to_end_case (void);
