#include "standins/call_fault.h"

#include <stdio.h>
#include <stdlib.h>
#include <strings.h>

#define LATE_MIN_MS 2000
#define LATE_LEASE_MS 4000
#define LATE_MAX_MS 12000
/* Longer than the time limits of orders and of group joins. */
#define SLOW_MIN_MS 1000
#define SLOW_MAX_MS 4000
#define OVERTAKEN_MAX_MS 700
#define HEAD_END "\r\n\r\n"
#define LENGTH_HEADER "\r\nContent-Length:"

void call_fault_parse(struct call_fault *f, const char *text)
{
	static const struct {
		const char *name;
		enum call_fate fate;
	} rows[] = {
		{"lost", CALL_LOST},
		{"late", CALL_LATE},
		{"slow", CALL_SLOW},
		{"overtaken", CALL_OVERTAKEN},
	};
	long long then_ms = 0;
	char name[NAME_SIZE];
	size_t i;

	f->fate = CALL_PASS;
	f->then_status = 0;
	if (sscanf(text, "%63s %63s %u %d %lld", name, f->path, &f->percent,
		   &f->then_status, &then_ms) >= 3)
		for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
			if (!strcmp(name, rows[i].name))
				f->fate = rows[i].fate;
	f->then_ms = then_ms;
	if (f->fate != CALL_PASS && f->then_status)
		return;
	f->is_next_due = false;
	f->then_until_ms = 0;
}

static int64_t draw_between(struct rng *r, int64_t low, int64_t high)
{
	return low + (int64_t)rng_below(r, (uint64_t)(high - low));
}

static struct call_plan plan_after_reset(struct call_fault *f)
{
	struct call_plan p = {CALL_REFUSED};

	f->is_next_due = false;
	p.status = f->then_status;
	if (p.status == CALL_FAULT_HOLD)
		p.fate = CALL_HELD;
	return p;
}

/* Half of the late calls come while the lease that they grant is in force. */
static int64_t draw_lateness(struct rng *r)
{
	int64_t max = rng_below(r, 2) ? LATE_LEASE_MS : LATE_MAX_MS;

	return draw_between(r, LATE_MIN_MS, max);
}

struct call_plan call_fault_plan(struct call_fault *f, const char *path,
				 int64_t now_ms)
{
	static const enum answer_cut cuts[] = {
		CUT_BEFORE_HEAD,
		CUT_BEFORE_HEAD,
		CUT_IN_HEAD,
		CUT_IN_BODY,
	};
	struct call_plan p = {CALL_PASS};

	if (strncmp(path, f->path, strlen(f->path)))
		return p;
	if (f->is_next_due || now_ms < f->then_until_ms)
		return plan_after_reset(f);
	if (f->fate == CALL_PASS || rng_below(&f->rng, 100) >= f->percent)
		return p;
	p.fate = f->fate;
	p.cut = cuts[rng_below(&f->rng, sizeof(cuts) / sizeof(cuts[0]))];
	p.reset = rng_below(&f->rng, 2);
	if (p.fate == CALL_LATE)
		p.wait_ms = draw_lateness(&f->rng);
	else if (p.fate == CALL_SLOW)
		p.wait_ms = draw_between(&f->rng, SLOW_MIN_MS, SLOW_MAX_MS);
	else if (p.fate == CALL_OVERTAKEN)
		p.wait_ms = draw_between(&f->rng, 0, OVERTAKEN_MAX_MS);
	return p;
}

void call_fault_reset(struct call_fault *f, int64_t now_ms)
{
	if (!f->then_status)
		return;
	f->is_next_due = true;
	f->then_until_ms = now_ms + f->then_ms;
}

size_t http_head_length(struct str s)
{
	const char *end = memmem(s.data, s.len, HEAD_END, strlen(HEAD_END));

	return end ? (size_t)(end - s.data) + strlen(HEAD_END) : 0;
}

size_t http_message_length(struct str s)
{
	size_t head = http_head_length(s), body = 0, i;

	for (i = 0; i + strlen(LENGTH_HEADER) < head; i++)
		if (!strncasecmp(s.data + i, LENGTH_HEADER,
				 strlen(LENGTH_HEADER)))
			body = strtoul(s.data + i + strlen(LENGTH_HEADER), NULL,
				       10);
	return head && s.len - head >= body ? head + body : 0;
}

void http_request_path(struct str request, char out[NAME_SIZE])
{
	const char *at = memchr(request.data, ' ', request.len);
	size_t n = 0, left;

	if (at) {
		at++;
		left = request.len - (size_t)(at - request.data);
		while (n < left && n < NAME_SIZE - 1 && at[n] != ' ' &&
		       at[n] != '?' && at[n] != '\r')
			n++;
		memcpy(out, at, n);
	}
	out[n] = '\0';
}
