#include "base/verdict.h"

const struct reason_row reason_table[REASON_MAX] = {
	[REASON_NONE] = {"ok", 200, 0, false, "the request ran"},
	[REASON_BAD_REQUEST] = {"bad_request", 400, 0, true,
				"the request is malformed"},
	[REASON_UNKNOWN_SERVICE] =
		{"unknown_service", 404, 0, true,
		 "no current configuration document defines the service"},
	[REASON_TOO_LARGE] = {"too_large", 413, 0, true,
			      "the payload exceeds its size limit"},
	[REASON_QUOTA] = {"quota", 429, 2000, false,
			  "the team's quota of unfinished work is exhausted"},
	[REASON_OVERLOAD] = {"overload", 503, 1000, false,
			     "too much work is queued"},
	[REASON_ENTRY_FULL] = {"entry_full", 503, 500, true,
			       "this entry host has too many calls in flight"},
	[REASON_NO_ROOM] = {"no_room", 503, 2000, false,
			    "no worker had free capacity before the deadline"},
	[REASON_DEADLINE] = {"deadline", 504, 1000, false,
			     "the deadline passed before the request finished"},
	[REASON_CANCELLED] = {"cancelled", 409, 0, false,
			      "the caller cancelled the request"},
	[REASON_NOT_READY] =
		{"not_ready", 503, 1000, true,
		 "this process has not yet read its configuration"},
	[REASON_DRAINING] = {"draining", 503, 200, true,
			     "this process is shutting down"},
	[REASON_LOG_DOWN] =
		{"log_down", 503, 5000, false,
		 "the platform's log did not accept the record in time"},
	[REASON_NO_OWNER] = {"no_owner", 503, 1000, true,
			     "the job shard has no owner at present"},
	[REASON_TASK_FAILED] = {"task_failed", 500, 0, false,
				"the task failed on every attempt"},
	[REASON_WORKER_LOST] = {"worker_lost", 500, 0, false,
				"the worker was lost; the outcome is unknown"},
	[REASON_KEY_CONFLICT] =
		{"key_conflict", 409, 0, true,
		 "the key already belongs to a different request"},
	[REASON_UNKNOWN_JOB] = {"unknown_job", 404, 0, false,
				"no request with this key is known"},
	[REASON_NO_ANSWER] = {"no_answer", 504, 1000, true,
			      "no final answer came before the deadline"},
};

const char *verdict_name(enum verdict v)
{
	static const char *const names[] = {
		[VERDICT_NONE] = "none",
		[VERDICT_NOT_RUN] = "not_run",
		[VERDICT_RAN] = "ran",
		[VERDICT_MAY_HAVE_RUN] = "may_have_run",
	};

	return v <= VERDICT_MAY_HAVE_RUN ? names[v] : "none";
}
