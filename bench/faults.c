#include "base/setting.h"
#include "standins/world.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#define THREADS_MAX 64
#define CASES_MAX 200000
/* Maximum number of steps of one site at which faults are injected. */
#define FREQUENT_STEPS_MAX 8
#define RARE_STEPS_MAX 24
#define FAILURES_PRINTED_MAX 40

static struct setting rows[] = {
	{"part", "name", SETTING_TEXT, 0, 8, "all",
	 "all, single, pairs or quick", true},
	{"case", "id", SETTING_TEXT, 0, 200, "",
	 "run one case, FAULT@SITE#N or two joined by +, and print its "
	 "timeline",
	 false},
	{"threads", "threads", SETTING_NUMBER, 1, THREADS_MAX, "8",
	 "cases run concurrently", false},
	{"pairs", "cases", SETTING_NUMBER, 0, CASES_MAX, "4000",
	 "random pairs of faults, in addition to the enumerated ones", false},
	{"seed", "number", SETTING_NUMBER, 0, INT64_MAX, "1",
	 "seed of the random pairs", false},
	{"without", "bits", SETTING_NUMBER, 0, PROTECT_ALL, "0",
	 "protections to disable, as the sum of their bits", false},
};

/**
 * struct plan - the cases to run and their results
 * @next: index of the next case to run; taken by the threads atomically
 */
struct plan {
	struct world_case *cases;
	struct world_result *results;
	size_t count;
	size_t next;
};

/* Sites of messages and reads that recur often: their steps are much alike. */
static bool is_frequent_site(int site)
{
	switch (site) {
	case MSG_HELLO:
	case MSG_HEARTBEAT:
	case MSG_FENCE:
	case MSG_RENEW:
	case MSG_INVENTORY:
	case SITE_READ_CONFIG:
	case SITE_READ_CLAIMS:
	case SITE_READ_JOBS:
		return true;
	default:
		return false;
	}
}

/*
 * Picks the steps of a site at which faults are injected: all steps, or evenly
 * spaced ones if there are more than the limit. A @cap of 0 means no further
 * limit.
 */
static uint32_t pick_steps(int site, uint32_t steps, uint32_t cap,
			   uint32_t *out)
{
	uint32_t limit = is_frequent_site(site) ? FREQUENT_STEPS_MAX
						: RARE_STEPS_MAX,
		 i;

	if (cap && limit > cap)
		limit = cap;
	if (steps <= limit) {
		for (i = 0; i < steps; i++)
			out[i] = i;
		return steps;
	}
	for (i = 0; i < limit; i++)
		out[i] = (uint32_t)((uint64_t)i * steps / limit);
	return limit;
}

static void add_case(struct plan *p, const struct world_case *c)
{
	if (p->count < CASES_MAX)
		p->cases[p->count++] = *c;
}

static void plan_single(struct plan *p, const struct world_result *fault_free,
			const struct world_case *base, uint32_t cap)
{
	uint32_t steps[RARE_STEPS_MAX], n, i;
	int site, f;

	for (site = 0; site < SITE_MAX; site++) {
		n = pick_steps(site, fault_free->steps[site], cap, steps);
		for (i = 0; i < n; i++)
			for (f = 0; f < FAULT_MAX; f++) {
				struct world_case c = *base;
				struct injection in = {(enum fault)f, site,
						       steps[i]};

				c.faults[c.fault_count++] = in;
				add_case(p, &c);
			}
	}
}

static struct injection draw_injection(struct rng *rng,
				       const struct world_result *fault_free)
{
	struct injection in;

	do
		in.site = (int)rng_below(rng, SITE_MAX);
	while (!fault_free->steps[in.site]);
	in.nth = (uint32_t)rng_below(rng, fault_free->steps[in.site]);
	in.fault = (enum fault)rng_below(rng, FAULT_MAX);
	return in;
}

/*
 * Adds pairs of faults: all combinations over the steps of an ownership change,
 * then @count random pairs over all sites.
 */
static void plan_pairs(struct plan *p, const struct world_result *fault_free,
		       const struct world_case *base, size_t count,
		       uint64_t seed)
{
	static const int sites[] = {SITE_APPEND_CLAIMS, MSG_STOP,
				    SITE_APPEND_JOBS};
	static const enum fault first[] = {FAULT_KILLED, FAULT_PAUSED,
					   FAULT_LOST_AFTER, FAULT_ZONE_CUT};
	struct rng rng = {seed};
	uint32_t steps[RARE_STEPS_MAX], n, i;
	size_t s, k;
	int f;

	for (s = 0; s < sizeof(sites) / sizeof(sites[0]); s++) {
		n = pick_steps(sites[s], fault_free->steps[sites[s]], 6, steps);
		for (i = 0; i < n; i++)
			for (k = 0; k < 4; k++)
				for (f = 0; f < FAULT_MAX; f++) {
					struct world_case c = *base;

					c.faults[0].fault = first[k];
					c.faults[0].site = sites[s];
					c.faults[0].nth = steps[i];
					c.faults[1].fault = (enum fault)f;
					c.faults[1].site = sites[(s + 1) % 3];
					c.faults[1].nth = steps[i] + 2;
					c.fault_count = 2;
					add_case(p, &c);
				}
	}
	for (k = 0; k < count; k++) {
		struct world_case c = *base;

		c.faults[0] = draw_injection(&rng, fault_free);
		c.faults[1] = draw_injection(&rng, fault_free);
		c.fault_count = 2;
		add_case(p, &c);
	}
}

