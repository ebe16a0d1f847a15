/* Pool daemons as processes over changes of primary, for a seed: replicas leave and are replaced,
 * instances are cut off or crash, hosts are killed, stopped, frozen and added, the store fails; all
 * of it overlaps. Crashed primaries come back with their logs, and a replica is gone for good only
 * once it is no primary. Consumers write and read all the time. Prints one line: what held, or the
 * rule that was broken, by what consumers and stand-ins saw alone.
 *
 *   WORLD_BINARY=build/peridotstep WORLD_DIRECTORY=DIRECTORY build/pool-replacement SEED RECORD
 * [HOSTS] */
#include "load.h"
#include "world.h"

#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>

#define SETTLE_MS 3000
#define TROUBLE_MS 25000
#define RECOVERY_MS 15000
#define SERVED_MS 10000
#define SERVED_WRITES 10
#define STEP_MS 10
#define CHECK_MS 20
#define STOP_LIMIT_MS 15000
#define THAW_MS 10000
/* An instance that says nothing leaves the list after this time. */
#define SILENT_MS 3000
#define JOINERS 5
#define FIRST 3
#define EVENTS 512

static const char routes[]
    = "[{\"name\":\"r1\",\"host\":\"shop\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"orders\",\"max_attempts\":2},"
      "{\"name\":\"r2\",\"host\":\"depot\",\"prefix\":\"/"
      "\",\"type\":\"primary\",\"timeout_ms\":1000,"
      "\"slo_ms\":500,\"priority\":0,\"service\":\"stock\",\"max_attempts\":2}]";
#define SERVICE                                                                                    \
  "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":512,\"protocol\":\"h1\","            \
  "\"tls\":false,\"sync_replicas\":%d}"
static const LoadTarget targets[] = { { "shop", "orders" }, { "depot", "stock" } };

/* The instances' and the links' events go before those of hosts. */
typedef enum
{
  JOIN,
  LEAVE,
  GONE,
  CRASH,
  FORGET,
  RESTORE,
  DEAF,
  HEAR,
  DARK,
  LIGHT,
  KILL_HOST,
  STOP_HOST,
  FREEZE_HOST,
  THAW_HOST,
  START_HOST,
  STORE
} Action;

typedef struct
{
  int64_t at_ms;
  Action action;
  int subject;
} Event;

static Event events[EVENTS];
static int event_count;
static uint64_t random_state;
static const char *seed_text;
static int64_t stop_sent_ms[WORLD_HOSTS];
static int64_t disturbed_ms[WORLD_HOSTS];
static int first_hosts;
/* Instances that come back. */
static bool crashed[WORLD_INSTANCES];
static int64_t cut_until_ms[2][WORLD_INSTANCES];

static int
draw (int limit)
{
  uint64_t value = random_state += 0x9e3779b97f4a7c15;

  value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9;
  value = (value ^ value >> 27) * 0x94d049bb133111eb;
  return (int) ((value ^ value >> 31) % (uint64_t) limit);
}

static int
draw_between (int low, int high)
{
  return low + draw (high - low + 1);
}

static void __attribute__ ((noreturn, format (printf, 2, 3)))
report_break (const char *rule, const char *format, ...)
{
  char text[256];
  va_list list;

  va_start (list, format);
  vsnprintf (text, sizeof text, format, list);
  va_end (list);
  world_record ("BROKEN   %s: %s", rule, text);
  printf ("seed %s broken: %s, %s\n", seed_text, rule, text);
  fflush (stdout);
  world_end (1);
}

static void
plan (int64_t at_ms, Action action, int subject)
{
  if (event_count < EVENTS)
    events[event_count++] = (Event){ at_ms, action, subject };
}

/* An instance is DEAF or DARK for some time, with others that overlap until the last one ends. */
static void
plan_cut (int64_t at_ms, Action action, int index, int duration_ms)
{
  int64_t *until_ms = &cut_until_ms[action == DARK][index];

  *until_ms = at_ms + duration_ms > *until_ms ? at_ms + duration_ms : *until_ms;
  plan (at_ms, action, index);
  plan (at_ms + duration_ms, action == DARK ? LIGHT : HEAR, index);
}

/* ---- the instances of a service ---- */

static bool
is_of (const Instance *instance, int target)
{
  return strcmp (instance->service, targets[target].service) == 0;
}

/* The instance that leads @target, or will once it is promoted or back. */
static int
find_primary (int target)
{
  int best = -1;

  for (int i = 0; i < world.instance_count; i++)
    if (is_of (&world.instances[i], target) && world.instances[i].primary
        && (best < 0 || world.instances[i].term > world.instances[best].term))
      best = i;
  return best;
}

