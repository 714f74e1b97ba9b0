#include "host/host.h"

#include <stdlib.h>

#include "adapters/clock.h"
#include "base/logger.h"
#include "host/admission.h"
#include "host/explain_text.h"
#include "host/host_call.h"
#include "platform/config.h"

#define STATUS_MISDIRECTED 421

static void refuse(struct http_request *r, int status, const char *text)
{
	struct buf b;

	buf_init(&b);
	buf_addf(&b, "%s\n", text);
	http_reply(r, status, 0, b.data, b.len);
	buf_finish(&b);
}

static void name_owner(const struct host *h, struct http_request *r)
{
	const struct cell_owner *o = &h->job_view.owner;
	struct buf b;

	if (!o->name[0] || !strcmp(o->name, h->settings.name)) {
		refuse(r, 503, "no host owns the cell at present");
		return;
	}
	buf_init(&b);
	buf_addf(&b,
		 "this host does not own the cell: owner=%s "
		 "address_for_hosts=%s\n",
		 o->name, o->address);
	http_reply(r, STATUS_MISDIRECTED, 0, b.data, b.len);
	buf_finish(&b);
}

static void write_admission(const struct host *h, const struct queue *q,
			    const struct account *account,
			    const struct job_spec *spec, struct buf *out)
{
	enum admission a;
	size_t step;

	a = admission_check(&h->job_view, &h->queues, q, account, spec,
			    h->now_ms, &step);
	buf_addf(out, "queue=%s service=%s priority=%u account=%s admission=%s",
		 q->name, q->service, q->priority,
		 account ? account->name : "-", admission_name(a));
	if (a == ADMISSION_NO_WORKER || a == ADMISSION_OVER_LIMITS)
		buf_addf(out, " step=%zu", step);
	buf_adds(out, "\n");
}

static void reply_explanation(struct host *h, struct http_request *r,
			      const struct queue *q,
			      const struct account *account,
			      const struct job_spec *spec)
{
	struct explanation *e = xcalloc(1, sizeof(*e));
	struct buf b;

	buf_init(&b);
	write_admission(h, q, account, spec, &b);
	cell_explain(h->owner.cell, spec, e);
	explain_text_write(e, &b);
	log_line(LOG_INFO, "job explained", "queue=%s steps=%zu took_ms=%lld",
		 q->name, spec->steps.count,
		 (long long)(clock_boot_ms() - h->now_ms));
	http_reply(r, 200, 0, b.data, b.len);
	buf_finish(&b);
	free(e);
}

static void explain_job(struct host *h, struct http_request *r,
			const struct queue *q, const char *path,
			const struct account *account)
{
	struct str text = {r->body.data, r->body.len};
	uint64_t id;
	struct job_spec spec;
	struct arena a;

	if (job_id_parse(str_of(path + strlen(q->prefix)), &id))
		id = job_view_unused_id(&h->job_view);
	arena_init(&a);
	if (job_parse(text, q, id, clock_wall_ms(), &spec, &a) ||
	    spec.payload.len > PAYLOAD_MAX) {
		refuse(r, 400, "job not readable");
	} else {
		if (account)
			name_set(spec.account, account->name);
		reply_explanation(h, r, q, account, &spec);
	}
	arena_finish(&a);
}

void host_explain(struct host *h, struct http_request *r)
{
	const char *host = http_query(r, "host"), *path = http_query(r, "path");
	const char *name = http_query(r, "account");
	const struct account *account = NULL;
	const struct queue *q;

	h->now_ms = clock_boot_ms();
	if (r->server != &h->metrics) {
		refuse(r, 404, "only the metrics port explains");
		return;
	}
	if (strcmp(r->method, "POST")) {
		refuse(r, 405, "expected POST");
		return;
	}
	if (h->owner.phase != OWNER_ACTIVE) {
		name_owner(h, r);
		return;
	}
	if (!h->queues.version) {
		refuse(r, 503, "this host has read no configuration yet");
		return;
	}
	if (r->too_large || r->body.len > h->queues.body_max) {
		refuse(r, 413, "job too large");
		return;
	}
	path = path ? path : "";
	q = queue_table_match(&h->queues, host ? host : "", path);
	if (name && name[0])
		account = account_table_find(&h->queues.accounts, name);
	if (!q)
		refuse(r, 404, "no queue for this host and path");
	else if (name && name[0] && !account)
		refuse(r, 404, "no such account");
	else
		explain_job(h, r, q, path, account);
}
