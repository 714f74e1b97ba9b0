#include "adapters/clock.h"
#include "adapters/http_client.h"
#include "base/index.h"
#include "base/rng.h"
#include "base/setting.h"
#include "base/verdict.h"

#include <curl/curl.h>
#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define SERVICES_MAX 8
#define ENTRIES_MAX 64
#define THREADS_MAX 256
#define RETRY_DELAY_MS 300

static struct setting rows[] = {
	{"entries", "addresses", SETTING_TEXT, 0, 2000, "",
	 "entry hosts, IP:PORT separated by commas", true},
	{"services", "names", SETTING_TEXT, 0, 500, "",
	 "services to call in turn, separated by commas", true},
	{"rate", "requests/s", SETTING_NUMBER, 1, 100000, "20",
	 "request rate, over all services", false},
	{"seconds", "s", SETTING_NUMBER, 1, 3600, "10", "duration of the load",
	 false},
	{"threads", "threads", SETTING_NUMBER, 1, THREADS_MAX, "32",
	 "concurrent callers", false},
	{"deadline", "ms", SETTING_NUMBER, 100, 600000, "15000",
	 "deadline of one call", false},
	{"patience", "ms", SETTING_NUMBER, 100, 600000, "45000",
	 "time for which a caller retries a request with the same key", false},
	{"seed", "number", SETTING_NUMBER, 0, INT64_MAX, "1", "seed", false},
	{"out", "path", SETTING_TEXT, 0, 200, "",
	 "output file, one line for each request", false},
};

/**
 * struct request - one request and its outcome
 * @due_ms: scheduled time of the first call
 * @latency_ms: time from @due_ms to the outcome, retries included
 * @result_matches: the result contains the key of this request
 * @call_only: a "not run" verdict applies to the last call, not to the key
 */
struct request {
	char key[NAME_SIZE];
	const char *service;
	int64_t due_ms;
	int64_t latency_ms;
	enum verdict verdict;
	char reason[NAME_SIZE];
	bool result_matches;
	bool call_only;
};

static struct {
	char *entries[ENTRIES_MAX];
	size_t entry_count;
	char *services[SERVICES_MAX];
	size_t service_count;
	struct request *requests;
	size_t request_count;
	size_t next;
	int64_t deadline_ms;
	int64_t retry_window_ms;
} load;

static size_t split(char *text, char **out, size_t cap)
{
	size_t n = 0;
	char *save, *p;

	for (p = strtok_r(text, ",", &save); p && n < cap;
	     p = strtok_r(NULL, ",", &save))
		out[n++] = p;
	return n;
}

static enum verdict verdict_parse(const char *name)
{
	int v;

	for (v = VERDICT_NOT_RUN; v <= VERDICT_MAY_HAVE_RUN; v++)
		if (name && !strcmp(name, verdict_name((enum verdict)v)))
			return (enum verdict)v;
	return VERDICT_NONE;
}

static void read_answer(struct request *r, const struct buf *b)
{
	json_t *j = json_loadb(b->data, b->len, 0, NULL);
	const char *reason = json_string_value(json_object_get(j, "reason"));
	const char *result = json_string_value(json_object_get(j, "result"));
	const char *scope = json_string_value(json_object_get(j, "scope"));

	r->verdict =
		verdict_parse(json_string_value(json_object_get(j, "verdict")));
	name_set(r->reason, reason ? reason : "-");
	r->call_only = scope && !strcmp(scope, "call");
	r->result_matches = result && strstr(result, r->key) != NULL;
	json_decref(j);
}

/* Sends the request once. Without a response the verdict is VERDICT_NONE. */
static void send_call(struct request *r, size_t entry)
{
	char url[256], body[512];
	struct buf b;

	buf_init(&b);
	snprintf(url, sizeof(url), "http://%s/v1/requests",
		 load.entries[entry]);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"key\":\"%s\",\"payload\":\"%s\","
		 "\"deadline_ms\":%" PRId64 "}",
		 r->service, r->key, r->key, load.deadline_ms);
	r->verdict = VERDICT_NONE;
	if (http_fetch("POST", url, body, load.deadline_ms + 3000, &b) > 0)
		read_answer(r, &b);
	else
		name_set(r->reason, "no_connection");
	buf_finish(&b);
}

/*
 * Retries a request with the same key until its verdict is final or the retry
 * window has passed. A request without any verdict may have run.
 */
static void run_request(struct request *r, struct rng *rng)
{
	struct timespec pause = {0, RETRY_DELAY_MS * 1000000L};
	int64_t end = r->due_ms + load.retry_window_ms;

	do {
		send_call(r, rng_below(rng, load.entry_count));
		if (r->verdict == VERDICT_RAN ||
		    (r->verdict == VERDICT_NOT_RUN && !r->call_only) ||
		    (r->verdict == VERDICT_MAY_HAVE_RUN &&
		     !strcmp(r->reason, "worker_lost")))
			break;
		nanosleep(&pause, NULL);
	} while (clock_mono_ms() < end);
	if (r->verdict == VERDICT_NONE)
		r->verdict = VERDICT_MAY_HAVE_RUN;
	r->latency_ms = clock_mono_ms() - r->due_ms;
}

