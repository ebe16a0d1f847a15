/**
 * DOC: Randomized model of changes of primary: the real policy of two hosts over a group of three
 * instances, with answers, silence, crashes, cuts, freezes and late commands in any order.
 */
#pragma once

#include <check.h>

/** primary_change_model_case() - Runs the model with fixed seeds. */
TCase *primary_change_model_case (void);

/** primary_change_restart_case() - The same with hosts that are killed, or leave, and start again.
 */
TCase *primary_change_restart_case (void);

/** primary_change_replacement_case() - The same, and replicas are replaced: each joins, leaves and
 * is gone with its log. */
TCase *primary_change_replacement_case (void);

/** primary_change_reads_case() - Three hosts that read, lists that lag, and planned replacements
 * also of the primary. */
TCase *primary_change_reads_case (void);
