/**
 * DOC: ThreadSanitizer annotations for synchronisation inside libraries that are not instrumented
 * (liburcu, GLib). No-ops in other builds.
 */
#pragma once

#if defined(__SANITIZE_THREAD__)
void __tsan_acquire (void *address);
void __tsan_release (void *address);
#define SANITIZER_ACQUIRE(address) __tsan_acquire ((void *) (address))
#define SANITIZER_RELEASE(address) __tsan_release ((void *) (address))
#else
#define SANITIZER_ACQUIRE(address) ((void) (address))
#define SANITIZER_RELEASE(address) ((void) (address))
#endif
