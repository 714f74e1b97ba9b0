#include "cell/queue_table.h"

#include <stdlib.h>
#include <strings.h>

void queue_table_init(struct queue_table *t)
{
	memset(t, 0, sizeof(*t));
	account_table_init(&t->accounts, 0);
}

void queue_table_finish(struct queue_table *t)
{
	free(t->queues);
	account_table_finish(&t->accounts);
	queue_table_init(t);
}

static bool host_matches(const char *want, const char *host)
{
	size_t n = strcspn(host, ":");

	return strlen(want) == n && !strncasecmp(want, host, n);
}

const struct queue *queue_table_match(const struct queue_table *t,
				      const char *host, const char *path)
{
	const struct queue *best = NULL;
	size_t best_len = 0, i;

	for (i = 0; i < t->count; i++) {
		const struct queue *q = &t->queues[i];
		size_t n = strlen(q->prefix);

		if (strncmp(path, q->prefix, n) || !host_matches(q->host, host))
			continue;
		if (best && n <= best_len)
			continue;
		best = q;
		best_len = n;
	}
	return best;
}

const struct queue *queue_table_find(const struct queue_table *t,
				     const char *name)
{
	size_t i;

	for (i = 0; i < t->count; i++)
		if (!strcmp(t->queues[i].name, name))
			return &t->queues[i];
	return NULL;
}
