#ifndef CORE_ENTRY_H
#define CORE_ENTRY_H

#include <ck_queue.h>

#include "base/rng.h"
#include "core/config.h"
#include "core/stream.h"
#include "ports/ports.h"

#ifdef __cplusplus
extern "C" {
#endif

#define ENTRY_PAYLOAD_MAX (64 * 1024)
#define ENTRY_OPEN_MAX 20000
#define ENTRY_HELLO_MS 1000 /* between hellos, which request heartbeats */
#define ENTRY_RESEND_MS 1000
/* Age of the newest heartbeat above which an owner counts as unreachable. */
#define ENTRY_OWNER_TIMEOUT_MS 2500
#define ENTRY_TICK_MS 50
/* Time after a call for a region during which its schedds are sent hellos. */
#define ENTRY_REGION_IDLE_MS 60000

enum entry_action { ENTRY_SUBMIT, ENTRY_CANCEL, ENTRY_STATE };

/**
 * struct entry_call - a call from a caller
 * @caller: identifies the caller in struct entry_answer
 * @deadline_ms: time that the caller waits, in milliseconds; 0 selects the
 *               deadline of the service
 * @wait: false to get an answer as soon as the request is accepted
 */
struct entry_call {
	enum entry_action action;
	uint64_t caller;
	const char *service;
	const char *key;
	struct str payload;
	int64_t deadline_ms;
	bool wait;
};

/**
 * struct entry_answer - the only answer to a call
 * @job: job_id() of the request, 0 when the call was refused by the entry host
 * @verdict: VERDICT_NONE when the request is accepted or still in progress
 */
struct entry_answer {
	uint64_t caller;
	uint64_t job;
	uint32_t attempt;
	enum verdict verdict;
	enum reason reason;
	struct str result;
};

/**
 * struct entry_sink - receives answers; must not call back into the entry
 */
struct entry_sink {
	void (*answer)(void *ctx, const struct entry_answer *a);
	void *ctx;
};

struct entry_request;
struct entry_region;
CK_LIST_HEAD(entry_request_list, entry_request);

/**
 * struct entry - state of an entry host
 * @corr: correlation id of the newest request
 * @open_count: number of requests in progress
 * @hello_due_ms: time of the next hellos to the schedds
 *
 * The entry has no thread, no socket and no clock of its own: the caller passes
 * in the time, messages and reads.
 */
struct entry {
	char name[NAME_SIZE];
	char zone[NAME_SIZE];
	uint64_t host_id;
	struct ports ports;
	struct entry_sink sink;
	int64_t now_ms;
	uint64_t corr;
	struct config config;
	struct stream config_stream;
	struct index owners; /* job shard to struct entry_owner */
	struct entry_owner **owner_list;
	size_t owner_count;
	struct index by_corr;
	struct entry_request_list requests;
	size_t open_count;
	struct listed_host *hosts;
	size_t host_count;
	int64_t hello_due_ms;
	struct index region_by_id; /* region to struct entry_region */
	struct entry_region **regions;
	size_t region_count;
	bool draining;
};

void entry_init(struct entry *e, const char *name, const char *zone,
		uint64_t incarnation, const struct ports *ports,
		const struct entry_sink *sink, int64_t now_ms);
void entry_finish(struct entry *e);

void entry_handle_call(struct entry *e, int64_t now_ms,
		       const struct entry_call *c);
void entry_tick(struct entry *e, int64_t now_ms);
void entry_on_msg(struct entry *e, int64_t now_ms, const struct msg *m);
void entry_on_read(struct entry *e, int64_t now_ms, uint64_t token,
		   const struct log_read *r);
void entry_on_hosts(struct entry *e, int64_t now_ms,
		    const struct listed_host *hosts, size_t count);

/**
 * entry_drain() - begin a planned shutdown; new calls get VERDICT_NOT_RUN
 */
void entry_drain(struct entry *e);
bool entry_is_drained(const struct entry *e);
bool entry_is_ready(const struct entry *e);

/**
 * entry_write_status() - append the status as JSON
 *
 * It holds the configuration version, the number of job shards whose owner is
 * known, and the number of requests in progress.
 */
void entry_write_status(const struct entry *e, struct buf *out);

/**
 * job_shard_of() - get the job shard that holds a request
 * @job: job_id() of the request
 *
 * Return: id of the job shard, or 0 when the region of the service is unknown.
 */
uint64_t job_shard_of(const struct config *c, const struct service_doc *doc,
		      uint64_t job);

#ifdef __cplusplus
}
#endif

#endif
