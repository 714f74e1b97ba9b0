#include "adapters/clock.h"
#include "adapters/http_client.h"
#include "adapters/peer_net.h"
#include "base/setting.h"
#include "standins/worker_model.h"

#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

static struct setting rows[] = {
	{"name", "name", SETTING_TEXT, 0, NAME_SIZE - 1, "", "host name", true},
	{"zone", "name", SETTING_TEXT, 0, NAME_SIZE - 1, "", "zone", true},
	{"rack", "name", SETTING_TEXT, 0, NAME_SIZE - 1, "", "rack", true},
	{"listen", "address", SETTING_TEXT, 0, 15, "127.0.0.1",
	 "IP address to listen on", true},
	{"platform", "URL", SETTING_TEXT, 0, 200, "",
	 "stand-in platform at which the worker registers", true},
	{"run-log", "path", SETTING_TEXT, 0, 200, "",
	 "file that receives a line for each start and end", false},
	{"cpu", "thousandths", SETTING_NUMBER, 1, 1000000, "16000",
	 "processors", false},
	{"memory", "MB", SETTING_NUMBER, 1, 16000000, "60000", "memory", false},
	{"accelerators", "units", SETTING_NUMBER, 0, 64, "0", "accelerators",
	 false},
	{"slots", "slots", SETTING_NUMBER, 1, 1000, "8", "task slots", false},
	{"connections", "connections", SETTING_NUMBER, 1, 100000, "60",
	 "connections", false},
	{"fail-all", "0 or 1", SETTING_NUMBER, 0, 1, "0",
	 "every task fails soon after its start", false},
};

static struct {
	pthread_mutex_t lock;
	struct worker_model model;
	struct peer_net net;
	struct model_out out;
	FILE *run_log;
} standin = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void send_message(void *ctx, uint64_t to, const struct msg *m)
{
	(void)ctx;
	peer_net_send(&standin.net, to, m);
}

/*
 * Writes a line for each start and end. The file is flushed, so that the lines
 * are kept if the process is killed.
 */
static void log_runs(void)
{
	size_t i;

	if (!standin.run_log)
		return;
	for (i = 0; i < standin.model.count; i++) {
		struct model_task *t = &standin.model.tasks[i];
		bool has_ended = t->state != TASK_RUNNING;

		if (t->state == TASK_NOT_STARTED || t->end_logged)
			continue;
		if (!t->start_logged) {
			t->start_logged = true;
			fprintf(standin.run_log,
				"start %s %s %u %" PRIu64 " %" PRId64 "\n",
				t->service, t->key, t->attempt,
				t->start_progress, t->start_ms);
		}
		if (has_ended) {
			t->end_logged = true;
			fprintf(standin.run_log,
				"end %s %s %u %" PRIu64 " %" PRId64 " %s\n",
				t->service, t->key, t->attempt, t->progress,
				t->end_ms, task_state_name(t->state));
		}
	}
	fflush(standin.run_log);
}

static void on_message(void *ctx, const struct msg *m)
{
	(void)ctx;
	pthread_mutex_lock(&standin.lock);
	worker_model_on_msg(&standin.model, clock_mono_ms(), m, &standin.out);
	log_runs();
	pthread_mutex_unlock(&standin.lock);
}

static int register_worker(const struct settings *s)
{
	struct listed_host h = {.role = HOST_WORKER};
	char url[400], addr[NAME_SIZE];
	struct buf b;
	json_t *j;
	char *text;
	long status;

	name_set(h.name, settings_text(s, "name"));
	name_set(h.zone, settings_text(s, "zone"));
	name_set(h.rack, settings_text(s, "rack"));
	snprintf(addr, sizeof(addr), "%s:%u", settings_text(s, "listen"),
		 standin.net.port);
	name_set(h.addr, addr);
	snprintf(url, sizeof(url), "%s/v1/hosts", settings_text(s, "platform"));
	j = shape_to_json(&host_shape, &h);
	text = json_dumps(j, JSON_COMPACT);
	buf_init(&b);
	status = http_fetch("PUT", url, text, 5000, &b);
	buf_finish(&b);
	free(text);
	json_decref(j);
	return status == 200 ? 0 : -1;
}

static void tick(void)
{
	pthread_mutex_lock(&standin.lock);
	worker_model_tick(&standin.model, clock_mono_ms(), &standin.out);
	log_runs();
	pthread_mutex_unlock(&standin.lock);
}

int main(int argc, char **argv)
{
	struct settings s = {
		.program = "standin-worker",
		.about = "Test only: a worker that simulates its tasks.",
		.rows = rows,
		.count = sizeof(rows) / sizeof(rows[0]),
	};
	struct timespec wait = {0, 10000000};
	struct peer_sink sink = {on_message, NULL};
	int code = settings_parse(&s, argc, argv);
	struct resources size;
	sigset_t stop_signals;

	if (code >= 0)
		return code;
	sigemptyset(&stop_signals);
	sigaddset(&stop_signals, SIGTERM);
	sigaddset(&stop_signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &stop_signals, NULL);
	size.cpu_milli = (uint32_t)settings_number(&s, "cpu");
	size.mem_mb = (uint32_t)settings_number(&s, "memory");
	size.accel = (uint32_t)settings_number(&s, "accelerators");
	size.slots = (uint32_t)settings_number(&s, "slots");
	size.conns = (uint32_t)settings_number(&s, "connections");
	worker_model_init(&standin.model, settings_text(&s, "name"), &size,
			  (uint64_t)clock_wall_ms());
	standin.model.fail_all = settings_number(&s, "fail-all") == 1;
	standin.out.send = send_message;
	if (settings_text(&s, "run-log")[0])
		standin.run_log = fopen(settings_text(&s, "run-log"), "a");
	if (peer_net_start(&standin.net, settings_text(&s, "name"),
			   settings_text(&s, "listen"), 0, &sink) ||
	    register_worker(&s))
		return EXIT_CODE_ENV;
	while (sigtimedwait(&stop_signals, NULL, &wait) <= 0)
		tick();
	peer_net_stop(&standin.net);
	if (standin.run_log)
		fclose(standin.run_log);
	worker_model_finish(&standin.model);
	settings_finish(&s);
	return EXIT_CODE_OK;
}
