/**
 * DOC: Randomized model of changes of primary: the real policy of two hosts over a group of three
 * instances, with answers, silence, crashes, cuts, freezes and late commands in any order.
 */
#pragma once

#include <check.h>

/** primary_change_model_case() - Runs the model with fixed seeds. */
TCase *primary_change_model_case (void);
