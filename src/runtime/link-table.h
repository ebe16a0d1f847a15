/**
 * DOC: The links of one thread to other hosts: opened on demand, or accepted.
 */
#pragma once

#include "runtime/daemon-state.h"
#include "link/frame.h"
#include "link/peer-link.h"

typedef struct LinkTable LinkTable;

/**
 * struct LinkTableOptions - Context of the links.
 * @frame: a frame arrived on link @link; the callee takes ownership of it.
 * @closed: link @link was closed; @host_id is empty for accepted links. @link is 0 if a connection
 * attempt failed immediately.
 */
typedef struct
{
  struct tevent_context *events;
  Counters *counters;
  const Host *self;
  const NetworkEmulation *network;
  void (*frame) (void *data, uint64_t link, Frame *frame);
  void (*closed) (void *data, uint64_t link, const char *host_id);
  void *data;
} LinkTableOptions;

/** link_table_new() - Creates an empty table. */
LinkTable *link_table_new (TALLOC_CTX *parent, const LinkTableOptions *options);

/** link_table_listen() - Accepts links on the listening socket @fd, which the table owns. */
void link_table_listen (LinkTable *table, int fd);

/**
 * link_table_send() - Sends to @host, opening a link if there is none; takes ownership of @frame.
 */
void link_table_send (LinkTable *table, const Host *host, Frame *frame, FrameLane lane);

/** link_table_reply() - Sends on link @link if it is still open; takes ownership of @frame. */
void link_table_reply (LinkTable *table, uint64_t link, Frame *frame, FrameLane lane);
