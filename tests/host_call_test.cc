#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

#include "adapters/clock.h"
#include "host/host_call.h"
#include "platform/caller.h"
#include "platform/config.h"
#include "tests/fake_store.h"

namespace
{

const char ID[] = "5c0e7a21d94b36f8";
const char JOB[] = "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1}]}";
const char LASTING[] = "{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":60,"
		       "\"longRunning\":true}]}";

std::string config(uint64_t version, const std::string &tenants)
{
	return "{\"version\":" + std::to_string(version) +
	       ",\"limits\":{\"maxBodyBytes\":200},\"routes\":["
	       "{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/q/\","
	       "\"service\":\"s\"},"
	       "{\"name\":\"p\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
	       "\"service\":\"s\",\"public\":true}]" +
	       (tenants.empty() ? "" : ",\"tenants\":[" + tenants + "]") + "}";
}

std::string tenant(const std::string &name, const std::string &keys)
{
	return "{\"name\":\"" + name + "\",\"apiKeys\":[" + keys + "]}";
}

const std::string TENANTS =
	tenant("a", "\"a1\",\"a2\"") + "," + tenant("b", "\"b1\"");

void ignore_entry(void *, job_entry *)
{
}

const job_view_ops view_ops = {ignore_entry, ignore_entry, ignore_entry};

struct Reply {
	int status;
	std::string text;
};

/* A host without its event loop: requests arrive over its HTTP server, its log
 * is in memory, and the test handles what is pending. */
class HostCall : public testing::Test
{
      protected:
	void SetUp() override
	{
		h.owner.store = &store.ops;
		h.owner.port = &store;
		job_view_init(&h.job_view, &view_ops, &h);
		queue_table_init(&h.queues);
		index_init(&h.evacuated_zones);
		index_init(&h.listed_zones);
		follower_init(&h.operator_follower, &store.ops, &store,
			      TOPIC_OPERATORS, 0, &host_operator_ops, &h);
		follower_init(&h.job_follower, &store.ops, &store, TOPIC_JOBS,
			      0, &host_job_ops, &h);
		auth_bounds_init(&h.auth_bounds, 3000, true, 5000);
		h.callers.threads = 1;
		h.callers.ctx = this;
		h.callers.handle = [](void *ctx, http_request *r) {
			HostCall *t = (HostCall *)ctx;
			std::lock_guard<std::mutex> g(t->lock);

			t->arrived.push_back(r);
			t->changed.notify_all();
		};
		ASSERT_EQ(http_server_start(&h.callers, "127.0.0.1", 0, 1000),
			  0);
		start();
	}

	void TearDown() override
	{
		for (int i = 0; i < 1000 && host_has_calls(&h); i++) {
			tick();
			usleep(1000);
		}
		EXPECT_FALSE(host_has_calls(&h));
		http_server_stop(&h.callers);
		follower_finish(&h.operator_follower);
		follower_finish(&h.job_follower);
		job_view_finish(&h.job_view);
		queue_table_finish(&h.queues);
		index_finish(&h.evacuated_zones);
		index_finish(&h.listed_zones);
	}

	void start()
	{
		store.now = clock_boot_ms();
		follower_start(&h.operator_follower, store.now);
		follower_start(&h.job_follower, store.now);
	}

	/* One iteration of the loop. */
	void tick()
	{
		store.now = h.now_ms = clock_boot_ms();
		if (reads) {
			host_follow_logs(&h);
		}
		host_calls_tick(&h);
		store.run();
	}

	void publish(const std::string &text)
	{
		store.put(TOPIC_OPERATORS, KEY_CONFIG, text);
		for (int i = 0; i < 4; i++)
			tick();
	}

	/* Makes the last read of the operators' topic that much older. */
	void age(int64_t ms)
	{
		reads = false;
		h.operator_follower.caught_up_ms = clock_boot_ms() - ms;
	}

	/* Connects, sends a request and waits until it has arrived. */
	int send_request(const std::string &method, const std::string &path,
			 const std::string &key, const std::string &body)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in to = {};
		std::string text = method + " " + path +
				   " HTTP/1.1\r\nHost: h\r\n"
				   "Connection: close\r\n"
				   "X-Deadline-Ms: 1000\r\n"
				   "Content-Length: " +
				   std::to_string(body.size()) + "\r\n";

		if (!key.empty())
			text += CALLER_KEY_HEADER ": " + key + "\r\n";
		text += "\r\n" + body;
		to.sin_family = AF_INET;
		to.sin_port = htons(h.callers.port);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		EXPECT_EQ(connect(fd, (sockaddr *)&to, sizeof(to)), 0);
		EXPECT_EQ(write(fd, text.data(), text.size()),
			  (ssize_t)text.size());
		std::unique_lock<std::mutex> g(lock);
		EXPECT_TRUE(changed.wait_for(g, std::chrono::seconds(10),
					     [&] { return !arrived.empty(); }));
		return fd;
	}

	/* Handles the requests that have arrived. */
	void handle_arrived()
	{
		std::deque<http_request *> all;

		{
			std::lock_guard<std::mutex> g(lock);
			all.swap(arrived);
		}
		for (http_request *r : all)
			host_handle_call(&h, r);
	}

