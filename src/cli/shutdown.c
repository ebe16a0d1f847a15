#include "cli/shutdown.h"

#include <pthread.h>
#include <signal.h>
#include <time.h>

static void
fill_set (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGTERM);
}

void
shutdown_block_signals (void)
{
  sigset_t set;

  fill_set (&set);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
}

bool
shutdown_wait (int64_t timeout_ms)
{
  const struct timespec timeout = { timeout_ms / 1000, (timeout_ms % 1000) * 1000000 };
  sigset_t set;

  fill_set (&set);
  return sigtimedwait (&set, NULL, &timeout) > 0;
}
