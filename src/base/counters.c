#include "base/counters.h"

#include <inttypes.h>

typedef struct
{
  const char *name;
  const char *type;
  const char *help;
} CounterInfo;

static const CounterInfo counter_table[COUNTER_COUNT] = {
  [COUNTER_CALLERS_ACCEPTED]
  = { "callers_accepted_total", "counter", "Caller connections accepted" },
  [COUNTER_CALLERS_OPEN] = { "callers_open", "gauge", "Caller connections open" },
  [COUNTER_PROTOCOL_ERRORS] = { "protocol_errors_total", "counter", "Malformed caller input" },
  [COUNTER_STATEMENTS] = { "statements_total", "counter", "Statements received" },
  [COUNTER_STATEMENTS_FORWARDED]
  = { "statements_forwarded_total", "counter", "Statements forwarded to an owner" },
  [COUNTER_STATEMENTS_RAN] = { "statements_ran_total", "counter", "Statements answered" },
  [COUNTER_STATEMENTS_NOT_RUN]
  = { "statements_not_run_total", "counter", "Statements rejected without running" },
  [COUNTER_STATEMENTS_IN_DOUBT]
  = { "statements_in_doubt_total", "counter", "Statements whose outcome is unknown" },
  [COUNTER_RETRIES] = { "retries_total", "counter", "Statement retries" },
  [COUNTER_RETRIES_DENIED]
  = { "retries_denied_total", "counter", "Retries denied by the retry budget" },
  [COUNTER_READS_REPLICA] = { "reads_replica_total", "counter", "Reads served by replicas" },
  [COUNTER_READS_PRIMARY] = { "reads_primary_total", "counter", "Reads served by primaries" },
  [COUNTER_READS_REMOTE] = { "reads_remote_total", "counter", "Reads served in another region" },
  [COUNTER_POSITION_SAMPLES]
  = { "position_samples_total", "counter", "Primary positions sampled for new sessions" },
  [COUNTER_QUEUE_REFUSED]
  = { "queue_refused_total", "counter", "Statements rejected by admission control" },
  [COUNTER_QUEUE_DEADLINE]
  = { "queue_deadline_total", "counter", "Statements dropped at their deadline" },
  [COUNTER_COMMITS_GATED]
  = { "commits_gated_total", "counter", "Commits held until replicated to a majority" },
  [COUNTER_COMMITS_RESOLVED] = { "commits_resolved_total", "counter",
                                 "In-doubt commits resolved by looking up their outcome" },
  [COUNTER_BACKEND_OPENED]
  = { "backend_connections_opened_total", "counter", "Backend connections opened" },
  [COUNTER_BACKEND_LOST]
  = { "backend_connections_lost_total", "counter", "Backend connections lost" },
  [COUNTER_BACKEND_OPEN] = { "backend_connections_open", "gauge", "Backend connections open" },
  [COUNTER_FAILOVERS] = { "failovers_total", "counter", "Promotions after the loss of a primary" },
  [COUNTER_SWITCHOVERS] = { "switchovers_total", "counter", "Planned promotions" },
  [COUNTER_LINKS_OPEN] = { "links_open", "gauge", "Links to other hosts open" },
  [COUNTER_LINK_FRAMES_SENT] = { "link_frames_sent_total", "counter", "Frames sent on links" },
  [COUNTER_LINK_BYTES_SENT] = { "link_bytes_sent_total", "counter", "Bytes sent on links" },
  [COUNTER_GOSSIP_SENT] = { "gossip_sent_total", "counter", "Membership datagrams sent" },
  [COUNTER_GOSSIP_BYTES_SENT] = { "gossip_bytes_sent_total", "counter", "Membership bytes sent" },
  [COUNTER_CONFIG_VERSION] = { "config_version", "gauge", "Active configuration version" },
  [COUNTER_CONFIG_POLLS]
  = { "config_polls_total", "counter", "Store polls for a newer configuration" },
  [COUNTER_CONFIG_FETCHED] = { "config_fetched_total", "counter", "Configurations fetched" },
  [COUNTER_MEMBERS_ALIVE] = { "members_alive", "gauge", "Hosts considered alive" },
};

const char *
counter_name (CounterId id)
{
  return counter_table[id].name;
}

void
counters_print (Counters *counters, GString *out)
{
  for (int i = 0; i < COUNTER_COUNT; i++)
    {
      const CounterInfo *info = &counter_table[i];

      g_string_append_printf (out, "# HELP peridotstep_%s %s\n# TYPE peridotstep_%s %s\n",
                              info->name, info->help, info->name, info->type);
      g_string_append_printf (out, "peridotstep_%s %" PRIu64 "\n", info->name,
                              counter_get (counters, (CounterId) i));
    }
}