	/* Runs the loop until the request has its reply. */
	Reply receive(int fd)
	{
		Reply r = {0, ""};
		char part[4096];
		ssize_t n;

		for (int i = 0; i < 5000 && http_server_has_pending(&h.callers);
		     i++) {
			tick();
			usleep(1000);
		}
		while ((n = read(fd, part, sizeof(part))) > 0)
			r.text.append(part, (size_t)n);
		close(fd);
		sscanf(r.text.c_str(), "HTTP/1.1 %d", &r.status);
		return r;
	}

	Reply call(const std::string &method, const std::string &path,
		   const std::string &key, const std::string &body = "")
	{
		int fd = send_request(method, path, key, body);

		handle_arrived();
		return receive(fd);
	}

	int status(const std::string &method, const std::string &path,
		   const std::string &key, const std::string &body = "")
	{
		return call(method, path, key, body).status;
	}

	static std::string path(const std::string &queue,
				const std::string &id = ID)
	{
		return "/" + queue + "/" + id;
	}

	std::string account_of(const char *job)
	{
		const job_entry *e;
		uint64_t id = 0;

		EXPECT_EQ(job_id_parse(str_of(job), &id), 0);
		e = job_view_get(&h.job_view, id);
		return e && e->spec ? e->spec->account : "unknown job";
	}

	/* Stores a job under another ID, as another host does. */
	void store_as_other_host(const std::string &job, uint64_t id,
				 const std::string &key)
	{
		job_spec spec = {};
		arena a;
		buf b;

		arena_init(&a);
		buf_init(&b);
		ASSERT_EQ(job_spec_read({job.data(), job.size()}, &spec, &a),
			  0);
		spec.id = id;
		job_spec_write(&spec, &b);
		store.put(TOPIC_JOBS, key, std::string(b.data, b.len));
		buf_finish(&b);
		arena_finish(&a);
	}

	/* Stores the load of 1,000 thousandths of a core, as the owner does. */
	void store_load(uint64_t long_running, uint64_t short_peak)
	{
		load_table loads;
		load_row *row;
		buf b;

		load_table_init(&loads);
		row = load_table_get(&loads, name_hash("s"), 0);
		row->capacity = 1000;
		row->long_running = long_running;
		row->short_peak = short_peak;
		buf_init(&b);
		load_table_write(&loads, &b);
		store.put(TOPIC_JOBS, LOADS_KEY, std::string(b.data, b.len));
		for (int i = 0; i < 4; i++)
			tick();
		buf_finish(&b);
		load_table_finish(&loads);
	}

	host h = {};
	FakeStore store;
	bool reads = true;
	std::mutex lock;
	std::condition_variable changed;
	std::deque<http_request *> arrived;
};

/* Requests were served whatever their key was. */
TEST_F(HostCall, RefusesRequestsWithoutAKnownKey)
{
	publish(config(1, TENANTS));
	for (const char *method : {"POST", "GET", "DELETE"})
		for (const char *key : {"", "x", "a1x"})
			EXPECT_EQ(status(method, path("q"), key,
					 *method == 'P' ? JOB : ""),
				  401)
				<< method << " " << key;
	EXPECT_EQ(status("GET", "/q/", ""), 401);
	EXPECT_EQ(status("GET", "/q/", "x"), 401);
	EXPECT_EQ(h.counts.unauthorized, 11u);
	EXPECT_TRUE(store.topics[TOPIC_JOBS].empty());
	EXPECT_EQ(status("GET", "/q/", "b1"), 200);
	EXPECT_EQ(status("POST", path("q"), "a1", JOB), 200);
	EXPECT_EQ(status("GET", path("q"), "a1"), 200);
	EXPECT_EQ(status("DELETE", path("q"), "a1"), 200);
}

TEST_F(HostCall, PublicQueuesNeedNoKey)
{
	publish(config(1, TENANTS));
	EXPECT_EQ(status("POST", path("p"), "", JOB), 200);
	EXPECT_EQ(status("GET", path("p"), "x"), 200);
	EXPECT_EQ(status("GET", "/p/", ""), 200);
	EXPECT_EQ(account_of(ID), "");
	age(1000000);
	EXPECT_EQ(status("GET", path("p"), "a1"), 200);
}

/*
 * After all hosts had been killed, 22 of 30 read the jobs for 2.3 s over narrow
 * links and refused meanwhile. Their logs blamed a store that worked, with an
 * age of the log that was the time since the machine had started.
 */
