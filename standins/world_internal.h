#ifndef STANDINS_WORLD_INTERNAL_H
#define STANDINS_WORLD_INTERNAL_H

#include "core/ledger.h"
#include "standins/world.h"

#define WORLD_NODES (WORLD_SCHEDDS + WORLD_ENTRIES + WORLD_WORKERS)
#define WORLD_STREAMS 16
#define WORLD_START_MS 1000
#define WORLD_TICK_MS 50
#define WORLD_RETRY_MS 500
#define WORLD_OUTAGES_MAX 16

enum node_kind { NODE_SCHEDD, NODE_ENTRY, NODE_WORKER };

/**
 * struct world_node - one process, with what the world knows of it
 * @incarnation: number of starts; input for an earlier life is dropped
 * @paused_until_ms: inputs wait until then
 * @clock_offset_ms: its own clock against the world's
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
	struct worker_model *crashed_models; /* records of earlier lives */
	size_t crashed_model_count;
	uint64_t zone_version[WORLD_ZONES];
};

struct world_entry {
	struct buf text;
	int64_t at_ms;
};

struct world_stream {
	char name[NAME_SIZE];
	struct world_entry *entries;
	size_t count;
	uint64_t first;
};

/**
 * struct world_call - one caller's request, asked again until it ends
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
	bool refused; /* the newest answer was not run */
	int64_t answered_not_run_ms;
	enum verdict verdict;
	enum reason reason;
	bool wrong_result;
};

enum event_kind {
	EVENT_TICK,
	EVENT_MSG,
	EVENT_APPEND_DONE,
	EVENT_READ_DONE,
	EVENT_LOG_APPLY,
	EVENT_CALL,
	EVENT_START,
	EVENT_SCRIPT,
};

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
 * struct world_outage - a time in which a zone was declared out
 */
struct world_outage {
	int zone;
	int64_t from_ms;
	int64_t to_ms;
};

struct world {
	const struct world_case *c;
	struct world_result *r;
	int64_t now_ms;
	int64_t end_ms; /* leaves time to recover from the last fault */
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

struct world_event *world_schedule(struct world *w, int64_t at_ms,
				   enum event_kind kind, int node);
void world_violation(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void world_trace(struct world *w, const struct world_node *n, const char *name,
		 uint64_t task, uint32_t attempt, const char *detail);

/* The fake log: world_log.c */
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

/* What happens in a run: world_scenario.c */
void world_run_script(struct world *w, int step);
void world_publish_documents(struct world *w);
void world_plan_calls(struct world *w);
void world_plan_script(struct world *w);

/* Faults: world_fault.c */
bool world_fault_due(struct world *w, int site, enum fault *out);
void world_inject_fault(struct world *w, struct world_node *n, enum fault f,
			int worker);
void world_start_node(struct world *w, struct world_node *n);
void world_stop_node(struct world *w, struct world_node *n);

/* The invariants: world_check_invariants.c */
void world_check_invariants(struct world *w);
void world_check_versions(struct world *w, struct world_node *n);

#endif
