#include "policy/acknowledged-bound.h"

#include <glib.h>

struct AcknowledgedBound
{
  int64_t since_ms; /* only a position asked for later covers the ended processes */
  SessionToken committed;
  GHashTable *lost_hosts;
};

AcknowledgedBound *
acknowledged_bound_new (int64_t now_ms)
{
  AcknowledgedBound *bound = g_new0 (AcknowledgedBound, 1);

  bound->since_ms = now_ms;
  bound->lost_hosts = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return bound;
}

void
acknowledged_bound_free (AcknowledgedBound *bound)
{
  g_hash_table_destroy (bound->lost_hosts);
  g_free (bound);
}

void
acknowledged_bound_host_started (AcknowledgedBound *bound, uint64_t host, int64_t now_ms)
{
  bound->since_ms = now_ms;
  g_hash_table_remove (bound->lost_hosts, &host);
}

void
acknowledged_bound_host_left (AcknowledgedBound *bound, SessionToken committed, bool final,
                              int64_t now_ms)
{
  session_token_advance (&bound->committed, committed);
  if (!final)
    bound->since_ms = now_ms;
}

void
acknowledged_bound_host_lost (AcknowledgedBound *bound, uint64_t host, SessionToken committed)
{
  session_token_advance (&bound->committed, committed);
  g_hash_table_add (bound->lost_hosts, g_memdup2 (&host, sizeof host));
}

SessionToken
acknowledged_bound_committed (const AcknowledgedBound *bound)
{
  return bound->committed;
}

bool
acknowledged_bound_is_covered (const AcknowledgedBound *bound, int64_t position_ms)
{
  return position_ms > 0 && position_ms >= bound->since_ms
         && g_hash_table_size (bound->lost_hosts) == 0;
}

int64_t
acknowledged_bound_since_ms (const AcknowledgedBound *bound)
{
  return bound->since_ms;
}
