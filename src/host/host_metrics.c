#include "host/host.h"

#include <inttypes.h>

#include "base/build_info.h"

#define NS_PER_US 1000
#define CORE 1000 /* thousandths */

void host_write_metrics(struct host *h, struct buf *out)
{
	const struct host_counts *n = &h->counts;
	struct cell_counts cell = {0};
	struct http_counts calls;
	int a;

	http_server_get_counts(&h->callers, &calls);
	if (h->owner.cell)
		cell_get_counts(h->owner.cell, &cell);
#define METRIC(name, value) \
	buf_addf(out, "basilshift_" name " %" PRIu64 "\n", (uint64_t)(value))
	buf_addf(out, "basilshift_build_info{commit=\"%s\",sources=\"%s\"} 1\n",
		 build_info.commit, build_info.sources);
	METRIC("ready", h->ready);
	METRIC("config_version", h->queues.version);
	METRIC("config_age_ms", host_config_age_ms(h));
	METRIC("configs_applied", n->configs_applied);
	METRIC("unknown_queue", n->unknown_queue);
	METRIC("submits", n->submits);
	METRIC("accepted", n->accepted);
	METRIC("refused", n->refused);
	METRIC("unknown", n->unknown);
	METRIC("cancels", n->cancels);
	METRIC("queries", n->queries);
	METRIC("not_found", n->not_found);
	METRIC("unauthorized", n->unauthorized);
	METRIC("config_too_old", n->config_too_old);
	METRIC("other_account", n->other_account);
	METRIC("caller_connections", calls.connections);
	METRIC("caller_connections_closed", calls.connections_closed);
	METRIC("caller_body_bytes", calls.body_bytes);
	METRIC("caller_uploads_closed", calls.uploads_closed);
	METRIC("caller_uploads_stalled", calls.uploads_stalled);
	METRIC("caller_uploads_refused", calls.uploads_refused);
	METRIC("caller_bodies_too_large", calls.too_large);
	METRIC("call_appends", n->appends);
	METRIC("call_append_failures", n->append_failures);
	METRIC("append_batches_via_owner", h->record_relay.sent);
	METRIC("append_batches_via_owner_lost", h->record_relay.lost);
	METRIC("owner_appends", h->owner.appends);
	METRIC("owner_append_failures", h->owner.append_failures);
	METRIC("owner_phase", h->owner.phase);
	METRIC("fetches", h->loop.fetches);
	METRIC("fetches_unanswered", h->loop.unanswered);
	METRIC("heap_trims", h->heap.trims);
	METRIC("cell_epoch", cell.epoch);
	METRIC("cell_jobs", cell.jobs);
	METRIC("cell_workers", cell.workers);
	METRIC("cell_workers_usable", cell.usable);
	METRIC("cell_tasks_waiting", cell.waiting);
	METRIC("cell_tasks_placed", cell.placed);
	METRIC("cell_uncertain", cell.unheard > 0);
	METRIC("cell_tasks_in_doubt", cell.in_doubt);
	METRIC("cell_tasks_contained", cell.contained);
	METRIC("cell_long_running_wait_ms", cell.oldest_wait_ms);
	METRIC("cell_short_wait_ms", cell.oldest_short_wait_ms);
	METRIC("cell_workers_unheard", cell.unheard);
	METRIC("cell_accounts_at_limit", cell.accounts_blocked);
	METRIC("cell_tasks_wait_for_limit", cell.waiting_quota);
	METRIC("cell_starts", cell.starts);
	METRIC("cell_ends_done", cell.ends_done);
	METRIC("cell_ends_failed", cell.ends_failed);
	METRIC("cell_ends_other", cell.ends_other);
	METRIC("cell_no_room", cell.no_room);
	METRIC("cell_unanswered", cell.unanswered);
	METRIC("cell_late_starts", cell.late_starts);
	METRIC("cell_late_stops", cell.late_stops);
	METRIC("cell_late_refusals", cell.late_refusals);
	METRIC("cell_starts_held_back", cell.starts_held_back);
	METRIC("cell_paces", cell.paces);
	METRIC("cell_moves", cell.moves);
	METRIC("cell_workers_examined", cell.examined);
	METRIC("cell_cores{held_by=\"short\"}", cell.cpu_short / CORE);
	METRIC("cell_cores{held_by=\"long_running\"}",
	       cell.cpu_long_running / CORE);
	METRIC("cell_free_cores{piece=\"below_8th\"}",
	       cell.cpu_free[PIECE_BELOW_EIGHTH] / CORE);
	METRIC("cell_free_cores{piece=\"below_4th\"}",
	       cell.cpu_free[PIECE_BELOW_QUARTER] / CORE);
	METRIC("cell_free_cores{piece=\"below_half\"}",
	       cell.cpu_free[PIECE_BELOW_HALF] / CORE);
	METRIC("cell_free_cores{piece=\"larger\"}",
	       cell.cpu_free[PIECE_LARGER] / CORE);
	METRIC("cell_plans_made", cell.plans_made);
	METRIC("cell_plans_kept", cell.plans_kept);
	METRIC("cell_plans_dropped", cell.plans_dropped);
	METRIC("cell_backfilled", cell.backfilled);
	METRIC("cell_planned_free_cores", cell.cpu_planned / CORE);
#undef METRIC
	for (a = 0; a < RETRY_REASON_COUNT; a++) {
		const char *reason = retry_reason_name((enum retry_reason)a);

		buf_addf(out, "basilshift_retries{reason=\"%s\"} %" PRIu64 "\n",
			 reason, n->retries[a]);
		buf_addf(out,
			 "basilshift_retry_ms{reason=\"%s\"} %" PRIu64 "\n",
			 reason, n->retry_ms[a]);
	}
	for (a = 0; a < ACTIVITY_COUNT; a++)
		buf_addf(out,
			 "basilshift_loop_us{activity=\"%s\"} %" PRIu64 "\n",
			 activity_name((enum activity)a),
			 h->loop.activity.spent_ns[a] / NS_PER_US);
	histogram_write(&cell.short_accepted,
			"basilshift_cell_short_accepted_core_seconds", out);
	histogram_write(&cell.short_completed,
			"basilshift_cell_short_completed_core_seconds", out);
	histogram_write(&cell.short_in_time,
			"basilshift_cell_short_in_time_core_seconds", out);
	histogram_write(&h->accept_ms, "basilshift_accept_ms", out);
}
