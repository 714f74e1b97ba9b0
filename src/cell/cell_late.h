#ifndef CELL_CELL_LATE_H
#define CELL_CELL_LATE_H

#include "cell/cell_types.h"

/*
 * Starts without an answer. A worker may carry one out seconds later. Its
 * process refuses one that has been stopped there, but a new process under the
 * same id knows of no stop, and on its clock the deadline is far ahead. So the
 * stop is repeated at each new process, and the task is not started elsewhere
 * before that process has listed its runs. Under raised fences no stop is
 * needed: a process that has answered refuses the start, see cell_fence.h.
 *
 * None is forgotten before its time: while LATE_STARTS_MAX starts have no
 * answer, or LATE_STARTS_PER_WORKER for each worker where that is more, no
 * other is sent.
 */

void cell_late_init(struct cell *c);
void cell_late_finish(struct cell *c);

/**
 * cell_late_has_room() - whether this many more starts may be sent
 */
bool cell_late_has_room(const struct cell *c, size_t starts);

/**
 * cell_late_note() - note a start that got no answer
 * @to: process that it was sent to
 */
void cell_late_note(struct cell *c, const struct worker_addr *to,
		    const struct task_ref *ref);

/**
 * cell_late_restarted() - stop starts to former processes at a worker's new one
 */
void cell_late_restarted(struct cell *c, const struct cell_worker *w);

/**
 * cell_late_expired() - keep the tasks of starts without an answer from being
 * started elsewhere, as the leases of their silent worker have ended
 *
 * The leases are those of the process that the owner knows. A later one may
 * carry the starts out, with a longer lease.
 */
void cell_late_expired(struct cell *c, const struct cell_worker *w);

/**
 * cell_late_listed() - account for a complete listing of a worker's runs
 */
void cell_late_listed(struct cell *c, const struct cell_worker *w,
		      const struct poll_reply *r);

/**
 * cell_late_holds() - whether a task waits for a new process that may have
 * carried out a start of it
 */
bool cell_late_holds(const struct cell *c, const struct cell_task *t);

/**
 * cell_late_tick() - send the stops that are due, and forget the starts that
 * can no longer be carried out
 */
void cell_late_tick(struct cell *c);

/**
 * cell_late_log() - log that starts have been held back since the last call
 */
void cell_late_log(struct cell *c);

#endif