TEST_F(HostCall, TellsUnreadJobsFromAStoreThatIsDown)
{
	std::string log;

	publish(config(1, ""));
	reads = false;
	follower_stop(&h.job_follower);
	follower_start(&h.job_follower, clock_boot_ms());
	testing::internal::CaptureStderr();
	EXPECT_EQ(status("POST", path("q"), "", JOB), 503);
	log = testing::internal::GetCapturedStderr();
	EXPECT_NE(log.find("reason=jobs_unread "), std::string::npos) << log;
	EXPECT_NE(log.find("log_age_ms=-1\n"), std::string::npos) << log;

	reads = true;
	for (int i = 0; i < 4; i++)
		tick();
	reads = false;
	h.store_failures = 1;
	h.store_failed_ms = clock_boot_ms() - 60000;
	h.job_follower.caught_up_ms = clock_boot_ms() - 60000;
	testing::internal::CaptureStderr();
	EXPECT_EQ(status("POST", path("q"), "", JOB), 503);
	log = testing::internal::GetCapturedStderr();
	EXPECT_NE(log.find("reason=store_down "), std::string::npos) << log;
	EXPECT_NE(log.find("log_age_ms=60"), std::string::npos) << log;
}

/* Operators could not tell from the log or the metrics why callers waited, nor
 * for how long. */
TEST_F(HostCall, TellsWhyAndForHowLongCallersWait)
{
	std::string log;
	uint64_t ms;

	publish(config(1, ""));
	reads = false;
	h.store_failures = 1;
	h.store_failed_ms = clock_boot_ms() - 5000;
	h.job_follower.caught_up_ms = clock_boot_ms() - 5000;
	testing::internal::CaptureStderr();
	Reply r = call("POST", path("q"), "", JOB);
	log = testing::internal::GetCapturedStderr();
	ms = h.counts.retry_ms[RETRY_OUTAGE];
	EXPECT_EQ(r.status, 503);
	EXPECT_NE(r.text.find("Retry-After: " + std::to_string(ms / 1000)),
		  std::string::npos)
		<< r.text;
	EXPECT_NE(log.find("retry_ms=" + std::to_string(ms) +
			   " retry_reason=outage "),
		  std::string::npos)
		<< log;
	EXPECT_EQ(h.counts.retries[RETRY_OUTAGE], 1u);
	h.job_follower.loaded = false;
	EXPECT_EQ(status("POST", path("q"), "", JOB), 503);
	EXPECT_EQ(h.counts.retries[RETRY_UNREAD], 1u);
	EXPECT_EQ(h.counts.retries[RETRY_OUTAGE], 1u);
}

/* Deployments without client accounts must go on as before. */
TEST_F(HostCall, NeedsNoKeyWithoutAccounts)
{
	publish(config(1, ""));
	EXPECT_EQ(status("POST", path("q"), "", JOB), 200);
	EXPECT_EQ(status("GET", path("q"), "x"), 200);
	EXPECT_EQ(status("GET", "/q/", ""), 200);
	EXPECT_EQ(status("GET", "/q/", "x"), 200);
	age(1000000);
	EXPECT_EQ(status("GET", path("q"), "x"), 200);
	EXPECT_EQ(status("GET", "/q/", ""), 503) << "not for the key";
	EXPECT_EQ(h.counts.unauthorized, 0u);
	EXPECT_EQ(status("DELETE", path("q"), ""), 200);
}

/* A job that can never be stored was refused with a time to come back: its
 * caller sent it again and again. */
TEST_F(HostCall, RefusesAJobThatIsTooLargeToStoreForGood)
{
	publish(config(1, ""));
	h.owner.options.record_max_bytes = 10;
	Reply r = call("POST", path("q"), "", JOB);
	EXPECT_EQ(r.status, 413);
	EXPECT_EQ(r.text.find("Retry-After"), std::string::npos);
}

/* A job that no worker is large enough for was accepted and waited for ever. */
TEST_F(HostCall, RefusesAJobThatNoWorkerIsLargeEnoughFor)
{
	const std::string large =
		"{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1},"
		"{\"count\":1,\"cpu\":9}]}";
	worker_size size = {name_hash("s"), 0, 8, 8, 0, 0};
	size_table sizes;
	buf b;

	publish(config(1, ""));
	size_table_init(&sizes);
	size_table_add(&sizes, &size);
	buf_init(&b);
	size_table_write(&sizes, &b);
	store.put(TOPIC_JOBS, SIZES_KEY, std::string(b.data, b.len));
	for (int i = 0; i < 4; i++)
		tick();
	Reply r = call("POST", path("q"), "", large);
	EXPECT_EQ(r.status, 503);
	EXPECT_EQ(r.text.find("Retry-After"), std::string::npos);
	EXPECT_EQ(store.topics[TOPIC_JOBS].size(), 1u);
	EXPECT_EQ(status("POST", path("q"), "", JOB), 200);
	EXPECT_EQ(h.counts.refused, 1u);
	buf_finish(&b);
	size_table_finish(&sizes);
}

/* A long-running job took processors that short work needed, and never gave
 * them back. Its caller is told when to come back; short jobs are served. */
TEST_F(HostCall, RefusesALongRunningJobWhereShortWorkNeedsTheProcessors)
{
	const std::string lasting =
		"{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1,"
		"\"longRunning\":true}]}";

	publish(config(1, ""));
	store_load(900, 101);
	Reply r = call("POST", path("q"), "", lasting);
	EXPECT_EQ(r.status, 503);
	EXPECT_NE(r.text.find("Retry-After"), std::string::npos);
	EXPECT_EQ(status("POST", path("q"), "", JOB), 200);
	EXPECT_EQ(h.counts.refused, 1u);
}

