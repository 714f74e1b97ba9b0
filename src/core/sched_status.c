#include "core/sched_internal.h"

#include <errno.h>
#include <inttypes.h>

static const char *const freshness_names[] = {"current", "log_down", "blind"};

static const char *const shard_state_names[] = {
	"idle", "following", "claiming", "owned", "releasing",
};

static void write_shard(const struct sched *s, const struct shard *sh,
			struct buf *out)
{
	const struct worker *w;
	size_t workers = 0, tasks = 0, fenced = 0;

	buf_addf(out,
		 "{\"name\":\"%s\",\"kind\":\"%s\",\"state\":\"%s\","
		 "\"epoch\":%" PRIu64,
		 sh->name, sh->kind == SHARD_JOBS ? "jobs" : "rack",
		 shard_state_names[sh->state], sh->claim.epoch);
	if (sh->kind == SHARD_JOBS) {
		buf_addf(out, ",\"active\":%zu,\"done\":%zu}",
			 sh->jobs.active_count, sh->jobs.done_count);
		return;
	}
	CK_LIST_FOREACH (w, worker_table_rack(&s->workers, sh->id), rack_link) {
		workers++;
		fenced += w->fenced;
		tasks += w->tasks;
	}
	buf_addf(out, ",\"workers\":%zu,\"reached\":%zu,\"tasks\":%zu}",
		 workers, fenced, tasks);
}

void sched_write_status(const struct sched *s, struct buf *out)
{
	bool first = true;
	size_t i;

	buf_addf(out,
		 "{\"role\":\"schedd\",\"name\":\"%s\",\"zone\":\"%s\","
		 "\"config\":%" PRIu64 ",\"documents\":%zu,\"state\":\"%s\","
		 "\"ready\":%s,\"shards\":[",
		 s->opts.name, s->opts.zone, s->config.offset, s->config.count,
		 freshness_names[sched_log_freshness(s)],
		 sched_is_ready(s) ? "true" : "false");
	for (i = 0; i < s->shard_count; i++) {
		if (s->shards[i]->state == SHARD_IDLE)
			continue;
		if (!first)
			buf_adds(out, ",");
		first = false;
		write_shard(s, s->shards[i], out);
	}
	buf_adds(out, "]}\n");
}

static const char *wait_reason(const struct sched *s, const struct shard *sh,
			       const struct job *j)
{
	if (j->done)
		return "done";
	if (sh->stream->status != LOG_OK)
		return "the log takes no records";
	switch (j->phase) {
	case JOB_QUEUED:
		return sched_service(s, j->service)
			       ? "no worker of the allowed zones has room"
			       : "no document in force names its service";
	case JOB_RESERVING:
		return "a rack owner is asked for room";
	case JOB_RECORDING:
	case JOB_ENDING:
		return "a record waits for the log's confirmation";
	case JOB_STARTING:
		return "the worker has not confirmed the start";
	case JOB_RUNNING:
		return "it runs";
	case JOB_STOPPING:
		return "the worker has not proved that the attempt is over";
	default:
		return "nothing";
	}
}

int sched_write_job(const struct sched *s, uint64_t job, struct buf *out)
{
	const struct worker *w;
	const struct job *j;
	size_t i;

	for (i = 0; i < s->shard_count; i++) {
		const struct shard *sh = s->shards[i];

		if (sh->kind != SHARD_JOBS || sh->state != SHARD_OWNED)
			continue;
		j = job_table_get(&sh->jobs, job);
		if (!j)
			continue;
		w = worker_table_get(&s->workers, j->worker);
		buf_addf(out,
			 "{\"task\":\"%016" PRIx64 "\",\"service\":\"%s\","
			 "\"key\":\"%s\",\"shard\":\"%s\",\"phase\":\"%s\","
			 "\"attempt\":%" PRIu32 ",\"failures\":%" PRIu32
			 ",\"progress_ms\":%" PRIu64 ",\"verdict\":\"%s\","
			 "\"reason\":\"%s\",\"worker\":\"%s\","
			 "\"waits_for\":\"%s\"}\n",
			 j->id, j->service, j->key, sh->name,
			 job_phase_name(j->phase), j->attempt, j->failures,
			 j->progress, verdict_name((enum verdict)j->verdict),
			 reason_table[j->reason % REASON_MAX].name,
			 w ? w->name : "", wait_reason(s, sh, j));
		return 0;
	}
	return -ENOENT;
}
