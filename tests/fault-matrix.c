#include "fault-matrix.h"

#include <stdio.h>
#include <string.h>

#include "fault-simulation.h"

/* Expected outcomes as reported to the caller. */
#define R 'R' /* ran */
#define N 'N' /* not run */
#define D 'D' /* may have run */
#define X 'X' /* no report: the entry host is down */

typedef struct
{
  RequestKind kind;
  const char *name;
  const char *outcomes[FAULT_COUNT]; /* one letter per step */
} Expectation;

static const Expectation expectations[] = {
  { REQUEST_WRITE,
    "write",
    {
        [FAULT_NONE] = "RRRRRRR",
        [FAULT_PRIMARY_ISOLATED] = "RRRRRRR",
        [FAULT_PRIMARY_DEAD] = "RRRRRRR",
        [FAULT_REPLICA_BEHIND] = "RRRRRRR",
        [FAULT_REPLICA_DEAD] = "RRRRRRR",
        [FAULT_REPLICAS_DEAD] = "DDDDDRR",
        [FAULT_ENTRY_DEAD] = "XXXXXXX",
        [FAULT_OWNER_DEAD] = "RRRRRRR",
        [FAULT_OWNER_PAUSED] = "RRRRRRR",
        [FAULT_FLOOD] = "NNNRRRR",
        [FAULT_STORE_DOWN] = "RRRRRRR",
        [FAULT_STORE_SLOW] = "RRRRRRR",
        [FAULT_CONNECTION_UNRESPONSIVE] = "RRRRRRR",
        [FAULT_LINK_UNRESPONSIVE] = "RRRRRRR",
        [FAULT_DOMAIN_LOST] = "RRRRRRR",
        [FAULT_REGION_PARTITION] = "RRRRRRR",
        [FAULT_MINORITY_PARTITION] = "RRRRRRR",
        [FAULT_CONFIG_RACE] = "RRRRRRR",
    } },
  { REQUEST_READ,
    "read",
    {
        [FAULT_NONE] = "RRRRRRR",
        [FAULT_PRIMARY_ISOLATED] = "RRRRRRR",
        [FAULT_PRIMARY_DEAD] = "RRRRRRR",
        [FAULT_REPLICA_BEHIND] = "RRRRRRR",
        [FAULT_REPLICA_DEAD] = "RRRRRRR",
        [FAULT_REPLICAS_DEAD] = "NNRRRRR",
        [FAULT_ENTRY_DEAD] = "XXXXXXX",
        [FAULT_OWNER_DEAD] = "RRRRRRR",
        [FAULT_OWNER_PAUSED] = "RRRRRRR",
        [FAULT_FLOOD] = "NNNRRRR",
        [FAULT_STORE_DOWN] = "RRRRRRR",
        [FAULT_STORE_SLOW] = "RRRRRRR",
        [FAULT_CONNECTION_UNRESPONSIVE] = "RRRRRRR",
        [FAULT_LINK_UNRESPONSIVE] = "RRRRRRR",
        [FAULT_DOMAIN_LOST] = "RRRRRRR",
        [FAULT_REGION_PARTITION] = "RRRRRRR",
        [FAULT_MINORITY_PARTITION] = "RRRRRRR",
        [FAULT_CONFIG_RACE] = "RRRRRRR",
    } },
  { REQUEST_COMMIT,
    "commit",
    {
        [FAULT_NONE] = "RRRRRRR",
        [FAULT_PRIMARY_ISOLATED] = "NNNNNRR",
        [FAULT_PRIMARY_DEAD] = "NNNNNRR",
        [FAULT_REPLICA_BEHIND] = "RRRRRRR",
        [FAULT_REPLICA_DEAD] = "RRRRRRR",
        [FAULT_REPLICAS_DEAD] = "DDDDDRR",
        [FAULT_ENTRY_DEAD] = "XXXXXXX",
        [FAULT_OWNER_DEAD] = "NNNRRRR",
        [FAULT_OWNER_PAUSED] = "NNNRRRR",
        [FAULT_FLOOD] = "NNNRRRR",
        [FAULT_STORE_DOWN] = "RRRRRRR",
        [FAULT_STORE_SLOW] = "RRRRRRR",
        [FAULT_CONNECTION_UNRESPONSIVE] = "NNNNRRR",
        [FAULT_LINK_UNRESPONSIVE] = "NNRRRRR",
        [FAULT_DOMAIN_LOST] = "NNNNNRR",
        [FAULT_REGION_PARTITION] = "RRRRRRR",
        [FAULT_MINORITY_PARTITION] = "NNNNNRR",
        [FAULT_CONFIG_RACE] = "RRRRRRR",
    } },
};

