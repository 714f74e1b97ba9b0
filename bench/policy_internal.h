#ifndef BENCH_POLICY_INTERNAL_H
#define BENCH_POLICY_INTERNAL_H

#include "bench/policy_model.h"
#include "core/interference.h"
#include "core/response.h"

/*
 * A model of workers whose tasks disturb each other in ways that are hidden
 * from the policies: they see only lagging, noisy measurements.
 */

#define WORKERS_MAX 65
#define SLOTS 8
#define LC_KINDS 4
#define BATCH_KINDS 8
#define KINDS (LC_KINDS + BATCH_KINDS)
#define STEP_MS 1000
#define WARMUP_STEPS 600
#define LAG_STEPS 10
#define SAMPLE_BINS 4000

struct model_task {
	int kind; /* -1 is a free slot */
	double work_left;
	double done_since_checkpoint;
	double speed;
	int fails_at_step;
	int queued_at_step;
};

struct model_worker {
	struct model_task slots[SLOTS];
	int zone;
	bool is_out;
	bool is_failing;
	int quarantine_end_step;
	uint32_t failures;
	struct response response;
	double history[LAG_STEPS + 1]; /* worst slow-down of its services */
	int measured_at_step[LAG_STEPS + 1];
	struct model_task past_slots[LAG_STEPS + 1][SLOTS];
	double measured_slowdown[LAG_STEPS + 1][SLOTS];
};

struct model {
	const struct policy *policy;
	struct rng rng;
	struct rng noise;
	struct model_worker workers[WORKERS_MAX];
	int worker_count;
	int cores;
	int lc_target[LC_KINDS];
	struct model_task queue[4096];
	size_t queue_count;
	double true_effects[KINDS][KINDS];
	double loads[KINDS];
	double cost[KINDS][KINDS];
	struct interference learned;
	uint32_t bins[SAMPLE_BINS];
	uint64_t samples;
	double batch_work;
	double transition_work;
	double lost_work;
	uint32_t evictions;
	int step;
};

static inline bool is_lc(int kind)
{
	return kind >= 0 && kind < LC_KINDS;
}

static inline uint64_t service_of(int kind)
{
	return (uint64_t)kind + 1;
}

/* policy_model.c */

/**
 * hidden_effect() - what a neighbour does to a task, by the hidden truth
 */
double true_effect(const struct model *m, int subject, int neighbour);
double slowdown_of(const struct model *m, const struct model_worker *w,
		   int slot);

/* policy_place.c */

/**
 * refresh_costs() - what each pair costs, by what the policy knows
 */
void refresh_costs(struct model *m);
double expected_cost(const struct model *m, const struct model_worker *w,
		     int kind);
bool place_task(struct model *m, const struct model_task *t);

/**
 * requeue() - a task goes back from its slot; its unsaved work is lost
 */
void requeue(struct model *m, struct model_task *t);

/* policy_respond.c */

/**
 * remember() - what is measured now, for use after a lag
 */
void record_measurements(struct model *m, struct model_worker *w);
void observe_interference(struct model *m, const struct model_worker *w,
			  int sample);
void respond_to_slowdown(struct model *m, struct model_worker *w, int sample);

#endif
