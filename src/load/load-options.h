/**
 * DOC: What a load run does: hosts, mix of classes, flood, seed.
 */
#pragma once

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define LOAD_CLASSES_MAX 12
#define LOAD_HOSTS_MAX 64
#define LOAD_NAME_BYTES 64

/** enum LoadKind - What a class's statements do. */
typedef enum
{
  LOAD_READ,             /* reads the session's last write */
  LOAD_WRITE,            /* inserts one row */
  LOAD_IDEMPOTENT_WRITE, /* inserts one row unless it is there */
  LOAD_TRANSACTION       /* inserts two rows in a transaction */
} LoadKind;

/** struct LoadClass - One class in the mix; a flood adds to its rate for a while. */
typedef struct
{
  char name[LOAD_NAME_BYTES];
  LoadKind kind;
  double rate_per_s;
  double flood_rate_per_s;
  int64_t flood_from_ms;
  int64_t flood_to_ms;
} LoadClass;

/** struct LoadHost - Where to connect to. */
typedef struct
{
  char address[LOAD_NAME_BYTES];
  uint16_t port;
} LoadHost;

/**
 * struct LoadOptions - A run.
 * @sessions_max: connections at most.
 * @roam_percent: writes after which the session moves to another host.
 * @open_all: opens all connections before the first statement.
 * @write_class: class for set-up and the final check.
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

/** load_options_hosts() - Reads "IP:PORT[,IP:PORT...]"; an error text to free, or %NULL. */
char *load_options_hosts (LoadOptions *options, const char *text);

/** load_options_mix() - Reads "CLASS:KIND:RATE[,...]", KIND read, write, idem or txn; as above. */
char *load_options_mix (LoadOptions *options, const char *text);

/** load_options_flood() - Reads "CLASS:RATE:FROM_S:TO_S[,...]"; as above. */
char *load_options_flood (LoadOptions *options, const char *text);

/** load_class_rate() - Rate of arrivals at @at_ms after the start. */
double load_class_rate (const LoadClass *class_entry, int64_t at_ms);
