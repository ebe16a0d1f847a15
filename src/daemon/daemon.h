/**
 * DOC: One daemon: starts and stops its worker threads, control thread and admin server.
 */
#pragma once

#include "runtime/daemon-state.h"

/**
 * daemon_start() - Opens the listening sockets and starts the threads. Errors:
 * %PERIDOTSTEP_ERROR_IO.
 */
Daemon *daemon_start (const DaemonOptions *options, GError **error);

/** daemon_drain() - Starts a graceful shutdown; returns at once. */
void daemon_drain (Daemon *daemon);

/** daemon_is_drained() - Whether the graceful shutdown is complete. */
bool daemon_is_drained (Daemon *daemon);

/** daemon_stop() - Stops the threads immediately and frees the daemon. */
void daemon_stop (Daemon *daemon);

/** daemon_set_paused() - Pauses or resumes all threads of the daemon; demos only. */
void daemon_set_paused (Daemon *daemon, bool paused);
