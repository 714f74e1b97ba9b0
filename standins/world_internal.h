#ifndef STANDINS_WORLD_INTERNAL_H
#define STANDINS_WORLD_INTERNAL_H

#include "core/ledger.h"
#include "standins/world.h"

#define WORLD_NODES (WORLD_SCHEDDS + WORLD_ENTRY_HOSTS + WORLD_WORKERS)
#define WORLD_STREAMS 16
#define WORLD_START_MS 1000
#define WORLD_TICK_MS 50
#define WORLD_RETRY_MS 500
#define WORLD_OUTAGES_MAX 16

enum node_kind { NODE_SCHEDD, NODE_ENTRY, NODE_WORKER };

/**
 * struct world_node - one simulated process
 * @index: index in world.nodes
 * @incarnation: number of times that the process was stopped; events other than
 *	messages that were scheduled for an earlier incarnation are dropped
 * @paused_until_ms: events for the process are deferred until then
 * @clock_offset_ms: difference of its own clock to the simulated time
 * @leaving_ms: time from which the host list shows it as leaving, 0 for never
 * @hosts_due_ms: time of the next update of its host list
 * @sched: state of a NODE_SCHEDD
 * @entry: state of a NODE_ENTRY
 * @worker: state of a NODE_WORKER
 * @crashed_models: worker models of earlier incarnations, for the checks
 * @zone_version: version of each zone document last seen in force at
 *	the process
 */
struct world_node {
	struct world *world;
	enum node_kind kind;
	int index;
	char name[NAME_SIZE];
	uint64_t id;
	int zone;
	bool alive;
	uint32_t incarnation;
	int64_t paused_until_ms;
	int64_t clock_offset_ms;
	int64_t leaving_ms;
	int64_t hosts_due_ms;
	struct sched sched;
	struct entry entry;
	struct worker_model worker;
	struct worker_model *crashed_models;
	size_t crashed_model_count;
	uint64_t zone_version[WORLD_ZONES];
};

/**
 * struct world_log_entry - one entry of a stream
 * @at_ms: time of the append
 */
struct world_log_entry {
	struct buf text;
	int64_t at_ms;
};

/**
 * struct world_stream - one stream of the simulated log
 * @first: offset of the oldest entry
 */
struct world_stream {
	char name[NAME_SIZE];
	struct world_log_entry *entries;
	size_t count;
	uint64_t first;
};

/**
 * struct world_call - one caller's request, retried until it is settled
 * @entry: index of the node of the entry host
 * @at_ms: time of the first attempt
 * @last_sent_ms: time of the last attempt
 * @in_flight: the last attempt has no answer yet
 * @is_settled: the call has its final answer; there are no further attempts
 * @refused: unused, always false
 * @answered_not_run_ms: time of the last answer "not run" that covers all
 *	attempts, 0 for none
 * @verdict: verdict of the last answer, VERDICT_NONE before the first
 * @reason: reason of the last answer
 * @wrong_result: an answer held the result of another call
 */
struct world_call {
	const char *service;
	char key[NAME_SIZE];
	enum entry_action action;
	int entry;
	int64_t at_ms;
	int64_t last_sent_ms;
	uint32_t attempts;
	bool in_flight;
	bool is_settled;
	bool refused;
	int64_t answered_not_run_ms;
	enum verdict verdict;
	enum reason reason;
	bool wrong_result;
};

/**
 * enum event_kind - kind of a simulated event
 * @EVENT_TICK: periodic tick of a node
 * @EVENT_MSG: delivery of a message; @value is the index of the sender
 * @EVENT_APPEND_DONE: reply to an append; @value is an enum log_status
 * @EVENT_READ_DONE: reply to a read; @value is the first offset
 * @EVENT_LOG_APPLY: delayed append to a stream
 * @EVENT_CALL: periodic tick of the callers
 * @EVENT_START: kill of a running node, with @value the time to its restart in
 *	ms or -1 for none; start of a stopped node, with @value 0
 * @EVENT_OPERATION: planned operation number @value
 */
enum event_kind {
	EVENT_TICK,
	EVENT_MSG,
	EVENT_APPEND_DONE,
	EVENT_READ_DONE,
	EVENT_LOG_APPLY,
	EVENT_CALL,
	EVENT_START,
	EVENT_OPERATION,
};

/**
 * struct world_event - one event in the queue
 * @seq: order of insertion, which decides between events at the same time
 * @node: index of the node, -1 for none
 * @incarnation: that of the node when the event was scheduled
 * @token: identifies the append or read
 * @data: packed message, or body of the append
 */
