#include "base/lock.h"

#include <ck_spinlock.h>
#include <sched.h>

/*
 * ThreadSanitizer does not follow Concurrency Kit's inline assembly. The lock
 * functions are therefore not instrumented, and report acquire and release.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *p);
void __tsan_release(void *p);
#define SYNC_ACQUIRE(p) __tsan_acquire(p)
#define SYNC_RELEASE(p) __tsan_release(p)
#define NO_TSAN __attribute__((no_sanitize("thread")))
#else
#define SYNC_ACQUIRE(p) ((void)(p))
#define SYNC_RELEASE(p) ((void)(p))
#define NO_TSAN
#endif

/* Failed attempts to acquire the lock before the thread yields. */
#define LOCK_SPINS 64

_Static_assert(sizeof(ck_spinlock_fas_t) == sizeof(struct lock),
	       "struct lock must have the size of the Concurrency Kit lock");

NO_TSAN void lock_init(struct lock *l)
{
	ck_spinlock_fas_init((ck_spinlock_fas_t *)l);
}

NO_TSAN void lock_take(struct lock *l)
{
	unsigned int n = 0;

	while (!ck_spinlock_fas_trylock((ck_spinlock_fas_t *)l)) {
		if (++n % LOCK_SPINS == 0)
			sched_yield();
	}
	SYNC_ACQUIRE(l);
}

NO_TSAN void lock_give(struct lock *l)
{
	SYNC_RELEASE(l);
	ck_spinlock_fas_unlock((ck_spinlock_fas_t *)l);
}
