/**
 * DOC: A pointer that one thread publishes and others read under read-copy-update. The
 * annotations let the thread sanitizer follow what liburcu does in uninstrumented code.
 */
#pragma once

#include <urcu.h>

#if defined(__SANITIZE_THREAD__)
void __tsan_acquire (void *address);
void __tsan_release (void *address);
#define RCU_CELL_ACQUIRE(address) __tsan_acquire ((void *) (address))
#define RCU_CELL_RELEASE(address) __tsan_release ((void *) (address))
#else
#define RCU_CELL_ACQUIRE(address) ((void) (address))
#define RCU_CELL_RELEASE(address) ((void) (address))
#endif

/** struct RcuCell - Holds the published pointer. */
typedef struct
{
  void *pointer;
} RcuCell;

/** rcu_cell_read() - The pointer; valid until rcu_read_unlock(). */
static inline void *
rcu_cell_read (RcuCell *cell)
{
  void *pointer = rcu_dereference (cell->pointer);

  RCU_CELL_ACQUIRE (cell);
  return pointer;
}

/** rcu_cell_publish() - Replaces the pointer, waits out all readers, returns the old one. */
static inline void *
rcu_cell_publish (RcuCell *cell, void *pointer)
{
  void *old;

  RCU_CELL_RELEASE (cell);
  old = rcu_xchg_pointer (&cell->pointer, pointer);
  synchronize_rcu ();
  return old;
}