struct world_event {
	int64_t at_ms;
	uint64_t seq;
	enum event_kind kind;
	int node;
	uint32_t incarnation;
	uint64_t token;
	int value;
	uint64_t offset;
	char stream[NAME_SIZE];
	struct buf data;
};

/**
 * struct world_outage - a period in which a zone was declared out
 * @to_ms: INT64_MAX while the period lasts
 */
struct world_outage {
	int zone;
	int64_t from_ms;
	int64_t to_ms;
};

/**
 * struct world - deterministic simulation of a system under faults
 * @end_ms: end of the simulation; a fault postpones it to leave time for the
 *	recovery
 * @heap: event queue, a binary heap
 * @drop_next_send: drop the next message that the node sends
 * @cut_until_ms: end of the partition of each zone
 * @log_silent_until_ms: the log does not reply until then
 * @log_down_until_ms: the log refuses requests until then
 * @list_stale_until_ms: host lists are not updated until then
 * @peers_cut_until_ms: schedulers cannot reach each other until then
 * @outages: periods in which a zone was declared out
 * @zone_version: highest accepted version of each zone document
 * @zone_out: whether that version declares the zone out
 * @old_snapshot: first snapshot written to the config stream
 */
struct world {
	const struct world_case *test_case;
	struct world_result *result;
	int64_t now_ms;
	int64_t end_ms;
	struct rng rng;
	struct world_node nodes[WORLD_NODES];
	struct world_stream streams[WORLD_STREAMS];
	size_t stream_count;
	struct world_call calls[WORLD_CALLS_MAX];
	size_t call_count;
	struct world_event **heap;
	size_t heap_count;
	size_t heap_cap;
	uint64_t next_seq;
	bool drop_next_send[WORLD_NODES];
	int64_t cut_until_ms[WORLD_ZONES];
	int64_t log_silent_until_ms;
	int64_t log_down_until_ms;
	int64_t list_stale_until_ms;
	int64_t peers_cut_until_ms;
	struct world_outage outages[WORLD_OUTAGES_MAX];
	size_t outage_count;
	uint64_t zone_version[WORLD_ZONES];
	bool zone_out[WORLD_ZONES];
	struct buf old_snapshot;
};

/**
 * world_schedule() - add an event to the queue
 * @node: index of the node, -1 for none
 *
 * Return: the event, owned by the queue, for the caller to complete.
 */
struct world_event *world_schedule(struct world *w, int64_t at_ms,
				   enum event_kind kind, int node);

/**
 * world_violation() - record a violated invariant; only the first is kept
 */
void world_violation(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * world_trace() - print an event of the timeline if the case is traced
 * @n: node of the event, or NULL
 */
void world_trace(struct world *w, const struct world_node *n, const char *name,
		 uint64_t task, uint32_t attempt, const char *detail);

/* The simulated log: world_log.c */
void world_log_append(struct world_node *n, uint64_t token, const char *stream,
		      struct str body);
void world_log_read(struct world_node *n, uint64_t token, const char *stream,
		    uint64_t from);
void world_log_apply(struct world *w, const char *stream, struct str body);
void world_log_deliver_read(struct world_node *n, const struct world_event *e);
void world_publish(struct world *w, const char *text);
void world_publish_zone(struct world *w, int zone, const char *state);
void world_publish_conflict(struct world *w, int zone);
void world_log_finish(struct world *w);

/* The scenario: world_scenario.c */
void world_run_operation(struct world *w, int number);
void world_publish_documents(struct world *w);
void world_plan_calls(struct world *w);
void world_plan_operations(struct world *w);

/* Faults: world_fault.c */

/**
 * world_count_step() - count a step, and test whether a fault is due at it
 * @out: receives the fault
 *
 * Return: true if a fault is due.
 */
bool world_count_step(struct world *w, int site, enum fault *out);

/**
 * world_inject_fault() - inject a process, zone, log or worker fault
 * @n: process at whose step the fault is due
 * @worker: number of the worker that the step concerns, -1 for none; a worker
 *	fault then affects worker 0
 */
void world_inject_fault(struct world *w, struct world_node *n, enum fault f,
			int worker);
void world_start_node(struct world *w, struct world_node *n);
void world_stop_node(struct world *w, struct world_node *n);

/* The invariants: world_judge.c */
void world_check_invariants(struct world *w);
void world_check_versions(struct world *w, struct world_node *n);

#endif
