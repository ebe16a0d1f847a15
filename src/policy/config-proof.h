/**
 * DOC: How old a host's proof is that its configuration is the newest. The store proves it at the
 * time of an answer, and hosts pass proofs on with their age. A host without a recent proof may
 * have missed a change: it asks the store, in time for the change to be in force within the limit,
 * and it must not serve callers with keys any more, one of which may have been taken away.
 *
 * Times are milliseconds on the host's own clock, which also advances while it is suspended.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/** enum ConfigSource - How a host got its configuration. */
typedef enum
{
  CONFIG_SOURCE_NONE,
  CONFIG_SOURCE_READ,       /* the store was read when this host started, or lost its position */
  CONFIG_SOURCE_WATCH,      /* a long poll of the store */
  CONFIG_SOURCE_PROOF,      /* a call for a proof */
  CONFIG_SOURCE_FETCH,      /* the store was read because a peer has a newer version */
  CONFIG_SOURCE_SUPERSEDED, /* a call to the store that another one has replaced */
  CONFIG_SOURCE_PEER,       /* another host's snapshot */
  CONFIG_SOURCE_COUNT
} ConfigSource;

/** config_source_name() - Name in log lines. */
const char *config_source_name (ConfigSource source);

/**
 * struct ConfigProof - Zeroed before use; times are 0 for never.
 * @version: version of the latest proof. @at_ms: when that version was the newest.
 * @own_version: of this host's configuration. @source: how it came.
 * @heard_version: greatest version that any host is known to have. @heard_ms: when that was last
 * heard.
 * @current_ms: when @own_version, or an older version, was last known to be the newest.
 * @started_ms: when the process began to read the configuration.
 */
typedef struct
{
  uint64_t version;
  int64_t at_ms;
  uint64_t own_version;
  uint64_t heard_version;
  int64_t heard_ms;
  ConfigSource source;
  int64_t current_ms;
  int64_t started_ms;
} ConfigProof;

/** config_proof_record() - @version was the newest at @at_ms or later. */
void config_proof_record (ConfigProof *proof, uint64_t version, int64_t at_ms);

/** config_proof_set_version() - This host has configuration @version now, which came by @source. */
void config_proof_set_version (ConfigProof *proof, uint64_t version, ConfigSource source);

/** config_proof_hear() - Another host had configuration @version at @at_ms. */
void config_proof_hear (ConfigProof *proof, uint64_t version, int64_t at_ms);

/** config_proof_is_superseded() - Whether a host has a newer configuration than this one. */
bool config_proof_is_superseded (const ConfigProof *proof);

/**
 * config_proof_covers_absence() - Whether callers may be told for good that there is no such thing
 * as this host's configuration lacks. Otherwise a change that adds it may have been in force for
 * longer than @limit_ms, or is known to be; @limit_ms 0 for no limit.
 */
bool config_proof_covers_absence (const ConfigProof *proof, int64_t limit_ms, int64_t now_ms);

/** config_proof_age_ms() - Age of the proof for this host's configuration; INT64_MAX for none. */
int64_t config_proof_age_ms (const ConfigProof *proof, int64_t now_ms);

/** config_proof_is_current() - Whether callers with keys may be served; @limit_ms 0 for always. */
bool config_proof_is_current (const ConfigProof *proof, int64_t limit_ms, int64_t now_ms);

/**
 * config_proof_due_ms() - Time until the host of @rank, see reader-order.h, asks the store for a
 * proof, so that a change is in force within @limit_ms. 0 if the proof is due; INT64_MAX without a
 * limit.
 */
int64_t config_proof_due_ms (const ConfigProof *proof, int64_t limit_ms, uint32_t rank,
                             int64_t now_ms);

/**
 * config_proof_watch_ms() - Wait of a long poll whose answers renew the proofs of a group so often
 * that none becomes due.
 */
int64_t config_proof_watch_ms (int64_t limit_ms);
