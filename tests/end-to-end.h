/**
 * DOC: End-to-end tests: daemons and stand-ins in this process, used over real connections.
 */
#pragma once

#include <check.h>

/** end_to_end_case() - The test case with all end-to-end tests. */
TCase *end_to_end_case (void);
