#ifndef BENCH_POLICY_INTERNAL_H
#define BENCH_POLICY_INTERNAL_H

#include "bench/policy_model.h"
#include "core/interference.h"
#include "core/response.h"

/*
 * A model of workers whose tasks interfere with each other. The policies do not
 * know the true effects, only delayed and noisy measurements of them.
 *
 * Kinds of tasks below LC_KINDS are latency-critical services, the others are
 * batch work. A step lasts STEP_MS; work is measured in steps of an undisturbed
 * task.
 */

#define WORKERS_MAX 65
#define SLOTS 8
#define LC_KINDS 4
#define BATCH_KINDS 8
#define KINDS (LC_KINDS + BATCH_KINDS)
#define STEP_MS 1000
#define WARMUP_STEPS 600 /* steps before results are counted */
#define LAG_STEPS 10     /* delay of the measurements */
#define SAMPLE_BINS 4000

struct sim_task {
	int kind; /* -1 for a free slot */
	double work_left;
	double done_since_checkpoint;
	double speed;
	int fails_at_step;
	int queued_at_step;
};

struct sim_worker {
	struct sim_task slots[SLOTS];
	int zone;
	bool is_out;
	bool is_failing;
	int quarantine_end_step;
	uint32_t failures;
	struct response response;
	double history[LAG_STEPS + 1]; /* unused */
	int measured_at_step[LAG_STEPS + 1];
	struct sim_task past_slots[LAG_STEPS + 1][SLOTS];
	double measured_slowdown[LAG_STEPS + 1][SLOTS];
};

struct model {
	const struct policy *policy;
	struct rng rng;
	struct rng noise;
	struct sim_worker workers[WORKERS_MAX];
	int worker_count;
	int cores;
	int lc_target[LC_KINDS];
	struct sim_task queue[4096];
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
 * true_effect() - true slowdown of a task by one neighbour
 *
 * Return: extra run time as a share of the undisturbed time.
 */
double true_effect(const struct model *m, int subject, int neighbour);

/**
 * slowdown_of() - true slowdown of the task in a slot, 1.0 is undisturbed
 */
double slowdown_of(const struct model *m, const struct sim_worker *w, int slot);

/* policy_place.c */

/**
 * refresh_costs() - update the cost of each pair from what the policy knows
 */
void refresh_costs(struct model *m);

/**
 * expected_cost() - cost of placing a task of a kind on a worker, as the policy
 * expects it
 */
double expected_cost(const struct model *m, const struct sim_worker *w,
		     int kind);

/**
 * place_task() - start a task in a free slot
 *
 * Return: false if no worker fits or the expected cost is over the limit.
 */
bool place_task(struct model *m, const struct sim_task *t);

/**
 * requeue() - move a task from its slot back to the queue
 *
 * The work since its last checkpoint is lost.
 */
void requeue(struct model *m, struct sim_task *t);

/* policy_respond.c */

/**
 * record_measurements() - store the measurements of this step
 *
 * The policy receives them LAG_STEPS later.
 */
void record_measurements(struct model *m, struct sim_worker *w);

/**
 * observe_interference() - update the learned interference
 * @sample: index of the measurements to learn from
 */
void observe_interference(struct model *m, const struct sim_worker *w,
			  int sample);

/**
 * respond_to_slowdown() - throttle, evict or release batch tasks of a worker
 * @sample: index of the measurements to act on
 */
void respond_to_slowdown(struct model *m, struct sim_worker *w, int sample);

#endif
