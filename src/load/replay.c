#include "load/replay.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "policy/admission-queue.h"
#include "policy/replica-choice.h"
#include "policy/request-failure.h"

#define LINE_BYTES 4096
#define DIFFERENCES_PRINTED 20

/* A queue of the trace and the items waiting in it. */
typedef struct
{
  AdmissionQueue *policy;
  GHashTable *items; /* name -> AdmissionItem */
} ReplayQueue;

typedef struct
{
  FILE *out;
  uint64_t line;
  GHashTable *queues; /* id -> ReplayQueue */
  ReplayResult result;
} Replay;

static void
replay_queue_free (void *data)
{
  ReplayQueue *queue = data;

  admission_queue_free (queue->policy);
  g_hash_table_destroy (queue->items);
  g_free (queue);
}

static void
compare (Replay *replay, const char *what, int64_t decided, int64_t recorded)
{
  if (decided == recorded)
    return;
  replay->result.differing++;
  if (replay->result.differing <= DIFFERENCES_PRINTED)
    fprintf (replay->out, "line %" PRIu64 ": %s: decided %" PRId64 ", recorded %" PRId64 "\n",
             replay->line, what, decided, recorded);
}

/* Parses the next number of @text and advances @text; false if there is none. */
static bool
parse_number (char **text, int64_t *number)
{
  char *end;

  *number = (int64_t) g_ascii_strtoull (*text, &end, 10);
  if (end == *text)
    *number = g_ascii_strtoll (*text, &end, 10);
  if (end == *text)
    return false;
  *text = end;
  return true;
}

static bool
parse_numbers (char **text, int64_t *numbers, int count)
{
  for (int i = 0; i < count; i++)
    if (!parse_number (text, &numbers[i]))
      return false;
  return true;
}

/* Parses the recorded decision, which follows "= ". */
static bool
parse_recorded (const char *text, int64_t *recorded)
{
  const char *equals = strstr (text, "= ");
  char *at;

  if (equals == NULL)
    return false;
  at = (char *) equals + 2;
  *recorded = g_ascii_strtoll (at, NULL, 10);
  return true;
}

static bool
parse_view (char **text, InstanceView *view)
{
  int64_t n[11];

  if (!parse_numbers (text, n, G_N_ELEMENTS (n)))
    return false;
  view->distance = (Distance) n[0];
  view->leaving = n[1] != 0;
  view->owned = n[2] != 0;
  view->primary = n[3] != 0;
  view->term = (uint64_t) n[4];
  view->applied = (SessionToken){ (uint64_t) n[5], (uint64_t) n[6] };
  view->age_ms = n[7];
  view->wait_us = n[8];
  view->seen_ms = n[9];
  view->refused_until_ms = n[10];
  return true;
}

static bool
replay_choice (Replay *replay, char *text)
{
  InstanceView views[GROUP_INSTANCES_MAX] = { 0 };
  int64_t n[7], recorded;
  ReadRequirement requirement;
  int chosen;

  if (!parse_numbers (&text, n, G_N_ELEMENTS (n)) || n[6] < 0 || n[6] > GROUP_INSTANCES_MAX)
    return false;
  for (int64_t i = 0; i < n[6]; i++)
    if (!parse_view (&text, &views[i]))
      return false;
  if (!parse_recorded (text, &recorded))
    return false;
  requirement = (ReadRequirement){ { (uint64_t) n[1], (uint64_t) n[2] }, n[3] };
  if (n[0] != 0)
    chosen = replica_choice_read (views, (uint32_t) n[6], &requirement, (uint32_t) n[4], n[5]);
  else
    chosen = replica_choice_write (views, (uint32_t) n[6], (uint32_t) n[4], n[5]);
  replay->result.choices++;
  compare (replay, "choice", chosen, recorded);
  return true;
}

static bool
replay_failure_action (Replay *replay, char *text)
{
  int64_t n[8], recorded;
  RequestState state;

  if (!parse_numbers (&text, n, G_N_ELEMENTS (n)) || !parse_recorded (text, &recorded)
      || n[0] >= REQUEST_KIND_COUNT || n[1] >= REQUEST_STEP_COUNT || n[7] >= FAILURE_KIND_COUNT)
    return false;
  state = (RequestState){ .kind = (RequestKind) n[0],
                          .step = (RequestStep) n[1],
                          .idempotent = n[2] != 0,
                          .first_in_transaction = n[3] != 0,
                          .retryable = n[4] != 0,
                          .time_left = n[5] != 0,
                          .unresolved_attempts = (unsigned int) n[6] };
  replay->result.failure_actions++;
  compare (replay, "fate", request_failure_action (&state, (FailureKind) n[7]), recorded);
  return true;
}

static bool
parse_options (char *text, AdmissionOptions *options)
{
  int64_t n[5];

  if (!parse_numbers (&text, n, G_N_ELEMENTS (n)) || n[0] < 1 || n[1] < 0 || n[1] >= n[0])
    return false;
  *options = (AdmissionOptions){ .slots = (uint32_t) n[0],
                                 .reserved_slots = (uint32_t) n[1],
                                 .queue_limit = (uint32_t) n[4] };
  options->floor_percent[PRIORITY_NORMAL] = (uint32_t) n[2];
  options->floor_percent[PRIORITY_BACKGROUND] = (uint32_t) n[3];
  return true;
}

