/*
 * Stand-ins for the review: the platform's store, its workers and its clients,
 * in one process. They follow PROTOCOL.md; each call is answered after the 4 ms
 * that the sheets name for the store, unless a case disturbs it.
 */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define WORKERS_MAX 32
#define HOSTS_MAX 80
#define JOBS_MAX 2000

/* One global lock guards the whole state; world_changed wakes long polls. */
extern pthread_mutex_t world_lock;
extern pthread_cond_t world_changed;
extern char world_net[32];   /* first three numbers of the loopback addresses */
extern char store_address[64];

int64_t now_ms(void);  /* steady clock */
int64_t wall_ms(void); /* since 1970 */
void sleep_ms(int64_t ms);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* http.c */

struct call {
	char method[8];
	char path[256];
	char query[1024];
	char expect[128]; /* X-Expect-Instance */
	char *body;
	size_t len;
};

struct answer {
	int status; /* 0: reset the connection without an answer */
	char *body;
	size_t len;
	bool binary;
};

typedef void (*call_handler)(void *ctx, const struct call *c,
			     struct answer *out);

struct server {
	char ip[32];
	int port;
	int fd;
	void *ctx;
	call_handler handle;
	int conns[512];
	size_t conn_count;
	bool closed;
};

bool server_start(struct server *s, const char *ip, call_handler handle,
		  void *ctx);
/* Resets all connections, and closes the port if @stop is set. */
void server_reset(struct server *s, bool stop);
bool server_reopen(struct server *s);
void answer_text(struct answer *a, int status, const char *format, ...)
	__attribute__((format(printf, 3, 4)));
const char *query_value(const struct call *c, const char *name, char *out,
			size_t size);
/* Return: HTTP status, or 0 without a whole answer within @wait_ms. */
int http_call(const char *address, const char *method, const char *path,
	      const char *host, const char *body, int wait_ms, char *reply,
	      size_t reply_size);

/* store.c */

bool store_start(const char *ip);
void store_put(const char *topic, const char *key, const char *value);
/*
 * An outage of @ms that begins while an append of the system is carried out:
 * the answer of that append is lost with all connections, then all calls are
 * refused with 503. It waits for an append that brings a client's job.
 */
void store_arm_outage(int64_t ms);
int64_t store_outage_began(void); /* 0 before */
bool store_is_down(void); /* the caller holds world_lock */
bool store_has_key(const char *topic, const char *key);

/* workers.c */

struct worker *worker_start(const char *id, const char *zone,
			    const char *rack, int cpu);
void worker_crash(struct worker *w);
/* From now on starts fail: the first call for a run is carried out and its
 * connection reset, a second one is refused with 503. Ends with @on = false. */
void worker_set_grey(struct worker *w, bool on);
void workers_tick(void);
struct worker *worker_of_task(const char *job, int64_t *since_ms);
int worker_starts_of(const char *job);
/* Tasks of one job that have run twice at the same time, or again after an end
 * that was taken note of; @why receives the first. */
int workers_check_twice(char *why, size_t size);
const char *worker_id(const struct worker *w);

#endif
