#ifndef BASE_LOG_QUEUE_H
#define BASE_LOG_QUEUE_H

#include <pthread.h>
#include <semaphore.h>
#include <stdbool.h>

#include "base/buf.h"
#include "base/lock.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct log_queue - lines that a thread of its own writes to a descriptor
 * @lines: lines that wait; one that would exceed their limit is dropped
 * @dropped: lines that were dropped since log_queue_take_dropped()
 * @is_awake: the thread will look at @lines again without a wake-up
 * @is_ended: the thread has written all and ended
 *
 * A caller that adds a line never waits for the reader of the descriptor.
 */
struct log_queue {
	struct lock lock; /* LOCK_LOG_QUEUE */
	struct buf lines;
	unsigned int dropped;
	bool is_awake;
	bool is_stopping;
	bool is_ended;
	int fd;
	sem_t wake;
	pthread_t thread;
};

/**
 * log_queue_start() - start the thread that writes to @fd
 *
 * Return: 0, or a negative error number.
 */
int log_queue_start(struct log_queue *q, int fd);

/**
 * log_queue_add() - add a line; it is dropped if the queue is full
 * @is_urgent: the line may use the part of the queue that is reserved
 */
void log_queue_add(struct log_queue *q, struct str line, bool is_urgent);

/**
 * log_queue_take_dropped() - number of lines dropped since the last call, if
 * a line that reports it would not be dropped, too; else 0
 */
unsigned int log_queue_take_dropped(struct log_queue *q);

/**
 * log_queue_finish() - write what waits, and end the thread
 *
 * Return: false if the reader of the descriptor stands still. The thread goes
 * on then and uses the queue until log_queue_wait() returns.
 */
bool log_queue_finish(struct log_queue *q);

/**
 * log_queue_wait() - wait for the end of the thread, and so for the reader,
 * after log_queue_finish() has returned false
 */
void log_queue_wait(struct log_queue *q);

#ifdef __cplusplus
}
#endif

#endif
