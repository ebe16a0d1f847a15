/**
 * DOC: The control thread of a daemon: membership, configuration, graceful shutdown.
 */
#pragma once

#include "runtime/daemon-state.h"

typedef struct Control Control;

/**
 * control_new() - Creates the control thread state of @daemon; control_start() starts the thread.
 */
Control *control_new (Daemon *daemon, int gossip_fd);

/** control_start() - Starts the thread. */
void control_start (Control *control);

/** control_stop() - Stops the thread and frees @control. */
void control_stop (Control *control);

/** control_drain() - Starts the graceful shutdown; thread-safe. */
void control_drain (Control *control);

/** control_is_drained() - Whether the graceful shutdown is complete; thread-safe. */
bool control_is_drained (Control *control);

/** control_set_paused() - Pauses or resumes the thread; may be called from any other thread. */
void control_set_paused (Control *control, bool paused);

/**
 * control_post_frame() - Passes a frame received from @origin to the control thread; takes
 * ownership of @frame; thread-safe.
 */
void control_post_frame (Control *control, Origin origin, Frame *frame);

/**
 * control_audit() - Writes an audit event to the store as row @key, as soon as the store is
 * reachable; takes ownership of @value; thread-safe.
 */
void control_audit (Control *control, const char *key, json_t *value);

/** control_status() - JSON text for /status; g_free() it; thread-safe. */
char *control_status (Control *control);
