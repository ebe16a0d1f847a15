#include "policy/config-proof.h"

#include "policy/reader-order.h"

/* The first host asks for a proof at this part of the limit. */
#define FIRST_DIVISOR 2
/* What is left of the limit after the last host has asked: for the call, and to apply the change.
 */
#define CALL_DIVISOR 8
/* The rest of the time until the first host asks is for passing the proof on. */
#define WATCH_DIVISOR 4

static int64_t
max_i64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

const char *
config_source_name (ConfigSource source)
{
  static const char *const names[CONFIG_SOURCE_COUNT] = {
    [CONFIG_SOURCE_NONE] = "none",   [CONFIG_SOURCE_READ] = "read",
    [CONFIG_SOURCE_WATCH] = "watch", [CONFIG_SOURCE_PROOF] = "proof",
    [CONFIG_SOURCE_FETCH] = "fetch", [CONFIG_SOURCE_SUPERSEDED] = "superseded",
    [CONFIG_SOURCE_PEER] = "peer",
  };

  return names[source];
}

void
config_proof_record (ConfigProof *proof, uint64_t version, int64_t at_ms)
{
  config_proof_hear (proof, version, at_ms);
  if (version <= proof->own_version)
    proof->current_ms = max_i64 (proof->current_ms, at_ms);
  if (at_ms <= proof->at_ms)
    return;
  proof->version = version;
  proof->at_ms = at_ms;
}

void
config_proof_set_version (ConfigProof *proof, uint64_t version, ConfigSource source)
{
  if (version <= proof->own_version)
    return;
  proof->own_version = version;
  proof->source = source;
  if (proof->version <= version)
    proof->current_ms = max_i64 (proof->current_ms, proof->at_ms);
}

void
config_proof_hear (ConfigProof *proof, uint64_t version, int64_t at_ms)
{
  if (version < proof->heard_version)
    return;
  proof->heard_ms = version == proof->heard_version ? max_i64 (proof->heard_ms, at_ms) : at_ms;
  proof->heard_version = version;
}

/* The store's later word goes before a host's: it may have come back from a backup. */
bool
config_proof_is_superseded (const ConfigProof *proof)
{
  return proof->heard_version > proof->own_version && proof->heard_ms >= proof->current_ms;
}

bool
config_proof_covers_absence (const ConfigProof *proof, int64_t limit_ms, int64_t now_ms)
{
  return !config_proof_is_superseded (proof) && config_proof_is_current (proof, limit_ms, now_ms);
}

int64_t
config_proof_age_ms (const ConfigProof *proof, int64_t now_ms)
{
  return proof->current_ms == 0 ? INT64_MAX : now_ms - proof->current_ms;
}

bool
config_proof_is_current (const ConfigProof *proof, int64_t limit_ms, int64_t now_ms)
{
  return limit_ms == 0 || config_proof_age_ms (proof, now_ms) < limit_ms;
}

int64_t
config_proof_due_ms (const ConfigProof *proof, int64_t limit_ms, uint32_t rank, int64_t now_ms)
{
  const int64_t due_ms = reader_order_takeover_ms (limit_ms / FIRST_DIVISOR,
                                                   limit_ms - limit_ms / CALL_DIVISOR, rank);

  if (limit_ms == 0)
    return INT64_MAX;
  return max_i64 (0, max_i64 (proof->current_ms, proof->started_ms) + due_ms - now_ms);
}

int64_t
config_proof_watch_ms (int64_t limit_ms)
{
  return limit_ms / WATCH_DIVISOR;
}
