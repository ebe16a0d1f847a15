/**
 * DOC: A pointer published by one thread and read by others under RCU (read-copy-update).
 */
#pragma once

#include <urcu.h>

#include "base/sanitizer.h"

/** struct RcuCell - Holds the published pointer. */
typedef struct
{
  void *pointer;
} RcuCell;

/**
 * rcu_cell_lock() - Enters a read-side section; returns the pointer, valid until
 * rcu_cell_unlock().
 */
static inline void *
rcu_cell_lock (RcuCell *cell)
{
  void *pointer;

  rcu_read_lock ();
  pointer = rcu_dereference (cell->pointer);
  SANITIZER_ACQUIRE (cell);
  return pointer;
}

/** rcu_cell_unlock() - Leaves the read-side section. */
static inline void
rcu_cell_unlock (RcuCell *cell)
{
  SANITIZER_RELEASE (cell);
  rcu_read_unlock ();
}

/**
 * rcu_cell_publish() - Replaces the pointer and waits for all readers of the old one, which is
 * returned; the caller may free it.
 */
static inline void *
rcu_cell_publish (RcuCell *cell, void *pointer)
{
  void *old;

  SANITIZER_RELEASE (cell);
  old = rcu_xchg_pointer (&cell->pointer, pointer);
  synchronize_rcu ();
  SANITIZER_ACQUIRE (cell);
  return old;
}
