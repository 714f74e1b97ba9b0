#ifndef CELL_PLACE_PLAN_H
#define CELL_PLACE_PLAN_H

#include "cell/release_profile.h"
#include "cell/step_ref.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct place_plan - planned start of tasks of a step on one worker
 * @owner: the step
 * @lateness: of the step, as @priority see struct cell_queued_step
 * @tasks: of the step that are to start there
 * @start_ms: when there is room for them
 * @uncertainty_ms: they may start later by this time
 * @spare: capacity that is left beside them then
 */
struct place_plan {
	struct step_ref owner;
	uint32_t lateness;
	uint32_t priority;
	uint32_t tasks;
	int64_t start_ms;
	int64_t uncertainty_ms;
	struct capacity spare;
};

/**
 * struct plan_claim - what a step asks of a worker that has a plan
 * @goes_first: it has waited for so long that no plan stands in its way
 * @slack_ms: the time that it can wait and still end in time; negative if it
 *	cannot
 * @run_ms: its tasks are not expected to run for longer
 */
struct plan_claim {
	struct step_ref owner;
	uint32_t lateness;
	uint32_t priority;
	bool goes_first;
	int64_t slack_ms;
	int64_t run_ms;
	struct capacity need;
};

/**
 * enum plan_answer - whether a task may start on a worker that has a plan
 *
 * @PLAN_IS_OWN: it is one of those that the plan is for
 * @PLAN_YIELDS: it goes before them
 * @PLAN_BEFORE: it ends before their start
 * @PLAN_BESIDE: it fits beside them
 * @PLAN_HOLDS: it may not
 */
enum plan_answer {
	PLAN_IS_OWN,
	PLAN_YIELDS,
	PLAN_BEFORE,
	PLAN_BESIDE,
	PLAN_HOLDS,
};

/**
 * place_plan_exists() - whether the start of any task is planned
 */
bool place_plan_exists(const struct place_plan *p);

enum plan_answer place_plan_ask(const struct place_plan *p,
				const struct plan_claim *q, int64_t now_ms);

/**
 * place_plan_started() - note that a task has been started under an answer
 *
 * Return: false when the plan has no task left to start.
 */
bool place_plan_started(struct place_plan *p, const struct plan_claim *q,
			enum plan_answer answer);

/**
 * place_plan_is_overdue() - whether the worker should have had room long ago
 */
bool place_plan_is_overdue(const struct place_plan *p, int64_t now_ms);

#ifdef __cplusplus
}
#endif

#endif