static char
outcome_of (const SimulationResult *result)
{
  static const char letters[]
      = { [VERDICT_RAN] = R, [VERDICT_NOT_RUN] = N, [VERDICT_MAY_HAVE_RUN] = D };

  return result->answered ? letters[result->outcome] : X;
}

/* The invariants that hold under every fault. */
static bool
is_correct (RequestKind kind, const SimulationResult *result)
{
  if (kind == REQUEST_READ)
    return !result->stale;
  if (result->runs > 1)
    return false;
  if (!result->answered)
    return true;
  if (result->outcome == VERDICT_RAN)
    return result->runs == 1;
  return result->outcome != VERDICT_NOT_RUN || result->runs == 0;
}

START_TEST (test_single_faults)
{
  const Expectation *expectation = &expectations[_i];
  unsigned int unexpected = 0, violations = 0;

  printf ("matrix %s:%*s", expectation->name, (int) (20 - strlen (expectation->name)), "");
  for (int step = 0; step < STEP_COUNT; step++)
    printf ("%11s", step_name ((Step) step));
  printf ("\n");
  for (int fault = 0; fault < FAULT_COUNT; fault++)
    {
      printf ("  %-24s", fault_name ((Fault) fault));
      for (int step = 0; step < STEP_COUNT; step++)
        {
          const SimulationResult result = simulation_run (expectation->kind, (Fault) fault,
                                                          (Step) step, FAULT_NONE, STEP_RECEIVED);
          bool expected = outcome_of (&result) == expectation->outcomes[fault][step];
          bool correct = is_correct (expectation->kind, &result);

          unexpected += expected ? 0 : 1;
          violations += correct ? 0 : 1;
          printf ("%10c%s", outcome_of (&result), !correct ? "!" : expected ? " " : "?");
        }
      printf ("\n");
    }
  printf ("matrix %s: %d cells, %u unexpected, %u violations\n", expectation->name,
          FAULT_COUNT * STEP_COUNT, unexpected, violations);
  ck_assert_uint_eq (violations, 0);
  ck_assert_uint_eq (unexpected, 0);
}
END_TEST

START_TEST (test_pairs_of_faults)
{
  const Expectation *expectation = &expectations[_i];
  unsigned int cells = 0, violations = 0, in_doubt = 0;

  for (int first = 1; first < FAULT_COUNT; first++)
    for (int second = 1; second < FAULT_COUNT; second++)
      for (int first_step = 0; first_step < STEP_COUNT; first_step++)
        for (int second_step = first_step; second_step < STEP_COUNT; second_step++)
          {
            const SimulationResult result
                = simulation_run (expectation->kind, (Fault) first, (Step) first_step,
                                  (Fault) second, (Step) second_step);

            cells++;
            in_doubt += result.answered && result.outcome == VERDICT_MAY_HAVE_RUN ? 1 : 0;
            if (is_correct (expectation->kind, &result))
              continue;
            violations++;
            printf ("matrix pair %s: %s at %s, %s at %s: outcome %c, runs %u\n", expectation->name,
                    fault_name ((Fault) first), step_name ((Step) first_step),
                    fault_name ((Fault) second), step_name ((Step) second_step),
                    outcome_of (&result), result.runs);
          }
  printf ("matrix pairs %s: %u cells, %u violations, %u in doubt\n", expectation->name, cells,
          violations, in_doubt);
  ck_assert_uint_eq (violations, 0);
}
END_TEST

TCase *
fault_matrix_case (void)
{
  TCase *tcase = tcase_create ("matrix");

  tcase_set_timeout (tcase, 600);
  tcase_add_loop_test (tcase, test_single_faults, 0, (int) G_N_ELEMENTS (expectations));
  tcase_add_loop_test (tcase, test_pairs_of_faults, 0, (int) G_N_ELEMENTS (expectations));
  return tcase;
}
