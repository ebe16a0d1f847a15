/**
 * DOC: How old a host's proof is that its configuration is the newest. The store proves it at the
 * time of an answer, and hosts pass proofs on with their age. A host without a recent proof may
 * have missed that a key was taken away, so it must not serve callers with keys any more.
 *
 * Times are milliseconds on the host's own clock, which also advances while it is suspended.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConfigProof - Zeroed before use; times are 0 for never.
 * @version: version of the latest proof. @at_ms: when that version was the newest.
 * @own_version: of this host's configuration.
 * @current_ms: when @own_version, or an older version, was last known to be the newest.
 */
typedef struct
{
  uint64_t version;
  int64_t at_ms;
  uint64_t own_version;
  int64_t current_ms;
} ConfigProof;

/** config_proof_record() - @version was the newest at @at_ms or later. */
void config_proof_record (ConfigProof *proof, uint64_t version, int64_t at_ms);

/** config_proof_set_version() - This host has configuration @version now. */
void config_proof_set_version (ConfigProof *proof, uint64_t version);

/** config_proof_age_ms() - Age of the proof for this host's configuration; INT64_MAX for none. */
int64_t config_proof_age_ms (const ConfigProof *proof, int64_t now_ms);

/** config_proof_is_current() - Whether callers with keys may be served; @limit_ms 0 for always. */
bool config_proof_is_current (const ConfigProof *proof, int64_t limit_ms, int64_t now_ms);

/**
 * config_proof_is_due() - Whether the host of @rank, counting from 0 in its failure domain, asks
 * the store for a proof. The others follow one after the other, so that a host that can't reach the
 * store is replaced before any proof expires and few hosts ask in calm.
 */
bool config_proof_is_due (const ConfigProof *proof, int64_t limit_ms, uint32_t rank,
                          int64_t now_ms);
