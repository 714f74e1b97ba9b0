#ifndef STANDINS_WORLD_H
#define STANDINS_WORLD_H

#include "core/entry.h"
#include "core/sched.h"
#include "standins/worker_model.h"

#ifdef __cplusplus
extern "C" {
#endif

#define WORLD_ZONES 2
#define WORLD_SCHEDDS 4
#define WORLD_ENTRY_HOSTS 2
#define WORLD_WORKERS 4
#define WORLD_CALLS_MAX 48
#define WORLD_FAULTS_MAX 2
#define WORLD_END_MS 120000

/*
 * One row per fault: symbol, name and effect at the step. The faults before
 * KILLED concern one message or log request, the others a process, a zone, the
 * log, the host list, the configuration or a worker.
 */
#define FAULT_ROWS(X)                                                         \
	X(LOST_BEFORE, "lost_before",                                         \
	  "the request is lost before it takes effect")                       \
	X(LOST_AFTER, "lost_after",                                           \
	  "the request takes effect; its reply is lost")                      \
	X(LATE, "late", "the request takes effect seconds later")             \
	X(DOUBLED, "doubled", "the request takes effect again seconds later") \
	X(CROSSED, "crossed", "later requests overtake the request")          \
	X(KILLED, "killed", "the process is killed and restarted")            \
	X(KILLED_FOR_GOOD, "killed_for_good",                                 \
	  "the process is killed and not restarted")                          \
	X(PAUSED, "paused", "the process pauses until its leases expire")     \
	X(ZONE_CUT, "zone_cut",                                               \
	  "the zone of the process is partitioned for a while")               \
	X(LOG_SILENT, "log_silent", "the log does not reply for a while")     \
	X(LOG_REFUSING, "log_refusing",                                       \
	  "the log refuses requests for a while")                             \
	X(WORKER_DEAD, "worker_dead",                                         \
	  "a worker is restarted without its tasks")                          \
	X(WORKER_GONE, "worker_gone", "a worker is killed and not restarted") \
	X(WORKER_PAUSED, "worker_paused",                                     \
	  "a worker pauses until its leases expire")                          \
	X(WORKER_FAILING, "worker_failing",                                   \
	  "a worker fails every task it starts")                              \
	X(WORKER_LEAVING, "worker_leaving",                                   \
	  "the host list marks a worker as leaving")                          \
	X(PEERS_CUT, "peers_cut",                                             \
	  "schedulers cannot reach each other for a while")                   \
	X(LIST_STALE, "list_stale",                                           \
	  "the host list is not updated for a while")                         \
	X(OPERATOR_RACE, "operator_race",                                     \
	  "two operators publish conflicting versions")                       \
	X(SNAPSHOT_STALE, "snapshot_stale",                                   \
	  "the first snapshot is appended again")

enum fault {
#define FAULT_ENUM(sym, name, help) FAULT_##sym,
	FAULT_ROWS(FAULT_ENUM)
#undef FAULT_ENUM
		FAULT_MAX,
};

/*
 * A site is a kind of step at a port: sending a message of one kind (its msg
 * kind is its number), or an append to or a read of one kind of stream.
 */
enum {
	SITE_APPEND_CONFIG = MSG_KIND_MAX,
	SITE_APPEND_CLAIMS,
	SITE_APPEND_JOBS,
	SITE_READ_CONFIG,
	SITE_READ_CLAIMS,
	SITE_READ_JOBS,
	SITE_MAX,
};

/**
 * struct injection - one fault that is injected at one step
 * @site: message kind, or one of the SITE_ constants
 * @nth: number of the step at the site, from 0
 */
struct injection {
	enum fault fault;
	int site;
	uint32_t nth;
};

/**
 * struct world_case - one deterministic simulation of the system
 * @protections: bit set of enum protection
 * @seed: seed of the random numbers
 * @trace: print a timeline
 */
struct world_case {
	struct injection faults[WORLD_FAULTS_MAX];
	size_t fault_count;
	uint32_t protections;
	uint64_t seed;
	bool trace;
};

/**
 * struct world_result - outcome of a simulation
 * @steps: number of steps at each site
 * @violation: first violated invariant, empty if all hold
 * @ran: submitted calls answered that their job ran
 * @not_run: submitted calls answered that their job did not run
 * @unknown: submitted calls with any other answer, or none
 * @lost_calls: unused, always 0
 * @finished_ms: unused, always 0
 */
struct world_result {
	uint32_t steps[SITE_MAX];
	char violation[256];
	uint32_t ran;
	uint32_t not_run;
	uint32_t unknown;
	uint32_t lost_calls;
	int64_t finished_ms;
};

/**
 * world_run() - simulate one case and check the invariants
 * @r: receives the result
 */
void world_run(const struct world_case *c, struct world_result *r);

/**
 * site_name() - get the name of a site, as in the names of cases
 */
const char *site_name(int site);

/**
 * fault_name() - get the name of a fault; "none" for FAULT_MAX
 */
const char *fault_name(enum fault f);

#ifdef __cplusplus
}
#endif

#endif
