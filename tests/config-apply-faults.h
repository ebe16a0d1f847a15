/**
 * DOC: Faults of the store during each request of a configuration change, and concurrent
 * operators.
 */
#pragma once

#include <check.h>

/** config_apply_faults_case() - The test case; it prints the table of results with its counts. */
TCase *config_apply_faults_case (void);
