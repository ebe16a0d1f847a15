/**
 * DOC: Faults of the store at every request of a configuration change, and racing operators.
 */
#pragma once

#include <check.h>

/** config_apply_faults_case() - The test case; it prints the matrix with its counts. */
TCase *config_apply_faults_case (void);
