#ifndef CORE_MSG_H
#define CORE_MSG_H

#include "base/field.h"
#include "base/verdict.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * MSG_VERSION - version of the protocol between the project's processes
 */
#define MSG_VERSION 1

/* One row per kind: symbol, name, direction and meaning. */
#define MSG_ROWS(X)                                                            \
	X(HELLO, "hello",                                                      \
	  "any: opens a connection; entry to schedd: request a heartbeat")     \
	X(HEARTBEAT, "heartbeat",                                              \
	  "schedd to schedd or entry: shards owned, free capacity")            \
	X(SUBMIT, "submit", "entry to job owner: run or join a request")       \
	X(ACCEPTED, "accepted", "job owner to entry: accept record confirmed") \
	X(ANSWER, "answer", "job owner to entry: final answer")                \
	X(CANCEL, "cancel", "entry to job owner: cancel a request")            \
	X(QUERY, "query", "entry to job owner: get request state")             \
	X(RESERVE, "reserve", "job owner to rack owner: reserve capacity")     \
	X(RESERVED, "reserved", "rack owner to job owner: worker, or refusal") \
	X(START, "start", "job owner to rack owner: run an attempt")           \
	X(STOP, "stop", "job owner to rack owner: end an attempt")             \
	X(VERIFY, "verify", "job owner to rack owner: get attempt state")      \
	X(DISPLACE, "displace", "job owner to rack owner: preempt tasks")      \
	X(TASK, "task", "rack owner to job owner: state of an attempt")        \
	X(FORGET, "forget", "job owner to rack owner: state is recorded")      \
	X(FENCE, "fence", "rack owner to worker: set epoch, get inventory")    \
	X(RENEW, "renew", "rack owner to worker: extend leases")               \
	X(INVENTORY, "inventory", "worker to rack owner: all tasks it holds")  \
	X(WORKER_START, "worker_start",                                        \
	  "rack owner to worker: start an attempt")                            \
	X(WORKER_STOP, "worker_stop", "rack owner to worker: end an attempt")  \
	X(WORKER_THROTTLE, "worker_throttle",                                  \
	  "rack owner to worker: limit the speed of a task")                   \
	X(WORKER_FORGET, "worker_forget",                                      \
	  "rack owner to worker: drop attempt state")                          \
	X(WORKER_TASK, "worker_task", "worker to rack owner: state of a task") \
	X(RELAY, "relay", "owner to entry host: calls to make to workers")     \
	X(RELAYED, "relayed", "entry host to owner: the workers' answers")     \
	X(RECORDS, "records", "entry host to owner and back: callers' records")

enum msg_kind {
#define MSG_ENUM(sym, name, help) MSG_##sym,
	MSG_ROWS(MSG_ENUM)
#undef MSG_ENUM
		MSG_KIND_MAX,
};

/**
 * enum task_state - known state of one attempt
 */
enum task_state {
	TASK_NONE,        /* no state known */
	TASK_REFUSED,     /* the order was not carried out; proves nothing */
	TASK_RUNNING,     /* under lease on the worker */
	TASK_FINISHED,    /* ran to its end; the result is complete */
	TASK_FAILED,      /* the task itself ended with an error */
	TASK_STOPPED,     /* ended early; progress is checkpointed */
	TASK_NOT_STARTED, /* the worker never ran it and never will */
	TASK_GONE,        /* the worker has restarted; the attempt is gone */
	TASK_LOST,        /* lease expired while the worker was unreachable */
};

/**
 * struct resources - amounts of a worker's resources
 * @cpu_milli: thousandths of a CPU core
 * @mem_mb: megabytes
 * @accel: accelerators
 * @slots: task slots
 * @conns: connections
 */
struct resources {
	uint32_t cpu_milli;
	uint32_t mem_mb;
	uint32_t accel;
	uint32_t slots;
	uint32_t conns;
};

