#include "host/retry_after.h"

#define SECOND_MS 1000

/* Callers that are refused at once are told @count different seconds, from
 * @first_s on. */
struct retry_band {
	uint32_t first_s;
	uint32_t count;
};

/* By the whole seconds of the outage; the last row also holds for longer
 * ones. */
static const struct retry_band bands[] = {{1, 2}, {1, 3}, {2, 3}};

/* The same for urgent callers: the least constant wait with which five tries
 * outlast 8 s. They stay spread as they arrived. */
static const struct retry_band urgent_bands[] = {{2, 1}};

/* The same for work with slack, which leaves the seconds before to the others.
 */
static const struct retry_band slack_bands[] = {{2, 2}, {3, 2}};

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

/* The store answers: work with slack comes back when the others have been
 * taken; if the cell is full, it would keep processors from urgent tasks. */
static const struct retry_band soon = {1, 2};
static const struct retry_band next = {2, 3};
static const struct retry_band next_when_full = {3, 4};

/* Long-running jobs leave one by one. */
static const struct retry_band full_band = {8, 5};

/* Records of one host that the store takes in a second: its share of 600
 * appends among the hosts, each with several records. */
#define RECORDS_PER_S 100
/* A longer wait would let the caller's tries end after half a minute. */
#define BACKLOG_MAX_S 4

static uint32_t spread_ms(const struct retry_band *b, uint64_t n)
{
	return (b->first_s + (uint32_t)(n % b->count)) * SECOND_MS;
}

uint32_t retry_after_full_ms(uint64_t id)
{
	return spread_ms(&full_band, id);
}

static uint32_t outage_wait_ms(const struct retry_band *rows, size_t count,
			       int64_t outage_ms, uint64_t id)
{
	uint64_t outage_s = outage_ms > 0 ? (uint64_t)outage_ms / SECOND_MS : 0;
	const struct retry_band *b =
		&rows[outage_s < count ? outage_s : count - 1];

	/* Callers choose IDs at random. The outage is added so that a caller
	 * that was told few seconds is told more at its next try. */
	return spread_ms(b, id + outage_s);
}

uint32_t retry_after_ms(int64_t outage_ms, uint64_t id)
{
	return outage_wait_ms(bands, COUNT_OF(bands), outage_ms, id);
}

enum retry_class retry_class_of(uint32_t objective_ms, uint32_t priority)
{
	if (objective_ms && objective_ms < SECOND_MS)
		return RETRY_URGENT;
	return priority ? RETRY_WITH_SLACK : RETRY_NORMAL;
}

static uint32_t advise_outage(const struct retry_state *s, uint64_t id)
{
	switch (s->retry_class) {
	case RETRY_URGENT:
		return outage_wait_ms(urgent_bands, COUNT_OF(urgent_bands),
				      s->outage_ms, id);
	case RETRY_WITH_SLACK:
		return outage_wait_ms(slack_bands, COUNT_OF(slack_bands),
				      s->outage_ms, id);
	default:
		return retry_after_ms(s->outage_ms, id);
	}
}

/* The callers behind a long queue are spread over as many more seconds as the
 * store needs for it. */
static uint32_t advise_backlog(const struct retry_state *s, uint64_t id)
{
	size_t more = s->queued / RECORDS_PER_S;
	struct retry_band b = soon;

	if (s->retry_class == RETRY_WITH_SLACK)
		b = s->is_full ? next_when_full : next;
	b.count += more < BACKLOG_MAX_S ? (uint32_t)more : BACKLOG_MAX_S;
	return spread_ms(&b, id);
}

struct retry_advice retry_advise(const struct retry_state *s, uint64_t id)
{
	struct retry_advice a = {RETRY_OUTAGE, 0};

	if (!s->store_answers) {
		a.wait_ms = advise_outage(s, id);
		return a;
	}
	a.reason = s->is_full && s->retry_class == RETRY_WITH_SLACK
			   ? RETRY_CELL_FULL
			   : RETRY_BACKLOG;
	a.wait_ms = advise_backlog(s, id);
	return a;
}

const char *retry_reason_name(enum retry_reason r)
{
	static const char *const names[] = {
		[RETRY_OUTAGE] = "outage",
		[RETRY_BACKLOG] = "backlog",
		[RETRY_CELL_FULL] = "cell_full",
		[RETRY_UNREAD] = "unread",
	};

	return names[r];
}
