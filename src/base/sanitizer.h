/**
 * DOC: Annotations that let the thread sanitizer follow hand-overs which happen in
 * uninstrumented code (liburcu). They are nothing in other builds.
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
