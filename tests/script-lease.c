/**
 * DOC: Whether a host may rely on the primary. Instances are named by one letter; the time of an
 * answer is that of its question plus ANSWER_MS unless the script says when it came.
 */
#include <inttypes.h>
#include <string.h>

#include "policy/primary-lease.h"
#include "script.h"

#define LEASE_MS 800
#define ANSWER_MS 10

static void *
start (void)
{
  PrimaryLease *lease = g_new0 (PrimaryLease, 1);

  primary_lease_init (lease, LEASE_MS);
  return lease;
}

static guint32
key_of (char **words, guint index)
{
  return (guint32) *script_word (words, index);
}

/* The time after the word "at", or @asked_ms plus ANSWER_MS. */
static gint64
answer_ms (char **words, gint64 asked_ms)
{
  for (guint i = 0; words[i] != NULL; i++)
    if (strcmp (words[i], "at") == 0)
      return script_number (words, i + 1);
  return asked_ms + ANSWER_MS;
}

/* TIME NAME leads|follows|paused TERM [at TIME] */
static void
record_report (PrimaryLease *lease, char **words)
{
  const gint64 asked_ms = script_number (words, 1);
  const char *state = script_word (words, 3);
  const guint64 term = (guint64) script_number (words, 4);
  const InstanceReport report = {
    .primary = strcmp (state, "leads") == 0,
    .term = term,
    .pause_token = strcmp (state, "paused") == 0 ? (term + 1) << 32 : 0,
  };

  primary_lease_record_report (lease, key_of (words, 2), &report, asked_ms,
                               answer_ms (words, asked_ms));
}

/*
 * list NAME | unlist NAME
 * primary NAME TERM
 * term TERM: a heartbeat names it
 * fence TIME | unfence TIME
 * report TIME NAME leads|follows|paused TERM [at TIME]
 * commit TIME [at TIME] | read-only TIME
 * proof TERM TIME: a host passes on when its evidence was asked for
 * relies TIME
 */
static void
command (void *data, char **words, GString *out)
{
  PrimaryLease *lease = data;
  const char *verb = words[0];
  const gint64 time_ms = script_number (words, 1);

  if (strcmp (verb, "list") == 0)
    primary_lease_add_member (lease, key_of (words, 1));
  else if (strcmp (verb, "unlist") == 0)
    primary_lease_remove_member (lease, key_of (words, 1));
  else if (strcmp (verb, "primary") == 0)
    primary_lease_set_primary (lease, key_of (words, 1), (guint64) script_number (words, 2));
  else if (strcmp (verb, "term") == 0)
    primary_lease_hear_term (lease, (guint64) time_ms);
  else if (strcmp (verb, "fence") == 0 || strcmp (verb, "unfence") == 0)
    primary_lease_set_fenced (lease, *verb == 'f', time_ms);
  else if (strcmp (verb, "report") == 0)
    record_report (lease, words);
  else if (strcmp (verb, "commit") == 0)
    primary_lease_record_commit (lease, time_ms, answer_ms (words, time_ms));
  else if (strcmp (verb, "read-only") == 0)
    primary_lease_record_read_only (lease, time_ms);
  else if (strcmp (verb, "proof") == 0)
    primary_lease_record_proof (lease, (guint64) time_ms, script_number (words, 2));
  else if (strcmp (verb, "relies") == 0)
    g_string_append (out, primary_lease_is_valid (lease, time_ms) ? "yes\n" : "no\n");
  else
    g_error ("no such command: %s", verb);
}

const ScriptKind script_lease = { "lease", start, command, g_free };
