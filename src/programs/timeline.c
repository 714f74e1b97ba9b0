#include "adapters/http_client.h"
#include "base/event.h"
#include "base/setting.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define FETCH_TIMEOUT_MS 3000

static struct setting rows[] = {
	{"platform", "URL", SETTING_TEXT, 0, 200, "",
	 "base URL of the platform's service", true},
	{"task", "id", SETTING_TEXT, 0, 16, "", "only events of this task",
	 false},
	{"zone", "name", SETTING_TEXT, 0, NAME_SIZE - 1, "",
	 "only events of processes in this availability zone", false},
	{"event", "name", SETTING_TEXT, 0, NAME_SIZE - 1, "",
	 "only events of this name", false},
	{"since", "s", SETTING_NUMBER, 0, INT64_MAX, "0",
	 "only events from this time on, seconds since 1970", false},
	{"format", "format", SETTING_TEXT, 0, 4, "text", "text or json", true},
};

/* The events of all processes; the list holds a reference to each event. */
struct event_list {
	json_t **events;
	size_t count;
	size_t cap;
};

static uint64_t event_clock(const json_t *e)
{
	return (uint64_t)json_integer_value(json_object_get(e, "clock"));
}

static const char *event_text(const json_t *e, const char *key)
{
	const char *s = json_string_value(json_object_get(e, key));

	return s ? s : "";
}

static bool event_matches(const struct settings *s, const json_t *e)
{
	static const char *const keys[][2] = {{"task", "task"},
					      {"zone", "zone"},
					      {"event", "name"}};
	uint64_t since = (uint64_t)settings_number(s, "since") * 1000;
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		const char *want = settings_text(s, keys[i][0]);

		if (want[0] && strcmp(want, event_text(e, keys[i][1])))
			return false;
	}
	return event_clock(e) >> EVENT_CLOCK_SHIFT >= since;
}

static void add_events(struct event_list *set, const struct settings *s,
		       json_t *arr)
{
	size_t i;
	json_t *e;

	json_array_foreach(arr, i, e)
	{
		if (!event_matches(s, e))
			continue;
		if (set->count == set->cap) {
			set->cap = set->cap ? set->cap * 2 : 1024;
			set->events = xrealloc(set->events,
					       set->cap * sizeof(json_t *));
		}
		set->events[set->count++] = json_incref(e);
	}
}

static bool fetch_events(struct event_list *set, const struct settings *s,
			 const struct listed_host *h)
{
	char url[256];
	json_t *j = NULL;
	struct buf b;

	buf_init(&b);
	snprintf(url, sizeof(url), "http://%s/events", h->http);
	if (http_fetch("GET", url, NULL, FETCH_TIMEOUT_MS, &b) == 200)
		j = json_loadb(b.data, b.len, 0, NULL);
	buf_finish(&b);
	if (!j) {
		fprintf(stderr, "%s: cannot fetch events\n", h->name);
		return false;
	}
	add_events(set, s, j);
	json_decref(j);
	return true;
}

static int compare_events(const void *a, const void *b)
{
	const json_t *x = *(json_t *const *)a, *y = *(json_t *const *)b;
	uint64_t p = event_clock(x), q = event_clock(y);
	json_int_t m, n;
	int order;

	if (p != q)
		return p < q ? -1 : 1;
	order = strcmp(event_text(x, "process"), event_text(y, "process"));
	if (order)
		return order;
	m = json_integer_value(json_object_get(x, "seq"));
	n = json_integer_value(json_object_get(y, "seq"));
	return m < n ? -1 : m > n;
}

static void print_text(const json_t *e)
{
	uint64_t ms = event_clock(e) >> EVENT_CLOCK_SHIFT;
	time_t sec = (time_t)(ms / 1000);
	char when[32];
	struct tm tm;

	gmtime_r(&sec, &tm);
	strftime(when, sizeof(when), "%H:%M:%S", &tm);
	printf("%s.%03d %-12s %-14s %-16s", when, (int)(ms % 1000),
	       event_text(e, "process"), event_text(e, "name"),
	       event_text(e, "task"));
	if (json_integer_value(json_object_get(e, "attempt")))
		printf(" #%" JSON_INTEGER_FORMAT,
		       json_integer_value(json_object_get(e, "attempt")));
	printf(" %s\n", event_text(e, "detail"));
}

static void print_all(const struct event_list *set, bool json)
{
	size_t i;

	for (i = 0; i < set->count; i++) {
		if (json) {
			char *text = json_dumps(set->events[i], JSON_COMPACT);

			printf("%s\n", text);
			free(text);
		} else {
			print_text(set->events[i]);
		}
		json_decref(set->events[i]);
	}
}

static int run(const struct settings *s)
{
	struct event_list set = {0};
	struct listed_host *hosts;
	size_t i, count;
	bool all_fetched = true;

	if (fetch_hosts(settings_text(s, "platform"), &hosts, &count)) {
		fprintf(stderr,
			"cannot fetch the list of hosts from the platform\n");
		return EXIT_CODE_ENV;
	}
	for (i = 0; i < count; i++)
		if (hosts[i].http[0])
			all_fetched &= fetch_events(&set, s, &hosts[i]);
	if (set.count)
		qsort(set.events, set.count, sizeof(json_t *), compare_events);
	print_all(&set, !strcmp(settings_text(s, "format"), "json"));
	free(set.events);
	free(hosts);
	return all_fetched ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "basilshift-timeline",
		.about = "Shows the events of all processes as one timeline in "
			 "causal order.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	int code = settings_parse(&s, argc, argv);

	if (code < 0) {
		curl_global_init(CURL_GLOBAL_DEFAULT);
		code = run(&s);
		curl_global_cleanup();
	}
	settings_finish(&s);
	return code;
}
