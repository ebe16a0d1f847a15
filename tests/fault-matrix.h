/**
 * DOC: The fault matrix: every fault at every step of each kind of request, with the expected
 * outcome.
 */
#pragma once

#include <check.h>

/** fault_matrix_case() - The test case; it prints the matrix with its counts. */
TCase *fault_matrix_case (void);
