/**
 * DOC: Interface to the platform: its store, which holds the configuration, the instance list and
 * the host list, and its promote call. An adapter implements it.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "pool/catalog.h"

/** enum DirectoryResult - Outcome of a call to the platform. */
typedef enum
{
  DIRECTORY_OK,
  DIRECTORY_CONFLICT,  /* refused: a precondition of the call does not hold */
  DIRECTORY_REFUSED,   /* refused: nothing was done */
  DIRECTORY_COMPACTED, /* the store no longer keeps the changes after the given revision */
  DIRECTORY_UNKNOWN    /* no answer; it may have been done */
} DirectoryResult;

/** directory_result_name() - Name of @result in log lines. */
const char *directory_result_name (DirectoryResult result);

/**
 * struct StoreAnswer - What every answer of the store tells.
 * @era: rises when the store comes back from a backup, without the latest changes; 0 if the answer
 *   does not tell.
 * @revision: of the store at the time of the answer; issued again in a later era.
 * @time_ms: the store's steady clock at that time; negative if the answer does not tell.
 */
typedef struct
{
  DirectoryResult result;
  uint64_t era;
  uint64_t revision;
  int64_t time_ms;
} StoreAnswer;

/**
 * ConfigurationCallback - @catalog is %NULL if there is none or no newer one; the receiver takes a
 * reference to keep it. The revision of @answer is the one to watch from.
 */
typedef void (*ConfigurationCallback) (void *data, const StoreAnswer *answer, Catalog *catalog);

/** InstancesCallback - @infos holds &struct InstanceInfo; unreadable entries are skipped. */
typedef void (*InstancesCallback) (void *data, const StoreAnswer *answer, const GArray *infos);

/**
 * struct HostEntry - A host in the host list.
 * @address: where other hosts reach it.
 * @failure_domain: empty if the entry does not tell.
 */
typedef struct
{
  char id[CATALOG_NAME_BYTES];
  char address[CATALOG_NAME_BYTES];
  uint16_t port;
  char failure_domain[CATALOG_NAME_BYTES];
} HostEntry;

/** HostsCallback - @hosts holds &struct HostEntry. */
typedef void (*HostsCallback) (void *data, const StoreAnswer *answer, const GArray *hosts);

/** StoreCallback - A write to the store ended with @answer. */
typedef void (*StoreCallback) (void *data, const StoreAnswer *answer);

/**
 * LimitHolderCallback - Writing the row of the limit holder ended with @answer. @version is the
 * row's after a success or a conflict, and @holder is in it after a conflict; 0 for no row.
 */
typedef void (*LimitHolderCallback) (void *data, const StoreAnswer *answer, uint64_t version,
                                     uint64_t holder);

/**
 * LogHoldersCallback - Reading or writing the record of a service's log holders ended with @answer.
 * @version is the record's after a read, a success or a conflict; 0 for no record. @entries
 * holds those of the record, uint64_t, after a read or a conflict; %NULL if it is unreadable.
 */
typedef void (*LogHoldersCallback) (void *data, const StoreAnswer *answer, uint64_t version,
                                    const GArray *entries);

/** DirectoryCallback - The call ended with @result. */
typedef void (*DirectoryCallback) (void *data, DirectoryResult result);

/**
 * struct PromoteRequest - Makes @instance the primary of @service.
 * @holder: this host, as the lease holder.
 * @fencing_token: greater than that of any earlier holder.
 */
typedef struct
{
  const char *service;
  const char *instance;
  const char *holder;
  uint64_t fencing_token;
  int64_t timeout_ms;
} PromoteRequest;

/** struct Directory - Asynchronous calls; @self is passed to each of them. */
typedef struct
{
  void *self;
  void (*get_configuration) (void *self, int64_t timeout_ms, ConfigurationCallback done,
                             void *data);
  void (*watch_configuration) (void *self, uint64_t revision, int64_t wait_ms,
                               ConfigurationCallback done, void *data);
  void (*get_instances) (void *self, int64_t timeout_ms, InstancesCallback done, void *data);
  void (*get_hosts) (void *self, int64_t timeout_ms, HostsCallback done, void *data);
  void (*put_host) (void *self, const HostEntry *host, bool unregister, int64_t timeout_ms,
                    StoreCallback done, void *data);
  void (*write_limit_holder) (void *self, uint64_t version, uint64_t holder, int64_t timeout_ms,
                              LimitHolderCallback done, void *data);
  void (*read_log_holders) (void *self, const char *service, int64_t timeout_ms,
                            LogHoldersCallback done, void *data);
  void (*write_log_holders) (void *self, const char *service, uint64_t version,
                             const GArray *entries, int64_t timeout_ms, LogHoldersCallback done,
                             void *data);
  void (*promote) (void *self, const PromoteRequest *request, DirectoryCallback done, void *data);
} Directory;