static bool
queue_new (Replay *replay, int64_t id, char *text)
{
  AdmissionOptions options;
  ReplayQueue *queue;

  if (!parse_options (text, &options))
    return false;
  queue = g_new0 (ReplayQueue, 1);
  queue->policy = admission_queue_new (&options);
  queue->items = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_hash_table_replace (replay->queues, g_memdup2 (&id, sizeof id), queue);
  return true;
}

static bool
queue_push (Replay *replay, ReplayQueue *queue, char *text)
{
  int64_t n[6], recorded;
  AdmissionItem *item;
  bool accepted;

  if (!parse_numbers (&text, n, G_N_ELEMENTS (n)) || !parse_recorded (text, &recorded)
      || n[1] >= PRIORITY_COUNT)
    return false;
  item = g_new0 (AdmissionItem, 1);
  item->name = (uint64_t) n[0];
  item->priority = (Priority) n[1];
  item->front = n[2] != 0;
  item->source = (uint64_t) n[3];
  item->deadline_ms = n[4];
  accepted = admission_queue_push (queue->policy, item, n[5]);
  compare (replay, "push", accepted, recorded);
  if (accepted)
    g_hash_table_replace (queue->items, &item->name, item);
  else
    g_free (item);
  return true;
}

/* Compares the name of the item that left the queue with the recorded one, and frees the item. */
static void
compare_item (Replay *replay, ReplayQueue *queue, const char *what, AdmissionItem *item,
              int64_t recorded)
{
  uint64_t name = item == NULL ? 0 : item->name;

  compare (replay, what, (int64_t) name, recorded);
  if (item != NULL)
    g_hash_table_remove (queue->items, &name);
}

static bool
queue_event (Replay *replay, ReplayQueue *queue, const char *event, char *text)
{
  int64_t n[2], recorded = 0;
  bool has_recorded = parse_recorded (text, &recorded);

  if (strcmp (event, "push") == 0)
    return queue_push (replay, queue, text);
  if (strcmp (event, "front") == 0 && has_recorded)
    {
      compare_item (replay, queue, event, admission_queue_next_front (queue->policy), recorded);
      return true;
    }
  if (!parse_number (&text, &n[0]))
    return false;
  if (strcmp (event, "next") == 0 && has_recorded && parse_number (&text, &n[1]))
    compare_item (replay, queue, event, admission_queue_next (queue->policy, n[0] != 0, n[1]),
                  recorded);
  else if (strcmp (event, "expire") == 0 && has_recorded)
    compare_item (replay, queue, event, admission_queue_expire (queue->policy, n[0]), recorded);
  else if (strcmp (event, "finish") == 0 && n[0] < PRIORITY_COUNT && parse_number (&text, &n[1]))
    admission_queue_finish (queue->policy, (Priority) n[0], n[1]);
  else if (strcmp (event, "abort") == 0 && n[0] < PRIORITY_COUNT)
    admission_queue_abort (queue->policy, (Priority) n[0]);
  else if (strcmp (event, "remove") == 0)
    {
      AdmissionItem *item = g_hash_table_lookup (queue->items, &n[0]);

      compare (replay, event, item != NULL, 1);
      if (item != NULL)
        admission_queue_remove (queue->policy, item);
      g_hash_table_remove (queue->items, &n[0]);
    }
  else
    return false;
  return true;
}

static bool
replay_queue (Replay *replay, char *text)
{
  int64_t id;
  char event[16];
  int consumed = 0;
  ReplayQueue *queue;
  AdmissionOptions options;

  if (!parse_number (&text, &id) || sscanf (text, " %15s%n", event, &consumed) != 1)
    return false;
  text += consumed;
  replay->result.queue_events++;
  if (strcmp (event, "new") == 0)
    return queue_new (replay, id, text);
  queue = g_hash_table_lookup (replay->queues, &id);
  if (queue == NULL)
    return false;
  if (strcmp (event, "configure") != 0)
    return queue_event (replay, queue, event, text);
  if (!parse_options (text, &options))
    return false;
  admission_queue_configure (queue->policy, &options);
  return true;
}

static bool
replay_line (Replay *replay, char *line)
{
  if (line[0] == '#' || line[0] == '\n')
    return true;
  if (g_str_has_prefix (line, "choice "))
    return replay_choice (replay, line + strlen ("choice "));
  if (g_str_has_prefix (line, "fate "))
    return replay_failure_action (replay, line + strlen ("fate "));
  if (g_str_has_prefix (line, "queue "))
    return replay_queue (replay, line + strlen ("queue "));
  return false;
}

ReplayResult
replay_run (FILE *in, FILE *out)
{
  Replay replay = { .out = out };
  char line[LINE_BYTES];

  replay.queues = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, replay_queue_free);
  while (fgets (line, sizeof line, in) != NULL)
    {
      replay.line++;
      if (replay_line (&replay, line))
        continue;
      replay.result.malformed++;
      fprintf (out, "line %" PRIu64 ": malformed\n", replay.line);
    }
  g_hash_table_destroy (replay.queues);
  return replay.result;
}
