/**
 * DOC: bench: measures CPU time and memory of the policies at several sizes and prints CSV lines
 * "what,size,unit,value". docs/CAPACITY.md is calculated from them.
 */
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "cli/command.h"
#include "config/config-document.h"
#include "link/frame.h"
#include "policy/admission-queue.h"
#include "policy/commit-gate.h"
#include "policy/membership.h"
#include "policy/ownership.h"

#define DOMAINS 14
#define REGIONS 4
#define SECONDS 20
#define TICK_MS 20
#define SEED 7

static const SettingInfo bench_settings[] = {
  { "only", SETTING_TEXT, "", 0, 0, "run only the benchmarks whose name starts with this" },
  { NULL, SETTING_FLAG, NULL, 0, 0, NULL },
};

static double
cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &ts);
  return (double) ts.tv_sec * 1e6 + (double) ts.tv_nsec / 1e3;
}

static double
heap_bytes (void)
{
  const struct mallinfo2 info = mallinfo2 ();

  return (double) (info.uordblks + info.hblkhd);
}

static void
print_result (const char *what, uint32_t size, const char *unit, double value)
{
  printf ("%s,%u,%s,%.3f\n", what, size, unit, value);
  fflush (stdout);
}

static Host
bench_host (uint32_t index)
{
  Host host = { .link_port = 6532, .gossip_port = 6532 };

  g_snprintf (host.id, sizeof host.id, "entry-host-%05u", index);
  g_snprintf (host.failure_domain, sizeof host.failure_domain, "region-%u-domain-%02u",
              index % DOMAINS % REGIONS, index % DOMAINS);
  g_snprintf (host.region, sizeof host.region, "region-%u", index % DOMAINS % REGIONS);
  g_snprintf (host.address, sizeof host.address, "10.%u.%u.%u", index >> 16, (index >> 8) & 255,
              index & 255);
  host.id_hash = host_hash (host.id);
  return host;
}

static HostView *
bench_view (uint32_t count)
{
  HostView *view = g_malloc0 (sizeof (HostView) + count * sizeof (Host));

  view->count = count;
  for (uint32_t i = 0; i < count; i++)
    view->hosts[i] = bench_host (i);
  host_view_sort (view);
  return view;
}

static Membership *
bench_membership (uint32_t count)
{
  const MembershipOptions options = { .self = bench_host (0),
                                      .incarnation = 1,
                                      .probe_interval_ms = 250,
                                      .probe_timeout_ms = 100,
                                      .suspect_ms = 1200,
                                      .indirect_probes = 2,
                                      .seed = SEED };
  Membership *membership = membership_new (&options);

  for (uint32_t i = 1; i < count; i++)
    {
      const MemberUpdate update = { bench_host (i), 1, MEMBER_ALIVE };

      membership_apply (membership, &update, 0);
    }
  return membership;
}

/* Answers the host's probes and probes it as often: these rates are the same at any fleet size. */
static double
run_membership (Membership *membership, uint32_t count, double *bytes_per_s)
{
  GRand *random = g_rand_new_with_seed (SEED);
  double bytes = 0;
  double began = cpu_us ();

  for (int64_t now_ms = 0; now_ms < SECONDS * 1000; now_ms += TICK_MS)
    {
      GossipMessage message;
      Host to;

      membership_tick (membership, now_ms);
      while (membership_next_message (membership, &message, &to))
        {
          GossipMessage ack = { .kind = GOSSIP_ACK,
                                .sequence = message.sequence,
                                .sender = { to, 1, MEMBER_ALIVE } };
          GBytes *packed = gossip_pack (&message);

          bytes += (double) g_bytes_get_size (packed);
          gossip_unpack (g_bytes_get_data (packed, NULL), g_bytes_get_size (packed), &message);
          g_bytes_unref (packed);
          if (message.kind == GOSSIP_PING)
            membership_receive (membership, &ack, now_ms);
        }
      if (now_ms % 250 == 0)
        {
          GossipMessage probe = { .kind = GOSSIP_PING, .sequence = (uint64_t) now_ms };
          uint32_t from = (uint32_t) g_rand_int_range (random, 1, (gint32) count);

          // Hosts restart at the target rate, so every few probes carry a new incarnation.
          probe.sender
              = (MemberUpdate){ bench_host (from), 1 + (uint64_t) now_ms / 10000, MEMBER_ALIVE };
          membership_receive (membership, &probe, now_ms);
        }
    }
  g_rand_free (random);
  *bytes_per_s = bytes / SECONDS;
  return (cpu_us () - began) / SECONDS;
}

