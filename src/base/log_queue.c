#include "base/log_queue.h"

#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#define QUEUE_BYTES (256 * 1024)
/* Lines that are not urgent fill the queue up to here only. */
#define ORDINARY_BYTES (128 * 1024)
/* Lines that come within this time share a call to the system. */
#define GATHER_US 50000
#define FINISH_WAIT_US 200000
#define FINISH_POLL_US 5000

static void write_all(int fd, const char *data, size_t len)
{
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	ssize_t n;

	while (len) {
		n = write(fd, data, len);
		if (n >= 0) {
			data += n;
			len -= (size_t)n;
		} else if (errno == EAGAIN) {
			poll(&p, 1, -1);
		} else if (errno != EINTR) {
			return; /* nobody will read it */
		}
	}
}

/* Return: whether there was a line. */
static bool take_lines(struct log_queue *q, struct buf *out)
{
	struct buf taken;

	buf_clear(out);
	lock_take(&q->lock);
	taken = q->lines;
	q->lines = *out;
	q->is_awake = taken.len != 0;
	lock_give(&q->lock);
	*out = taken;
	return taken.len != 0;
}

static void *log_main(void *ctx)
{
	struct log_queue *q = ctx;
	struct buf out;

	buf_init(&out);
	for (;;) {
		while (take_lines(q, &out)) {
			write_all(q->fd, out.data, out.len);
			if (!__atomic_load_n(&q->is_stopping, __ATOMIC_ACQUIRE))
				usleep(GATHER_US);
		}
		if (__atomic_load_n(&q->is_stopping, __ATOMIC_ACQUIRE))
			break;
		while (sem_wait(&q->wake) && errno == EINTR)
			;
	}
	buf_finish(&out);
	buf_finish(&q->lines);
	__atomic_store_n(&q->is_ended, true, __ATOMIC_RELEASE);
	return NULL;
}

int log_queue_start(struct log_queue *q, int fd)
{
	sigset_t all, before;
	int err;

	memset(q, 0, sizeof(*q));
	lock_init(&q->lock);
	buf_init(&q->lines);
	q->fd = fd;
	sem_init(&q->wake, 0, 0);
	/* Signals interrupt the threads that wait for them. */
	sigfillset(&all);
	pthread_sigmask(SIG_BLOCK, &all, &before);
	err = pthread_create(&q->thread, NULL, log_main, q);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return -err;
}

void log_queue_add(struct log_queue *q, struct str line, bool is_urgent)
{
	size_t limit = is_urgent ? QUEUE_BYTES : ORDINARY_BYTES;
	bool wake = false;

	lock_take(&q->lock);
	if (q->lines.len + line.len > limit) {
		q->dropped++;
	} else {
		buf_add(&q->lines, line.data, line.len);
		wake = !q->is_awake;
		q->is_awake = true;
	}
	lock_give(&q->lock);
	if (wake)
		sem_post(&q->wake);
}

unsigned int log_queue_take_dropped(struct log_queue *q)
{
	unsigned int dropped = 0;

	lock_take(&q->lock);
	if (q->lines.len < ORDINARY_BYTES) {
		dropped = q->dropped;
		q->dropped = 0;
	}
	lock_give(&q->lock);
	return dropped;
}

void log_queue_wait(struct log_queue *q)
{
	pthread_join(q->thread, NULL);
	sem_destroy(&q->wake);
}

bool log_queue_finish(struct log_queue *q)
{
	int waited_us = 0;

	__atomic_store_n(&q->is_stopping, true, __ATOMIC_RELEASE);
	sem_post(&q->wake);
	while (!__atomic_load_n(&q->is_ended, __ATOMIC_ACQUIRE) &&
	       waited_us < FINISH_WAIT_US) {
		usleep(FINISH_POLL_US);
		waited_us += FINISH_POLL_US;
	}
	if (!__atomic_load_n(&q->is_ended, __ATOMIC_ACQUIRE))
		return false;
	log_queue_wait(q);
	return true;
}
