#include "runtime/link-table.h"

#include <string.h>
#include <unistd.h>

#include "base/stream.h"

typedef struct
{
  LinkTable *table;
  PeerLink *link;
  uint64_t id;
  char host_id[NAME_BYTES];
} LinkEntry;

struct LinkTable
{
  LinkTableOptions options;
  GHashTable *by_id;   /* id -> LinkEntry */
  GHashTable *by_host; /* host id -> LinkEntry, links opened by this host only */
  uint64_t next_id;
  int listen_fd;
};

static int
table_destroy (LinkTable *table)
{
  g_hash_table_destroy (table->by_host);
  g_hash_table_destroy (table->by_id);
  if (table->listen_fd >= 0)
    close (table->listen_fd);
  return 0;
}

LinkTable *
link_table_new (TALLOC_CTX *parent, const LinkTableOptions *options)
{
  LinkTable *table = talloc_zero (parent, LinkTable);

  table->options = *options;
  table->listen_fd = -1;
  table->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  table->by_host = g_hash_table_new (g_str_hash, g_str_equal);
  talloc_set_destructor (table, table_destroy);
  return table;
}

static void
on_frame (void *data, PeerLink *link, Frame *frame)
{
  LinkEntry *entry = data;

  entry->table->options.frame (entry->table->options.data, entry->id, frame);
}

static void
on_closed (void *data, PeerLink *link)
{
  LinkEntry *entry = data;
  LinkTable *table = entry->table;
  uint64_t id = entry->id;
  char host_id[NAME_BYTES];

  memcpy (host_id, entry->host_id, sizeof host_id);
  g_hash_table_remove (table->by_id, &entry->id);
  if (host_id[0] != '\0')
    g_hash_table_remove (table->by_host, entry->host_id);
  talloc_free (entry);
  table->options.closed (table->options.data, id, host_id);
}

static void
emulate_network (LinkTable *table, PeerLink *link, const char *failure_domain, const char *region)
{
  const NetworkEmulation *network = table->options.network;
  const Host *self = table->options.self;

  if (network == NULL)
    return;
  peer_link_emulate (link, network->delay_us (self->failure_domain, failure_domain, network->data),
                     network->region_link (self->region, region, network->data));
}

static void
on_hello (void *data, PeerLink *link, const char *failure_domain, const char *region)
{
  LinkEntry *entry = data;

  emulate_network (entry->table, link, failure_domain, region);
}

static LinkEntry *
add_entry (LinkTable *table, int fd, const Host *host)
{
  LinkEntry *entry = talloc_zero (table, LinkEntry);
  PeerLinkOptions options = {
    .fd = fd,
    .counters = table->options.counters,
    .frame = on_frame,
    .closed = on_closed,
    .hello = on_hello,
    .data = entry,
  };

  entry->table = table;
  entry->id = ++table->next_id;
  entry->link = peer_link_new (entry, table->options.events, &options);
  g_hash_table_insert (table->by_id, &entry->id, entry);
  if (host == NULL)
    return entry;
  memcpy (entry->host_id, host->id, sizeof entry->host_id);
  g_hash_table_insert (table->by_host, entry->host_id, entry);
  emulate_network (table, entry->link, host->failure_domain, host->region);
  peer_link_send_hello (entry->link, table->options.self);
  return entry;
}

static void
on_accept (struct tevent_context *events, struct tevent_fd *fde, uint16_t flags, void *data)
{
  LinkTable *table = data;
  int fd = stream_accept (table->listen_fd);

  if (fd >= 0)
    add_entry (table, fd, NULL);
}

void
link_table_listen (LinkTable *table, int fd)
{
  table->listen_fd = fd;
  tevent_add_fd (table->options.events, table, fd, TEVENT_FD_READ, on_accept, table);
}

/* A connect that fails immediately is reported from the event loop, like any later failure. */
typedef struct
{
  LinkTable *table;
  char host_id[NAME_BYTES];
} FailedConnect;

static void
on_failed_connect (struct tevent_context *events, struct tevent_immediate *immediate, void *data)
{
  FailedConnect *failed = data;

  failed->table->options.closed (failed->table->options.data, 0, failed->host_id);
  talloc_free (failed);
}

static void
report_failed_connect (LinkTable *table, const Host *host)
{
  FailedConnect *failed = talloc_zero (table, FailedConnect);

  failed->table = table;
  memcpy (failed->host_id, host->id, sizeof failed->host_id);
  tevent_schedule_immediate (tevent_create_immediate (failed), table->options.events,
                             on_failed_connect, failed);
}

void
link_table_send (LinkTable *table, const Host *host, Frame *frame, FrameLane lane)
{
  LinkEntry *entry = g_hash_table_lookup (table->by_host, host->id);

  if (entry == NULL)
    {
      int fd = stream_connect (host->address, host->link_port);

      if (fd < 0)
        {
          frame_free (frame);
          report_failed_connect (table, host);
          return;
        }
      entry = add_entry (table, fd, host);
    }
  peer_link_send (entry->link, frame, lane);
}

void
link_table_reply (LinkTable *table, uint64_t link, Frame *frame, FrameLane lane)
{
  LinkEntry *entry = g_hash_table_lookup (table->by_id, &link);

  if (entry == NULL)
    {
      frame_free (frame);
      return;
    }
  peer_link_send (entry->link, frame, lane);
}
