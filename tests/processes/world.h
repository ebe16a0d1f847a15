/* Stand-ins for the platform, the instances and the consumers of a small deployment, on loopback
 * addresses and the real clock. One thread serves the store, the promote call and all instances;
 * the scenario runs in the main thread and takes world_lock() to look at or change the state. */
#pragma once

#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define WORLD_INSTANCES 24
#define WORLD_HOSTS 24
#define WORLD_LOG 65536
#define WORLD_TEXT 64

typedef struct
{
  uint64_t term;
  uint64_t number;
  char item[WORLD_TEXT];
  char value[WORLD_TEXT];
  int64_t at_ms;
} Entry;

typedef struct
{
  char id[WORLD_TEXT];
  char service[WORLD_TEXT];
  char address[WORLD_TEXT];
  int port;
  int listen_fd; /* -1 while it does not listen */
  int64_t born_ms;
  bool primary;
  bool absent; /* not running when the world starts */
  bool listed; /* has an entry in the store */
  bool leaving;
  bool dark; /* reads nothing and answers nothing */
  bool deaf; /* receives nothing from the primary */
  uint64_t term;
  uint64_t promoted_term; /* of its last promotion; 0 for none */
  uint64_t pause_token;
  int64_t link_ms; /* from the primary */
  int64_t lag_ms;  /* until a received commit is applied */
  Entry log[WORLD_LOG];
  int received;
  int applied;
  int leader;            /* index of the instance that it follows */
  int64_t promote_at_ms; /* 0 for none */
  int64_t retire_ms;     /* a replaced primary steps down by itself then; 0 for none */
  int big_rows;          /* rows in the answer to READ big */
  bool commits_alone;    /* no replica has to receive a commit */
  int64_t disturbed_ms;  /* it was last held up until then */
  int64_t work_ms;       /* from running a statement to its answer */
  int64_t learn_ms;      /* until it hears of a new primary, from the promotion or its resumption */
  int64_t learn_at_ms;   /* it hears of its primary then */
} Instance;

typedef struct
{
  char name[WORLD_TEXT];
  char address[WORLD_TEXT];
  pid_t pid; /* 0 while it is not running */
  int starts;
  bool store_behind; /* it reads a copy of the store, which world_hold_store_copy() keeps back */
} HostProcess;

typedef enum
{
  STORE_SERVES,
  STORE_REFUSES, /* 503 */
  STORE_SILENT
} StoreState;

typedef struct
{
  Instance instances[WORLD_INSTANCES];
  int instance_count;
  HostProcess hosts[WORLD_HOSTS];
  int host_count;
  char store_address[WORLD_TEXT];
  char promoter_address[WORLD_TEXT];
  int store_port, store_copy_port, promoter_port, front_port, ready_port, peer_port;
  int64_t promote_ms;
  int promotions;
  int shared_tokens; /* promote calls with a token that another holder has used */
  StoreState store;
  StoreState store_behind; /* for hosts with store_behind, while it serves the others */
  /* A primary has accepted a write; called with the lock held. */
  void (*on_commit) (const Instance *instance, const Entry *entry);
  bool quiet;           /* reads and commits are not recorded one by one */
  int owners_from;      /* setting of the hosts; 0 for the default */
  int drain_limit_s;    /* the same */
  int memory_limit_mb;  /* the same */
  int descriptor_limit; /* the same */
} World;

extern World world;

/* Opens all listening sockets and starts the serving thread; exits with 2 if that fails. */
void world_start (const char *record_path);

void world_lock (void);
void world_unlock (void);
int64_t world_now_ms (void);
void world_sleep_ms (int64_t ms);

/* Appends a line with the time to the record. */
void world_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Adds an instance before world_start(); the first one of a service leads it. */
Instance *world_add_instance (const char *service, const char *id, int64_t link_ms, int64_t lag_ms);

/* The operator writes a configuration; @routes and @services are JSON arrays. */
void world_put_config (uint64_t version, const char *routes, const char *services);

/* Another writer leaves a row. */
void world_put_row (const char *table, const char *key, const char *document);

/* Whether the copy of the store stays as it is, while the store itself changes. */
void world_hold_store_copy (bool held);

/* Writes or deletes the entry of an instance. */
void world_list_instance (Instance *instance, bool listed);

/* Ends an instance: closes what it has open, and no longer listens. */
void world_crash_instance (Instance *instance);

/* Starts an instance that crashed, with its log, or one that was absent. */
void world_restore_instance (Instance *instance);

/* Index of the entry with @item in the log of @instance, or -1. */
int world_find_entry (const Instance *instance, const char *item);

/* Host processes, started with the command of the deploy file. */
void world_add_host (const char *name);
void world_start_host (int index);
void world_signal_host (int index, int signal);
bool world_host_ready (int index);
void world_wait_ready (void);

/* Ends all host processes and exits with @status. */
void world_end (int status) __attribute__ ((noreturn));

/* A consumer's session with a blocking connection. */
typedef struct
{
  int fd;
  char buffer[1 << 16];
  int length;
} Client;

typedef struct
{
  bool closed; /* the connection ended without a complete answer */
  bool timed_out;
  bool complete; /* success */
  char code[WORLD_TEXT];
  char reason[WORLD_TEXT]; /* text of the error, cut off */
  char row[WORLD_TEXT];    /* first row, cut off */
  char receipt[WORLD_TEXT];
  char state;
} Answer;

/* Connects to the host's front address with START; false if it does not get READY. */
bool client_open (Client *client, int host, const char *database);
/* The same without waiting for READY. */
bool client_connect (Client *client, int host, const char *database);
/* The two halves of client_connect(). */
bool client_dial (Client *client, int host);
void client_start (Client *client, const char *database);
void client_send (Client *client, const char *text);
/* Reads one answer, up to READY. */
Answer client_read (Client *client, int64_t limit_ms);
Answer client_query (Client *client, const char *text, int64_t limit_ms);
void client_close (Client *client);