/* Between two records of the owner, all long-running jobs were accepted,
 * whatever they asked for and whatever the log held already. */
TEST_F(HostCall, CountsTheLongRunningJobsThatItHasAccepted)
{
	publish(config(1, ""));
	store_load(800, 100);
	EXPECT_EQ(status("POST", "/q/5c0e7a21d94b3601", "", LASTING), 200);
	for (int i = 0; i < 4; i++)
		tick();
	EXPECT_EQ(status("POST", "/q/5c0e7a21d94b3602", "", LASTING), 503);
}

/* A job that was counted twice would keep another one out. */
TEST_F(HostCall, CountsNoJobThatTheLoadContains)
{
	publish(config(1, ""));
	store_load(800, 100);
	EXPECT_EQ(status("POST", "/q/5c0e7a21d94b3601", "", LASTING), 200);
	store_load(840, 100);
	EXPECT_EQ(status("POST", "/q/5c0e7a21d94b3602", "", LASTING), 200);
}

/* A job that no worker is large enough for was told to come back. */
TEST_F(HostCall, RefusesForGoodWhatNoWorkerIsLargeEnoughForWhereverItIsFull)
{
	const std::string both =
		"{\"spec\":\"s\",\"steps\":[{\"count\":1,\"cpu\":1,"
		"\"longRunning\":true},{\"count\":1,\"cpu\":9}]}";
	worker_size size = {name_hash("s"), 0, 8, 8, 0, 0};
	size_table sizes;
	load_table loads;
	load_row *row;
	buf b;

	publish(config(1, ""));
	size_table_init(&sizes);
	size_table_add(&sizes, &size);
	buf_init(&b);
	size_table_write(&sizes, &b);
	store.put(TOPIC_JOBS, SIZES_KEY, std::string(b.data, b.len));
	buf_clear(&b);
	load_table_init(&loads);
	row = load_table_get(&loads, name_hash("s"), 0);
	row->capacity = 1000;
	row->long_running = 900;
	row->short_peak = 101;
	load_table_write(&loads, &b);
	store.put(TOPIC_JOBS, LOADS_KEY, std::string(b.data, b.len));
	for (int i = 0; i < 4; i++)
		tick();
	Reply r = call("POST", path("q"), "", both);
	EXPECT_EQ(r.status, 503);
	EXPECT_EQ(r.text.find("Retry-After"), std::string::npos);
	buf_finish(&b);
	size_table_finish(&sizes);
	load_table_finish(&loads);
}

/* A host that knew that the store was down held callers who asked for a job it
 * had not read for 1.2 s before it told them so. */
TEST_F(HostCall, RefusesToLookForAnUnknownJobWhileTheStoreIsDown)
{
	publish(config(1, ""));
	store.mode = FakeStore::UNAVAILABLE;
	for (const char *method : {"GET", "DELETE"}) {
		int fd = send_request(method, path("q"), "", "");
		int64_t began = h.now_ms = clock_boot_ms();

		h.store_failures = 5;
		h.store_failed_ms = began - 3000;
		h.job_follower.caught_up_ms = began - 5000;
		handle_arrived();
		Reply r = receive(fd);
		EXPECT_EQ(r.status, 503) << method;
		EXPECT_NE(r.text.find("Retry-After: "), std::string::npos);
		EXPECT_LT(clock_boot_ms() - began, 800) << method;
	}
}

/* Workers refuse the tasks of such a queue without a ticket, which no host asks
 * for: its jobs were accepted and tried for ever. */
TEST_F(HostCall, RefusesJobsOfAQueueThatNeedsAdvice)
{
	publish("{\"version\":1,\"limits\":{\"maxBodyBytes\":200},"
		"\"routes\":[{\"name\":\"q\",\"host\":\"h\","
		"\"pathPrefix\":\"/q/\",\"service\":\"s\",\"advice\":"
		"{\"decisionMs\":5,\"periodMs\":1,\"validityMs\":900}}]}");
	EXPECT_EQ(status("POST", path("q"), "", JOB), 503);
	EXPECT_EQ(status("GET", path("q"), ""), 410);
	EXPECT_TRUE(store.topics[TOPIC_JOBS].empty());
}

/* A gang starts as a whole. One that needs more than its account may have was
 * accepted and waited for ever. */
TEST_F(HostCall, RefusesAGangThatExceedsTheLimitsOfItsAccount)
{
	const std::string
		steps = ",\"cpu\":10}]}",
		gang = "{\"spec\":\"s\",\"steps\":[{\"gang\":true,\"count\":";

	publish(config(1, "{\"name\":\"a\",\"apiKeys\":[\"a1\"],"
			  "\"maxCount\":{\"cpu\":35}}"));
	EXPECT_EQ(status("POST", path("q"), "a1", gang + "4" + steps), 503);
	EXPECT_TRUE(store.topics[TOPIC_JOBS].empty());
	EXPECT_EQ(status("POST", path("q"), "a1", gang + "3" + steps), 200);
}