/* A replica of @target that stays and runs, drawn; -1 for none. */
static int
draw_replica (int target)
{
  int found = -1, count = 0;

  for (int i = 0; i < world.instance_count; i++)
    {
      const Instance *instance = &world.instances[i];

      if (is_of (instance, target) && !instance->primary && instance->listed && !instance->leaving
          && instance->listen_fd >= 0 && draw (++count) == 0)
        found = i;
    }
  return found;
}

static void
cut_replicas (int64_t at_ms, int target, int duration_ms, bool all)
{
  for (int i = 0; i < world.instance_count; i++)
    if (is_of (&world.instances[i], target) && !world.instances[i].primary
        && !world.instances[i].leaving && !world.instances[i].absent && (all || draw (3) > 0))
      plan_cut (at_ms, DEAF, i, duration_ms);
}

/* A new replica joins and another one leaves; with @cut that one confirms commits alone, and hosts
 * start once it is gone. */
static void
replace_replica (int64_t now_ms, int target, bool cut)
{
  const int64_t leave_ms = now_ms + draw_between (1500, 3000);
  const int64_t gone_ms = leave_ms + draw_between (2500, 5000);
  const int64_t cut_ms = gone_ms - draw_between (800, 2000);
  const int leaving = draw_replica (target);
  int joiner = -1;

  for (int i = 0; i < world.instance_count && joiner < 0; i++)
    if (is_of (&world.instances[i], target) && world.instances[i].absent)
      joiner = i;
  if (joiner < 0 || leaving < 0)
    return;
  world.instances[joiner].absent = false;
  plan (now_ms, JOIN, joiner);
  plan (leave_ms, LEAVE, leaving);
  plan (gone_ms, GONE, leaving);
  if (!cut)
    return;
  world.instances[leaving].leaving = true;
  cut_replicas (cut_ms, target, (int) (gone_ms - cut_ms) + draw_between (3000, 8000), true);
  world.instances[leaving].leaving = false;
  for (int i = 0; i < world.host_count; i++)
    if (draw (2) == 0)
      plan (gone_ms + draw_between (-200, 1000), draw (3) == 0 ? STOP_HOST : KILL_HOST, i);
  if (draw (3) == 0)
    plan_cut (gone_ms + draw_between (0, 500), DARK, find_primary (target),
              draw_between (3000, 6000));
}

static void
plan_crash (int64_t now_ms, int index)
{
  const int duration_ms = draw_between (500, 8000);

  plan (now_ms, CRASH, index);
  if (duration_ms > SILENT_MS)
    plan (now_ms + SILENT_MS, FORGET, index);
  plan (now_ms + duration_ms, RESTORE, index);
}

static void
draw_trouble (int64_t now_ms)
{
  const int target = draw (LOAD_SERVICES), host = draw (world.host_count);
  const int replica = draw_replica (target), primary = find_primary (target);
  const int kind = draw (20);

  if (kind < 7)
    replace_replica (now_ms, target, draw (4) < 3);
  else if (kind < 9)
    cut_replicas (now_ms, target, draw_between (1000, 8000), draw (2) == 0);
  else if (kind < 12)
    plan_cut (now_ms, DARK, kind < 11 || replica < 0 ? primary : replica, draw_between (500, 6000));
  else if (kind < 13)
    plan_crash (now_ms, primary);
  else if (kind < 15)
    plan (now_ms, KILL_HOST, host);
  else if (kind < 16)
    plan (now_ms, STOP_HOST, host);
  else if (kind < 17)
    {
      plan (now_ms, FREEZE_HOST, host);
      plan (now_ms + draw_between (300, 5000), THAW_HOST, host);
    }
  else if (kind < 18)
    plan (now_ms, START_HOST, world.host_count - 1);
  else if (kind < 19)
    {
      for (int i = 0; i < world.host_count; i++)
        plan (now_ms, KILL_HOST, i);
    }
  else
    {
      plan (now_ms, STORE, draw (2) == 0 ? STORE_REFUSES : STORE_SILENT);
      plan (now_ms + draw_between (1000, 6000), STORE, STORE_SERVES);
    }
}

/* ---- running the events ---- */

