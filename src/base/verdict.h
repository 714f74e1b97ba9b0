#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * enum verdict - outcome of a request, as far as it is proven
 */
enum verdict {
	VERDICT_NONE,         /* no final answer yet */
	VERDICT_NOT_RUN,      /* proven: no part of the request ran */
	VERDICT_RAN,          /* ran; the result is complete */
	VERDICT_MAY_HAVE_RUN, /* whether it ran cannot be proven */
};

/**
 * enum reason - why a request was not answered with a result
 */
enum reason {
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_UNKNOWN_SERVICE,
	REASON_TOO_LARGE,
	REASON_QUOTA,
	REASON_OVERLOAD,
	REASON_ENTRY_FULL,
	REASON_NO_ROOM,
	REASON_DEADLINE,
	REASON_CANCELLED,
	REASON_NOT_READY,
	REASON_DRAINING,
	REASON_LOG_DOWN,
	REASON_NO_OWNER,
	REASON_TASK_FAILED,
	REASON_WORKER_LOST,
	REASON_KEY_CONFLICT,
	REASON_UNKNOWN_JOB,
	REASON_NO_ANSWER,
	REASON_MAX,
};

/**
 * struct reason_row - properties of one reason
 * @name: code in answers to callers
 * @http: HTTP status of the answer
 * @call_only: "not run" applies to this call only; an earlier call with the
 *             same key may have run
 * @retry_ms: retry hint for the caller, in milliseconds; 0 gives no hint
 * @help: description, one line
 */
struct reason_row {
	const char *name;
	int http;
	uint32_t retry_ms;
	bool call_only;
	const char *help;
};

extern const struct reason_row reason_table[REASON_MAX];

const char *verdict_name(enum verdict v);

#ifdef __cplusplus
}
#endif

#endif