/* A caller whose request cannot be served at all learns that first. */
TEST_F(HostCall, ChecksTheKeyAfterConfigurationSizeAndRoute)
{
	std::string large(300, ' ');

	EXPECT_EQ(status("GET", path("q"), ""), 503);
	publish(config(1, TENANTS));
	EXPECT_EQ(status("POST", path("q"), "", large), 413);
	EXPECT_EQ(status("POST", path("none"), "", JOB), 404);
	EXPECT_EQ(status("GET", "/q/none", ""), 401);
	EXPECT_EQ(status("GET", "/q/none", "a1"), 404);
}

/* The host cannot know a key that was added since its last read. */
TEST_F(HostCall, DoesNotRefuseAKeyThatMayBeNewerThanItsConfiguration)
{
	publish(config(1, TENANTS));
	age(2600);
	for (const char *key : {"", "x"}) {
		Reply r = call("POST", path("q"), key, JOB);

		EXPECT_EQ(r.status, 503) << key;
		EXPECT_NE(r.text.find("Retry-After: 1\r\n"), std::string::npos);
	}
	EXPECT_EQ(status("POST", path("q"), "a1", JOB), 200);
	EXPECT_EQ(h.counts.config_too_old, 2u);
	EXPECT_EQ(h.counts.unauthorized, 0u);
}

TEST_F(HostCall, RefusesAKeyOnceItIsWithdrawn)
{
	publish(config(1, TENANTS));
	EXPECT_EQ(status("GET", "/q/", "a1"), 200);
	publish(config(2, tenant("a", "\"a2\"")));
	EXPECT_EQ(status("GET", "/q/", "a1"), 401);
	EXPECT_EQ(status("GET", "/q/", "a2"), 200);
	EXPECT_EQ(status("GET", "/q/", "b1"), 401);
}

/*
 * A host that the store does not answer kept serving the keys that it knew,
 * also those that were withdrawn meanwhile.
 */
TEST_F(HostCall, ServesNoKeyWhileTheConfigurationMayBeTooOld)
{
	/* The time that a call takes on a busy machine is part of the age. */
	auth_bounds_init(&h.auth_bounds, 3000, true, 500000);
	publish(config(1, TENANTS));
	age(470000);
	EXPECT_EQ(status("POST", path("q"), "a1", JOB), 200);
	for (const char *method : {"POST", "GET", "DELETE"}) {
		age(480000);
		Reply r = call(method, path("q"), "a1",
			       *method == 'P' ? JOB : "");

		EXPECT_EQ(r.status, 503) << method;
		EXPECT_NE(r.text.find("Retry-After: 1\r\n"), std::string::npos);
	}
	EXPECT_EQ(status("GET", "/q/", "a1"), 503);
	EXPECT_EQ(store.topics[TOPIC_JOBS].size(), 1u)
		<< "a refused submission must not be stored";
	reads = true;
	for (int i = 0; i < 4; i++)
		tick();
	EXPECT_EQ(status("GET", path("q"), "a1"), 200);
}

/*
 * Against a 404 for a queue that was added, and a count for one that was
 * removed: a host that had not read the configuration for long answered as if
 * its own was the newest.
 */
TEST_F(HostCall, DeniesAndCountsNoQueueByAnOldConfiguration)
{
	publish(config(1, ""));
	EXPECT_EQ(status("GET", "/none/", ""), 404);
	EXPECT_EQ(status("GET", "/q/", ""), 200);
	age(3000);
	for (const char *method : {"POST", "GET", "DELETE"}) {
		Reply r = call(method, path("none"), "",
			       *method == 'P' ? JOB : "");

		EXPECT_EQ(r.status, 503) << method;
		EXPECT_NE(r.text.find("Retry-After: 1\r\n"), std::string::npos);
	}
	EXPECT_EQ(status("GET", "/q/", ""), 503);
	EXPECT_EQ(status("POST", path("q"), "", JOB), 200)
		<< "a cut-off host serves what it can";
}

/*
 * A host that refuses all requests with a key must not be sent more of them,
 * also where the bound on withdrawn keys is short.
 */
TEST_F(HostCall, IsNotReadyWhileItWouldRefuseKnownKeys)
{
	publish(config(1, TENANTS));
	EXPECT_TRUE(host_is_ready(&h));
	auth_bounds_init(&h.auth_bounds, 3000, true, 2000);
	age(1800);
	h.now_ms = clock_boot_ms();
	EXPECT_TRUE(host_is_ready(&h));
	age(2000);
	h.now_ms = clock_boot_ms();
	EXPECT_FALSE(host_is_ready(&h));
	auth_bounds_init(&h.auth_bounds, 3000, true, 600000);
	EXPECT_TRUE(host_is_ready(&h));
	age(2600);
	h.now_ms = clock_boot_ms();
	EXPECT_FALSE(host_is_ready(&h));
	reads = true;
	publish(config(2, ""));
	auth_bounds_init(&h.auth_bounds, 3000, true, 2000);
	age(2000);
	h.now_ms = clock_boot_ms();
	EXPECT_TRUE(host_is_ready(&h)) << "no keys to be judged";
}

