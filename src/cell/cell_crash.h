#ifndef CELL_CELL_CRASH_H
#define CELL_CELL_CRASH_H

#include "cell/cell_types.h"

/*
 * Tasks that crash the workers that start them: crashes are charged to the runs
 * that may have caused them, and a task with crashes is tried apart from others
 * until it has run for a while. One with several is contained, see
 * cell_contain_task(); a long-running task is tried again at a bounded rate.
 */

/* Crashes after which a task is contained if the last one is conclusive.
 * Whatever ends a worker is charged to the tasks that it had just started, so
 * the first crash tells nothing, and a single further one may be a coincidence.
 */
#define CRASHES_MIN 3

/**
 * cell_crash_charge() - count the crash of a worker against the tasks that it
 * had just started
 *
 * A task without a settled run is contained after repeated crashes: sooner if
 * the last one was on another worker than that before, no other job can have
 * caused it, and no workers are being lost without the task. Before, it is held
 * back until the other losses of that time are known: a crash whose cause other
 * workers had in common is not charged. A worker that leaves as announced has
 * not crashed. Nor are further crashes of one worker charged where no other
 * suits the task: it may have a cause of its own, and the task is tried there
 * again after a growing pause. The caller ends the runs afterwards.
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
 * cell_crash_charge_ended() - charge the tasks whose runs ended with the leases
 * of a worker, now that its process is known to have ended
 */
void cell_crash_charge_ended(struct cell *c, const struct cell_worker *w);

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
 * cell_crash_ended() - note how a run has ended
 */
void cell_crash_ended(struct cell *c, struct cell_task *t, enum run_end how);

/**
 * cell_crash_recover() - take over what a former owner has stored
 */
void cell_crash_recover(struct cell *c, struct cell_task *t, uint8_t crashes);

/**
 * cell_crash_stored() - what the next owner has to know of a task's crashes
 */
uint8_t cell_crash_stored(const struct cell_task *t);

/**
 * cell_crash_restarted() - note that a new process of a worker is known
 */
void cell_crash_restarted(struct cell_worker *w);

/**
 * cell_crash_answered() - note that a worker has answered
 *
 * If its end was noted, its process has not ended after all.
 */
void cell_crash_answered(struct cell *c, struct cell_worker *w);

/**
 * cell_crash_forget_loss() - empty an entry of the losses
 *
 * Tasks whose last crash it was to be judged by are not held any longer.
 */
void cell_crash_forget_loss(struct cell *c, struct worker_loss *l);

/**
 * cell_crash_tick() - decide on the tasks that are held
 */
void cell_crash_tick(struct cell *c);

/**
 * cell_crash_is_held() - whether a task may not be placed yet
 */
bool cell_crash_is_held(const struct cell *c, const struct cell_task *t);

/**
 * cell_crash_is_unsettled() - whether a run may have been active and has not
 * been seen to settle
 */
bool cell_crash_is_unsettled(const struct cell_task *t);

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
