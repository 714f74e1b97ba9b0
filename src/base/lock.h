#ifndef BASE_LOCK_H
#define BASE_LOCK_H

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum lock_rank - order in which locks are acquired, lowest first
 *
 * A thread that holds a lock acquires only locks of a higher rank, which rules
 * out deadlocks. A comment at each lock names its rank. Ranks are not checked
 * at run time.
 */
enum lock_rank {
	LOCK_CORE, /* core object of a program, with its tables */
	LOCK_NET,  /* connection table of the peer adapter; mailbox of a loop */
	LOCK_LOG,  /* request queue of the log adapter */
	LOCK_EVENTS,    /* event ring */
	LOCK_LOGGER,    /* log line output */
	LOCK_LOG_QUEUE, /* lines that wait for their writer */
	LOCK_RANK_MAX,
};

/**
 * struct lock - spin lock for short critical sections
 * @word: Concurrency Kit's fetch-and-store lock
 *
 * Not recursive. A waiting thread spins, and yields the CPU from time to
 * time.
 */
struct lock {
	unsigned int word;
};

void lock_init(struct lock *l);
void lock_take(struct lock *l);
void lock_give(struct lock *l);

#ifdef __cplusplus
}
#endif

#endif