/**
 * resources_add() - add the amount of every resource
 */
void resources_add(struct resources *to, const struct resources *r);
void resources_sub(struct resources *from, const struct resources *r);

/**
 * struct task_status - one task in a worker's inventory
 */
struct task_status {
	uint64_t job;
	uint64_t shard; /* job shard that holds the job */
	uint32_t attempt;
	uint32_t state; /* enum task_state */
	uint64_t progress;
	uint64_t cpu_ms;
	uint32_t movable; /* it may be ended and run on another worker */
	uint32_t keep;    /* renewed also while the log cannot be read */
	uint32_t urgency;
	uint64_t service; /* service_id() */
	uint32_t lease_ms;
	uint32_t slowdown_milli; /* time over undisturbed time; 0 is unknown */
	struct resources res;
	struct str result;
};

/**
 * struct owned_shard - one shard in a heartbeat, with its free capacity
 */
struct owned_shard {
	uint64_t shard;
	uint64_t epoch;
	uint32_t cpu_milli; /* largest free amount on one worker */
	uint32_t mem_mb;
	uint32_t accel;
	uint32_t slots; /* free slots in the whole rack */
};

/**
 * struct msg - a message between processes of the project, or to a worker
 * @kind: enum msg_kind
 * @from: host id of the sender
 * @corr: correlation id, echoed in the reply
 * @clock: hybrid logical clock of the sender
 * @boot: incarnation of the sender, or of the worker that the message names
 * @worker_clock_ms: clock of the worker
 * @not_after_ms: time after which the order is void, by the worker's clock
 * @measured_ms: time when the slowdowns were measured, by the worker's clock
 * @speed: largest speed of a task, in percent
 * @keep_only: renew only the leases of tasks with @keep set
 * @current: the sender's freshness is FRESHNESS_CURRENT
 */
struct msg {
	uint32_t kind;
	uint64_t from;
	uint64_t corr;
	uint64_t clock;
	uint64_t shard;
	uint64_t rack;
	uint64_t epoch;
	uint64_t job;
	uint32_t attempt;
	uint64_t worker;
	uint64_t boot;
	uint32_t state;
	uint32_t reason;
	uint32_t verdict;
	int64_t deadline_ms; /* time left, milliseconds */
	int64_t lease_ms;
	int64_t run_ms;
	uint64_t worker_clock_ms;
	uint64_t not_after_ms;
	uint64_t measured_ms;
	uint32_t speed;
	uint64_t progress;
	uint64_t cpu_ms;
	uint32_t movable;
	uint32_t keep;
	uint32_t keep_only;
	uint32_t full; /* lists are complete, not only the changes */
	uint32_t urgency;
	uint32_t draining;
	uint32_t leaving;
	uint32_t current;
	uint64_t config;
	struct resources res;
	char service[NAME_SIZE];
	char key[NAME_SIZE];
	char name[NAME_SIZE];
	char zone[NAME_SIZE];
	struct str payload;
	struct str result;
	struct list owned; /* struct owned_shard */
	struct list tasks; /* struct task_status */
};

extern const struct shape msg_shape;

const char *msg_kind_name(uint32_t kind);
const char *task_state_name(uint32_t state);

/**
 * task_state_is_terminal() - test whether the attempt can no longer run
 */
bool task_state_is_terminal(uint32_t state);

/**
 * msg_pack() - append a message, encoded as msgpack
 */
void msg_pack(const struct msg *m, struct buf *out);

/**
 * msg_unpack() - decode a message
 * @a: holds the strings and lists of @m
 *
 * Return: 0, or -EBADMSG.
 */
int msg_unpack(const char *data, size_t len, struct msg *m, struct arena *a);

/**
 * attempt_id() - hash a job and an attempt to the id of the attempt, never 0
 */
uint64_t attempt_id(uint64_t job, uint32_t attempt);

#ifdef __cplusplus
}
#endif

#endif
