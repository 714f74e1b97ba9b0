/*
 * Cost of the owner with many workers, by part, and its behaviour when it is
 * short of processor time. Usage: owner_bench [WORKERS [MS [SLOW]]]. With SLOW,
 * the virtual clock passes by SLOW times the measured time of the owner's work:
 * 2 stands for half a core like the one of this machine.
 */
#include "bench/owner_load.h"

#include <stdio.h>
#include <stdlib.h>

int64_t owner_load_now = 1;

extern "C" int64_t clock_boot_ms(void)
{
	return owner_load_now;
}

extern "C" int64_t clock_mono_ms(void)
{
	return owner_load_now;
}

extern "C" int64_t clock_wall_ms(void)
{
	return owner_load_now;
}

namespace
{

const int64_t WARM_UP_MS = 2000;
const int64_t RUN_MS = 3000;
const size_t WORKERS_PER_HOST = 10;
/* A call without a peer takes 0.22 ms of a core as the platform's bench charges
 * it; sending a batch is not part of the measured time. */
const double DIRECT_US = 220;
const double ROUND_US = 100;

void print_part(const char *name, double s, double seconds)
{
	printf("  %-14s %8.2f ms/s\n", name, s * 1000 / seconds);
}

void print_times(const OwnerLoad &l, double seconds, double starts)
{
	const OwnerTimes &t = l.times;
	double polls = (double)l.polls_answered;

	print_part("cell_tick", t.tick, seconds);
	print_part("take_batch", t.take_batch, seconds);
	print_part("batch_stored", t.batch_stored, seconds);
	print_part("job_view", t.view, seconds);
	print_part("answers", t.answers, seconds);
	print_part("relay_encode", t.relay_encode, seconds);
	print_part("relay_decode", t.relay_decode, seconds);
	print_part("all", t.sum(), seconds);
	printf("  per start %.1f us, per start and poll %.1f us\n",
	       t.sum() * 1e6 / starts, t.sum() * 1e6 / (starts + polls));
}

void play(size_t workers, int64_t ms, double slow)
{
	OwnerLoad l(workers, workers / WORKERS_PER_HOST, 1);
	double seconds = (double)ms / 1000, starts;
	cell_counts n;

	l.run_load(WARM_UP_MS);
	l.charge = {slow, 0, DIRECT_US * slow, ROUND_US * slow};
	l.reset();
	l.run_load(ms);
	n = l.counts();
	starts = (double)(n.starts - l.before.starts);
	printf("workers %zu slow %.1f: jobs %u tasks %u waiting %u active "
	       "peers %zu\n",
	       workers, slow, n.jobs, n.placed, n.waiting,
	       l.relay.active_count);
	printf("  per second: starts %.0f polls %.0f ends %.0f rounds %.0f "
	       "calls out %.2f MB in %.2f MB stored %.2f MB\n",
	       starts / seconds, (double)l.polls_answered / seconds,
	       (double)(n.ends_done - l.before.ends_done) / seconds,
	       (double)l.rounds / seconds, (double)l.bytes_out / 1e6 / seconds,
	       (double)l.bytes_in / 1e6 / seconds,
	       (double)l.stored_bytes / 1e6 / seconds);
	printf("  longest round %lld ms, usable %u, late starts %llu, held "
	       "back %llu, unanswered %llu, direct %llu, lost %llu, "
	       "expired %zu, ended otherwise %llu, oldest wait %llu ms\n",
	       (long long)l.longest_round_ms, n.usable,
	       (unsigned long long)n.late_starts,
	       (unsigned long long)(n.starts_held_back -
				    l.before.starts_held_back),
	       (unsigned long long)(n.unanswered - l.before.unanswered),
	       (unsigned long long)(l.relay.direct_calls - l.before_direct),
	       (unsigned long long)(l.relay.lost_calls - l.before_lost),
	       l.expired,
	       (unsigned long long)(n.ends_other - l.before.ends_other),
	       (unsigned long long)n.oldest_wait_ms);
	print_times(l, seconds, starts);
	fflush(stdout);
}

} /* namespace */

int main(int argc, char **argv)
{
	int64_t ms = argc > 2 ? atoll(argv[2]) : RUN_MS;
	double slow = argc > 3 ? atof(argv[3]) : 0;

	if (argc > 1) {
		play((size_t)atoll(argv[1]), ms, slow);
		return 0;
	}
	for (size_t workers : {300, 1000, 3000})
		play(workers, ms, slow);
	return 0;
}
