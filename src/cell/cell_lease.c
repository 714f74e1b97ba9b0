#include "cell/cell_lease.h"

#include <inttypes.h>

#include "base/logger.h"
#include "cell/cell_worker.h"

/* Period at which the record of a silent worker is written again: a host that
 * starts counts the time left in it from its own reading. */
#define FROZEN_RECORD_MS 1000
/* During a handover, a worker counts as silent when it is late by this much
 * with the reply to a long poll. */
#define HANDOVER_LATE_MS 500
/* Until then, the replies that arrived during a pause of the process have been
 * read. */
#define HANDOVER_READ_MS 20

/* A worker receives a call within this time of its turn in its lane, or not at
 * all: the time limits of connections and orders are no longer. */
#define CALL_RECEIVED_MS 900
/* The times of day of two hosts differ by less than this, and jump by at most
 * this. */
#define TIME_OF_DAY_ERROR_MS 100
#define TIME_OF_DAY_JUMP_MS 5000
/* An owner sends no deadline on a former clock for longer than this after the
 * start of a new process. */
#define NEW_PROCESS_HEARD_MS 2000

int64_t cell_lease_extend(struct cell *c, struct cell_worker *w)
{
	int64_t until;

	if (!w->clock_received_ms)
		return 0;
	until = w->clock + (c->now_ms - w->clock_received_ms) + c->opt.lease_ms;
	if (until > w->lease_end_ms)
		w->lease_end_ms = until;
	return w->lease_end_ms;
}

int64_t cell_lease_bound_ms(int64_t lease_ms)
{
	return lease_ms + lease_ms * WORKER_CLOCK_SLOW_PERMILLE / 1000 +
	       LEASE_MARGIN_MS;
}

/* The clock of a worker in its reply to an order is at least what it was when
 * the order was sent, by its last reply to a poll. */
static int64_t least_clock(const struct cell_worker *w, int64_t sent_ms)
{
	int64_t passed = sent_ms - w->clock_received_ms;

	if (passed > 0)
		passed -= passed * WORKER_CLOCK_SLOW_PERMILLE / 1000;
	return w->clock + passed - LEASE_MARGIN_MS;
}

void cell_lease_check_clock(struct cell *c, const struct cell_task *t,
			    int64_t clock)
{
	struct cell_worker *w = t->worker;

	if (!clock || !w->clock_received_ms ||
	    clock >= least_clock(w, t->start_sent_ms))
		return;
	log_line(LOG_INFO, "worker confirmed a start on another clock",
		 "worker=%s clock=%lld expected_min=%lld", w->entry.addr.id,
		 (long long)clock, (long long)least_clock(w, t->start_sent_ms));
	w->new_clock_until_ms =
		c->now_ms + cell_lease_bound_ms(c->opt.lease_max_ms);
}

/* Boot time of this host at the start of a worker's process, by the time of day
 * of both. */
static int64_t start_by_time_of_day(const struct cell *c,
				    const struct cell_worker *w)
{
	return (int64_t)w->entry.born - c->wall_offset_ms;
}

/* A process this young may have carried out a call with a deadline on the clock
 * of its predecessor, also one of a former owner. Its own clock may have begun
 * at any value. */
static bool may_hold_longest_lease(const struct cell *c,
				   const struct cell_worker *w, int64_t clock)
{
	int64_t young =
		NEW_PROCESS_HEARD_MS + LATE_MAX_MS + c->opt.lease_max_ms;

	return w->is_new_clock || clock < young ||
	       c->now_ms - start_by_time_of_day(c, w) <
		       young + TIME_OF_DAY_JUMP_MS;
}

/* A time of day that has jumped gives a start that most often lies before the
 * last answer of the former process, or ahead. */
static int64_t earliest_start_ms(const struct cell *c,
				 const struct cell_worker *w)
{
	int64_t at = start_by_time_of_day(c, w) - TIME_OF_DAY_ERROR_MS;

	if (at < w->former_answered_ms || at > c->now_ms)
		return w->former_answered_ms;
	return at;
}

/* A process that starts after the call has been received, or given up, does not
 * carry it out. */
static void note_late_lease(struct cell_worker *w)
{
	if (w->refuses_older_calls)
		return;
	if (w->lease_unanswered_ms && w->lease_unanswered_ms >= w->started_ms)
		w->late_lease_until_ms = w->lease_unanswered_ms + LATE_MAX_MS;
}

void cell_lease_adopt(struct cell *c, struct cell_worker *w, int64_t clock)
{
	if (w->lease_end_ms < clock + c->opt.lease_ms)
		w->lease_end_ms = clock + c->opt.lease_ms;
	if (may_hold_longest_lease(c, w, clock))
		w->new_clock_until_ms =
			c->now_ms + cell_lease_bound_ms(c->opt.lease_max_ms);
	w->started_ms = earliest_start_ms(c, w);
	if (w->is_new_clock)
		note_late_lease(w);
	w->is_new_clock = false;
}

void cell_lease_unanswered(struct cell *c, const struct worker_addr *to,
			   int64_t sent_ms)
{
	struct cell_worker *w = cell_worker_find(c, to->id);
	int64_t received_ms = sent_ms + CALL_RECEIVED_MS;

	if (!w)
		return;
	if (received_ms > c->now_ms)
		received_ms = c->now_ms;
	if (w->lease_unanswered_ms < received_ms)
		w->lease_unanswered_ms = received_ms;
	if (w->confirmed && to->born != w->entry.born)
		note_late_lease(w);
}