/*
 * The process is paused after a tick at which the configuration was fresh. A
 * request that arrives during the pause is handled before the next tick, by a
 * configuration in which its key may long have been withdrawn.
 */
TEST_F(HostCall, JudgesARequestByTheClockAfterAPause)
{
	publish(config(1, TENANTS));
	tick();
	h.operator_follower.caught_up_ms = h.now_ms - 100;
	EXPECT_LT(host_config_age_ms(&h), 1000);
	/* The pause: the clock goes on, the time of the tick stays. */
	h.operator_follower.caught_up_ms -= 6000;
	h.now_ms -= 6000;
	int fd = send_request("GET", "/q/", "a1", "");
	handle_arrived();
	EXPECT_EQ(receive(fd).status, 503);
}

/*
 * A key that is withdrawn while a record waits for its append was valid when
 * the request was sent. Its job may be stored already: a refusal would tell the
 * caller, wrongly, that it has not run.
 */
TEST_F(HostCall, AnswersASubmissionWhoseKeyIsWithdrawnMeanwhile)
{
	publish(config(1, TENANTS));
	int fd = send_request("POST", path("q"), "a1", JOB);
	handle_arrived();
	host_calls_tick(&h);
	ASSERT_EQ(h.batches_in_flight, 1u);
	store.put(TOPIC_OPERATORS, KEY_CONFIG, config(2, tenant("b", "")));
	EXPECT_EQ(receive(fd).status, 200);
	for (int i = 0; i < 4; i++)
		tick();
	EXPECT_EQ(h.queues.version, 2u);
	EXPECT_EQ(status("GET", path("q"), "a1"), 401);
}

/* Whoever knew the ID of a job could see it and cancel it. */
TEST_F(HostCall, HidesJobsFromOtherAccounts)
{
	publish(config(1, TENANTS));
	EXPECT_EQ(status("POST", path("q"), "a1", JOB), 200);
	EXPECT_EQ(account_of(ID), "a");
	EXPECT_EQ(status("GET", path("q"), "b1"), 410);
	EXPECT_EQ(status("GET", path("p"), ""), 410);
	EXPECT_EQ(status("DELETE", path("q"), "b1"), 410);
	EXPECT_EQ(status("DELETE", path("p"), ""), 410);
	EXPECT_EQ(status("POST", path("q"), "b1", JOB), 409);
	EXPECT_EQ(h.counts.other_account, 5u);
	Reply r = call("GET", path("q"), "a2");
	EXPECT_EQ(r.status, 200) << "the key was exchanged for another";
	EXPECT_NE(r.text.find("queued"), std::string::npos);
	EXPECT_EQ(status("POST", path("q"), "a2", JOB), 200);
	EXPECT_EQ(status("DELETE", path("q"), "a2"), 200);
	EXPECT_EQ(status("GET", path("q"), "b1"), 410) << "also once cancelled";
	EXPECT_EQ(status("DELETE", path("q"), "b1"), 410);
}

/* A job whose ID the index of the jobs did not hold was accepted, and unknown
 * from then on: no query or cancel found it, and a repeat was accepted anew.
 * ID 0 was refused as a path without a queue. */
TEST_F(HostCall, KnowsAJobOfEachId)
{
	const char *const ids[] = {"0000000000000000", "0000000000000001",
				   "fffffffffffffffe", "ffffffffffffffff"};

	publish(config(1, ""));
	for (const std::string id : ids) {
		EXPECT_EQ(status("GET", path("q", id), ""), 410) << id;
		EXPECT_EQ(status("POST", path("q", id), "", JOB), 200) << id;
		size_t stored = store.topics[TOPIC_JOBS].size();
		EXPECT_EQ(status("POST", path("q", id), "", JOB), 200) << id;
		EXPECT_EQ(store.topics[TOPIC_JOBS].size(), stored) << id;
		Reply r = call("GET", path("q", id), "");
		EXPECT_EQ(r.status, 200) << id;
		EXPECT_NE(r.text.find("queued"), std::string::npos) << r.text;
		EXPECT_NE(call("GET", "/q/", "").text.find("\"pendingJobs\":1"),
			  std::string::npos)
			<< id;
		EXPECT_EQ(status("DELETE", path("q", id), ""), 200) << id;
		r = call("GET", path("q", id), "");
		EXPECT_NE(r.text.find("cancelled"), std::string::npos)
			<< r.text;
	}
}

/* An ID with capital digits was refused as a path without a queue. */
TEST_F(HostCall, TakesAnIdInEitherCase)
{
	publish(config(1, ""));
	EXPECT_EQ(status("POST", path("q", "ABCDEF0123456789"), "", JOB), 200);
	size_t stored = store.topics[TOPIC_JOBS].size();
	EXPECT_EQ(status("POST", path("q", "abcdef0123456789"), "", JOB), 200);
	EXPECT_EQ(store.topics[TOPIC_JOBS].size(), stored) << "one job";
	EXPECT_EQ(store.topics[TOPIC_JOBS].back().key, "abcdef0123456789");
	for (const char *id : {"abcdef0123456789", "aBCDEF0123456789"}) {
		Reply r = call("GET", path("q", id), "");
		EXPECT_NE(r.text.find("queued"), std::string::npos) << r.text;
	}
	EXPECT_EQ(status("DELETE", path("q", "Abcdef0123456789"), ""), 200);
	EXPECT_NE(call("GET", path("q", "ABCDEF0123456789"), "")
			  .text.find("cancelled"),
		  std::string::npos);
}

