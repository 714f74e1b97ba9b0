#ifndef CELL_QUEUE_TABLE_H
#define CELL_QUEUE_TABLE_H

#include "base/buf.h"
#include "cell/account_table.h"

#ifdef __cplusplus
extern "C" {
#endif

#define QUEUE_PREFIX_SIZE 256

/**
 * struct queue - one queue configured by the operators
 * @host: host name in the requests for the queue, without a port
 * @prefix: prefix of the request paths of the queue
 * @service: pool of workers that run the queue's jobs
 * @timeout_ms: longest time that a caller waits for a response
 * @objective_ms: fixed part of the latency objective
 * @priority: 0 is the most urgent
 * @attempts_max: the job fails once this many runs of one task have failed
 * @stretch_milli: part of the latency objective that grows with the critical
 *	path, in thousandths of its length
 * @advice: the queue's configuration contains "advice"
 * @is_public: requests need no key of a client account
 */
struct queue {
	char name[NAME_SIZE];
	char host[NAME_SIZE * 2];
	char prefix[QUEUE_PREFIX_SIZE];
	char service[NAME_SIZE];
	uint32_t timeout_ms;
	uint32_t objective_ms;
	uint32_t priority;
	uint32_t attempts_max;
	uint32_t stretch_milli;
	bool advice;
	bool is_public;
};

/**
 * struct queue_table - queues and client accounts of one version of the
 *	configuration
 * @version: version of the configuration
 * @has_accounts: the configuration lists client accounts: requests need a key,
 *	except for public queues
 * @body_max: greatest size of a request body, in bytes
 * @idle_ms: idle time-out of a caller's connection, in milliseconds
 */
struct queue_table {
	uint64_t version;
	struct queue *queues;
	size_t count;
	struct account_table accounts;
	bool has_accounts;
	uint32_t body_max;
	uint32_t idle_ms;
};

void queue_table_init(struct queue_table *t);
void queue_table_finish(struct queue_table *t);

/**
 * queue_table_match() - find the queue with the longest prefix of a path
 * @host: host name from the request, with or without a port; matched without
 *	regard to case
 *
 * Return: the queue, or NULL when none matches.
 */
const struct queue *queue_table_match(const struct queue_table *t,
				      const char *host, const char *path);

const struct queue *queue_table_find(const struct queue_table *t,
				     const char *name);

#ifdef __cplusplus
}
#endif

#endif
