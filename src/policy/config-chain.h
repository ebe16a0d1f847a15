/**
 * DOC: A daemon's place in the chain of configuration versions: which version it holds,
 * where it looks for newer ones, and whether it may still admit work.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ConfigChainOptions - Limits.
 * @poll_interval_ms: store poll interval of a polling daemon.
 * @pull_retry_ms: wait before another peer is asked.
 * @isolated_after_ms: time out of reach of both the store and most peers after which no
 *   work is admitted.
 */
typedef struct
{
  int64_t poll_interval_ms;
  int64_t pull_retry_ms;
  int64_t isolated_after_ms;
} ConfigChainOptions;

/** struct ConfigChain - State; times in milliseconds. */
typedef struct
{
  ConfigChainOptions options;
  uint64_t version;
  uint64_t known_version;
  bool polling;
  bool poll_outstanding;
  int64_t poll_next_ms;
  int64_t pull_next_ms;
  int64_t store_heard_ms;
  int64_t peers_heard_ms;
} ConfigChain;

/** enum ConfigAction - What to do next. */
typedef enum
{
  CONFIG_IDLE,
  CONFIG_POLL_STORE, /* ask the store for its greatest version */
  CONFIG_PULL_PEER   /* ask a peer that knows a greater version for it */
} ConfigAction;

/** config_chain_init() - Nothing held; isolation counts from @now_ms. */
void config_chain_init (ConfigChain *chain, const ConfigChainOptions *options, int64_t now_ms);

/** config_chain_set_polling() - Whether this daemon is one of its domain's few pollers. */
void config_chain_set_polling (ConfigChain *chain, bool polling);

/** config_chain_heard() - A peer or the store named @version. */
void config_chain_heard (ConfigChain *chain, uint64_t version);

/** config_chain_store() - A store poll ended; @answered is false for errors. */
void config_chain_store (ConfigChain *chain, bool answered, int64_t now_ms);

/** config_chain_peers() - Most peers are reachable at @now_ms. */
void config_chain_peers (ConfigChain *chain, int64_t now_ms);

/** config_chain_accept() - Takes @version in force; false when it would go back. */
bool config_chain_accept (ConfigChain *chain, uint64_t version);

/** config_chain_next() - What to do at @now_ms. */
ConfigAction config_chain_next (ConfigChain *chain, int64_t now_ms);

/** config_chain_admits() - Whether work may be admitted at @now_ms. */
bool config_chain_admits (const ConfigChain *chain, int64_t now_ms);
