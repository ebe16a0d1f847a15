#include "standin/control-functions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "adapter/pgwire.h"
#include "base/clock.h"

#define STATUS_CALL "SELECT * FROM peridotstep_status("
#define NAME_CHARS 64

static void
put_single_row (GByteArray *out, const char *const *names, const char *const *values,
                uint16_t count)
{
  pgwire_put_text_columns (out, names, count);
  pgwire_put_text_row (out, values, count);
  pgwire_put_complete (out, "SELECT 1");
}

bool
control_functions_read_status (const char *body, int64_t now_ms, StatusWait *wait)
{
  unsigned long long term = 0, position = 0;
  long wait_ms = 0;
  char kind[16] = "";

  if (!g_str_has_prefix (body, STATUS_CALL))
    return false;
  if (sscanf (body + strlen (STATUS_CALL), "%llu, %llu, %ld, '%15[a-z]'", &term, &position,
              &wait_ms, kind)
      != 4)
    wait_ms = 0;
  wait->position = (SessionToken){ term, position };
  wait->applied = strcmp (kind, "applied") == 0;
  wait->until_ms = now_ms + wait_ms;
  return true;
}

bool
control_functions_status_due (const ControlTarget *target, const StatusWait *wait, int64_t now_ms)
{
  const InstanceStatus status = database_group_status (target->group, target->instance);

  return now_ms >= wait->until_ms || status.term > wait->position.term
         || session_token_covers (wait->applied ? status.applied : status.received, wait->position);
}

void
control_functions_put_status (const ControlTarget *target, GByteArray *out)
{
  static const char *const names[]
      = { "role", "term", "received", "applied", "heard_primary_ms", "following" };
  static const char *const roles[]
      = { [ROLE_REPLICA] = "replica", [ROLE_PRIMARY] = "primary", [ROLE_FENCED] = "fenced" };
  const InstanceStatus status = database_group_status (target->group, target->instance);
  char term[24], heard[24], received[SESSION_TOKEN_TEXT_BYTES], applied[SESSION_TOKEN_TEXT_BYTES];
  const char *values[] = { roles[status.role], term, received, applied, heard, "" };

  g_snprintf (term, sizeof term, "%" G_GUINT64_FORMAT, status.term);
  g_snprintf (heard, sizeof heard, "%" G_GINT64_FORMAT, status.heard_primary_ms);
  session_token_print (status.received, received);
  session_token_print (status.applied, applied);
  if (status.following >= 0)
    values[5] = target->emulation->instances[status.following].name;
  put_single_row (out, names, values, G_N_ELEMENTS (values));
}

static void
put_accepted (GByteArray *out, bool accepted)
{
  static const char *const names[] = { "accepted" };
  const char *values[] = { accepted ? "t" : "f" };

  put_single_row (out, names, values, 1);
}

static void
advance_term (const ControlTarget *target, const char *arguments, GByteArray *out)
{
  put_accepted (out, group_log_advance_term (database_group_log (target->group), target->instance,
                                             strtoull (arguments, NULL, 10)));
}

static void
promote (const ControlTarget *target, const char *arguments, GByteArray *out)
{
  put_accepted (out, group_log_promote (database_group_log (target->group), target->instance,
                                        strtoull (arguments, NULL, 10), clock_now_ms ()));
}

static void
follow (const ControlTarget *target, const char *arguments, GByteArray *out)
{
  char name[NAME_CHARS] = "";
  unsigned long long term = 0;
  int primary;

  if (sscanf (arguments, "%llu, '%63[^']'", &term, name) != 2)
    name[0] = '\0';
  primary = database_group_find (target->group, name);
  put_accepted (out, primary >= 0
                         && group_log_follow (database_group_log (target->group), target->instance,
                                              term, (uint32_t) primary));
}

static void
resolve (const ControlTarget *target, const char *arguments, GByteArray *out)
{
  static const char *const names[] = { "outcome", "position" };
  char id[NAME_CHARS] = "";
  char text[SESSION_TOKEN_TEXT_BYTES];
  const char *values[2];
  SessionToken token;
  bool committed;

  if (sscanf (arguments, "'%63[^']'", id) != 1
      || !group_log_resolve (database_group_log (target->group), target->instance, id,
                             clock_now_ms (), &committed, &token))
    {
      pgwire_put_error (out, "ERROR", "25006", "this instance is not the primary", NULL);
      return;
    }
  session_token_print (token, text);
  values[0] = committed ? "committed" : "aborted";
  values[1] = text;
  put_single_row (out, names, values, 2);
}

bool
control_functions_run (const ControlTarget *target, const char *body, GByteArray *out)
{
  static const struct
  {
    const char *call;
    void (*run) (const ControlTarget *target, const char *arguments, GByteArray *out);
  } functions[] = {
    { "SELECT peridotstep_advance_term(", advance_term },
    { "SELECT peridotstep_promote(", promote },
    { "SELECT peridotstep_follow(", follow },
    { "SELECT * FROM peridotstep_resolve(", resolve },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (functions); i++)
    if (g_str_has_prefix (body, functions[i].call))
      {
        functions[i].run (target, body + strlen (functions[i].call), out);
        return true;
      }
  return false;
}