static void
bench_members (void)
{
  static const uint32_t sizes[] = { 100, 1000, 7000 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double heap = heap_bytes ();
      Membership *membership = bench_membership (sizes[i]);
      double used = heap_bytes () - heap;
      double bytes_per_s, began, cpu_per_s;
      HostView *view;

      cpu_per_s = run_membership (membership, sizes[i], &bytes_per_s);
      print_result ("membership_state", sizes[i], "bytes", used);
      print_result ("membership_cpu", sizes[i], "us_per_s", cpu_per_s);
      print_result ("membership_sent", sizes[i], "bytes_per_s", bytes_per_s);
      began = cpu_us ();
      view = membership_view (membership);
      print_result ("membership_view", sizes[i], "us", cpu_us () - began);
      print_result ("membership_view_state", sizes[i], "bytes",
                    (double) (sizeof (HostView) + sizes[i] * sizeof (Host)));
      g_free (view);
      membership_free (membership);
    }
}

static void
bench_ownership (void)
{
  static const uint32_t sizes[] = { 100, 1000, 7000 };
  const uint32_t picks = 2000;

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      HostView *view = bench_view (sizes[i]);
      double began = cpu_us ();
      volatile int sum = 0;

      for (uint32_t j = 0; j < picks; j++)
        {
          const Host *near = &view->hosts[j % sizes[i]];

          sum += ownership_pick (view, host_hash (near->id) + j, near->failure_domain, near->region,
                                 0);
        }
      print_result ("ownership_pick", sizes[i], "us", (cpu_us () - began) / picks);
      g_free (view);
    }
}

static json_t *
bench_service (uint32_t index)
{
  json_t *instances = json_object ();

  for (int i = 0; i < 3; i++)
    {
      const Host host = bench_host (index + (uint32_t) i);
      char name[] = { (char) ('a' + i), '\0' };

      json_object_set_new (instances, name,
                           json_pack ("{s:s, s:i, s:s}", "address", "10.1.2.3", "port", 5432,
                                      "failure_domain", host.failure_domain));
    }
  return json_pack ("{s:o, s:{s:{s:s,s:s,s:i}, s:{s:s,s:s,s:i,s:i}, s:{s:s,s:s,s:i}}, s:s, s:i}",
                    "instances", instances, "classes", "order", "priority", "urgent", "access",
                    "write", "deadline_ms", 5000, "stock_page", "priority", "normal", "access",
                    "read", "max_age_ms", 3000, "deadline_ms", 3000, "report", "priority",
                    "background", "access", "read", "max_age_ms", 30000, "default_class", "order",
                    "slots", 5);
}

static json_t *
bench_config (uint32_t services)
{
  json_t *regions = json_object ();
  json_t *all = json_object ();

  for (uint32_t i = 0; i < DOMAINS; i++)
    {
      const Host host = bench_host (i);

      if (json_object_get (regions, host.region) == NULL)
        json_object_set_new (regions, host.region, json_array ());
      json_array_append_new (json_object_get (regions, host.region),
                             json_string (host.failure_domain));
    }
  for (uint32_t i = 0; i < services; i++)
    {
      char name[32];

      g_snprintf (name, sizeof name, "service-%05u", i);
      json_object_set_new (all, name, bench_service (i));
    }
  return json_pack ("{s:o, s:o}", "regions", regions, "services", all);
}

static void
bench_services (void)
{
  static const uint32_t sizes[] = { 10, 1000, 11000 };
  const int patches = 50;

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      double before = heap_bytes ();
      json_t *json = bench_config (sizes[i]);
      double tree = heap_bytes () - before;
      json_t *patch = json_pack ("{s:{s:{s:i}}}", "services", "service-00003", "slots", 6);
      double heap = heap_bytes ();
      double began = cpu_us ();
      ConfigDocument *document = config_document_new (1, json, NULL);
      double parsed = cpu_us ();

      print_result ("config_json_tree", sizes[i], "bytes", tree);
      print_result ("config_parse", sizes[i], "us", parsed - began);
      print_result ("config_state", sizes[i], "bytes", heap_bytes () - heap);
      began = cpu_us ();
      for (int j = 0; j < patches; j++)
        {
          ConfigDocument *next = config_document_patch (document, (uint64_t) j + 2, patch, NULL);

          config_document_unref (document);
          document = next;
        }
      print_result ("config_patch", sizes[i], "us", (cpu_us () - began) / patches);
      config_document_unref (document);
      json_decref (patch);
      json_decref (json);
    }
}

static void
bench_queue (void)
{
  static const uint32_t sizes[] = { 10, 1000, 10000 };
  const AdmissionOptions options
      = { .slots = 5, .reserved_slots = 1, .queue_limit = 100000, .floor_percent = { 0, 20, 10 } };
  const uint32_t rounds = 100000;

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      AdmissionQueue *queue = admission_queue_new (&options);
      AdmissionItem *items = g_new0 (AdmissionItem, sizes[i] + 1);
      double began;

      for (uint32_t j = 0; j <= sizes[i]; j++)
        {
          items[j].priority = (Priority) (j % PRIORITY_COUNT);
          items[j].source = j % 100;
          items[j].deadline_ms = INT64_MAX / 2;
          admission_queue_push (queue, &items[j], 0);
        }
      began = cpu_us ();
      for (uint32_t j = 0; j < rounds; j++)
        {
          AdmissionItem *item = admission_queue_next (queue, false, (int64_t) j);

          admission_queue_finish (queue, item->priority, 2000);
          admission_queue_push (queue, item, (int64_t) j);
        }
      print_result ("queue_statement", sizes[i], "us", (cpu_us () - began) / rounds);
      admission_queue_free (queue);
      g_free (items);
    }
}

