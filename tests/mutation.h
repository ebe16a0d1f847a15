/**
 * DOC: Seeded mutations of input, fed to every reader of bytes from outside.
 */
#pragma once

#include <check.h>

/** fuzz_case() - The test case; meant for the address sanitizer as well. */
TCase *fuzz_case (void);
