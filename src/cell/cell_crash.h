#ifndef CELL_CELL_CRASH_H
#define CELL_CELL_CRASH_H

#include "cell/cell_types.h"

/*
 * Tasks that crash the workers that start them: crashes are charged to the runs
 * that may have caused them, and a task with crashes is tried apart from others
 * until it has run for a while, or is given up.
 */

/**
 * cell_crash_charge() - count the crash of a worker against the tasks that it
 * had just started
 *
 * A task without a settled run is given up, and its job fails, after repeated
 * crashes: sooner if no other job can have caused the last one. A draining
 * worker is expected to leave, which counts as no crash. The caller ends the
 * runs afterwards.
 */
void cell_crash_charge(struct cell *c, struct cell_worker *w);

/**
 * cell_crash_charge_listed() - count the crash of a worker's former process
 * against the tasks that it had just started
 *
 * Which process has started a run is known once the worker has listed it. A run
 * that the former process has not listed is charged by cell_crash_charge_lost()
 * if it turns out to be lost.
 */
void cell_crash_charge_listed(struct cell *c, struct cell_worker *w);

/**
 * cell_crash_charge_lost() - charge a run that the present process of its
 * worker does not list
 *
 * Without effect on a run that cell_crash_charge_listed() has left in no doubt.
 */
void cell_crash_charge_lost(struct cell *c, struct cell_task *t);

/**
 * cell_crash_attach() - note that a task has been assigned to a worker
 *
 * Until the run has settled, a task with crashes is on trial there.
 */
void cell_crash_attach(struct cell *c, struct cell_task *t);

/**
 * cell_crash_detach() - note that a task is about to leave its worker
 */
void cell_crash_detach(struct cell *c, struct cell_task *t);

/**
 * cell_crash_started() - note that the worker has confirmed the start of a run
 * @clock: the worker's clock, milliseconds
 */
void cell_crash_started(struct cell_task *t, int64_t clock);

/**
 * cell_crash_reported() - note that the worker has listed a run as active
 * @clock: the worker's clock, milliseconds
 *
 * A run that has settled clears its task of earlier crashes.
 */
void cell_crash_reported(struct cell *c, struct cell_task *t, int64_t clock);

/**
 * cell_crash_unsettled() - count the runs on a worker that have not settled
 */
uint32_t cell_crash_unsettled(const struct cell_worker *w);

/**
 * cell_crash_may_share() - whether a task may run on a worker beside the tasks
 * on trial there
 */
bool cell_crash_may_share(const struct cell_task *t,
			  const struct cell_worker *w);

/**
 * cell_crash_trial_blocks() - whether a trial keeps a worker from taking tasks
 *
 * If the worker crashes during the trial, no other job can have caused it.
 */
bool cell_crash_trial_blocks(const struct cell *c, const struct cell_worker *w);

#endif
