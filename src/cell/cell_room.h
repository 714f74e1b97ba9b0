#ifndef CELL_CELL_ROOM_H
#define CELL_CELL_ROOM_H

#include "cell/cell_types.h"

/**
 * enum cell_obstacle - what keeps the tasks of a step from a worker
 */
enum cell_obstacle {
	OBSTACLE_NONE,
	OBSTACLE_SERVICE,  /* it belongs to another pool */
	OBSTACLE_BLOCKED,  /* it takes no tasks at present */
	OBSTACLE_CAPACITY, /* too little is free, or the limit of tasks of the
			      step on one worker is reached */
	OBSTACLE_RESERVED, /* for another step */
	OBSTACLE_LABEL,
	OBSTACLE_KINDS,
};

/**
 * cell_obstacle_of() - the first obstacle for tasks of a step on a worker
 *
 * Interference is not checked, nor whether a single task is kept from it.
 */
enum cell_obstacle cell_obstacle_of(const struct cell *c,
				    const struct cell_worker *w,
				    const struct cell_step *st,
				    uint64_t service);

/**
 * cell_worker_has_label() - whether a worker has a label; all have the empty
 * one
 */
bool cell_worker_has_label(const struct cell_worker *w, const char *label);

/**
 * cell_choose_worker() - find the cheapest worker for a task
 * @rack: only workers in this rack, or NULL for any
 * @starved: see cell_placement_cost()
 *
 * Return: the worker, or NULL.
 */
struct cell_worker *cell_choose_worker(struct cell *c,
				       const struct cell_task *t,
				       uint64_t service, const char *rack,
				       bool starved);

/**
 * cell_candidates_fill() - collect the workers that can take a task, for all
 * tasks of its step
 * @since_version: only workers with a higher @version; 0 for all
 *
 * One look at the workers serves the whole step: it answers many tasks that
 * wait for many workers.
 */
void cell_candidates_fill(struct cell *c, const struct cell_task *t,
			  uint64_t service, uint64_t since_version);

/**
 * cell_candidates_take() - find the cheapest of the candidates for a task
 *
 * Return: the worker, which stays a candidate for the next task of the step, or
 * NULL.
 */
struct cell_worker *cell_candidates_take(struct cell *c,
					 const struct cell_task *t);

/**
 * cell_reserve_worker() - reserve a worker until a task of the step fits there
 */
void cell_reserve_worker(struct cell *c, const struct cell_step *st,
			 uint64_t service);

/**
 * cell_step_demand() - what a step demands of a worker
 */
struct cell_demand cell_step_demand(const struct cell_step *st,
				    uint64_t service);

/**
 * cell_step_no_fit_version() - up to which version of the cell no worker meets
 * the demand of a step
 *
 * Return: the version: only workers with a higher one need to be tried; or 0.
 */
uint64_t cell_step_no_fit_version(struct cell *c, struct cell_step *st,
				  const struct cell_demand *demand);

/**
 * cell_no_fit_record() - record that no worker meets the demand of a step
 */
void cell_no_fit_record(struct cell *c, struct cell_step *st,
			const struct cell_demand *demand);

#endif
