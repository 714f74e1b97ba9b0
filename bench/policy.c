#include "base/setting.h"
#include "bench/policy_model.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define SEEDS_MAX 32
#define THREADS 8

static struct setting rows[] = {
	{"seeds", "seeds", SETTING_NUMBER, 1, SEEDS_MAX, "5", "runs per policy",
	 false},
	{"first-seed", "number", SETTING_NUMBER, 0, INT64_MAX, "1",
	 "first seed", false},
};

struct spread {
	double mean;
	double half_range; /* half of the range over the seeds */
};

static struct spread compute_spread(const struct outcome *o, int n,
				    size_t offset)
{
	struct spread s = {0, 0};
	double low = 1e300, high = -1e300;
	int i;

	for (i = 0; i < n; i++) {
		double v;

		memcpy(&v, (const char *)&o[i] + offset, sizeof(v));

		s.mean += v / n;
		low = v < low ? v : low;
		high = v > high ? v : high;
	}
	s.half_range = (high - low) / 2;
	return s;
}

static void print_row(const char *name, const struct outcome *o, int n)
{
	static const size_t fields[] = {
		offsetof(struct outcome, p50),
		offsetof(struct outcome, p99),
		offsetof(struct outcome, p999),
		offsetof(struct outcome, batch_per_hour),
		offsetof(struct outcome, evictions),
		offsetof(struct outcome, lost_work),
		offsetof(struct outcome, transition_work),
	};
	size_t i;

	printf("%-18s", name);
	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		struct spread s = compute_spread(o, n, fields[i]);

		printf(i < 3 ? " %6.2f ±%4.2f" : " %7.1f ±%5.1f", s.mean,
		       s.half_range);
	}
	printf("\n");
}

/**
 * struct run_set - the runs of one table, shared by several threads
 * @first: first seed
 * @seeds: number of seeds
 * @next: index of the next run; taken by the threads atomically
 */
struct run_set {
	int workers;
	int cores;
	uint64_t first;
	int seeds;
	size_t next;
	struct outcome out[POLICIES][SEEDS_MAX];
};

static void *run_thread(void *arg)
{
	struct run_set *r = arg;

	for (;;) {
		size_t i = __atomic_fetch_add(&r->next, 1, __ATOMIC_RELAXED);
		size_t p = i / (size_t)r->seeds, k = i % (size_t)r->seeds;

		if (p >= POLICIES)
			return NULL;
		policy_run(&policies[p], r->workers, r->cores, r->first + k,
			   &r->out[p][k]);
	}
}

static void run_table(const char *name, int workers, int cores, uint64_t first,
		      int seeds)
{
	struct run_set *r = xcalloc(1, sizeof(*r));
	pthread_t threads[THREADS];
	size_t p;
	int i;

	r->workers = workers;
	r->cores = cores;
	r->first = first;
	r->seeds = seeds;
	for (i = 0; i < THREADS; i++)
		pthread_create(&threads[i], NULL, run_thread, r);
	for (i = 0; i < THREADS; i++)
		pthread_join(threads[i], NULL);

	printf("\n%s: %d workers, seeds %llu to %llu\n", name, workers,
	       (unsigned long long)first,
	       (unsigned long long)first + (unsigned long long)seeds - 1);
	printf("%-18s %12s %12s %12s %14s %14s %14s %14s\n", "policy", "p50",
	       "p99", "p99.9", "batch h/h", "evictions/h", "lost h/h",
	       "zone out, h");
	for (p = 0; p < POLICIES; p++)
		print_row(policies[p].name, r->out[p], seeds);
	free(r);
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-policy",
		.about = "Compares placement policies under interference that "
			 "they cannot observe directly.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = settings_parse(&s, argc, argv);

	if (code < 0) {
		uint64_t first = (uint64_t)settings_number(&s, "first-seed");
		int seeds = (int)settings_number(&s, "seeds");

		run_table("Authority", 65, 64, first, seeds);
		run_table("Régie", 50, 16, first, seeds);
		code = EXIT_CODE_OK;
	}
	settings_finish(&s);
	return code;
}
