/**
 * DOC: The control thread of a daemon: membership, configuration, shutdown.
 */
#pragma once

#include "runtime/daemon-state.h"

typedef struct Control Control;

/** control_new() - Control of @daemon; runs after control_start(). */
Control *control_new (Daemon *daemon, int gossip_fd);

/** control_start() - Starts its thread. */
void control_start (Control *control);

/** control_stop() - Ends its thread and frees it. */
void control_stop (Control *control);

/** control_drain() - From any thread: starts the graceful shutdown. */
void control_drain (Control *control);

/** control_is_drained() - From any thread: whether the graceful shutdown is complete. */
bool control_is_drained (Control *control);

/** control_set_paused() - From any thread: freezes the thread, or lets it go on. */
void control_set_paused (Control *control, bool paused);

/** control_post_frame() - From any thread: a frame for control came from @origin; owns it. */
void control_post_frame (Control *control, Origin origin, Frame *frame);

/** control_audit() - From any thread: records an event as row @key, when the store can; takes
 * @value. */
void control_audit (Control *control, const char *key, json_t *value);

/** control_status() - From any thread: JSON text for /status; g_free() it. */
char *control_status (Control *control);
