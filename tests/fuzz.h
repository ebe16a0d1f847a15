/**
 * DOC: Fuzz tests: seeded mutations of valid input for every decoder of external input.
 */
#pragma once

#include <check.h>

/** fuzz_case() - Creates the test case, which should also run under the address sanitizer. */
TCase *fuzz_case (void);
