#include "config-apply-faults.h"

#include <stdio.h>
#include <string.h>

#include "base/verdict.h"
#include "config/config-store.h"
#include "standin/platform-store.h"

/* Requests of one change: look up its id, read the head twice, write the patch, execute the
 * transaction. */
#define REQUESTS 5
/* The client library retries once on a connection that the server has closed, so both
 * attempts must fail. */
#define FAILURES 2
#define OPERATORS 4
#define CHANGES_EACH 5

static const char first_config[] = "{\"regions\":{\"r\":[\"d\"]},\"services\":{\"s\":{"
                                   "\"instances\":{\"a\":{\"address\":\"10.0.0.1\",\"port\":1,"
                                   "\"failure_domain\":\"d\"}},\"classes\":{\"c\":{\"priority\":"
                                   "\"urgent\",\"access\":\"write\"}},\"default_class\":\"c\"}}}";

typedef struct
{
  PlatformStore *store;
  PlatformClient *client;
} Fixture;

static Fixture
fixture_new (void)
{
  const PlatformStoreOptions options = { 0 };
  Fixture fixture = { .store = platform_store_new (&options) };
  char *url = g_strdup_printf ("http://127.0.0.1:%u", platform_store_port (fixture.store));
  json_t *patch = json_loads (first_config, 0, NULL);
  const ConfigChange change = { .id = "first", .author = "t", .reason = "t", .patch = patch };

  fixture.client = platform_client_new (url, 2000);
  ck_assert_uint_eq (config_store_apply (fixture.client, &change, NULL), 1);
  json_decref (patch);
  g_free (url);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  platform_client_free (fixture->client);
  platform_store_free (fixture->store);
}

static uint64_t
apply_slots (PlatformClient *client, const char *id, uint64_t base, int slots)
{
  json_t *patch = json_pack ("{s:{s:{s:i}}}", "services", "s", "slots", slots);
  const ConfigChange change
      = { .base = base, .id = id, .author = "t", .reason = "t", .patch = patch };
  uint64_t version = config_store_apply (client, &change, NULL);

  json_decref (patch);
  return version;
}

/* Number of versions made by the change with @id. */
static unsigned int
count_versions (PlatformClient *client, const char *id)
{
  uint64_t head = 0;
  unsigned int count = 0;

  ck_assert (config_store_head (client, &head, NULL));
  for (uint64_t version = 1; version <= head; version++)
    {
      json_t *record = config_store_record (client, version, NULL);

      count += strcmp (json_string_value (json_object_get (record, "id")), id) == 0 ? 1 : 0;
      json_decref (record);
    }
  return count;
}

START_TEST (test_store_faults)
{
  static const struct
  {
    StoreFault fault;
    const char *name;
  } faults[] = { { STORE_FAULT_DOWN, "no answer, no effect" },
                 { STORE_FAULT_LOSE_ANSWERS, "effect, answer lost" } };
  unsigned int cells = 0;

  printf ("matrix apply: result, then result when submitted again under its id\n");
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      printf ("  %-24s", faults[i].name);
      for (int request = 0; request < REQUESTS; request++)
        {
          Fixture fixture = fixture_new ();
          uint64_t result, repeated;

          platform_store_schedule_fault (fixture.store, faults[i].fault, request, FAILURES);
          result = apply_slots (fixture.client, "change", 1, 6);
          ck_assert (platform_store_fault_triggered (fixture.store)
                     || faults[i].fault == STORE_FAULT_LOSE_ANSWERS);
          platform_store_schedule_fault (fixture.store, faults[i].fault, 0, 0);
          repeated = apply_slots (fixture.client, "change", 1, 6);
          printf ("%5s/%s", result == 0 ? "error" : "v2", repeated == 2 ? "v2" : "?");
          // Whichever message was lost, the change is in the history exactly once, as version 2.
          ck_assert (result == 0 || result == 2);
          ck_assert_uint_eq (repeated, 2);
          ck_assert_uint_eq (count_versions (fixture.client, "change"), 1);
          fixture_free (&fixture);
          cells++;
        }
      printf ("\n");
    }
  printf ("matrix apply: %u cells, none applied twice or lost\n", cells);
}
END_TEST

typedef struct
{
  const char *url;
  int number;
  unsigned int accepted;
} Operator;

/* Submits each change against the latest version that it reads; a conflict returns an error. */
static gpointer
run_operator (gpointer data)
{
  Operator *op = data;
  PlatformClient *client = platform_client_new (op->url, 5000);

  for (int i = 0; i < CHANGES_EACH; i++)
    {
      char id[32];
      uint64_t head = 0;

      g_snprintf (id, sizeof id, "op%d-%d", op->number, i);
      if (config_store_head (client, &head, NULL)
          && apply_slots (client, id, head, 2 + op->number) != 0)
        op->accepted++;
    }
  platform_client_free (client);
  return NULL;
}

START_TEST (test_racing_operators)
{
  Fixture fixture = fixture_new ();
  char *url = g_strdup_printf ("http://127.0.0.1:%u", platform_store_port (fixture.store));
  Operator operators[OPERATORS];
  GThread *threads[OPERATORS];
  unsigned int accepted = 0;
  uint64_t head = 0;
  ConfigDocument *document;

  for (int i = 0; i < OPERATORS; i++)
    {
      operators[i] = (Operator){ url, i, 0 };
      threads[i] = g_thread_new ("operator", run_operator, &operators[i]);
    }
  for (int i = 0; i < OPERATORS; i++)
    {
      g_thread_join (threads[i]);
      accepted += operators[i].accepted;
    }
  // The history has exactly the accepted versions, and all of them load.
  ck_assert (config_store_head (fixture.client, &head, NULL));
  ck_assert_uint_eq (head, accepted + 1);
  document = config_store_load (fixture.client, head, NULL);
  ck_assert_ptr_nonnull (document);
  config_document_unref (document);
  g_free (url);
  fixture_free (&fixture);
}
END_TEST

TCase *
config_apply_faults_case (void)
{
  TCase *tcase = tcase_create ("apply");

  tcase_set_timeout (tcase, 300);
  tcase_add_test (tcase, test_store_faults);
  tcase_add_test (tcase, test_racing_operators);
  return tcase;
}