void cell_lease_answered(struct cell *c, const struct worker_addr *to)
{
	struct cell_worker *w = cell_worker_find(c, to->id);

	if (w && w->confirmed && to->born != w->entry.born)
		w->new_clock_until_ms =
			c->now_ms + cell_lease_bound_ms(c->opt.lease_max_ms);
}

void cell_lease_fenced(struct cell *c, struct cell_worker *w)
{
	if (!w->late_lease_until_ms)
		return;
	w->late_lease_until_ms = 0;
	w->new_clock_until_ms =
		c->now_ms + cell_lease_bound_ms(c->opt.lease_max_ms);
}

static int64_t known_lease_left_ms(const struct cell *c,
				   const struct cell_worker *w)
{
	int64_t left = w->lease_end_ms - w->clock;

	if (left < 0)
		left = 0;
	return cell_lease_bound_ms(left) - (c->now_ms - w->clock_received_ms);
}

static int64_t late_lease_left_ms(const struct cell *c,
				  const struct cell_worker *w)
{
	return w->late_lease_until_ms +
	       cell_lease_bound_ms(c->opt.lease_max_ms) - c->now_ms;
}

int64_t cell_lease_left_ms(const struct cell *c, const struct cell_worker *w)
{
	int64_t left;

	if (!w->confirmed)
		return w->unheard ? w->former_leases_end_ms - c->now_ms : 0;
	left = known_lease_left_ms(c, w);
	if (left < w->new_clock_until_ms - c->now_ms)
		left = w->new_clock_until_ms - c->now_ms;
	if (w->late_lease_until_ms && left < late_lease_left_ms(c, w))
		left = late_lease_left_ms(c, w);
	return left;
}

/* Once the last lease sent has expired on the worker's clock, which may run
 * slow, no run is left there. A worker that has not answered under this epoch
 * may hold a lease of a former owner, see cell_recovery_expire(). */
bool cell_lease_is_expired(const struct cell *c, const struct cell_worker *w)
{
	if (!w->confirmed)
		return !w->unheard;
	return cell_lease_left_ms(c, w) < 0;
}

static void record_worker(struct cell *c, struct cell_worker *w)
{
	char key[NAME_SIZE + sizeof(WORKER_KEY_PREFIX)];
	struct known_worker k = {0};
	struct str value;
	struct buf b;

	name_set(k.address, w->entry.addr.address);
	k.born = w->entry.born;
	if (w->lease_frozen && cell_lease_left_ms(c, w) > 0)
		k.lease_left_ms = (uint64_t)cell_lease_left_ms(c, w);
	else if (w->lease_frozen)
		k.lease_left_ms = 1;
	snprintf(key, sizeof(key), WORKER_KEY_PREFIX "%s", w->entry.addr.id);
	buf_init(&b);
	known_worker_write(&k, &b);
	value.data = b.data;
	value.len = b.len;
	cell_record_add(c, str_of(key), value);
	w->record_end = c->taken_bytes + c->pending_records.len;
	buf_finish(&b);
	w->recorded = true;
}

/*
 * Takes the freeze of a worker's leases back. Both records are part of the same
 * batch if the first one has not been sent; else the next owner may have read
 * it, and the leases are not extended before the second one is stored.
 */
void cell_lease_thaw(struct cell *c, struct cell_worker *w)
{
	if (!w->lease_frozen)
		return;
	w->lease_frozen = false;
	record_worker(c, w);
	if (!w->freeze_sent)
		return;
	w->storing_record = false;
	w->stored = false;
}

static bool is_late(const struct cell *c, const struct cell_worker *w)
{
	return w->confirmed && c->now_ms - w->answered_ms >=
				       c->opt.poll_wait_ms + HANDOVER_LATE_MS;
}

static bool is_silent_at_handover(const struct cell *c,
				  const struct cell_worker *w)
{
	return c->now_ms - c->handover_began_ms >= HANDOVER_READ_MS &&
	       (w->missed_polls || is_late(c, w));
}

/*
 * Whether the next owner has to learn when the leases of a worker end. It
 * otherwise waits for as long as this owner could have extended them, from its
 * own takeover on. An owner that hands over has no time to see whether a silent
 * worker comes back, and the next owner renews the leases of one that does.
 */
static bool should_freeze_lease(const struct cell *c,
				const struct cell_worker *w)
{
	if (!w->recorded || !(w->unheard || w->first_task))
		return false;
	if (c->handover_began_ms)
		return !w->lease_frozen && is_silent_at_handover(c, w);
	if (!w->missed_polls || c->now_ms >= c->authority_until_ms ||
	    c->now_ms - w->answered_ms < WORKER_REACHABLE_MS)
		return false;
	return !w->lease_frozen || c->now_ms - w->frozen_ms >= FROZEN_RECORD_MS;
}

static void freeze_lease(struct cell *c, struct cell_worker *w)
{
	if (!w->lease_frozen)
		log_line(LOG_INFO, "worker silent: leases not extended",
			 "worker=%s tasks=%u left_ms=%lld", w->entry.addr.id,
			 w->task_count, (long long)cell_lease_left_ms(c, w));
	w->lease_frozen = true;
	w->frozen_ms = c->now_ms;
	record_worker(c, w);
}

void cell_lease_tick(struct cell *c, struct cell_worker *w)
{
	if (should_freeze_lease(c, w))
		freeze_lease(c, w);
	if (!w->recorded && (w->registered || w->first_task))
		record_worker(c, w);
}
