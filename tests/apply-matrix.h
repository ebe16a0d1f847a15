/**
 * DOC: Faults of the store at every request of a configuration change, and racing operators.
 */
#pragma once

#include <check.h>

/** apply_matrix_case() - The test case; it prints the matrix with its counts. */
TCase *apply_matrix_case (void);