static void
run_instance_event (const Event *event, int64_t now_ms)
{
  static const char *const names[]
      = { "joins",      "is leaving",       "is gone",        "crashes", "is silent for long",
          "runs again", "receives nothing", "receives again", "is dark", "answers again" };
  const int index = event->subject;
  Instance *instance = &world.instances[index];

  if (event->action == GONE
      && (instance->primary || instance->promote_at_ms != 0 || crashed[index]))
    {
      plan (now_ms + 500, GONE, index);
      return;
    }
  if ((event->action == HEAR || event->action == LIGHT)
      && now_ms < cut_until_ms[event->action == LIGHT][index])
    return;
  if (event->action == CRASH
          ? instance->listen_fd < 0
          : (event->action == FORGET || event->action == RESTORE) && !crashed[index])
    return;
  if (event->action == JOIN || (event->action == RESTORE && draw (2) == 0))
    instance->born_ms = (int64_t) time (NULL) * 1000;
  if (event->action == LEAVE)
    instance->leaving = true;
  if (event->action == JOIN || event->action == RESTORE)
    world_restore_instance (instance);
  if (event->action == CRASH || event->action == RESTORE)
    crashed[index] = event->action == CRASH;
  world_lock ();
  if (event->action == GONE || event->action == CRASH)
    world_crash_instance (instance);
  if (event->action == DEAF || event->action == HEAR)
    instance->deaf = event->action == DEAF;
  if (event->action == DARK || event->action == LIGHT)
    instance->dark = event->action == DARK;
  if (event->action >= CRASH)
    instance->disturbed_ms = world_now_ms ();
  world_unlock ();
  if (event->action <= RESTORE && event->action != CRASH
      && (event->action != LEAVE || instance->listed))
    world_list_instance (instance, event->action != GONE && event->action != FORGET);
  world_record ("%s  %s %s", event->action < CRASH ? "change " : "trouble", instance->id,
                names[event->action]);
}

static void
run_host_event (const Event *event, int64_t now_ms)
{
  const int index = event->subject;
  const bool runs = world.hosts[index].pid != 0;

  if (event->action == START_HOST && !runs)
    world_start_host (index);
  if (event->action == START_HOST || !runs)
    return;
  if (event->action == KILL_HOST)
    {
      stop_sent_ms[index] = 0;
      world_signal_host (index, SIGKILL);
      plan (now_ms + draw_between (0, 1) * draw_between (0, 3000), START_HOST, index);
    }
  else if (event->action == STOP_HOST)
    {
      world_signal_host (index, SIGTERM);
      stop_sent_ms[index] = stop_sent_ms[index] == 0 ? now_ms : stop_sent_ms[index];
    }
  else
    {
      world_signal_host (index, event->action == FREEZE_HOST ? SIGSTOP : SIGCONT);
      disturbed_ms[index] = now_ms;
    }
}

static void
run_events (int64_t now_ms)
{
  for (int i = 0; i < event_count; i++)
    {
      const Event event = events[i];

      if (event.at_ms > now_ms)
        continue;
      events[i--] = events[--event_count];
      if (event.action < KILL_HOST)
        run_instance_event (&event, now_ms);
      else if (event.action < STORE)
        run_host_event (&event, now_ms);
      else
        {
          world.store = (StoreState) event.subject;
          world_record ("trouble  store %d", event.subject);
        }
    }
}

/* Starts the hosts again that ended on SIGTERM; one that ends by itself breaks FAULT. */
static void
reap_hosts (int64_t now_ms)
{
  for (int i = 0; i < world.host_count; i++)
    {
      int status = 0;

      if (world.hosts[i].pid == 0)
        continue;
      if (stop_sent_ms[i] != 0 && now_ms - stop_sent_ms[i] >= STOP_LIMIT_MS)
        run_host_event (&(Event){ 0, KILL_HOST, i }, now_ms);
      else if (waitpid (world.hosts[i].pid, &status, WNOHANG) == world.hosts[i].pid)
        {
          world.hosts[i].pid = 0;
          /* SIGTERM ends a process at once that does not handle it yet. */
          if (stop_sent_ms[i] == 0 || (status != 0 && status != SIGTERM))
            report_break ("FAULT", "%s ended with status %d", world.hosts[i].name, status);
          stop_sent_ms[i] = 0;
          plan (now_ms + draw_between (0, 2000), START_HOST, i);
        }
    }
}

static void
check_rules (void)
{
  int instance = 0, number = load_find_lost (&instance);

  if (number >= 0)
    report_break ("LOST", "w%d is not in the log of %s, promoted as term %llu", number,
                  world.instances[instance].id,
                  (unsigned long long) world.instances[instance].term);
  number = load_find_late (disturbed_ms, THAW_MS);
  if (number >= 0)
    report_break ("ONE", "w%d was accepted by a replaced primary", number);
  number = load_find_stale ();
  if (number >= 0)
    report_break ("STALE", "a read lacked w%d", number);
  if (world.shared_tokens > 0)
    report_break ("ONE", "two holders promoted with the same token");
}