static void
bench_gate (void)
{
  static const uint32_t sizes[] = { 10, 100, 1000 };

  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      CommitGate *gate = commit_gate_new (3);
      GatedResponse response = { .expires_ms = INT64_MAX };
      GateResult result;
      uint32_t released = 0;
      double began = cpu_us ();

      for (uint32_t round = 0; round < 100; round++)
        {
          GateReport report = { 0, 1, { 1, (round + 1) * sizes[i] }, round + 1 };

          for (uint32_t j = 1; j <= sizes[i]; j++)
            {
              response.position = (SessionToken){ 1, round * sizes[i] + j };
              commit_gate_add (gate, &response);
            }
          commit_gate_report (gate, &report);
          report.instance = 1;
          commit_gate_report (gate, &report);
          while (commit_gate_pop (gate, 0, &response, &result))
            released++;
        }
      print_result ("gate_commit", sizes[i], "us", (cpu_us () - began) / released);
      commit_gate_free (gate);
    }
}

/* A statement in the simulation that compares service time estimates. */
typedef struct
{
  AdmissionItem item;
  int64_t ends_ms;
  int64_t service_ms;
} SimulatedItem;

/* Most statements take 2 to 10 ms, one in fifty takes 200 ms: 9.88 ms on average. */
static int64_t
simulated_service_ms (GRand *random)
{
  if (g_rand_int_range (random, 0, 50) == 0)
    return 200;
  return g_rand_int_range (random, 2, 11);
}

static void
finish_items (AdmissionQueue *queue, GQueue *running, int64_t now_ms, uint32_t *answered)
{
  for (guint i = g_queue_get_length (running); i > 0; i--)
    {
      SimulatedItem *item = g_queue_pop_head (running);

      if (item->ends_ms > now_ms)
        {
          g_queue_push_tail (running, item);
          continue;
        }
      admission_queue_finish (queue, item->item.priority, item->service_ms * 1000);
      ++*answered;
      g_free (item);
    }
}

/*
 * Offers statements at 95 percent of the capacity of 5 slots and counts how many are answered, with
 * an admission queue that estimates waits from averaged service times or from the last one.
 */
static void
simulate_estimate (bool last_sample, const char *name)
{
  const AdmissionOptions options
      = { .slots = 5, .queue_limit = 100000, .last_sample = last_sample };
  AdmissionQueue *queue = admission_queue_new (&options);
  GRand *random = g_rand_new_with_seed (SEED);
  GQueue running = G_QUEUE_INIT;
  uint32_t offered = 0, answered = 0, refused = 0, expired = 0;

  for (int64_t now_ms = 0; now_ms < 120000; now_ms++)
    {
      AdmissionItem *next;

      finish_items (queue, &running, now_ms, &answered);
      if (g_rand_double (random) < 0.95 * 5 / 9.88)
        {
          SimulatedItem *item = g_new0 (SimulatedItem, 1);

          offered++;
          item->item.deadline_ms = now_ms + 100;
          item->item.data = item;
          item->service_ms = simulated_service_ms (random);
          if (!admission_queue_push (queue, &item->item, now_ms))
            {
              refused++;
              g_free (item);
            }
        }
      while ((next = admission_queue_expire (queue, now_ms)) != NULL)
        {
          expired++;
          g_free (next->data);
        }
      while ((next = admission_queue_next (queue, false, now_ms)) != NULL)
        {
          SimulatedItem *item = next->data;

          item->ends_ms = now_ms + item->service_ms;
          g_queue_push_tail (&running, item);
        }
    }
  print_result (name, offered, "answered", answered);
  print_result (name, offered, "refused_at_the_door", refused);
  print_result (name, offered, "dropped_at_deadline", expired);
  g_queue_clear_full (&running, g_free);
  for (AdmissionItem *left; (left = admission_queue_drain (queue)) != NULL;)
    g_free (left->data);
  g_rand_free (random);
  admission_queue_free (queue);
}

static void
bench_estimates (void)
{
  simulate_estimate (false, "estimate_averaged");
  simulate_estimate (true, "estimate_last_sample");
}

static int
run_bench (const Settings *settings)
{
  static const struct
  {
    const char *name;
    void (*run) (void);
  } parts[] = {
    { "members", bench_members }, { "ownership", bench_ownership }, { "services", bench_services },
    { "queue", bench_queue },     { "gate", bench_gate },           { "estimate", bench_estimates },
  };
  const char *only = settings_text (settings, "only");

  printf ("what,size,unit,value\n");
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    if (g_str_has_prefix (parts[i].name, only))
      parts[i].run ();
  return EXIT_DONE;
}

const Command command_bench
    = { "bench", "measure the policies at several sizes", bench_settings, run_bench };
