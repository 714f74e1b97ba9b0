#ifndef HOST_ADMISSION_H
#define HOST_ADMISSION_H

#include "cell/job_view.h"
#include "cell/queue_table.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum admission - whether a job can be served
 *
 * @ADMISSION_NEEDS_TICKETS: the queue's policy allows starts with a ticket
 *	only, which is not built
 * @ADMISSION_NO_WORKER: a task needs a larger worker than there is, or a label
 *	that none has
 * @ADMISSION_OVER_LIMITS: a gang needs more than its account may have
 * @ADMISSION_FULL: a long-running job would take processors that short work
 *	needs
 */
enum admission {
	ADMISSION_OK,
	ADMISSION_NEEDS_TICKETS,
	ADMISSION_NO_WORKER,
	ADMISSION_OVER_LIMITS,
	ADMISSION_FULL,
};

/**
 * admission_check() - find out whether a job can be served
 * @view: the sizes of the workers and their load
 * @queues: of the jobs in @view
 * @account: of the caller; NULL for none
 * @now_ms: boot time
 * @step: set to the first step that cannot be served
 *
 * Answers callers whose jobs cannot run, or only in the place of other work, as
 * the workers and the configuration are known: they are refused at once.
 */
enum admission
admission_check(const struct job_view *view, const struct queue_table *queues,
		const struct queue *q, const struct account *account,
		const struct job_spec *spec, int64_t now_ms, size_t *step);

/**
 * admission_name() - reason of a refusal, for the log and the caller
 */
const char *admission_name(enum admission a);

#ifdef __cplusplus
}
#endif

#endif
