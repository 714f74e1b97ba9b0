#include "standins/world_internal.h"

#include <stdlib.h>

/*
 * Time from a fault to the end of the simulation. The longest recovery is the
 * failover from an owner that has become unreachable.
 */
#define RECOVERY_MS 140000
#define RESTART_MS 1000
#define PAUSE_MS 24000 /* longer than the leases */
#define CUT_MS 15000
#define LOG_OUTAGE_MS 8000
#define STALE_MS 10000

static const char *const fault_names[] = {
#define FAULT_NAME(sym, name, help) [FAULT_##sym] = name,
	FAULT_ROWS(FAULT_NAME)
#undef FAULT_NAME
};

static const char *const site_names[] = {
	[SITE_APPEND_CONFIG] = "append_config",
	[SITE_APPEND_CLAIMS] = "append_claims",
	[SITE_APPEND_JOBS] = "append_jobs",
	[SITE_READ_CONFIG] = "read_config",
	[SITE_READ_CLAIMS] = "read_claims",
	[SITE_READ_JOBS] = "read_jobs",
};

const char *fault_name(enum fault f)
{
	return f < FAULT_MAX ? fault_names[f] : "none";
}

const char *site_name(int site)
{
	return site < MSG_KIND_MAX ? msg_kind_name((uint32_t)site)
				   : site_names[site];
}

bool world_count_step(struct world *w, int site, enum fault *out)
{
	uint32_t nth = w->result->steps[site]++;
	size_t i;

	for (i = 0; i < w->test_case->fault_count; i++) {
		const struct injection *f = &w->test_case->faults[i];

		if (f->site == site && f->nth == nth) {
			*out = f->fault;
			return true;
		}
	}
	return false;
}

void world_stop_node(struct world *w, struct world_node *n)
{
	size_t i;

	if (!n->alive)
		return;
	n->alive = false;
	n->incarnation++;
	if (n->kind == NODE_SCHEDD) {
		sched_finish(&n->sched);
	} else if (n->kind == NODE_ENTRY) {
		entry_finish(&n->entry);
		/* Its callers lose their connections and retry. */
		for (i = 0; i < w->call_count; i++)
			if (w->calls[i].in_flight &&
			    w->calls[i].entry == n->index)
				w->calls[i].in_flight = false;
	} else {
		worker_model_crash(&n->worker, w->now_ms + n->clock_offset_ms);
		n->crashed_models = xrealloc(n->crashed_models,
					     (n->crashed_model_count +
					      1) * sizeof(*n->crashed_models));
		n->crashed_models[n->crashed_model_count++] = n->worker;
	}
}

/* Kills the process from the event loop, as it may be inside a call now. */
static void schedule_kill(struct world *w, const struct world_node *n,
			  bool restart)
{
	struct world_event *e =
		world_schedule(w, w->now_ms, EVENT_START, n->index);

	e->value = restart ? RESTART_MS : -1;
}

static void inject_worker_fault(struct world *w, enum fault f, int worker)
{
	struct world_node *n = &w->nodes[WORLD_SCHEDDS + WORLD_ENTRY_HOSTS +
					 (worker < 0 ? 0 : worker)];

	switch (f) {
	case FAULT_WORKER_DEAD:
	case FAULT_WORKER_GONE:
		schedule_kill(w, n, f == FAULT_WORKER_DEAD);
		break;
	case FAULT_WORKER_PAUSED:
		n->paused_until_ms = w->now_ms + PAUSE_MS;
		break;
	case FAULT_WORKER_FAILING:
		n->worker.fail_all = true;
		break;
	default:
		n->leaving_ms = w->now_ms;
		break;
	}
}

void world_inject_fault(struct world *w, struct world_node *n, enum fault f,
			int worker)
{
	world_trace(w, n, "fault", 0, 0, fault_name(f));
	if (w->end_ms < w->now_ms + RECOVERY_MS)
		w->end_ms = w->now_ms + RECOVERY_MS;
	switch (f) {
	case FAULT_KILLED:
	case FAULT_KILLED_FOR_GOOD:
		schedule_kill(w, n, f == FAULT_KILLED);
		break;
	case FAULT_PAUSED:
		n->paused_until_ms = w->now_ms + PAUSE_MS;
		break;
	case FAULT_ZONE_CUT:
		w->cut_until_ms[n->zone] = w->now_ms + CUT_MS;
		break;
	case FAULT_LOG_SILENT:
		w->log_silent_until_ms = w->now_ms + LOG_OUTAGE_MS;
		break;
	case FAULT_LOG_REFUSING:
		w->log_down_until_ms = w->now_ms + LOG_OUTAGE_MS;
		break;
	case FAULT_PEERS_CUT:
		w->peers_cut_until_ms = w->now_ms + STALE_MS;
		break;
	case FAULT_LIST_STALE:
		w->list_stale_until_ms = w->now_ms + STALE_MS;
		break;
	case FAULT_OPERATOR_RACE:
		world_publish_conflict(w, n->zone);
		break;
	case FAULT_SNAPSHOT_STALE:
		if (w->old_snapshot.len) {
			struct str old = {w->old_snapshot.data,
					  w->old_snapshot.len};

			world_log_apply(w, CONFIG_STREAM, old);
		}
		break;
	case FAULT_WORKER_DEAD:
	case FAULT_WORKER_GONE:
	case FAULT_WORKER_PAUSED:
	case FAULT_WORKER_FAILING:
	case FAULT_WORKER_LEAVING:
		inject_worker_fault(w, f, worker);
		break;
	default:
		break;
	}
}