/* A host whose event loop hung said for ever that it was ready, and went on to
 * get callers. */
TEST_F(HostCall, IsNotReadyWhileItsLoopStandsStill)
{
	h.ready = true;
	h.loop_turned_ms = 50000;
	EXPECT_TRUE(host_probe_passes(&h, 52000));
	EXPECT_FALSE(host_probe_passes(&h, 52001));
	h.ready = false;
	EXPECT_FALSE(host_probe_passes(&h, 50001));
}

/* A caller left without an answer and cancelled its job, which no record showed
 * yet: it was told 410, nothing was stored, and the job ran for good. */
TEST_F(HostCall, CancelsAJobWhoseRecordIsStoredAfterTheCancel)
{
	const std::string first = "00000000000000a1", late = "00000000000000a2";

	publish(config(1, ""));
	ASSERT_EQ(status("POST", path("q", first), "", JOB), 200);
	std::string stored = store.topics[TOPIC_JOBS][0].value;
	EXPECT_EQ(status("DELETE", path("q", late), ""), 410);
	EXPECT_EQ(status("GET", path("q", late), ""), 410)
		<< "nobody has submitted it";
	store_as_other_host(stored, 0xa2, late);
	Reply r = call("GET", path("q", late), "");
	EXPECT_EQ(r.status, 200);
	EXPECT_NE(r.text.find("cancelled"), std::string::npos) << r.text;
	EXPECT_EQ(status("DELETE", path("q", late), ""), 200);
	EXPECT_EQ(status("POST", path("q", late), "", JOB), 200)
		<< "the caller's retry: it is one job";
}

/* A host that was cut off until a job had ended and its records had expired
 * kept showing it as running, and as the next owner ran it again. */
TEST_F(HostCall, DropsAJobThatHasExpiredWhileItWasCutOff)
{
	const std::string kept = "00000000000000a3";

	publish(config(1, ""));
	ASSERT_EQ(status("POST", path("q"), "", JOB), 200);
	ASSERT_EQ(status("POST", path("q", kept), "", JOB), 200);
	ASSERT_EQ(status("GET", path("q"), ""), 200);
	reads = false;
	store.put(TOPIC_JOBS, ID, "");
	store.trimmed = store.topics[TOPIC_JOBS].size();
	reads = true;
	usleep(2000);
	for (int i = 0; i < 4; i++)
		tick();
	EXPECT_EQ(status("GET", path("q"), ""), 410);
	EXPECT_EQ(status("GET", path("q", kept), ""), 200);
	EXPECT_EQ(index_count(&h.job_view.by_id), 1u);
}

/* The caller is told that a job is cancelled only once that is stored. */
TEST_F(HostCall, AnswersACancelOfAnUnknownJobOnceItIsStored)
{
	publish(config(1, ""));
	int fd = send_request("DELETE", path("q"), "", "");
	handle_arrived();
	store.mode = FakeStore::LOSE_REPLIES;
	for (int i = 0; i < 5; i++)
		host_calls_tick(&h);
	h.job_follower.caught_up_ms = clock_boot_ms() + 1;
	EXPECT_EQ(receive(fd).status, 504);
	store.mode = FakeStore::REFUSE;
	fd = send_request("DELETE", path("q"), "", "");
	handle_arrived();
	h.job_follower.caught_up_ms = clock_boot_ms() + 1;
	EXPECT_EQ(receive(fd).status, 503);
	store.mode = FakeStore::SERVE;
	EXPECT_EQ(status("DELETE", path("q"), ""), 410);
}

/* Cancels of unknown IDs, each kept as long as a job that has ended, filled the
 * memory of all hosts. */
TEST_F(HostCall, RefusesCancelsOfUnknownJobsBeyondTheirNumber)
{
	const std::string unknown = "00000000000000a2";
	char text[JOB_KEY_SIZE];
	buf b;

	publish(config(1, ""));
	ASSERT_EQ(status("POST", path("q"), "", JOB), 200);
	buf_init(&b);
	job_entry_write_cancel(NULL, "", &b);
	for (uint64_t id = 0x10000; h.job_view.early_cancels < 10000; id++)
		job_view_apply(&h.job_view, job_key(id, 'c', text),
			       {b.data, b.len}, clock_boot_ms());
	buf_finish(&b);
	Reply r = call("DELETE", path("q", unknown), "");
	EXPECT_EQ(r.status, 503);
	EXPECT_NE(r.text.find("Retry-After: "), std::string::npos);
	EXPECT_EQ(status("DELETE", path("q"), ""), 200) << "a known job";
	job_view_apply(&h.job_view, job_key(0x10000, 0, text), {NULL, 0},
		       clock_boot_ms());
	EXPECT_EQ(status("DELETE", path("q", unknown), ""), 410);
}