static void *caller_main(void *arg)
{
	struct rng rng = {(uint64_t)(uintptr_t)arg};

	for (;;) {
		size_t i = __atomic_fetch_add(&load.next, 1, __ATOMIC_RELAXED);
		int64_t wait;

		if (i >= load.request_count)
			return NULL;
		wait = load.requests[i].due_ms - clock_mono_ms();
		if (wait > 0) {
			struct timespec ts = {wait / 1000,
					      wait % 1000 * 1000000L};

			nanosleep(&ts, NULL);
		}
		run_request(&load.requests[i], &rng);
	}
}

static void plan_requests(const struct settings *s)
{
	int64_t rate = settings_number(s, "rate"), now = clock_mono_ms();
	struct rng rng = {(uint64_t)settings_number(s, "seed")};
	double at = 0;
	size_t i;

	load.request_count = (size_t)(rate * settings_number(s, "seconds"));
	load.requests = xcalloc(load.request_count, sizeof(*load.requests));
	for (i = 0; i < load.request_count; i++) {
		struct request *r = &load.requests[i];

		at += -log(1.0 - rng_unit(&rng)) * 1000.0 / (double)rate;
		r->service = load.services[i % load.service_count];
		r->due_ms = now + (int64_t)at;
		snprintf(r->key, sizeof(r->key), "k%" PRId64 "-%zu",
			 settings_number(s, "seed"), i);
	}
}

static int compare_latency(const void *a, const void *b)
{
	int64_t x = ((const struct request *)a)->latency_ms;
	int64_t y = ((const struct request *)b)->latency_ms;

	return x < y ? -1 : x > y;
}

static int64_t quantile(const struct request *r, size_t n, double q)
{
	return n ? r[(size_t)((double)(n - 1) * q)].latency_ms : 0;
}

static void write_requests(const char *path)
{
	FILE *f = path[0] ? fopen(path, "w") : NULL;
	size_t i;

	for (i = 0; f && i < load.request_count; i++) {
		const struct request *r = &load.requests[i];

		fprintf(f, "%s %s %s %s %" PRId64 "\n", r->service, r->key,
			verdict_name(r->verdict), r->reason, r->latency_ms);
	}
	if (f)
		fclose(f);
}

static int report(const char *path)
{
	size_t ran = 0, not_run = 0, unknown = 0, mismatched = 0, i, n;
	struct request *sorted;

	write_requests(path);
	for (i = 0; i < load.request_count; i++) {
		const struct request *r = &load.requests[i];

		ran += r->verdict == VERDICT_RAN;
		not_run += r->verdict == VERDICT_NOT_RUN;
		unknown += r->verdict == VERDICT_MAY_HAVE_RUN;
		mismatched += r->verdict == VERDICT_RAN &&
			      !strcmp(r->reason, "ok") && !r->result_matches;
	}
	printf("load: %zu sent, %zu answered, %zu refused not run, %zu may "
	       "have run, %zu with a wrong result\n",
	       load.request_count, ran, not_run, unknown, mismatched);
	sorted = xcalloc(load.request_count, sizeof(*sorted));
	for (i = 0, n = 0; i < load.request_count; i++)
		if (load.requests[i].verdict == VERDICT_RAN)
			sorted[n++] = load.requests[i];
	qsort(sorted, n, sizeof(*sorted), compare_latency);
	printf("load: latency p50 %" PRId64 " ms, p99 %" PRId64
	       " ms, p99.9 %" PRId64 " ms, max %" PRId64 " ms\n",
	       quantile(sorted, n, 0.5), quantile(sorted, n, 0.99),
	       quantile(sorted, n, 0.999), quantile(sorted, n, 1.0));
	free(sorted);
	return mismatched || unknown ? EXIT_CODE_FAILED : EXIT_CODE_OK;
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-load",
		.about = "Sends requests to entry hosts at a given rate and "
			 "reports their verdicts.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	pthread_t threads[THREADS_MAX];
	int code = settings_parse(&s, argc, argv);
	char *entries, *services;
	int64_t i, n;

	if (code >= 0)
		return code;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	entries = strdup(settings_text(&s, "entries"));
	services = strdup(settings_text(&s, "services"));
	load.entry_count = split(entries, load.entries, ENTRIES_MAX);
	load.service_count = split(services, load.services, SERVICES_MAX);
	load.deadline_ms = settings_number(&s, "deadline");
	load.retry_window_ms = settings_number(&s, "patience");
	plan_requests(&s);
	n = settings_number(&s, "threads");
	for (i = 0; i < n; i++)
		pthread_create(&threads[i], NULL, caller_main,
			       (void *)(uintptr_t)(i + 1));
	for (i = 0; i < n; i++)
		pthread_join(threads[i], NULL);
	code = report(settings_text(&s, "out"));
	free(load.requests);
	free(entries);
	free(services);
	settings_finish(&s);
	curl_global_cleanup();
	return code;
}
