/**
 * DOC: One daemon: starts and ends its worker threads and its control thread.
 */
#pragma once

#include "runtime/daemon-state.h"

/** daemon_start() - Listens and starts the threads. Errors: %PERIDOTSTEP_ERROR_IO. */
Daemon *daemon_start (const DaemonOptions *options, GError **error);

/** daemon_drain() - Starts a graceful shutdown; returns at once. */
void daemon_drain (Daemon *daemon);

/** daemon_is_drained() - Whether the graceful shutdown is complete. */
bool daemon_is_drained (Daemon *daemon);

/** daemon_stop() - Stops the threads now and frees the daemon. */
void daemon_stop (Daemon *daemon);

/** daemon_set_paused() - Freezes all threads of the daemon, or lets them go on; demos only. */
void daemon_set_paused (Daemon *daemon, bool paused);