static void *run_cases(void *arg)
{
	struct plan *p = arg;

	for (;;) {
		size_t i = __atomic_fetch_add(&p->next, 1, __ATOMIC_RELAXED);

		if (i >= p->count)
			return NULL;
		world_run(&p->cases[i], &p->results[i]);
	}
}

static void print_id(const struct world_case *c)
{
	size_t i;

	for (i = 0; i < c->fault_count; i++)
		printf("%s%s@%s#%u", i ? "+" : "",
		       fault_name(c->faults[i].fault),
		       site_name(c->faults[i].site), c->faults[i].nth);
}

static int report(const struct plan *p)
{
	size_t i, failed = 0;

	for (i = 0; i < p->count; i++) {
		if (!p->results[i].violation[0])
			continue;
		if (++failed > FAILURES_PRINTED_MAX)
			continue;
		printf("FAILED ");
		print_id(&p->cases[i]);
		printf(": %s\n", p->results[i].violation);
	}
	printf("faults: %zu cases, %zu passed, %zu failed\n", p->count,
	       p->count - failed, failed);
	return failed ? EXIT_CODE_FAILED : EXIT_CODE_OK;
}

static bool parse_injection(const char *text, size_t len, struct injection *in)
{
	char id[128];
	char *at, *hash;
	int i;

	if (len >= sizeof(id))
		return false;
	memcpy(id, text, len);
	id[len] = '\0';
	at = strchr(id, '@');
	hash = strchr(id, '#');
	if (!at || !hash)
		return false;
	*at = *hash = '\0';
	in->fault = FAULT_MAX;
	in->site = SITE_MAX;
	in->nth = (uint32_t)strtoul(hash + 1, NULL, 10);
	for (i = 0; i < FAULT_MAX; i++)
		if (!strcmp(fault_name((enum fault)i), id))
			in->fault = (enum fault)i;
	for (i = 0; i < SITE_MAX; i++)
		if (!strcmp(site_name(i), at + 1))
			in->site = i;
	return in->fault < FAULT_MAX && in->site < SITE_MAX;
}

static int run_one(const char *id, struct world_case *c)
{
	struct world_result r;

	while (*id && strcmp(id, "none")) {
		size_t len = strcspn(id, "+");

		if (c->fault_count == WORLD_FAULTS_MAX ||
		    !parse_injection(id, len, &c->faults[c->fault_count++])) {
			fprintf(stderr, "faults: invalid case: expected "
					"FAULT@SITE#N or two joined by +\n");
			return EXIT_CODE_USAGE;
		}
		id += len + (id[len] == '+');
	}
	c->trace = true;
	world_run(c, &r);
	printf("%s: %u ran, %u not run, %u unknown\n",
	       r.violation[0] ? r.violation : "all invariants hold", r.ran,
	       r.not_run, r.unknown);
	return r.violation[0] ? EXIT_CODE_FAILED : EXIT_CODE_OK;
}

static int run_plan(const struct settings *s, const struct world_case *base)
{
	const char *part = settings_text(s, "part");
	int64_t threads = settings_number(s, "threads"), i;
	struct world_result fault_free;
	pthread_t ids[THREADS_MAX];
	struct plan p = {0};
	int code;

	world_run(base, &fault_free);
	if (fault_free.violation[0]) {
		printf("FAILED without any fault: %s\n", fault_free.violation);
		return EXIT_CODE_FAILED;
	}
	p.cases = xcalloc(CASES_MAX, sizeof(*p.cases));
	if (strcmp(part, "pairs"))
		plan_single(&p, &fault_free, base,
			    strcmp(part, "quick") ? 0 : 3);
	if (!strcmp(part, "all") || !strcmp(part, "pairs"))
		plan_pairs(&p, &fault_free, base,
			   (size_t)settings_number(s, "pairs"),
			   (uint64_t)settings_number(s, "seed"));
	p.results = xcalloc(p.count, sizeof(*p.results));
	for (i = 0; i < threads; i++)
		pthread_create(&ids[i], NULL, run_cases, &p);
	for (i = 0; i < threads; i++)
		pthread_join(ids[i], NULL);
	code = report(&p);
	free(p.cases);
	free(p.results);
	return code;
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-faults",
		.about = "Runs the fault matrix on the deterministic core.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	struct world_case base = {.seed = 1};
	int code = settings_parse(&s, argc, argv);

	if (code < 0) {
		base.protections =
			PROTECT_ALL & ~(uint32_t)settings_number(&s, "without");
		if (settings_text(&s, "case")[0])
			code = run_one(settings_text(&s, "case"), &base);
		else
			code = run_plan(&s, &base);
	}
	settings_finish(&s);
	return code;
}