/* A caller who knew the ID of a job before it was stored could cancel it for
 * another account. */
TEST_F(HostCall, CancelsNoLaterJobOfAnotherAccount)
{
	const std::string both = "00000000000000a2";

	publish(config(1, TENANTS));
	EXPECT_EQ(status("DELETE", path("q"), "b1"), 410);
	EXPECT_EQ(status("DELETE", path("p"), ""), 410);
	ASSERT_EQ(status("POST", path("q"), "a1", JOB), 200);
	std::string stored = store.topics[TOPIC_JOBS].back().value;
	Reply r = call("GET", path("q"), "a2");
	EXPECT_NE(r.text.find("queued"), std::string::npos) << r.text;
	EXPECT_EQ(status("DELETE", path("q", both), "b1"), 410);
	EXPECT_EQ(status("DELETE", path("q", both), "a1"), 410);
	store_as_other_host(stored, 0xa2, both);
	r = call("GET", path("q", both), "a2");
	EXPECT_NE(r.text.find("cancelled"), std::string::npos) << r.text;
}

/*
 * Two accounts submit a job of the same ID to two hosts. The record of the
 * other host is the first in the log: this host stored its own behind it and
 * answered with success, though that job will never run. It reads the other
 * record before it answers, or, if the reply to its append is lost, later.
 */
TEST_F(HostCall, DoesNotAcceptAJobWhoseIdAnotherAccountHas)
{
	publish(config(1, TENANTS));
	ASSERT_EQ(status("POST", path("q"), "a1", JOB), 200);
	std::string stored = store.topics[TOPIC_JOBS][0].value;

	for (auto mode : {FakeStore::SERVE, FakeStore::LOSE_REPLIES}) {
		uint64_t id = 0x1000 + mode;
		char text[JOB_KEY_SIZE];
		str key = job_key(id, 0, text);
		std::string other(key.data, key.len);

		int fd = send_request("POST", path("q", other), "b1", JOB);
		handle_arrived();
		store_as_other_host(stored, id, other);
		if (mode == FakeStore::LOSE_REPLIES) {
			store.mode = mode;
			host_calls_tick(&h);
			store.run();
			store.mode = FakeStore::SERVE;
		}
		EXPECT_EQ(receive(fd).status, 409) << mode;
		EXPECT_EQ(status("GET", path("q", other), "a1"), 200) << mode;
		EXPECT_EQ(status("GET", path("q", other), "b1"), 410) << mode;
	}
}

/*
 * The restart of a host. Its listing of the operators' topic takes several
 * pages; a key is withdrawn after the page with the configuration.
 */
TEST_F(HostCall, ARestartedHostUsesNoWithdrawnKey)
{
	store.page = 1;
	store.put(TOPIC_OPERATORS, KEY_CONFIG, config(1, TENANTS));
	for (const char *zone : {"x", "y", "z"})
		store.put(TOPIC_OPERATORS,
			  std::string(KEY_ZONE_EVACUATED) + zone, "{}");
	store.now = clock_boot_ms();
	follower_tick(&h.operator_follower, store.now);
	auto pages = store.pending;
	store.pending.clear();
	pages[0](); /* the page with version 1 */
	EXPECT_EQ(status("GET", "/q/", "a1"), 503) << "not listed yet";
	store.put(TOPIC_OPERATORS, KEY_CONFIG,
		  config(2, tenant("a", "\"a2\"")));
	for (int i = 0; i < 10; i++)
		tick();
	EXPECT_EQ(h.queues.version, 2u);
	EXPECT_EQ(status("GET", "/q/", "a1"), 401);
	EXPECT_EQ(status("GET", "/q/", "a2"), 200);
}

/* A record that is read again, or that comes late, must not bring back an older
 * configuration and its keys. */
TEST_F(HostCall, AppliesNoOlderConfiguration)
{
	publish(config(2, tenant("a", "\"a2\"")));
	publish(config(1, TENANTS));
	EXPECT_EQ(h.queues.version, 2u);
	start(); /* lists the topic again, as after a trim */
	for (int i = 0; i < 4; i++)
		tick();
	EXPECT_EQ(h.queues.version, 2u);
	EXPECT_EQ(status("GET", "/q/", "a1"), 401);
}

/*
 * A newer configuration that this host cannot decode may have withdrawn a key:
 * the host went on with the older one as if that was the newest.
 */
TEST_F(HostCall, AConfigurationThatCannotBeDecodedMakesTheOneInForceOld)
{
	publish(config(1, TENANTS));
	publish("{\"version\":2}");
	EXPECT_EQ(status("GET", "/q/", "a1"), 200);
	int64_t until = h.config_until_ms;
	EXPECT_GT(until, 0);
	usleep(5000);
	tick(); /* reads on */
	publish("{\"version\":3}");
	EXPECT_EQ(h.config_until_ms, until);
	h.config_until_ms -= 4800;
	EXPECT_EQ(status("GET", "/q/", "a1"), 503);
	publish(config(4, TENANTS));
	EXPECT_EQ(status("GET", "/q/", "a1"), 200);
}

} /* namespace */
