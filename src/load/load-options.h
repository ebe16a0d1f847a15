/**
 * DOC: Parameters of a load run: hosts, mix of statement classes, flood, seed.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define LOAD_CLASSES_MAX 12
#define LOAD_HOSTS_MAX 64
#define LOAD_NAME_BYTES 64

/** enum LoadKind - What the statements of a class do. */
typedef enum
{
  LOAD_READ,             /* reads back the session's last write */
  LOAD_WRITE,            /* inserts one row */
  LOAD_IDEMPOTENT_WRITE, /* inserts one row unless it exists */
  LOAD_TRANSACTION       /* inserts two rows in a transaction */
} LoadKind;

/** struct LoadClass - A class of the mix; a flood raises its rate between two points in time. */
typedef struct
{
  char name[LOAD_NAME_BYTES];
  LoadKind kind;
  double rate_per_s;
  double flood_rate_per_s;
  int64_t flood_from_ms;
  int64_t flood_to_ms;
} LoadClass;

/** struct LoadHost - Address of an entry host. */
typedef struct
{
  char address[LOAD_NAME_BYTES];
  uint16_t port;
} LoadHost;

/**
 * struct LoadOptions - Parameters of a run.
 * @sessions_max: connection limit, for the flood and for the other classes each.
 * @roam_percent: share of writes after which the session moves to another host.
 * @open_all: open all connections before the first statement.
 * @write_class: statement class of the set-up and of the final check.
 */
typedef struct
{
  LoadHost hosts[LOAD_HOSTS_MAX];
  uint32_t host_count;
  char service[LOAD_NAME_BYTES];
  char write_class[LOAD_NAME_BYTES];
  LoadClass classes[LOAD_CLASSES_MAX];
  uint32_t class_count;
  uint64_t seed;
  int64_t duration_ms;
  uint32_t sessions_max;
  uint32_t roam_percent;
  bool open_all;
} LoadOptions;

/**
 * load_options_hosts() - Parses "IP:PORT[,IP:PORT...]"; returns %NULL, or an error message to be
 * freed with g_free().
 */
char *load_options_hosts (LoadOptions *options, const char *text);

/**
 * load_options_mix() - Parses "CLASS:KIND:RATE[,...]", where KIND is read, write, idem or txn and
 * RATE is per second; returns as load_options_hosts().
 */
char *load_options_mix (LoadOptions *options, const char *text);

/**
 * load_options_flood() - Parses "CLASS:RATE:FROM_S:TO_S[,...]" for classes of the mix; returns as
 * load_options_hosts().
 */
char *load_options_flood (LoadOptions *options, const char *text);

/** load_class_rate() - Arrivals per second, @at_ms after the start. */
double load_class_rate (const LoadClass *class_entry, int64_t at_ms);