static bool
is_served (int64_t since_ms)
{
  for (int i = 0; i < LOAD_SERVICES; i++)
    if (load_served_since (i, since_ms) < SERVED_WRITES)
      return false;
  return true;
}

/* With @served_ms the time ends earlier, once both services are served after then. */
static void
run_until (int64_t end_ms, bool trouble, int64_t served_ms)
{
  int64_t next_ms = world_now_ms (), checked_ms = 0;

  for (int64_t now_ms = world_now_ms (); now_ms < end_ms; now_ms = world_now_ms ())
    {
      if (trouble && now_ms >= next_ms)
        {
          draw_trouble (now_ms);
          next_ms = now_ms + draw_between (500, 3500);
        }
      run_events (now_ms);
      reap_hosts (now_ms);
      if (now_ms - checked_ms >= CHECK_MS)
        {
          check_rules ();
          checked_ms = now_ms;
          if (served_ms != 0 && is_served (served_ms))
            return;
        }
      world_sleep_ms (STEP_MS);
    }
}

/* Ends all faults; those that leave go on leaving. */
static void
heal (void)
{
  const int64_t now_ms = world_now_ms ();

  for (int i = 0; i < event_count; i++)
    if (events[i].action != GONE && events[i].action != LEAVE && events[i].action != JOIN
        && events[i].action != START_HOST)
      events[i--] = events[--event_count];
  world.store = STORE_SERVES;
  memset (cut_until_ms, 0, sizeof cut_until_ms);
  for (int i = 0; i < world.instance_count; i++)
    {
      const Instance *instance = &world.instances[i];

      if (instance->deaf)
        plan (now_ms, HEAR, i);
      if (instance->dark)
        plan (now_ms, LIGHT, i);
      if (crashed[i])
        plan (now_ms, RESTORE, i);
    }
  for (int i = 0; i < world.host_count; i++)
    if (world.hosts[i].pid != 0)
      run_host_event (&(Event){ now_ms, THAW_HOST, i }, now_ms);
  world_record ("trouble  all faults have healed");
}

static void
start_world (const char *record)
{
  char services[512], name[WORLD_TEXT];
  const bool alone = draw (3) == 0;

  for (int i = 0; i < LOAD_SERVICES * (FIRST + JOINERS); i++)
    {
      Instance *instance;

      snprintf (name, sizeof name, "i-%s-%d", targets[i % 2].service, i / 2);
      instance = world_add_instance (targets[i % 2].service, name, draw_between (1, 8),
                                     draw_between (10, 100));
      instance->absent = i >= LOAD_SERVICES * FIRST;
      instance->commits_alone = alone && i % 2 == 1;
    }
  for (int i = 0; i < first_hosts + 1 && i < WORLD_HOSTS; i++)
    {
      snprintf (name, sizeof name, "front-%d", i + 1);
      world_add_host (name);
    }
  snprintf (services, sizeof services, "[" SERVICE "," SERVICE "]", "orders", 1, "stock", !alone);
  world.promote_ms = draw_between (100, 600);
  world.quiet = true;
  world_start (record);
  world_put_config (1, routes, services);
  for (int i = 0; i < first_hosts; i++)
    world_start_host (i);
  world_wait_ready ();
  load_start (targets, LOAD_SERVICES, 1, 13 * world.host_count);
  load_start_readers ();
}

int
main (int count, char **arguments)
{
  int64_t healed_ms;

  if (count < 3)
    {
      fprintf (stderr, "usage: pool-replacement SEED RECORD [HOSTS]\n");
      return 2;
    }
  seed_text = arguments[1];
  random_state = strtoull (seed_text, NULL, 10);
  first_hosts = draw_between (3, 6);
  first_hosts = count > 3 ? atoi (arguments[3]) : first_hosts;
  start_world (arguments[2]);
  run_until (world_now_ms () + SETTLE_MS, false, 0);
  run_until (world_now_ms () + TROUBLE_MS, true, 0);
  heal ();
  run_until (world_now_ms () + RECOVERY_MS, false, 0);
  healed_ms = world_now_ms ();
  run_until (healed_ms + SERVED_MS, false, healed_ms);
  if (!is_served (healed_ms))
    report_break ("RECOVER", "%d writes of orders and %d of stock were served in %d s",
                  load_served_since (0, healed_ms), load_served_since (1, healed_ms),
                  SERVED_MS / 1000);
  printf ("seed %s held: %d writes of orders and %d of stock, %d reads, %d promotions, %d hosts\n",
          seed_text, load_served_since (0, 0), load_served_since (1, 0), load_reads (),
          world.promotions, world.host_count);
  fflush (stdout);
  world_end (0);
}
